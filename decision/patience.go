package decision

import (
	"slices"
	"time"

	"fescuelatch"
)

// This file defines how long a silent endpoint is waited for. It answers the
// load of endpoints that have gone dark: their connections stay open, and only
// time tells. An endpoint's silence ends an attempt only while another
// endpoint may still answer the request in its place.

const (
	// leastPatience is longer than an endpoint under load takes.
	leastPatience = 600 * time.Millisecond
	// firstPatience is relative to the latency that is aimed at: another
	// attempt then still has a part of it.
	firstPatience = 0.8
	// leastGap is longer than the pauses of an endpoint that is streaming.
	leastGap = 600 * time.Millisecond
	// gapPatience is relative to the gap between outputs that is aimed at, of
	// which the next endpoint needs a part to go on.
	gapPatience = 0.8
)

// Patience bounds the silence of an endpoint; zero means no bound.
type Patience struct {
	// First is for the first output, and Gap for each further one.
	First time.Duration
	Gap   time.Duration
}

// MoveOn reports whether another attempt takes the place of the current one of a
// request, whose endpoint is silent. If so it is granted: what allows it now may be
// gone when the current attempt has ended, and the caller would be cut off. What
// allowed it at the start may be gone already: the account's key, the retry budget,
// the time, or the other endpoints. Then the current attempt is the only hope.
func (c *Core) MoveOn(now time.Time, id fescuelatch.RequestID) bool {
	q, ok := c.requests[id]
	if !ok {
		return true // It has ended already.
	}
	c.sparesKnown = false
	if !c.mayRepeat(q) || c.late(now, q) || !c.usable(q) || len(c.spots(now, q)) == 0 || !c.startable(now, q) ||
		!c.options.Retries.Take(now, q.Request, fescuelatch.RetryFailure) {
		return false
	}
	q.granted = q.current.id
	return true
}

// admitter is a gate that tells beforehand whether work would start at once.
type admitter interface {
	Admits(now time.Time, w fescuelatch.Work) bool
}

// startable reports whether another endpoint has room for q at present, as far as the
// gate tells. Work that has to wait may be refused in the end.
func (c *Core) startable(now time.Time, q *request) bool {
	g, ok := c.options.Gate.(admitter)
	if !ok {
		return true
	}
	w := c.work(q)
	w.Avoid = append(slices.Clone(w.Avoid), q.current.endpoint)
	return g.Admits(now, w)
}

// movesOn reports whether the end of the current attempt was decided on by MoveOn.
func (q *request) movesOn() bool { return q.granted != "" && q.granted == q.current.id }

// patience returns that for the current attempt of q.
func (c *Core) patience(q *request) Patience {
	if !c.options.Direct || !q.Idempotent || q.attempts >= q.bound() {
		return Patience{}
	}
	p := Patience{First: max(leastPatience, time.Duration(firstPatience*float64(q.TargetLatency)))}
	if q.Resumable && q.TargetGap > 0 {
		p.Gap = max(leastGap, time.Duration(gapPatience*float64(q.TargetGap)))
	}
	return p
}
