package experiment

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/load"
	"fescuelatch/scenario"
)

// This file defines the failures and the extra load of the experiments.

const (
	badQuality   = 0.2
	coldDuration = 4 * time.Second
	floodRate    = 90 // arrivals per second
	serviceTime  = 40 * time.Millisecond
	outageRefuse = "refuse"
	noOutage     = ""
)

// speed holds the latencies of a model engine with a single request.
type speed struct {
	firstToken, betweenTokens time.Duration
}

// Engine speeds, slow enough that load on one machine can use a fair part of a
// fleet's capacity.
var (
	slow    = speed{100 * time.Millisecond, 12 * time.Millisecond}
	slower  = speed{150 * time.Millisecond, 20 * time.Millisecond}
	slowest = speed{300 * time.Millisecond, 40 * time.Millisecond}
)

// options returns the engine flags of each endpoint.
func (s speed) options(c *fescuelatch.Configuration) func(fescuelatch.Endpoint) []string {
	service := make(map[fescuelatch.PoolID]bool)
	for _, p := range c.Inventory.Pools {
		service[p.ID] = p.Service != ""
	}
	return func(e fescuelatch.Endpoint) []string {
		if service[e.Pool] {
			return []string{"--service-time", serviceTime.String()}
		}
		return []string{"--first-token", s.firstToken.String(), "--between-tokens", s.betweenTokens.String()}
	}
}

// badVersion returns the version to degrade: the cheapest of the model with
// the most versions.
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

// degradeVersion lowers the quality of a version on all engines until the end.
func degradeVersion(c *fescuelatch.Configuration, w Window) []scenario.Step {
	v := badVersion(c)
	f := qualityFault{map[fescuelatch.VersionID]float64{v: badQuality}}
	return []scenario.Step{{
		At: w.From, Name: "version " + string(v) + " turns bad",
		Do: func(ctx context.Context, r *scenario.Run) error { return setFaults(ctx, r, v, f) },
	}}
}

// setFaults sets faults on all engines that serve a version.
func setFaults(ctx context.Context, r *scenario.Run, v fescuelatch.VersionID, faults any) error {
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

// excludeDomain excludes the second failure domain during the window.
func excludeDomain(c *fescuelatch.Configuration, w Window) []scenario.Step {
	d := c.Inventory.Domains[1].ID
	return []scenario.Step{scenario.TakeOutDomain(w.From, d), scenario.RestoreDomain(w.To, d)}
}

// flood adds a burst of requests from the account with the largest share.
func flood(c *fescuelatch.Configuration, w Window) []load.Burst {
	return []load.Burst{{Account: largestAccount(c), From: w.From, To: w.To, Rate: floodRate}}
}

func largestAccount(c *fescuelatch.Configuration) fescuelatch.AccountID {
	best := c.Rules.Accounts[0]
	for _, a := range c.Rules.Accounts {
		if a.Share > best.Share {
			best = a
		}
	}
	return best.ID
}

// coolEngines makes all model engines cold at the same time.
func coolEngines(c *fescuelatch.Configuration, w Window) []scenario.Step {
	model := make(map[fescuelatch.PoolID]bool)
	for _, p := range c.Inventory.Pools {
		model[p.ID] = p.Service == ""
	}
	var ss []scenario.Step
	for _, e := range c.Inventory.Endpoints {
		if model[e.Pool] {
			ss = append(ss, scenario.MakeCold(w.From, e.ID, coldDuration))
		}
	}
	return ss
}

type platformFault struct {
	Outage string `json:"outage"`
}

// platformOutage makes all calls to the platform fail during the window.
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
