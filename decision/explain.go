package decision

import (
	"math/rand/v2"

	"fescuelatch"
)

// This file defines previews: copies of a core that decide by its code on copies of its state,
// and tell what they have considered.

// Policies are the policies of a preview. Those that keep state must be copies.
type Policies struct {
	Random   *rand.Rand
	Versions fescuelatch.VersionPolicy
	Gate     fescuelatch.Gate
	Retries  fescuelatch.RetryBudget
	Crashes  fescuelatch.CrashGuard
}

// Preview returns a core without requests that decides by copies of c's state. It may only be
// used while c is not, and is only for Arrived: the other policies are those of c.
func (c *Core) Preview(p Policies) *Core {
	o := c.options
	o.Random, o.Versions, o.Gate, o.Retries, o.Crashes = p.Random, p.Versions, p.Gate, p.Retries, p.Crashes
	n := New(o)
	n.view, n.ownedCount, n.domains, n.stopping = c.view, c.ownedCount, c.domains, c.stopping
	n.peers = c.peers.clone()
	n.trace = new(Trace)
	return n
}

// Trace returns what a preview has considered.
func (c *Core) Trace() Trace {
	if c.trace == nil {
		return Trace{}
	}
	return *c.trace
}

// Exclusion is why a request may not run on a version.
type Exclusion string

// Exclusions.
const (
	ExcludedPinned      Exclusion = "pinned"      // the request is bound to another version
	ExcludedAccount     Exclusion = "account"     // its account may not use the version
	ExcludedWithdrawn   Exclusion = "withdrawn"   // by an operator, or rolled back
	ExcludedQuarantined Exclusion = "quarantined" // its answers are bad
)

// Trace is what a core has considered for a request.
type Trace struct {
	Versions []ConsideredVersion     `json:"versions"`
	Plan     []fescuelatch.VersionID `json:"plan,omitempty"`
	// Placements are the daemons that could make the attempt on the last version tried.
	Placements []Placement `json:"placements,omitempty"`
}

// ConsideredVersion is a version of the request's models.
type ConsideredVersion struct {
	Version  fescuelatch.VersionID `json:"version"`
	Excluded Exclusion             `json:"excluded,omitempty"`
	Health   fescuelatch.Health    `json:"health,omitempty"`
	// Weight is its share relative to the other versions of its model, by which a rollout
	// moves requests; Sessions says which sessions it may have.
	Weight   float64                   `json:"weight"`
	Sessions fescuelatch.SessionPolicy `json:"sessions,omitempty"`
	// Spare is the number of requests that can start at once; negative when requests wait.
	Spare int `json:"spare"`
}

// Placement is this daemon, or another one that could make the attempt.
type Placement struct {
	Version fescuelatch.VersionID `json:"version"`
	VM      fescuelatch.VMID      `json:"vm"`
	Domain  fescuelatch.DomainID  `json:"failure-domain"`
	Own     bool                  `json:"own"`
	Spare   int                   `json:"spare"`
}

func considered(v fescuelatch.Version) ConsideredVersion {
	return ConsideredVersion{Version: v.ID, Weight: v.Weight, Sessions: v.Sessions}
}

func (t *Trace) exclude(v fescuelatch.Version, x Exclusion) {
	if t == nil {
		return
	}
	o := considered(v)
	o.Excluded = x
	t.Versions = append(t.Versions, o)
}

func (t *Trace) consider(cs []fescuelatch.Candidate) {
	if t == nil {
		return
	}
	for _, c := range cs {
		o := considered(c.Version)
		o.Health, o.Spare = c.Health, c.Spare
		t.Versions = append(t.Versions, o)
	}
}

func (t *Trace) plan(vs []fescuelatch.VersionID) {
	if t != nil {
		t.Plan = vs
	}
}

func (t *Trace) place(v fescuelatch.VersionID, ts []fescuelatch.Target) {
	if t == nil {
		return
	}
	t.Placements = t.Placements[:0]
	for _, o := range ts {
		t.Placements = append(t.Placements, Placement{Version: v, VM: o.VM, Domain: o.Domain, Own: o.Own, Spare: o.Spare})
	}
}
