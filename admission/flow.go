package admission

import (
	"time"

	"fescuelatch"
)

// This file defines the estimate of the rate at which a daemon finds places for the work of
// a version.

// Room is what a daemon knows of the endpoints of a version.
type Room struct {
	// Slots are those of all endpoints that may get work, and Daemons the number of
	// daemons that share them.
	Slots   int
	Daemons int
	// First and Total are the mean times to the first output and to the end.
	First, Total time.Duration
	// OpensIn is the time until the first endpoint may take work: all may be paused.
	OpensIn time.Duration
}

// equalShare returns the rate at which a daemon finds places if all find the same number.
func (r Room) equalShare() float64 {
	return float64(r.Slots) / (max(r.Total, time.Millisecond).Seconds() * float64(max(r.Daemons, 1)))
}

// flow is the observed flow of the work of a version.
type flow struct {
	waiting int
	// short is the time in which work waited, in seconds, found the places found in it,
	// and slots the sum of short times the slots then.
	short, found, slots faded
	updated             time.Time
	lastSlots           int
	// starts are the starts by rank, within and over the share of their account, and
	// seen when work of a rank last arrived. seenOver is when work of an account that is over
	// its share by the work at all daemons did.
	starts   [ranks][2]faded
	seen     [ranks]time.Time
	seenOver time.Time
	// longest is the longest time that callers of a route give lately, and refused when
	// work was last refused.
	longest  map[fescuelatch.RouteID]time.Duration
	refused  time.Time
	promises promises
}

func newFlow(now time.Time) *flow {
	return &flow{updated: now, longest: make(map[fescuelatch.RouteID]time.Duration)}
}

func rankOf(r *fescuelatch.Request) int { return min(max(r.Rank, 0), ranks-1) }

// advance counts the time since the last event if work was waiting.
func (f *flow) advance(now time.Time) {
	if dt := now.Sub(f.updated).Seconds(); dt > 0 && f.waiting > 0 {
		f.short.add(now, evidenceTime, dt)
		f.slots.add(now, evidenceTime, dt*float64(f.lastSlots))
	}
	f.updated = now
}

// started counts a start of work.
func (f *flow) started(now time.Time, rank, level int) {
	f.advance(now)
	if f.waiting > 0 {
		f.found.add(now, evidenceTime, 1)
	}
	f.starts[rank][min(level, 1)].add(now, startTime, 1)
}

// certain reports whether enough has been observed to foresee turns.
func (f *flow) certain(now time.Time) bool {
	return f.short.value(now, evidenceTime) >= minEvidence.Seconds()
}

// rate returns the places that the daemon finds in a second for work of any rank. What was
// observed with other endpoints counts in proportion to the slots.
func (f *flow) rate(now time.Time, room Room) float64 {
	short := f.short.value(now, evidenceTime)
	found := f.found.value(now, evidenceTime)
	if slots := f.slots.value(now, evidenceTime); slots > 0 {
		found *= min(float64(room.Slots)*short/slots, 2)
	}
	prior := minEvidence.Seconds()
	return (found + prior*room.equalShare()) / (short + prior)
}

// rateFor returns the places that are left for work of a rank by more urgent work and, if
// its account is over its share, by other accounts.
func (f *flow) rateFor(now time.Time, room Room, rank, level int) float64 {
	rate := f.rate(now, room)
	for r := range rank {
		rate -= f.startRate(now, r, 0) + f.startRate(now, r, 1)
	}
	if level > 0 {
		rate -= f.startRate(now, rank, 0)
	}
	return max(rate, minRate)
}

func (f *flow) startRate(now time.Time, rank, level int) float64 {
	return f.starts[rank][level].value(now, startTime) / startTime.Seconds()
}

// observeGiven records the time that a caller gives to its request.
func (f *flow) observeGiven(r *fescuelatch.Request) {
	if r.Deadline.IsZero() {
		return
	}
	given, longest := r.Deadline.Sub(r.Arrived), f.longest[r.Route]
	if given < longest {
		given = longest - (longest-given)/longestWeight
	}
	f.longest[r.Route] = given
}

// elapsed estimates how long ago the caller of a request first asked: callers that return
// after a refusal have less time left than others. Without refusals nobody returns.
func (f *flow) elapsed(now time.Time, r *fescuelatch.Request) time.Duration {
	longest := f.longest[r.Route]
	if r.Deadline.IsZero() || f.refused.IsZero() || now.Sub(f.refused) > longest {
		return 0
	}
	return max(0, longest-r.Deadline.Sub(r.Arrived))
}

// longestWeight is the number of callers with less time after which the longest time has
// come much closer to theirs.
const longestWeight = 64

// present returns the position of a rank among those seen lately, and their number. Accounts
// over their share by the work at all daemons count as the last rank.
func (f *flow) present(now time.Time, rank int) (position, n int) {
	for r, at := range f.seen {
		if at.IsZero() || now.Sub(at) > rankTime {
			continue
		}
		n++
		if r < rank {
			position++
		}
	}
	n = max(n, position+1)
	if !f.seenOver.IsZero() && now.Sub(f.seenOver) <= rankTime {
		n++
	}
	return position, n
}

// scarcity is the time after the last refusal for which room counts as scarce.
const scarcity = time.Second

// scarce reports whether work waits, or was refused lately.
func (f *flow) scarce(now time.Time) bool { return f.waiting > 0 || now.Sub(f.refused) < scarcity }
