// Package permit shares the rate limit of an endpoint among the daemons that send to
// it. For each limited endpoint one daemon, which all of them find by the same order,
// is the allocator: it hands out permits for single requests to the others, at the
// endpoint's rate and to those that have requests for it. A permit that is not used
// soon is lost, so that the endpoint's load in any few seconds is bounded by what was
// handed out shortly before. The package performs no I/O and reads no clock.
package permit

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines the allocator of permits.

const (
	// Lifetime is how long a permit may be used after it was requested.
	Lifetime = 800 * time.Millisecond
	// takeoverDelay is how long a new allocator waits until the permits of an
	// earlier one have been used or lost.
	takeoverDelay = time.Second
	// burstTime is the time over which unused permits accumulate at the allocator.
	burstTime = 250 * time.Millisecond
	// minRate, in permits per second, applies to endpoints that accept less: only
	// their answers tell that a limit has ended.
	minRate = 0.1
	// maxBuckets bounds the processes of endpoints that are tracked.
	maxBuckets = 4096
	// holderTimeout is the time after its last request for which a daemon counts
	// as a holder.
	holderTimeout = 5 * time.Second
	// maxRequestRate bounds the requests per second of all daemons for the permits
	// of one endpoint.
	maxRequestRate = 50
)

// shares are the fractions of a limit that the first daemons of the order hand out.
// The second one serves daemons that cannot reach the first; together they stay
// within the limit's tolerance.
var shares = []float64{0.9, 0.2}

// Allocator hands out permits. It is not safe for concurrent use.
type Allocator struct {
	buckets *simplelru.LRU[fescuelatch.EndpointProcess, *bucket]
}

// bucket holds the permits of one process of an endpoint.
type bucket struct {
	statement fescuelatch.LimitStatement
	permits   float64
	refilled  time.Time
	// opens is the time of the first permit.
	opens   time.Time
	holders map[fescuelatch.VMID]time.Time // time of each daemon's last request
}

// NewAllocator returns an allocator that has handed out nothing.
func NewAllocator() *Allocator {
	// The size is a positive constant, which is all that is checked.
	buckets, _ := simplelru.NewLRU[fescuelatch.EndpointProcess, *bucket](maxBuckets, nil)
	return &Allocator{buckets}
}

// Allot answers a request for permits. position is that of this daemon in the order of
// the endpoint.
func (a *Allocator) Allot(now time.Time, position int, q Request) Reply {
	b, ok := a.buckets.Get(q.Process)
	if !ok {
		b = &bucket{refilled: now, opens: now.Add(takeoverDelay), holders: make(map[fescuelatch.VMID]time.Time)}
		a.buckets.Add(q.Process, b)
	}
	if s := q.statement(now); newer(s, b.statement) {
		b.statement = s
	}
	reply := newReply(now, b.statement)
	if !b.statement.Limit.Limited {
		b.permits, b.refilled = 0, now
		return reply
	}
	rate := permitRate(b.statement.Limit, position)
	b.refill(now, rate)
	if q.Want == 0 {
		return reply
	}
	b.holders[q.From] = now
	n := b.countHolders(now)
	if !now.Before(b.opens) {
		reply.Permits = b.take(q.Want, n)
	}
	if reply.Permits < q.Want {
		reply.RetryAfter = max(interval(n), b.untilNext(now, rate))
	}
	return reply
}

// permitRate returns the permits per second that the daemon at a position hands out.
func permitRate(l fescuelatch.RateLimit, position int) float64 {
	if position >= len(shares) {
		return 0
	}
	return max(l.PerSecond, minRate) * shares[position]
}

// interval returns the time between two requests of each of n daemons.
func interval(n int) time.Duration {
	return time.Duration(float64(n) / maxRequestRate * float64(time.Second))
}

func (b *bucket) refill(now time.Time, rate float64) {
	most := 1 + rate*burstTime.Seconds()
	b.permits = min(most, b.permits+rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
}

// take removes up to want permits, but leaves some for the other holders.
func (b *bucket) take(want, holders int) int {
	fair := math.Ceil(2 * b.permits / float64(holders))
	n := min(want, int(min(fair, b.permits)))
	b.permits -= float64(n)
	return n
}

// untilNext returns the time until there is a permit.
func (b *bucket) untilNext(now time.Time, rate float64) time.Duration {
	wait := max(0, b.opens.Sub(now))
	if rate <= 0 {
		return max(wait, minPollInterval)
	}
	if b.permits < 1 {
		wait = max(wait, time.Duration((1-b.permits)/rate*float64(time.Second)))
	}
	return wait
}

// countHolders returns the number of daemons that have requested permits recently.
func (b *bucket) countHolders(now time.Time) int {
	for vm, at := range b.holders {
		if now.Sub(at) > holderTimeout+interval(len(b.holders)) {
			delete(b.holders, vm)
		}
	}
	return max(len(b.holders), 1)
}

// newer reports whether a statement replaces another one. Of two at the same time the
// one with a limit is kept.
func newer(s, than fescuelatch.LimitStatement) bool {
	return s.At.After(than.At) || s.At.Equal(than.At) && s.Limit.Limited
}
