package shared

import (
	"time"

	"fescuelatch"
	"fescuelatch/admission"
)

// This file defines how the gate admits work to contended versions. Package admission decides
// in which order it waits and which of it is refused; the gate tells it what room there is.

// minKnownTotal is the shortest mean time of requests at which the reports of endpoints tell of
// their load later on. What takes less time has mostly ended when other daemons hear of it.
const minKnownTotal = 100 * time.Millisecond

// ordered reports whether work for v waits in the order of package admission: the settings say
// that demand may exceed capacity, and requests last long enough for a daemon to know what room
// there is.
func (g *Gate) ordered(v fescuelatch.VersionID) bool {
	return g.settings.Contended && g.latencyOf(v).meanTotal() >= minKnownTotal
}

// fillOf returns the number of requests per slot up to which an endpoint may get w.
func (g *Gate) fillOf(now time.Time, w fescuelatch.Work) float64 {
	if !g.ordered(w.Version) {
		return overbooking
	}
	return g.contention.Fill(now, w)
}

// observeFull records that e has turned work away, so that its own queue is full as well.
func (g *Gate) observeFull(now time.Time, e *endpointLoad) {
	e.others = max(e.others, overbooking*float64(e.slots())-float64(len(e.running)))
	e.reported = now
	g.recordTypical(now, e)
}

// offerContended starts w if nothing goes before it, and lets it wait or refuses it otherwise.
func (g *Gate) offerContended(now time.Time, w fescuelatch.Work) fescuelatch.Admission {
	g.contention.See(now, w)
	mayStart := g.contention.MayStart(now, w)
	if mayStart || g.TracksLimits() {
		// Work that may not start yet counts as demand for permits as well.
		if e := g.chooseContended(now, w); e != nil && mayStart {
			g.contention.Started(now, w)
			return g.start(now, e, w)
		}
	} else {
		g.trace.consult(now, g, w)
	}
	if g.fitsNowhere(w) {
		// Its caller gains nothing by coming back within its time.
		return refuseFor(w, fescuelatch.RefusalTooLarge, max(w.Request.Deadline.Sub(now), g.retryAfter(now, w)))
	}
	if !g.canServe(now.Add(g.maxWait(w)), w) {
		return refuseFor(w, fescuelatch.RefusalNoEndpoint, g.retryAfter(now, w))
	}
	if r, ok := g.contention.Offer(now, w, g.roomOf(now, w.Version)); !ok {
		return refuseFor(w, r.Cause, r.RetryAfter)
	}
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionQueue}
}

// chooseContended chooses an endpoint for w, and counts a lack of permits.
func (g *Gate) chooseContended(now time.Time, w fescuelatch.Work) *endpointLoad {
	e, lacking := g.choose(now, w)
	if lacking != nil {
		lacking.missPermit(now)
		g.missSecondSlot(now, w, lacking)
	}
	return e
}

// drainContended starts waiting work for contended versions while there are places for it.
func (g *Gate) drainContended(now time.Time, as []fescuelatch.Admission) []fescuelatch.Admission {
	g.contention.Drain(now, func(w fescuelatch.Work) (started, fits bool) {
		e, _ := g.choose(now, w)
		if e != nil {
			as = append(as, g.start(now, e, w))
		}
		return e != nil, !g.unfit
	})
	return as
}

// refuseOverdue refuses the work for contended versions that waits in vain.
func (g *Gate) refuseOverdue(now time.Time, as []fescuelatch.Admission) []fescuelatch.Admission {
	room := func(v fescuelatch.VersionID) admission.Room { return g.roomOf(now, v) }
	for _, r := range g.contention.Overdue(now, room) {
		as = append(as, refuseFor(r.Work, r.Cause, r.RetryAfter))
	}
	return as
}

// roomOf returns the room that the endpoints of a version give. If this daemon reaches none of
// them, the fault may be its own, and it tries all.
func (g *Gate) roomOf(now time.Time, v fescuelatch.VersionID) admission.Room {
	latency := g.latencyOf(v)
	r := admission.Room{Daemons: g.members, First: latency.meanFirst(), Total: latency.meanTotal(), OpensIn: maxPause}
	slots := 0
	for _, e := range g.serving[v] {
		if e.out() || e.isMisplaced(now) {
			continue
		}
		slots += e.slots()
		r.OpensIn = min(r.OpensIn, max(0, e.hint.paused.Sub(now), e.permitWait(now)))
		if !g.unreachable(e) && !now.Before(e.ejectedUntil) {
			r.Slots += e.slots()
		}
	}
	if r.Slots == 0 {
		r.Slots = slots
	}
	return r
}

func refuseFor(w fescuelatch.Work, cause fescuelatch.RefusalCause, after time.Duration) fescuelatch.Admission {
	a := refuse(w, after)
	a.Cause = cause
	return a
}

// Shortage describes why a request for a contended version was refused.
func (g *Gate) Shortage(now time.Time, r *fescuelatch.Request) admission.Shortage {
	var worst admission.Shortage
	for _, m := range r.Ladder {
		for v := range g.serving {
			if v.Model() != m {
				continue
			}
			if s := g.contention.Shortage(now, r, v, g.roomOf(now, v)); s.Turn >= worst.Turn {
				worst = s
			}
		}
	}
	return worst
}

// Waiting returns the number of attempts that wait for an endpoint.
func (g *Gate) Waiting() int { return len(g.waiting.waiters) + g.contention.Len() }
