package shared

import (
	"time"

	"fescuelatch"
)

// This file defines what the gate tells of its decisions: the census of endpoints, which
// explains a refusal afterwards, and the estimates by which an endpoint was chosen.

// Census counts the endpoints that serve a model by the reason why they get no new
// work; Open ones may get it.
type Census struct {
	Open         int `json:"open"`
	Full         int `json:"full"`
	Out          int `json:"out"`
	Unreachable  int `json:"unreachable"`
	Unresponsive int `json:"silent"`
	Ejected      int `json:"resting"`
	Paused       int `json:"paused"`
	Cold         int `json:"cold"`
	Limited      int `json:"limited"`
}

// Census returns the census of the endpoints that serve any version of a model.
func (g *Gate) Census(now time.Time, m fescuelatch.ModelID) Census {
	var c Census
	for v, endpoints := range g.serving {
		if v.Model() != m {
			continue
		}
		for _, e := range endpoints {
			*g.counterFor(now, &c, e, v)++
		}
	}
	return c
}

// counterFor returns the field of c that counts an endpoint of a version.
func (g *Gate) counterFor(now time.Time, c *Census, e *endpointLoad, v fescuelatch.VersionID) *int {
	switch {
	case e.out():
		return &c.Out
	case e.isUnreachable(now) || g.domainOf(e).unreachable():
		return &c.Unreachable
	case g.unresponsive(now, e):
		return &c.Unresponsive
	case e.paused(now):
		return &c.Paused
	case now.Before(e.ejectedUntil) || e.trial != "":
		return &c.Ejected
	case !e.open(now):
		return &c.Cold
	case e.permitsLeft(now) == 0:
		return &c.Limited
	case len(e.running) >= g.connections(e) || float64(e.busy(now)) >= overbooking*float64(e.slots()), g.lacksMemory(now, e, v):
		return &c.Full
	}
	return &c.Open
}

// Estimates are those of an endpoint by which it was chosen for an attempt.
type Estimates struct {
	// ServiceTime is relative to that of the other endpoints of the version.
	ServiceTime float64 `json:"service-time"`
	// Load is the number of requests there for each slot.
	Load float64 `json:"load"`
}

// Estimates returns those for a started attempt, or false if its version is not contended.
func (g *Gate) Estimates(id fescuelatch.AttemptID) (Estimates, bool) {
	a := g.attempts[id]
	if a == nil || a.load == 0 {
		return Estimates{}, false
	}
	return Estimates{a.serviceTime, a.load - 1}, true
}

// ServiceTime returns the estimated service time of an endpoint relative to that of the others
// of its versions; 1 if nothing is known of it.
func (g *Gate) ServiceTime(now time.Time, id fescuelatch.EndpointID) float64 {
	if e := g.endpoints[id]; e != nil {
		return e.speed.Factor(now)
	}
	return 1
}
