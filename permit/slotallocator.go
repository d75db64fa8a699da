package permit

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines the allocator of slots. What it counts for a daemon between two
// requests can only become less: requests end, and slots that are not filled are lost.
// The sum over all daemons is therefore bounded by what was granted, whatever they do.

const (
	// slotTakeoverDelay is the time in which the daemons have asked a new allocator, so
	// that it knows what an earlier one has granted. Until then it grants half.
	slotTakeoverDelay = 400 * time.Millisecond
	// maxSlotHold is how long a daemon keeps its slots while others have none.
	maxSlotHold = 500 * time.Millisecond
	// maxSlotRequestRate bounds the requests per second of all daemons for the slots of
	// one endpoint.
	maxSlotRequestRate = 400
	// queuedFactor and rejectedFactor reduce the slots in use when requests wait at the
	// endpoint, or are turned away, at most once in reduceInterval: memory, for
	// example, may be short before all slots are filled. regainedPerSecond is the
	// fraction of all slots by which they grow again.
	queuedFactor      = 0.9
	rejectedFactor    = 0.7
	reduceInterval    = 300 * time.Millisecond
	regainedPerSecond = 0.05
)

// slotShares are the fractions of the slots that the first daemons of the order grant. The
// second one serves daemons that cannot reach the first.
var slotShares = []float64{0.95, 0.15}

// SlotAllocator grants slots. It is not safe for concurrent use.
type SlotAllocator struct {
	pools *simplelru.LRU[fescuelatch.EndpointProcess, *slotPool]
}

// slotPool holds the slots of one process of an endpoint.
type slotPool struct {
	opens  time.Time
	usable float64
	// regained and reduced are when the usable slots last grew and were reduced.
	regained, reduced time.Time
	holdings          map[fescuelatch.VMID]*slotHolding
}

// slotHolding is what one daemon has.
type slotHolding struct {
	// held was filled or fillable at its last request; granted may be filled until
	// expires.
	held, granted, want int
	asked, expires      time.Time
	// since is when it first had slots without a break.
	since time.Time
}

// NewSlotAllocator returns an allocator that has granted nothing.
func NewSlotAllocator() *SlotAllocator {
	// The size is a positive constant, which is all that is checked.
	pools, _ := simplelru.NewLRU[fescuelatch.EndpointProcess, *slotPool](maxBuckets, nil)
	return &SlotAllocator{pools}
}

// Allot answers a request for slots. position is that of this daemon in the order of the
// endpoint.
func (a *SlotAllocator) Allot(now time.Time, position int, q SlotRequest) SlotReply {
	limit := 0.0
	if position < len(slotShares) {
		limit = slotShares[position] * float64(q.Slots)
	}
	p, ok := a.pools.Get(q.Process)
	if !ok {
		p = &slotPool{opens: now.Add(slotTakeoverDelay), usable: limit, regained: now, holdings: make(map[fescuelatch.VMID]*slotHolding)}
		a.pools.Add(q.Process, p)
	}
	p.adjust(now, limit, q)
	h := p.holdings[q.From]
	if h == nil {
		h = new(slotHolding)
		p.holdings[q.From] = h
	}
	h.held, h.want, h.asked, h.granted = q.Held, q.Want, now, 0
	h.granted = p.grant(now, h)
	h.expires = now.Add(SlotLifetime)
	if h.outstanding(now) == 0 {
		h.since = time.Time{}
	} else if h.since.IsZero() {
		h.since = now
	}
	return SlotReply{
		Granted: h.granted, Contended: p.contended(now, h),
		RetryAfter: time.Duration(float64(len(p.holdings)) / maxSlotRequestRate * float64(time.Second)),
	}
}

// contended reports whether other daemons want slots and have none.
func (p *slotPool) contended(now time.Time, h *slotHolding) bool {
	for _, o := range p.holdings {
		if o != h && o.want > 0 && o.outstanding(now) == 0 {
			return true
		}
	}
	return false
}

// adjust adapts the usable slots to what the endpoint turned out to bear.
func (p *slotPool) adjust(now time.Time, limit float64, q SlotRequest) {
	p.usable = min(limit, p.usable+regainedPerSecond*float64(q.Slots)*now.Sub(p.regained).Seconds())
	p.regained = now
	if !q.Queued && !q.Rejected || now.Sub(p.reduced) < reduceInterval {
		return
	}
	factor := queuedFactor
	if q.Rejected {
		factor = rejectedFactor
	}
	used := 0
	for _, h := range p.holdings {
		used += h.outstanding(now)
	}
	p.usable, p.reduced = max(1, min(p.usable, float64(used))*factor), now
}

// outstanding returns the most slots that the daemon may have filled.
func (h *slotHolding) outstanding(now time.Time) int {
	if now.Before(h.expires) {
		return max(h.held, h.granted)
	}
	return h.held
}

// grant returns the slots for a daemon: what it wants, but no more than its fair part while
// the slots do not suffice for all. While there are fewer slots than daemons, they take
// turns.
func (p *slotPool) grant(now time.Time, h *slotHolding) int {
	usable := int(p.usable)
	if now.Before(p.opens) {
		usable = (usable + 1) / 2
	}
	others, wanted, daemons, without := 0, 0, 0, 0
	for vm, o := range p.holdings {
		if now.Sub(o.asked) > holderTimeout {
			delete(p.holdings, vm)
			continue
		}
		n := o.outstanding(now)
		if o != h {
			others += n
		}
		if o.want > 0 {
			daemons++
			wanted += o.want
			if n == 0 {
				without++
			}
		}
	}
	want := h.want
	if h.want > 0 && wanted < usable {
		// Spare slots save requests for slots when more callers come.
		want += (usable - wanted) / daemons
	}
	if wanted > usable && daemons > 0 {
		want = min(want, max(1, (usable+daemons-1)/daemons))
	}
	if usable < daemons && without > 0 && !h.since.IsZero() && now.Sub(h.since) >= maxSlotHold {
		want = 0
	}
	return max(0, min(want, usable-others))
}
