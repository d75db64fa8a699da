package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/cmd/fescuelatch-load/soak"
)

// This file defines the subcommand soak.

type soakCommand struct {
	Seed     uint64        `arg:"--seed" default:"1" help:"the first seed"`
	Seeds    uint64        `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	Duration time.Duration `arg:"--duration" default:"15s" help:"of the faults of each seed"`
	Bin      string        `arg:"--bin" default:"bin" help:"directory of the programs"`
	Out      string        `arg:"--out" default:"out" help:"directory for settings and logs"`
	Daemons  int           `arg:"--daemons" default:"4" help:"number of daemons"`
	Earlier  string        `arg:"--earlier-program" help:"path of another build of fescuelatchd, which runs beside the one of --bin"`
	Series   string        `arg:"--series" default:"all" help:"series of faults besides the general ones: names separated by commas, all or none"`
	Verbose  bool          `arg:"-v,--verbose" help:"print each fault"`
}

func (c *soakCommand) run(ctx context.Context) (int, error) {
	series, err := soak.ParseSeries(c.Series)
	if err != nil {
		return exitFailed, err
	}
	bad := 0
	for n := range c.Seeds {
		seed := c.Seed + n
		dir := filepath.Join(c.Out, "soak", fmt.Sprint(seed))
		if err := os.RemoveAll(dir); err != nil {
			return exitFailed, errors.WithStack(err)
		}
		if err := os.MkdirAll(dir, 0o750); err != nil {
			return exitFailed, errors.WithStack(err)
		}
		r, err := soak.Run(ctx, soak.Options{
			Seed: seed, Duration: c.Duration, Program: filepath.Join(c.Bin, "fescuelatchd"), Dir: dir,
			EarlierProgram: c.Earlier, Daemons: c.Daemons, Series: series,
			OnFault: func(line string) {
				if c.Verbose {
					fmt.Println(line)
				}
			},
		})
		if err != nil {
			return exitFailed, err
		}
		fmt.Printf("seed %d: %d faults, %d violations, checked %v, calls %v\n", seed, r.Faults, len(r.Violations), r.Checked, r.Calls)
		for _, v := range r.Violations {
			fmt.Println("  " + v)
		}
		if len(r.Violations) > 0 {
			bad++
		}
	}
	fmt.Printf("%d of %d seeds with violations\n", bad, c.Seeds)
	if bad > 0 {
		return exitViolations, nil
	}
	return exitOK, nil
}
