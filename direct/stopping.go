package direct

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/chart"
)

// This file defines the planned stop of a daemon. The load balancer and callers with open
// connections go on to send requests for a while. Those that cannot end in the time left are
// refused as not run: another daemon serves them.

const (
	// drainTime is how long a stopping daemon continues to accept requests: until the
	// balancer's check has failed twice and answers have announced the close of
	// their connections.
	drainTime = 2500 * time.Millisecond
	// maxStopMargin is the part of the stop grace reserved for process exit, and
	// stopMarginShare bounds it if the grace is short.
	maxStopMargin   = 700 * time.Millisecond
	stopMarginShare = 0.125
	// abortTime is how long requests that have not ended in time may take to be answered as
	// failed.
	abortTime = 100 * time.Millisecond
)

// errStopping means that a request has not ended before the daemon must.
var errStopping = errors.New("the daemon stops")

// stopGracefully ends the service for callers without losing a request.
func (d *Daemon) stopGracefully(shutdown func(context.Context)) {
	began := time.Now()
	d.mu.Lock()
	grace := d.bounds.StopGrace
	d.mu.Unlock()
	d.log.Info("stopping", "grace", grace.String())
	d.life.FireIfPossible(chart.EventDrain)
	margin := min(maxStopMargin, time.Duration(stopMarginShare*float64(grace)))
	end := began.Add(grace - margin)
	d.stopDeadline.Store(&end)
	d.stopping.Store(true)
	d.closing.Begin()
	time.Sleep(min(drainTime, grace/2))
	d.drained.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	shutdown(ctx)
	d.removeRecord(min(removeTimeout, margin/2))
	d.life.FireIfPossible(chart.EventDrained)
	d.log.Info("stopped", "took", time.Since(began).String())
}

// endsInTime reports whether a request that would have a given time can end before the daemon
// does. One that may not be repeated must be sure to; others may be expected to, while the
// balancer still sends callers here.
func (d *Daemon) endsInTime(now time.Time, route *fescuelatch.Route, timeout time.Duration) bool {
	end := d.stopDeadline.Load()
	if end == nil {
		return true
	}
	needed := timeout
	if route.Kind.Repeatable() && !d.drained.Load() {
		if expected, ok := d.durations.expected(route.ID); ok {
			needed = min(needed, expected)
		}
	}
	return !now.Add(needed).After(*end)
}

// abortRequests ends all requests that are still open.
func (d *Daemon) abortRequests() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.requests {
		s.cancel(errStopping)
	}
}

const (
	// keptDurations is the number of durations that are kept of each route. All but
	// longDurations of them are exceeded by an expected one, which leaves durationMargin
	// besides.
	keptDurations  = 32
	longDurations  = 2
	durationMargin = 150 * time.Millisecond
	// maxDurations bounds the routes whose durations are known.
	maxDurations = 4096
)

// durations holds how long the last answered requests of routes have taken. It is safe for
// concurrent use.
type durations struct {
	mu     sync.Mutex
	routes *simplelru.LRU[fescuelatch.RouteID, *lastDurations]
}

// lastDurations holds the last durations of a route.
type lastDurations struct {
	last [keptDurations]time.Duration
	n    int // that were observed
}

func newDurations() *durations {
	// The size is a positive constant, which is all that is checked.
	l, _ := simplelru.NewLRU[fescuelatch.RouteID, *lastDurations](maxDurations, nil)
	return &durations{routes: l}
}

// observe records the duration of an answered request.
func (d *durations) observe(route fescuelatch.RouteID, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.routes.Get(route)
	if !ok {
		l = new(lastDurations)
		d.routes.Add(route, l)
	}
	l.last[l.n%keptDurations] = took
	l.n++
}

// expected returns how long a request may be expected to take, or false if that is not known.
func (d *durations) expected(route fescuelatch.RouteID) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.routes.Peek(route)
	if !ok {
		return 0, false
	}
	known := slices.Sorted(slices.Values(l.last[:min(l.n, keptDurations)]))
	longest := known[max(len(known)-1-longDurations*len(known)/keptDurations, 0)]
	return longest + durationMargin, true
}
