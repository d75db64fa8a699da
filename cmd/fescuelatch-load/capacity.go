package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"fescuelatch/cmd/fescuelatch-load/cost"
)

// This file defines the subcommand capacity.

type capacityCommand struct {
	Slopes string `arg:"--slopes" default:"docs/capacity/slopes.json" help:"result of the subcommand cost"`
	Merge  string `arg:"--merge" help:"result of a run of its own (cost --only 0) whose latency and busy daemons go before those of --slopes"`
	Page   string `arg:"--page" default:"docs/CAPACITY.md" help:"page whose tables are written anew"`
}

func (c *capacityCommand) run(context.Context) (int, error) {
	r, err := readCostResult(c.Slopes)
	if err != nil {
		return exitFailed, err
	}
	if c.Merge != "" {
		own, err := readCostResult(c.Merge)
		if err != nil {
			return exitFailed, err
		}
		r.Latency, r.TargetTraffic = own.Latency, own.TargetTraffic
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return exitFailed, errors.WithStack(err)
	}
	r.Fit()
	filled, err := r.Fill(string(page))
	if err != nil {
		return exitFailed, err
	}
	if err := writeJSON(c.Slopes, r); err != nil {
		return exitFailed, err
	}
	return exitOK, writeFile(c.Page, []byte(filled))
}

func readCostResult(path string) (*cost.Result, error) {
	b, err := os.ReadFile(path) //nolint:gosec // The path is the operator's own.
	if err != nil {
		return nil, errors.WithStack(err)
	}
	r := new(cost.Result)
	return r, errors.WithStack(json.Unmarshal(b, r))
}
