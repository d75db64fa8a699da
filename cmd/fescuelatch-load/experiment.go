package main

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"time"

	"fescuelatch/cmd/fescuelatch-load/experiment"
	"fescuelatch/load"
)

// This file defines the subcommand experiment.

type experimentCommand struct {
	fleetSettings
	Name     string        `arg:"positional,required" help:"name of an experiment, or all"`
	Duration time.Duration `arg:"--duration" default:"24s" help:"time of load of each trial"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the first trial of each variant"`
	Repeats  int           `arg:"--repeats" default:"3" help:"trials of each variant"`
	Daemon   []string      `arg:"--daemon,separate" help:"further argument of every daemon"`
	Records  bool          `arg:"--records" help:"keep a JSON line of each call in the directory of its trial"`
}

func (c *experimentCommand) run(ctx context.Context) (int, error) {
	es, err := experiment.Find(c.Name)
	if err != nil {
		return exitFailed, err
	}
	o, err := c.options("experiment")
	if err != nil {
		return exitFailed, err
	}
	o.Daemon = c.Daemon
	s := &experiment.Settings{
		Fleet: c.Fleet, Options: o, Duration: c.Duration, Seed: c.Seed, Repeats: c.Repeats,
		OnTrialStart: func(trial string) { fmt.Println(time.Now().Format(time.TimeOnly), trial) },
	}
	if c.Records {
		s.OnTrialEnd = func(dir string, records []load.Record) error {
			return writeLines(filepath.Join(dir, "records.jsonl"), records)
		}
	}
	ts, err := experiment.Run(ctx, s, es)
	if err != nil {
		return exitFailed, err
	}
	return c.report(experiment.NewReport(s, es, ts))
}

// report prints r, writes it to files and returns the exit status.
func (c *experimentCommand) report(r *experiment.Report) (int, error) {
	dir := filepath.Join(c.Out, "experiment", c.Fleet+"-"+c.Name)
	// Writing the first file creates the directory for the plots.
	if err := writeJSON(filepath.Join(dir, "report.json"), r); err != nil {
		return exitFailed, err
	}
	if err := r.Plot(dir); err != nil {
		return exitFailed, err
	}
	var b bytes.Buffer
	if err := r.WriteHTML(&b); err != nil {
		return exitFailed, err
	}
	if err := writeFile(filepath.Join(dir, "report.html"), b.Bytes()); err != nil {
		return exitFailed, err
	}
	fmt.Print(r)
	fmt.Println("report is", filepath.Join(dir, "report.html"))
	return exitOK, nil
}
