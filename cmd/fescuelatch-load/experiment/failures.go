package experiment

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

// This file defines what happens in the experiments.

const (
	badQuality    = 0.2
	coldFor       = 4 * time.Second
	floodRate     = 90 // arrivals a second
	outageRefuse  = "refuse"
	noOutage      = ""
	slowFirst     = "100ms"
	slowBetween   = "12ms"
	serviceOption = "--service-time"
	slowService   = "40ms"
)

// slow returns the arguments that make an endpoint slow enough that a fleet
// on one machine can be loaded to its limits.
func slow(c *fescuelatch.Configuration) func(fescuelatch.Endpoint) []string {
	service := make(map[fescuelatch.PoolID]bool)
	for _, p := range c.Inventory.Pools {
		service[p.ID] = p.Service != ""
	}
	return func(e fescuelatch.Endpoint) []string {
		if service[e.Pool] {
			return []string{serviceOption, slowService}
		}
		return []string{"--first-token", slowFirst, "--between-tokens", slowBetween}
	}
}

// badVersion returns the version that turns bad: the cheapest of the model
// that has most versions.
func badVersion(c *fescuelatch.Configuration) fescuelatch.VersionID {
	count := make(map[fescuelatch.ModelID]int)
	for _, v := range c.Inventory.Versions {
		count[v.Model]++
	}
	var best fescuelatch.Version
	for _, v := range c.Inventory.Versions {
		if count[v.Model] > count[best.Model] || count[v.Model] == count[best.Model] && v.OutputCost < best.OutputCost {
			best = v
		}
	}
	return best.ID
}

type qualityFault struct {
	Quality map[fescuelatch.VersionID]float64 `json:"quality"`
}

// turnBad turns a version bad at all engines until the end.
func turnBad(c *fescuelatch.Configuration, w Window) []scenario.Step {
	v := badVersion(c)
	f := qualityFault{map[fescuelatch.VersionID]float64{v: badQuality}}
	return []scenario.Step{{
		At: w.From, Name: "version " + string(v) + " turns bad",
		Do: func(ctx context.Context, r *scenario.Run) error { return faultAll(ctx, r, v, f) },
	}}
}

// faultAll sets the faults of all engines that serve a version.
func faultAll(ctx context.Context, r *scenario.Run, v fescuelatch.VersionID, faults any) error {
	serves := make(map[fescuelatch.PoolID]bool)
	for _, p := range r.Fleet.Configuration.Inventory.Pools {
		for _, id := range p.Versions {
			serves[p.ID] = serves[p.ID] || id == v
		}
	}
	for _, e := range r.Fleet.Configuration.Inventory.Endpoints {
		if !serves[e.Pool] {
			continue
		}
		if err := r.Fleet.Faults(ctx, e.ID, faults); err != nil {
			return err
		}
	}
	return nil
}

// domainOut takes the second failure domain out and brings it back.
func domainOut(c *fescuelatch.Configuration, w Window) []scenario.Step {
	d := c.Inventory.Domains[1].ID
	return []scenario.Step{scenario.TakeOut(w.From, d), scenario.BringBack(w.To, d)}
}

// flood lets the account with the largest share send many requests.
func flood(c *fescuelatch.Configuration, w Window) []load.Burst {
	return []load.Burst{{Account: largest(c), From: w.From, To: w.To, Rate: floodRate}}
}

func largest(c *fescuelatch.Configuration) fescuelatch.AccountID {
	best := c.Rules.Accounts[0]
	for _, a := range c.Rules.Accounts {
		if a.Share > best.Share {
			best = a
		}
	}
	return best.ID
}

// coolAll turns all engines cold at the same time.
func coolAll(c *fescuelatch.Configuration, w Window) []scenario.Step {
	model := make(map[fescuelatch.PoolID]bool)
	for _, p := range c.Inventory.Pools {
		model[p.ID] = p.Service == ""
	}
	var ss []scenario.Step
	for _, e := range c.Inventory.Endpoints {
		if model[e.Pool] {
			ss = append(ss, scenario.Cool(w.From, e.ID, coldFor))
		}
	}
	return ss
}

type platformFault struct {
	Outage string `json:"outage"`
}

// platformOutage lets the platform break all calls in the window.
func platformOutage(_ *fescuelatch.Configuration, w Window) []scenario.Step {
	set := func(at time.Duration, name, outage string) scenario.Step {
		return scenario.Step{At: at, Name: name, Do: func(ctx context.Context, r *scenario.Run) error {
			return r.Fleet.PlatformFaults(ctx, platformFault{outage})
		}}
	}
	return []scenario.Step{
		set(w.From, "the platform breaks all calls", outageRefuse),
		set(w.To, "the platform answers again", noOutage),
	}
}
