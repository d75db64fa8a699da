package permit

import (
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the permits that a daemon holds for one endpoint.

const (
	// requestInterval is the minimum time between two requests for an endpoint.
	requestInterval = 200 * time.Millisecond
	// demandTimeout is how long requests that lacked a permit count as demand.
	demandTimeout = time.Second
	// retryJitter spreads the requests of the holders over time: each waits a random
	// part of it less.
	retryJitter = 0.25
)

// Holder holds the permits of a daemon for one process of an endpoint. It is not safe
// for concurrent use.
type Holder struct {
	statement fescuelatch.LimitStatement
	batches   []batch
	// demand counts the requests since the last request for permits that used one
	// or lacked one, until demandUntil.
	demand      int
	demandUntil time.Time
	// window bounds the demand by what the allocator has lately granted.
	window int
	// unreported is set while the allocator may not know the statement.
	unreported bool
	// pending is set while a request is on its way, with the permits wanted and
	// the limit reported.
	pending  bool
	want     int
	reported fescuelatch.RateLimit
	next     time.Time
}

// batch is permits that were granted together.
type batch struct {
	permits int
	expires time.Time
}

// NewHolder returns a holder for an endpoint without a limit.
func NewHolder() *Holder { return &Holder{window: 1} }

// Clone returns a copy of h.
func (h *Holder) Clone() *Holder {
	c := *h
	c.batches = slices.Clone(h.batches)
	return &c
}

// Limit returns the endpoint's limit.
func (h *Holder) Limit() fescuelatch.RateLimit { return h.statement.Limit }

// Observe applies a statement that the endpoint has made to this daemon and reports
// whether the limit has changed.
func (h *Holder) Observe(now time.Time, s fescuelatch.LimitStatement) bool {
	changed := h.apply(s)
	if changed {
		h.unreported, h.next = true, now
	}
	return changed
}

// apply applies a statement unless a newer one is known.
func (h *Holder) apply(s fescuelatch.LimitStatement) bool {
	if !newer(s, h.statement) {
		return false
	}
	changed := s.Limit != h.statement.Limit
	lowered := s.Limit.Limited && h.statement.Limit.Limited && s.Limit.PerSecond < h.statement.Limit.PerSecond
	h.statement = s
	if lowered {
		h.batches = nil // They were granted at the higher rate.
	}
	return changed
}

// Permits returns the number of permits that may be used now.
func (h *Holder) Permits(now time.Time) int {
	n := 0
	for _, b := range h.batches {
		if now.Before(b.expires) {
			n += b.permits
		}
	}
	return n
}

// Use uses a permit.
func (h *Holder) Use(now time.Time) {
	h.addDemand(now)
	for i := range h.batches {
		if now.Before(h.batches[i].expires) && h.batches[i].permits > 0 {
			h.batches[i].permits--
			return
		}
	}
}

// Lacks reports whether a request that lacks a permit should be counted: the
// endpoint's limit leaves room for more demand.
func (h *Holder) Lacks(now time.Time) bool {
	return now.After(h.demandUntil) || h.demand < h.window
}

// Miss counts a request that lacked a permit.
func (h *Holder) Miss(now time.Time) { h.addDemand(now) }

func (h *Holder) addDemand(now time.Time) {
	if now.After(h.demandUntil) {
		h.demand = 0
	}
	h.demand++
	h.demandUntil = now.Add(demandTimeout)
}

// Expects reports whether a permit may arrive until a time.
func (h *Holder) Expects(by time.Time) bool { return h.pending || !h.next.After(by) }

// Next returns the time of the next request for permits.
func (h *Holder) Next() time.Time { return h.next }

// Idle reports whether the endpoint has no limit and the allocator knows that.
func (h *Holder) Idle() bool { return !h.Limit().Limited && !h.unreported && !h.pending }

// Due returns the request to send to the allocator now, or false if there is none.
func (h *Holder) Due(now time.Time) (Request, bool) {
	if h.pending || now.Before(h.next) {
		return Request{}, false
	}
	demand := h.demand
	if now.After(h.demandUntil) || !h.Limit().Limited || 2*h.Permits(now) > demand {
		demand = 0
	}
	if demand == 0 && !h.unreported {
		return Request{}, false
	}
	h.pending, h.want, h.reported = true, min(demand, h.window), h.statement.Limit
	if h.want > 0 {
		h.demand = 0
	}
	return Request{Want: h.want, Limit: h.statement.Limit, Age: age(now, h.statement)}, true
}

// Granted applies the reply to a request sent at asked and reports whether the limit
// has changed. u is uniform in [0, 1) and spreads the next request.
func (h *Holder) Granted(now, asked time.Time, r Reply, u float64) bool {
	h.pending, h.unreported = false, h.unreported && h.statement.Limit != h.reported
	changed := h.apply(fescuelatch.LimitStatement{Limit: r.Limit, At: now.Add(-r.Age)})
	if r.Permits > 0 {
		h.batches = append(h.current(now), batch{r.Permits, asked.Add(Lifetime)})
	}
	if r.Permits < h.want {
		h.window = max(1, r.Permits)
		if now.Before(h.demandUntil) {
			h.demand += h.want - r.Permits
		}
	} else if h.want > 0 {
		h.window = min(2*h.window, h.maxWindow())
	}
	wait := max(requestInterval, r.RetryAfter)
	h.next = asked.Add(wait - time.Duration(retryJitter*u*float64(wait)))
	return changed
}

// maxWindow is the demand that the whole limit allows within the life of a permit.
func (h *Holder) maxWindow() int {
	return 1 + int(h.statement.Limit.PerSecond*Lifetime.Seconds())
}

// current returns the batches that still have permits.
func (h *Holder) current(now time.Time) []batch {
	var bs []batch
	for _, b := range h.batches {
		if b.permits > 0 && now.Before(b.expires) {
			bs = append(bs, b)
		}
	}
	return bs
}

// Failed records that a request has reached no allocator.
func (h *Holder) Failed(now time.Time) {
	h.pending, h.unreported = false, true
	h.next = now.Add(requestInterval)
}
