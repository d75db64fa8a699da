package gate

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines what a gate knows of one endpoint.

// startGap is the mean time between starts at an endpoint that is cold or
// ramps up; it varies by half of it with the attempt.
const startGap = 100 * time.Millisecond

// attempt is a started attempt.
type attempt struct {
	id      fescuelatch.AttemptID
	request *fescuelatch.Request
	version fescuelatch.VersionID
	place   *place
	started time.Time
	first   bool // the first token was seen
	struck  bool // counted as slow while waiting for the first token
}

// place is one endpoint. It stays after ownership ends until its attempts
// have ended.
type place struct {
	owned    fescuelatch.OwnedEndpoint
	held     bool
	settings Settings
	warmth   warmth
	limit    limit
	running  []*attempt
	// ended holds when recent attempts ended, as they may still be in
	// reports.
	ended []time.Time
	// others is the number of attempts there that are not this daemon's.
	others int
	// counted reports that others is known since the present owner's wait.
	counted bool
	// share is in use. A larger target, set at changed, waits for a report.
	share, target float64
	changed       time.Time
	resumed       time.Time // after a pause of this process
	// broken is when an attempt last broke, while nothing has shown that the
	// endpoint has not been restarted.
	broken time.Time
	slots  int // that the endpoint reports, or zero
	// next is the earliest time of a further start while starts are spaced
	// out, and eased that of any after the endpoint refused work.
	next, eased time.Time
}

// own takes in that the daemon owns o.
func (p *place) own(now time.Time, o fescuelatch.OwnedEndpoint) {
	if !p.held {
		p.held, p.counted = true, false
		p.warmth.begin(now)
		p.limit.value = float64(o.Pool.Slots)
		p.share = o.Share
	}
	if p.owned.Out && !o.Out {
		p.warmth.since = now // it returns, so it ramps up again
	}
	if o.Share != p.target {
		p.target, p.changed = o.Share, now
	}
	p.share = min(p.share, p.target)
	p.owned = o
	p.grow(now)
}

// grow puts a larger share to use once a report has shown what others sent
// before.
func (p *place) grow(now time.Time) {
	if p.informed(now, p.changed) {
		p.share = p.target
	}
}

// informed reports whether a load report has come since t. An endpoint that
// gives none for long is served without, at its cold slots; the time of a
// pause of this process does not count.
func (p *place) informed(now, t time.Time) bool {
	return !p.warmth.reported.Before(t) || now.Sub(later(t, p.resumed)) > p.settings.ReportTimeout
}

// refresh brings what depends on reports up to now.
func (p *place) refresh(now time.Time) {
	p.warmth.lapse(now, p.settings.ReportTimeout)
	p.grow(now)
}

// suspect looks for attempts that are slow to give their first token.
func (p *place) suspect(now time.Time) {
	for _, a := range p.running {
		if !a.first && !a.struck && p.warmth.slow(now.Sub(a.started), a.request.Streamed) {
			a.struck = true
			p.warmth.strike(now)
		}
	}
}

// open reports whether new work may be sent at all. A new owner waits for a
// report that shows what a former owner sent.
func (p *place) open(now time.Time) bool {
	if !p.held || p.owned.Out || p.warmth.leaving() || now.Before(p.owned.After) {
		return false
	}
	return p.informed(now, p.owned.After)
}

// bound returns the number of attempts that may run at the endpoint now.
func (p *place) bound(now time.Time) int {
	if !p.open(now) {
		return 0
	}
	cold := int(math.Floor(p.share * float64(p.owned.Pool.ColdSlots)))
	if !p.warmth.warm() {
		return cold
	}
	warm := min(int(p.limit.value), p.ramp(now), p.ceiling())
	if p.doubted() {
		return min(warm, cold)
	}
	return warm
}

// doubted reports whether an attempt broke lately, so that the endpoint may
// have been restarted. That lasts until a report comes that would show it, or
// an attempt from before shows that it goes on.
func (p *place) doubted() bool {
	return !p.broken.IsZero() && p.warmth.reported.Before(p.broken.Add(p.settings.ReportLag))
}

// goesOn takes in a sign of life of a.
func (p *place) goesOn(a *attempt) {
	if a.started.Before(p.broken) {
		p.broken = time.Time{}
	}
}

// ceiling returns the slots of a warm endpoint.
func (p *place) ceiling() int {
	if p.slots > 0 {
		return min(p.slots, p.owned.Pool.Slots)
	}
	return p.owned.Pool.Slots
}

// floor is the least limit of a warm endpoint.
func (p *place) floor() int { return max(1, p.owned.Pool.ColdSlots) }

// ramp returns the bound that rises from the cold to the full number of
// slots after the endpoint became warm or came back.
func (p *place) ramp(now time.Time) int {
	cold, full := p.floor(), p.owned.Pool.Slots
	age := now.Sub(p.warmth.since)
	if age >= p.settings.RampFor || full <= cold {
		return full
	}
	return cold + int(float64(full-cold)*float64(age)/float64(p.settings.RampFor))
}

