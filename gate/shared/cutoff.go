package shared

import (
	"time"

	"fescuelatch"
)

// This file defines when a gate knows that it reaches no endpoint of a version. At first it tries
// all, as the fault may be that of single connections. Once a connection that probes each of them
// has failed as well, further requests would only wait for the same failure: they are refused at
// once. One at a time is a trial, since connections that are kept may work while new ones fail.

const (
	// cutOffTime is the time within which each unreachable endpoint has been probed: the
	// interval of the probes, and the time that a connection may take.
	cutOffTime = probeInterval + 250*time.Millisecond
	// trialTime is how long a trial without an answer keeps other ones back.
	trialTime = time.Second
	// usableShare is the share of the time they have left that refused callers wait.
	usableShare = 1.0 / 3
	// maxAwayTime bounds the time after which callers of a daemon that is cut off return.
	maxAwayTime = 6 * time.Second
)

// cutOff is the state of a version without an endpoint that can be reached, since a time.
type cutOff struct {
	since   time.Time
	trial   fescuelatch.AttemptID
	triedAt time.Time
}

// refreshCutOff updates which contended versions have endpoints, but none that can be reached.
func (g *Gate) refreshCutOff(now time.Time) {
	for v, endpoints := range g.serving {
		if !g.contended(v) || !g.allCutOff(now, endpoints) {
			delete(g.cutOffs, v)
			continue
		}
		if g.cutOffs[v] == nil {
			g.cutOffs[v] = &cutOff{since: now}
		}
	}
	for v := range g.cutOffs {
		if len(g.serving[v]) == 0 {
			delete(g.cutOffs, v)
		}
	}
}

// allCutOff reports whether there are endpoints that should get work, and none can be reached.
func (g *Gate) allCutOff(now time.Time, endpoints []*endpointLoad) bool {
	n := 0
	for _, e := range endpoints {
		if e.out() {
			continue
		}
		if n++; e.isMisplaced(now) || !g.unreachable(e) {
			return false
		}
	}
	return n > 0
}

// isCutOff reports whether it is known that this daemon reaches no endpoint for w, and another
// request tries one already. Requests that were tried before, or whose answer has begun, go on.
func (g *Gate) isCutOff(now time.Time, w fescuelatch.Work) bool {
	c := g.cutOffs[w.Version]
	if c == nil || now.Sub(c.since) < cutOffTime || w.Endpoint != "" || len(w.Avoid) > 0 {
		return false
	}
	return g.attempts[c.trial] != nil && now.Sub(c.triedAt) < trialTime && g.allCutOff(now, g.serving[w.Version])
}

// recordTrial records that w tries an endpoint of a version that may be cut off.
func (g *Gate) recordTrial(now time.Time, w fescuelatch.Work) {
	if c := g.cutOffs[w.Version]; c != nil {
		c.trial, c.triedAt = w.Attempt, now
	}
}

// refuseCutOff refuses w. Nothing is known of when endpoints can be reached again, so its caller
// returns late in the time that it may wait.
func (g *Gate) refuseCutOff(now time.Time, w fescuelatch.Work) fescuelatch.Admission {
	most := maxAwayTime
	if d := w.Request.Deadline; !d.IsZero() {
		most = min(most, time.Duration(usableShare*float64(d.Sub(now))))
	}
	after := time.Duration(float64(most) * (0.5 + 0.5*g.random.Float64()))
	return refuseFor(w, fescuelatch.RefusalNoEndpoint, max(after, minRetryAfter))
}
