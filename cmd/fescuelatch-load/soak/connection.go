package soak

import (
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"
)

// This file checks that a daemon does not close a connection without an answer to a request
// that it has read.

// unreadTimeout is the time after the last byte of a request from which a connection that is
// closed counts as one whose request was read, not counting the time for which the daemon is
// paused.
const unreadTimeout = 200 * time.Millisecond

// killSlack is the time from a kill until the process no longer accepts requests.
const killSlack = time.Second

// writes holds the times at which a request was written whole. There are several if the
// client sent it once more on another connection.
type writes struct {
	mu    sync.Mutex
	times []time.Time
}

// trace returns a request whose whole writes are recorded.
func (w *writes) trace(r *http.Request) *http.Request {
	return r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.times = append(w.times, time.Now())
		}
	}}))
}

func (w *writes) all() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.times...)
}

// closedAt returns when the connections of a call were closed without an answer, at the
// latest, each with the time at which the request had been written to it.
func (c *call) closedAt() (written, closed []time.Time) {
	written = c.writes.all()
	for i := 1; i < len(written); i++ {
		closed = append(closed, written[i])
	}
	if c.status == 0 && c.err != nil && !c.gaveUp {
		closed = append(closed, c.sent.Add(c.elapsed))
	}
	return written[:min(len(written), len(closed))], closed
}

// checkConnections checks the connections of a call. Only the end of the process may close
// one after the request was read.
func (s *soak) checkConnections(c *call) {
	written, closed := c.closedAt()
	for i := range written {
		arrived, passedOn := s.executions.firstArrival(c.nonce)
		passedOn = passedOn && arrived.Before(closed[i])
		ran := closed[i].Sub(written[i]) - c.target.pausedBetween(written[i], closed[i])
		if c.target.killedBetween(c.sent.Add(-killSlack), closed[i]) || !passedOn && ran <= unreadTimeout {
			continue
		}
		s.addViolation("%s: the connection was closed %v after the whole request, without an answer; it had reached an endpoint: %v",
			c, closed[i].Sub(written[i]).Round(time.Millisecond), passedOn)
	}
}

// soonEnough is the time in which an answer ends before a timeout of its route.
const soonEnough = 2 * time.Second

// checkWhole checks that answers broke off only where an endpoint, its link or the end of the
// process is the cause.
func (s *soak) checkWhole() {
	for _, c := range s.calls {
		end := c.sent.Add(c.elapsed)
		if c.status != http.StatusOK || c.err == nil || c.gaveUp || c.elapsed >= soonEnough || s.keyAt(end) != c.key ||
			s.anyKilled(c.sent, end) || c.target.pausedBetween(c.sent, end) > 0 {
			continue
		}
		s.report.Checked["answers broken off"]++
		if s.executions.count(c.nonce) > 0 && !s.executions.hasBrokenOff(c.nonce) && s.endpointsCalm(c.sent, end) {
			s.addViolation("%s: the answer broke off, and no endpoint did", c)
		}
	}
}

// anyKilled reports whether a daemon was killed in a time. The target may have passed a call
// on to it.
func (s *soak) anyKilled(from, to time.Time) bool {
	return slices.ContainsFunc(s.daemons, func(d *daemon) bool { return d.killedBetween(from.Add(-killSlack), to) })
}

// ends holds the times at which the processes of an endpoint ended.
type ends struct {
	mu    sync.Mutex
	times []time.Time
}

func (e *ends) add(t time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.times = append(e.times, t)
}

// endsSlack is the time between the end of a process and its record.
const endsSlack = 50 * time.Millisecond

func (e *ends) between(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.times, func(t time.Time) bool { return t.After(from) && t.Before(to.Add(endsSlack)) })
}

// endpointsCalm reports whether in a time no process of an endpoint ended and no link to one
// was disturbed.
func (s *soak) endpointsCalm(from, to time.Time) bool {
	return !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.ends.between(from, to) || !e.link.CalmAt(to) })
}

// keyAt returns the number of the key that was active at a time.
func (s *soak) keyAt(t time.Time) int {
	key := 0
	for _, v := range s.versions {
		if v.sent.Before(t) {
			key = v.key
		}
	}
	return key
}