// ramping reports whether starts are spaced out.
func (p *place) ramping(now time.Time) bool {
	return !p.warmth.warm() || now.Sub(p.warmth.since) < p.settings.RampFor
}

// room returns the number of attempts that the endpoint bears besides those
// that it has.
func (p *place) room(now time.Time) int {
	if now.Before(p.eased) {
		return 0
	}
	return max(0, p.bound(now)-len(p.running)-p.others)
}

// free returns the number of attempts that may start now.
func (p *place) free(now time.Time) int {
	if now.Before(p.next) {
		return 0
	}
	if p.ramping(now) {
		return min(p.room(now), 1)
	}
	return p.room(now)
}

// pace estimates the starts a second that the place allows, when attempts
// take as long as expected.
func (p *place) pace(now time.Time, expected time.Duration) float64 {
	gap := max(expected/time.Duration(max(p.bound(now), 1)), time.Millisecond)
	return 1 / gap.Seconds()
}

// start records that w starts.
func (p *place) start(now time.Time, w fescuelatch.Work) *attempt {
	a := &attempt{id: w.Attempt, request: w.Request, version: w.Version, place: p, started: now}
	p.running = append(p.running, a)
	if p.ramping(now) {
		p.next = now.Add(jittered(w.Attempt))
	}
	return a
}

// jittered returns startGap, varied by half of it with the attempt.
func jittered(a fescuelatch.AttemptID) time.Duration {
	u := float64(xxhash.Sum64String(string(a))) / math.MaxUint64
	return time.Duration((0.5 + u) * float64(startGap))
}

// remove takes an ended attempt out.
func (p *place) remove(now time.Time, a *attempt) {
	for i, r := range p.running {
		if r == a {
			last := len(p.running) - 1
			p.running[i], p.running[last] = p.running[last], nil
			p.running = p.running[:last]
			break
		}
	}
	p.prune(now)
	p.ended = append(p.ended, now)
}

// prune forgets ended attempts that reports no longer show.
func (p *place) prune(now time.Time) {
	i := 0
	for i < len(p.ended) && now.Sub(p.ended[i]) > p.settings.ReportLag {
		i++
	}
	if i > 0 {
		p.ended = append(p.ended[:0], p.ended[i:]...)
	}
}

// end learns from the result of an attempt that was removed.
func (p *place) end(now time.Time, a *attempt, r fescuelatch.AttemptResult) {
	if !a.first && r.FirstToken > 0 {
		p.first(now, a, r.FirstToken)
	}
	switch {
	case r.Unsent:
	case r.Overloaded:
		p.limit.decrease(now, p.floor())
		p.eased = later(p.eased, now.Add(max(r.RetryAfter, jittered(a.id))))
	case r.Status == fescuelatch.AttemptAnswered:
		p.limit.increase(p.owned.Pool.Slots)
		p.goesOn(a)
		// Work that takes the place of what ended adds nothing to the load.
		p.next = now
	case r.Status == fescuelatch.AttemptExpired:
		p.expired(now, a)
	case r.Status == fescuelatch.AttemptNotStarted, r.Status == fescuelatch.AttemptBroken:
		p.limit.decrease(now, p.floor())
		p.warmth.fail(now)
		p.broken = now
	}
}

// expired takes in that the caller's deadline cut a. That tells of the
// endpoint only if the first token was owed for long.
func (p *place) expired(now time.Time, a *attempt) {
	if a.first || !p.warmth.owes(now.Sub(a.started), a.request.Streamed) {
		return
	}
	p.limit.decrease(now, p.floor())
	if !a.struck {
		p.warmth.strike(now)
	}
}

// first takes in the latency to the first token of a.
func (p *place) first(now time.Time, a *attempt, d time.Duration) {
	a.first = true
	p.goesOn(a)
	if a.struck {
		p.limit.decrease(now, p.floor())
	} else if p.warmth.first(now, d, a.request.Streamed) {
		p.limit.decrease(now, p.floor())
	}
}

// report takes in a load report.
func (p *place) report(now time.Time, r fescuelatch.LoadReport) {
	if !p.warmth.report(now, r, p.settings.ReportLag) {
		return
	}
	p.slots = r.Slots
	p.prune(now)
	p.count(now, r.Running+r.Waiting)
	p.grow(now)
}

// count finds how many attempts of a report are others'. While another
// daemon may send work, or what a former owner sent is not known to have
// ended, only own attempts that the report must show are taken off; that may
// count own attempts twice, never too few. For an exclusive owner others can
// only become fewer, and own attempts that may still be shown are taken off.
func (p *place) count(now time.Time, reported int) {
	visible := 0
	for _, a := range p.running {
		if now.Sub(a.started) >= p.settings.ReportLag {
			visible++
		}
	}
	atMost := max(0, reported-visible)
	atLeast := max(0, reported-len(p.running)-len(p.ended))
	exclusive := p.target == 1 && p.share == 1
	switch {
	case !exclusive || !p.counted:
		p.others = atMost
	default:
		p.others = max(atLeast, min(p.others, atMost))
	}
	p.counted = exclusive && !now.Before(p.owned.After)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
