package fescuelatch

import "fmt"

// This file defines the checks that a deployment must pass before it can become active.

const (
	// maxRate bounds rates per second, maxWeight the weights of targets, maxCost costs
	// and maxRank ranks, far above any that is in use: sums and products must fit.
	maxRate   = 1e9
	maxWeight = 1e9
	maxCost   = 1e15
	maxRank   = 1 << 20
)

// Validate returns all faults of d. A view can be composed from a deployment without
// faults, whatever endpoints are registered.
func (d *Deployment) Validate() []Fault {
	v := validator{ids: make(map[EntryKey]bool)}
	for n := range d.Services {
		v.deployedService(&d.Services[n], fmt.Sprintf("services[%d]", n))
	}
	for n := range d.Routes {
		v.route(&d.Routes[n], fmt.Sprintf("routes[%d]", n))
	}
	for n := range d.Accounts {
		v.id(EntryAccount, string(d.Accounts[n].ID), fmt.Sprintf("accounts[%d]", n))
	}
	for id, rank := range d.AccountRanks {
		v.rank(rank, fmt.Sprintf("account-ranks[%q]", id))
	}
	l := &d.Limits
	v.require(min(int64(l.HeaderBytes), l.BodyBytes) >= 0, "limits", "a size is negative")
	v.require(min(l.HeaderTimeout, l.IdleTimeout) >= 0, "limits", "a timeout is negative")
	return v.faults
}

func (v *validator) deployedService(s *DeployedService, p string) {
	v.id(EntryService, string(s.ID), p)
	v.require(min(s.Connections, s.CacheTokens) >= 0, p, "a size is negative")
	v.require(s.ColdRate >= 0 && s.ColdRate <= maxRate, p+".cold-rate", "%v is out of range", s.ColdRate)
	for n, m := range s.Models {
		q := fmt.Sprintf("%s.models[%d]", p, n)
		v.id(EntryModel, string(m.ID), q)
		v.require(min(m.PromptCost, m.OutputCost) >= 0 && max(m.PromptCost, m.OutputCost) <= maxCost, q, "a cost is out of range")
	}
}

func (v *validator) route(r *Route, p string) {
	v.require(min(r.Timeout, r.TargetLatency, r.TargetGap) >= 0, p, "a time is negative")
	v.require(r.MaxAttempts >= 0, p+".max-attempts", "is negative")
	v.rank(r.Rank, p+".rank")
	for n := range r.Targets {
		w := r.Targets[n].Weight
		v.require(w >= 0 && w <= maxWeight, fmt.Sprintf("%s.targets[%d].weight", p, n), "%v is out of range", w)
	}
}

func (v *validator) rank(rank int, p string) {
	v.require(rank >= 0 && rank <= maxRank, p, "rank %d is out of range", rank)
}
