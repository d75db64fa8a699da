package shared

import (
	"time"

	"fescuelatch"
)

// This file defines the census of endpoints, by which a refusal is explained
// afterwards.

// Census counts the endpoints that serve a model by what keeps them from new
// work; Open ones are free for it.
type Census struct {
	Open        int `json:"open"`
	Full        int `json:"full"`
	Out         int `json:"out"`
	Unreachable int `json:"unreachable"`
	Silent      int `json:"silent"`
	Resting     int `json:"resting"`
	Paused      int `json:"paused"`
	Cold        int `json:"cold"`
}

// Census returns the census of the endpoints that serve a model in any release.
func (g *Gate) Census(now time.Time, m fescuelatch.ModelID) Census {
	var c Census
	for v, places := range g.serving {
		if v.Model() != m {
			continue
		}
		for _, p := range places {
			*g.counter(now, &c, p)++
		}
	}
	return c
}

// counter returns the count that an endpoint belongs to.
func (g *Gate) counter(now time.Time, c *Census, p *place) *int {
	switch {
	case p.out():
		return &c.Out
	case p.away(now) || g.domainOf(p).dark():
		return &c.Unreachable
	case g.silent(now, p):
		return &c.Silent
	case p.paused(now):
		return &c.Paused
	case now.Before(p.ejected) || p.trial != "":
		return &c.Resting
	case !p.open(now):
		return &c.Cold
	case len(p.running) >= g.connections(p) || float64(p.busy(now)) >= overbooking*float64(p.slots()):
		return &c.Full
	}
	return &c.Open
}
