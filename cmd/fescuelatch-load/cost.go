package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/cmd/fescuelatch-load/cost"
)

// This file defines the subcommand cost.

type costCommand struct {
	Bin    string        `arg:"--bin" help:"directory of fescuelatchd and standin [default: that of this program]"`
	Out    string        `arg:"--out" default:"out" help:"directory for logs"`
	Slopes string        `arg:"--slopes" default:"docs/capacity/slopes.json" help:"file for the result"`
	Window time.Duration `arg:"--window" default:"8s" help:"time of each measurement"`
	Rate   float64       `arg:"--rate" default:"6" help:"requests a second for each daemon under load"`
	Seed   uint64        `arg:"--seed" default:"1"`
	Only   []int         `arg:"--only" help:"positions of the sizes to measure, without slopes [default: all]"`
}

// Answer lengths in tokens.
const (
	shortAnswer = 16
	longAnswer  = 96
)

func (c *costCommand) run(ctx context.Context) (int, error) {
	settings := fleetSettings{Bin: c.Bin, Out: c.Out}
	bin, err := settings.bin()
	if err != nil {
		return exitFailed, err
	}
	s := &cost.Settings{
		Window: c.Window, Rate: c.Rate, Seed: c.Seed, Short: shortAnswer, Long: longAnswer,
		Progress: func(size string) { fmt.Println(time.Now().Format(time.TimeOnly), size) },
	}
	s.Options.Bin = bin
	s.Options.Dir = filepath.Join(c.Out, "cost", "logs")
	sizes := cost.Plan()
	if len(c.Only) > 0 {
		all := sizes
		sizes = nil
		for _, n := range c.Only {
			if n < 0 || n >= len(all) {
				return exitFailed, errors.Errorf("no size at position %d", n)
			}
			sizes = append(sizes, all[n])
		}
	}
	r, err := cost.Run(ctx, s, sizes)
	if err != nil {
		return exitFailed, err
	}
	if len(c.Only) == 0 {
		r.Fit()
	}
	return exitOK, writeJSON(c.Slopes, r)
}
