package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/schollz/progressbar/v3"

	"fescuelatch"
	"fescuelatch/fleet"
	"fescuelatch/inventory"
	"fescuelatch/load"
)

// This file defines the subcommand run.

// runIDLength is the length of the random identifier that distinguishes the
// nonces of a run from those of other runs.
const runIDLength = 8

type runCommand struct {
	Inventory []string          `arg:"--inventory" help:"files of the inventory and rules [default: examples/umurongo]"`
	Targets   []netip.AddrPort  `arg:"--target" help:"caller addresses [default: those of the inventory]"`
	Keys      map[string]string `arg:"--key" help:"bearer keys, ACCOUNT=KEY [default: demo-ACCOUNT]"`
	Rate      float64           `arg:"--rate" default:"20" help:"arrivals a second"`
	Duration  time.Duration     `arg:"--duration" default:"30s"`
	Seed      uint64            `arg:"--seed" default:"1"`
	Run       string            `arg:"--run" help:"part of all nonces and keys [default: random]"`
	Service   float64           `arg:"--service" default:"0.25" help:"share of calls to plain services"`
	Streamed  float64           `arg:"--streamed" default:"0.6" help:"share of model calls that are streamed"`
	Session   float64           `arg:"--session" default:"0.3" help:"share of model calls within a session"`
	Repeated  float64           `arg:"--repeated" default:"0.3" help:"share of keyed calls that are sent twice"`
	Timeout   time.Duration     `arg:"--timeout" default:"10s" help:"timeout of each request"`
	Output    string            `arg:"--output" help:"file for the result as JSON"`
	Records   string            `arg:"--records" help:"file for a JSON line of each call"`
}

// runResult is the JSON result of a run.
type runResult struct {
	Profile load.Profile  `json:"profile"`
	Summary *load.Summary `json:"summary"`
}

func (c *runCommand) run(ctx context.Context) (int, error) {
	profile, ts, err := c.profile()
	if err != nil {
		return exitFailed, err
	}
	calls, err := load.Plan(profile)
	if err != nil {
		return exitFailed, err
	}
	records, summary := send(ctx, calls, ts, profile.Accounts)
	fmt.Print(summary)
	if err := c.write(profile, records, summary); err != nil {
		return exitFailed, err
	}
	if len(summary.Faults) > 0 {
		return exitViolations, nil
	}
	return exitOK, nil
}

// profile returns the load profile and the targets that the settings select.
func (c *runCommand) profile() (*load.Profile, []load.Target, error) {
	if len(c.Inventory) == 0 {
		c.Inventory = []string{filepath.Join("examples", "umurongo")}
	}
	conf, err := inventory.Read(c.Inventory...)
	if err != nil {
		return nil, nil, err
	}
	keys := make(map[fescuelatch.AccountID]string)
	for _, a := range conf.Rules.Accounts {
		keys[a.ID] = fleet.Key(a.ID)
		if k, ok := c.Keys[string(a.ID)]; ok {
			keys[a.ID] = k
		}
	}
	ts := targets(conf)
	if len(c.Targets) > 0 {
		ts = nil
		for _, a := range c.Targets {
			ts = append(ts, load.Target{Caller: a})
		}
	}
	p := &load.Profile{
		Rate: c.Rate, Duration: c.Duration, Seed: c.Seed, Run: c.Run,
		Accounts: load.AccountsOf(conf, keys), Mix: load.DefaultMix(),
	}
	p.Mix.Service, p.Mix.Streamed, p.Mix.Session = c.Service, c.Streamed, c.Session
	p.Mix.Repeated, p.Mix.Timeout = c.Repeated, c.Timeout
	if p.Run == "" {
		p.Run = newRunID()
	}
	return p, ts, nil
}

func newRunID() string { return uuid.NewString()[:runIDLength] }

// send sends calls and shows a progress bar on standard error.
func send(ctx context.Context, calls []load.Call, ts []load.Target, as []load.Account) ([]load.Record, *load.Summary) {
	bar := progressbar.Default(int64(len(calls)), "calls")
	u := load.Runner{
		Targets: ts,
		Keys:    make(map[fescuelatch.AccountID]string),
		// Continue even if the progress bar cannot be drawn.
		OnRecord: func(*load.Record) { _ = bar.Add(1) },
	}
	for _, a := range as {
		u.Keys[a.ID] = a.Key
	}
	records, summary := u.Run(ctx, calls)
	_ = bar.Finish()
	return records, summary
}

// write writes the output files that the settings select.
func (c *runCommand) write(p *load.Profile, records []load.Record, s *load.Summary) error {
	if c.Output != "" {
		if err := writeJSON(c.Output, runResult{Profile: *p, Summary: s}); err != nil {
			return err
		}
	}
	if c.Records != "" {
		return writeLines(c.Records, records)
	}
	return nil
}

// Permissions of reports, which contain no secrets.
const (
	reportMode = 0o644
	dirMode    = 0o755
)

// writeJSON writes v to a file and creates missing directories.
func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return writeFile(path, append(b, '\n'))
}

func writeFile(path string, b []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil { //nolint:gosec // Reports contain no secrets.
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, b, reportMode)) //nolint:gosec // Reports contain no secrets.
}

func writeLines(path string, records []load.Record) error {
	var b []byte
	for n := range records {
		line, err := json.Marshal(&records[n])
		if err != nil {
			return errors.WithStack(err)
		}
		b = append(append(b, line...), '\n')
	}
	return writeFile(path, b)
}
