package shared

import (
	"math"
	"time"

	"fescuelatch"
)

// This file defines what the gate knows of one endpoint.

// place is one process at an endpoint.
type place struct {
	owned   fescuelatch.OwnedEndpoint
	running map[fescuelatch.AttemptID]*attempt
	cache   cache
	advice  advice

	// others is the load that other daemons caused at reported.
	others   float64
	reported time.Time

	// turn is when this daemon may next start at the endpoint while it is
	// cold.
	turn time.Time

	// failing is the weighted share of failures among the last attempts.
	failing float64
	// slow is the weighted ratio of the time to the first output to the
	// expected one.
	slow    float64
	ejected time.Time
	// ejections counts those in a row; trial is the one attempt that tells
	// whether the endpoint is left alone again.
	ejections int
	trial     fescuelatch.AttemptID
	// unreachable reports that the endpoint gets no work until it has taken a
	// connection; probe is when that is tried next.
	unreachable bool
	probe       time.Time
	// misplaced is until when the endpoint gets no work, unless it registers
	// anew, since another one has answered at its address.
	misplaced time.Time
	// lastHeard is when an attempt last began or ended its output.
	lastHeard time.Time
}

func newPlace(now time.Time, o fescuelatch.OwnedEndpoint, before *place) *place {
	p := &place{
		owned: o, running: make(map[fescuelatch.AttemptID]*attempt), cache: newCache(o.CacheTokens), lastHeard: now, slow: 1,
	}
	if before != nil && before.owned.Endpoint.Address == o.Endpoint.Address {
		// Attempts at the earlier process end by themselves.
		p.running = before.running
	}
	return p
}

func (p *place) update(now time.Time, o fescuelatch.OwnedEndpoint, phase time.Duration) {
	if o.ColdUntil.After(now) && !p.owned.ColdUntil.After(now) {
		p.turn = now.Add(phase)
	}
	if p.turn.IsZero() {
		p.turn = now.Add(phase)
	}
	p.owned = o
}

func (p *place) slots() int { return max(p.owned.Pool.Slots, 1) }

// busy estimates the attempts at the endpoint, those of other daemons
// included.
func (p *place) busy(now time.Time) int {
	return len(p.running) + int(math.Round(p.foreign(now)))
}

// foreign estimates the load of other daemons, which is trusted less the
// older it is.
func (p *place) foreign(now time.Time) float64 {
	if p.others == 0 {
		return 0
	}
	return p.others * math.Exp2(-float64(now.Sub(p.reported))/float64(reportHalfLife))
}

func (p *place) report(now time.Time, r fescuelatch.LoadReport) {
	p.others = max(0, float64(r.Running+r.Waiting-len(p.running)))
	p.reported = now
}

// cold reports whether the endpoint is in a cold start that bounds its load.
func (p *place) cold(now time.Time) bool {
	return p.owned.ColdRate > 0 && now.Before(p.owned.ColdUntil)
}

// open reports whether the endpoint may get new work at all. A turn at a cold
// endpoint expires when it is not used in time, or else many daemons would use
// theirs at once.
func (p *place) open(now time.Time) bool {
	if p.out() || p.paused(now) || p.away(now) || now.Before(p.ejected) || p.trial != "" {
		return false
	}
	return !p.cold(now) || (!now.Before(p.turn) && now.Before(p.turn.Add(coldWindow)))
}

// advance passes over turns that have lapsed.
func (p *place) advance(now time.Time, gap time.Duration) {
	if !p.cold(now) || gap <= 0 || now.Before(p.turn.Add(coldWindow)) {
		return
	}
	missed := now.Sub(p.turn)/gap + 1
	p.turn = p.turn.Add(missed * gap)
	if gap <= coldWindow {
		p.turn = now
	}
}

func (p *place) start(now time.Time, a *attempt, gap time.Duration) {
	p.running[a.work.Attempt] = a
	if p.cold(now) {
		p.turn = now.Add(gap)
	}
	if p.ejections > 0 {
		p.trial = a.work.Attempt
	}
}

func (p *place) heard(now time.Time) { p.lastHeard = now }

// observeFirst compares the time to the first output with the expected one.
func (p *place) observeFirst(now time.Time, took, expected time.Duration) {
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	p.slow += failureMemory * (min(ratio, 2*slowLimit) - p.slow)
	p.recover(now)
}

func (p *place) end(now time.Time, a *attempt, r fescuelatch.AttemptResult, s Settings) {
	delete(p.running, a.work.Attempt)
	tried := p.trial == a.work.Attempt
	silence := a.first.IsZero() && p.lastHeard.Before(a.started) && now.Sub(a.started) > silentLeast
	if tried {
		p.trial = ""
	}
	switch r.Status {
	case fescuelatch.AttemptAnswered:
		p.heard(now)
		p.failing -= failureMemory * p.failing
		p.ejections = 0
	case fescuelatch.AttemptNotStarted:
		if r.Unsent && !r.Unreachable {
			return // The attempt tells nothing of the endpoint.
		}
		if r.Misplaced {
			p.misplaced = now.Add(misplacedTime)
			return
		}
		if r.Unreachable {
			p.lose(now)
			return
		}
		if r.Overloaded {
			p.others = max(p.others, float64(p.slots()))
			p.reported = now
			return
		}
		p.failure(now, 1, tried, s)
	case fescuelatch.AttemptCancelled, fescuelatch.AttemptExpired:
		if silence {
			p.failure(now, 1, tried, s)
		}
	case fescuelatch.AttemptBroken:
		if r.Unreachable {
			p.lose(now)
			return
		}
		p.failure(now, 1, tried, s)
	case fescuelatch.AttemptFailed:
		p.heard(now)
		p.failure(now, 0, tried, s)
	}
}

// failure counts a failed attempt. An endpoint that cannot be reached or
// breaks off says more than one that answers with a failure, which may be due
// to the request; weight adds to the latter's.
func (p *place) failure(now time.Time, weight float64, tried bool, s Settings) {
	p.failing += failureMemory * (1 + weight) * (1 - p.failing)
	if p.failing >= failureLimit || tried {
		p.rest(now, s)
	}
}

// misplacedTime is twice the usual greatest age of what is believed of
// endpoints.
const misplacedTime = 2 * time.Second

// moved reports whether the endpoint is not at its address.
func (p *place) moved(now time.Time) bool { return now.Before(p.misplaced) }

// away reports whether the endpoint cannot be reached, as far as is known.
func (p *place) away(now time.Time) bool { return p.unreachable || p.moved(now) }

// lose leaves the endpoint alone until it takes a connection.
func (p *place) lose(now time.Time) {
	p.unreachable = true
	p.probe = now.Add(probeInterval)
}

// rest leaves the endpoint alone for a while.
func (p *place) rest(now time.Time, s Settings) {
	rest := min(s.Eject<<min(p.ejections, maxDoublings), s.EjectMost)
	p.ejections++
	p.ejected = now.Add(rest)
}

// maxDoublings keeps the shift of a rest within its type.
const maxDoublings = 8

// recover ends the caution after an ejection once the endpoint answers.
func (p *place) recover(now time.Time) {
	if now.After(p.ejected) {
		p.ejections = 0
		p.trial = ""
	}
}

// fresh returns the prompt tokens of w that the endpoint has not cached, as
// far as this daemon knows.
func (p *place) fresh(w fescuelatch.Work) int {
	return max(0, w.Request.PromptTokens-p.cache.found(w.Version, w.Request.Parts))
}

func (p *place) cached(w fescuelatch.Work) { p.cache.add(w.Version, w.Request.Parts) }
