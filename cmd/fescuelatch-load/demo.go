package main

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/schollz/progressbar/v3"

	"fescuelatch"
	"fescuelatch/audit"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

// This file defines the subcommand demo.

type demoCommand struct {
	fleetSettings
	Rate     float64       `arg:"--rate" default:"30" help:"arrivals a second"`
	Duration time.Duration `arg:"--duration" default:"60s"`
	Seed     uint64        `arg:"--seed" default:"1"`
	Daemon   []string      `arg:"--daemon,separate" help:"further argument of every daemon"`
}

// demoResult is the JSON report of a demo.
type demoResult struct {
	Profile  load.Profile  `json:"profile"`
	Summary  *load.Summary `json:"summary"`
	Audit    *audit.Report `json:"audit"`
	Events   []audit.Event `json:"events"`
	Failures []string      `json:"failures,omitempty"`
	Crashed  []string      `json:"crashed,omitempty"`
}

func (c *demoCommand) run(ctx context.Context) (int, error) {
	o, err := c.options("demo")
	if err != nil {
		return exitFailed, err
	}
	o.Daemon = c.Daemon
	steps, err := demoSteps(o.Configuration, c.Duration)
	if err != nil {
		return exitFailed, err
	}
	bar := progressbar.Default(-1, "calls")
	s := scenario.Scenario{
		Fleet: o,
		Profile: load.Profile{
			Rate: c.Rate, Duration: c.Duration, Seed: c.Seed, Run: newRunID(), Mix: load.DefaultMix(),
		},
		Steps: steps,
		Note:  func(step string) { fmt.Println("\n" + time.Now().Format(time.TimeOnly) + " " + step) },
		OnRecord: func(done, all int) {
			bar.ChangeMax(all)
			_ = bar.Set(done)
		},
	}
	fmt.Printf("starting %d daemons and %d endpoints over %d failure domains; logs are in %s\n",
		len(o.Configuration.Inventory.VMs), len(o.Configuration.Inventory.Endpoints),
		len(o.Configuration.Inventory.Domains), o.Dir)
	r, err := s.Run(ctx)
	if err != nil {
		return exitFailed, err
	}
	_ = bar.Finish()
	return c.report(&s, r)
}

// report prints the report, writes it to files and returns the exit status.
func (c *demoCommand) report(s *scenario.Scenario, r *scenario.Result) (int, error) {
	d := demoResult{
		Profile: s.Profile, Summary: r.Summary, Audit: r.Report, Events: r.Evidence.Events, Crashed: r.Crashed,
	}
	for _, err := range r.Failures {
		d.Failures = append(d.Failures, err.Error())
	}
	text := d.text(r.Start)
	fmt.Print("\n" + text)
	dir := filepath.Join(c.Out, "demo")
	if err := writeJSON(filepath.Join(dir, "report.json"), d); err != nil {
		return exitFailed, err
	}
	if err := writeFile(filepath.Join(dir, "report.txt"), []byte(text)); err != nil {
		return exitFailed, err
	}
	if err := writeLines(filepath.Join(dir, "records.jsonl"), r.Evidence.Records); err != nil {
		return exitFailed, err
	}
	fmt.Println("report and records are in", dir)
	if r.Report.Violations() > 0 || len(d.Failures) > 0 || len(d.Crashed) > 0 {
		return exitViolations, nil
	}
	return exitOK, nil
}

// text returns the human-readable report of a demo that started at start.
func (d *demoResult) text(start time.Time) string {
	var b strings.Builder
	b.WriteString("What was done\n")
	for _, v := range d.Events {
		fmt.Fprintf(&b, "  %6.1fs %s %s", v.At.Sub(start).Seconds(), v.Kind, v.Name)
		if v.Generation > 0 {
			fmt.Fprintf(&b, " (generation %d)", v.Generation)
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "\nWhat callers saw\n%s\nWhat must always hold\n%s", d.Summary, d.Audit)
	for _, f := range d.Failures {
		fmt.Fprintf(&b, "step failed: %s\n", f)
	}
	if len(d.Crashed) > 0 {
		fmt.Fprintf(&b, "ended unexpectedly: %s\n", strings.Join(d.Crashed, ", "))
	}
	fmt.Fprintf(&b, "\nviolations: %d\n", d.Audit.Violations())
	return b.String()
}

// demoSteps returns the steps of a demo, spread over its duration.
func demoSteps(c *fescuelatch.Configuration, d time.Duration) ([]scenario.Step, error) {
	i := &c.Inventory
	if len(i.VMs) < 3 || len(i.Domains) < 2 || len(i.Versions) == 0 {
		return nil, errors.New("the demo needs three VMs, two failure domains and a version")
	}
	engines := enginesOutside(c, i.Domains[1].ID)
	if len(engines) < 2 {
		return nil, errors.New("the demo needs two engines outside the second failure domain")
	}
	// Withdraw a version whose model has other versions left to serve.
	version := versionToWithdraw(i.Versions)
	domain := i.Domains[1].ID
	killed, stopped := i.VMs[len(i.VMs)-1].ID, i.VMs[len(i.VMs)-2].ID
	drained, cooled := engines[0], engines[len(engines)-1]
	at := func(share float64) time.Duration { return time.Duration(share * float64(d)) }
	const coldFor = 3 * time.Second
	return []scenario.Step{
		scenario.Withdraw(at(0.10), version),
		scenario.TakeOutDomain(at(0.20), domain),
		scenario.Kill(at(0.28), killed),
		scenario.Restart(at(0.40), killed),
		scenario.RestoreDomain(at(0.45), domain),
		scenario.Stop(at(0.52), stopped),
		scenario.Leave(at(0.60), drained),
		scenario.Restart(at(0.65), stopped),
		scenario.MakeCold(at(0.70), cooled, coldFor),
		scenario.Return(at(0.90), drained),
	}, nil
}

// enginesOutside returns the model engines outside failure domain d.
func enginesOutside(c *fescuelatch.Configuration, d fescuelatch.DomainID) []fescuelatch.EndpointID {
	model := make(map[fescuelatch.PoolID]bool)
	for _, p := range c.Inventory.Pools {
		model[p.ID] = p.Service == ""
	}
	var es []fescuelatch.EndpointID
	for _, e := range c.Inventory.Endpoints {
		if model[e.Pool] && e.Domain != d {
			es = append(es, e.ID)
		}
	}
	return es
}

// versionToWithdraw returns the first version of the model with the most
// versions.
func versionToWithdraw(vs []fescuelatch.Version) fescuelatch.VersionID {
	count := make(map[fescuelatch.ModelID]int)
	for _, v := range vs {
		count[v.Model]++
	}
	best := vs[0]
	for _, v := range vs {
		if count[v.Model] > count[best.Model] {
			best = v
		}
	}
	return best.ID
}
