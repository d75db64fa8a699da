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
	Page   string `arg:"--page" default:"docs/CAPACITY.md" help:"page whose tables are written anew"`
}

func (c *capacityCommand) run(context.Context) (int, error) {
	b, err := os.ReadFile(c.Slopes)
	if err != nil {
		return exitFailed, errors.WithStack(err)
	}
	r := new(cost.Result)
	if err := json.Unmarshal(b, r); err != nil {
		return exitFailed, errors.WithStack(err)
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
	return exitGood, writeFile(c.Page, []byte(filled))
}
