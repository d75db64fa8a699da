package permit

import "time"

// This file defines the slots that a daemon has at one endpoint.

const (
	// slotInterval is the time between two requests for slots that suffice, and
	// urgentSlotInterval while they do not.
	slotInterval       = 250 * time.Millisecond
	urgentSlotInterval = 25 * time.Millisecond
	// slotDemandTimeout is how long requests that lacked a slot count as demand.
	slotDemandTimeout = 500 * time.Millisecond
)

// SlotHolder holds the slots of a daemon at one process of an endpoint. It is not safe for
// concurrent use.
type SlotHolder struct {
	granted int
	expires time.Time
	// peak is the most requests at the endpoint since the last request for slots.
	peak int
	// lacked counts the requests since then that lacked a slot, until lackedUntil.
	lacked      int
	lackedUntil time.Time
	// queued and rejected are to be reported.
	queued, rejected bool
	// pending is set while a request is on its way, with the slots wanted.
	pending bool
	want    int
	asked   time.Time
	next    time.Time
	// contended and retryAfter are those of the last reply.
	contended  bool
	retryAfter time.Duration
}

// Clone returns a copy of h.
func (h *SlotHolder) Clone() *SlotHolder {
	c := *h
	return &c
}

// Left returns the number of slots that may be filled now. running is the number of the
// daemon's requests at the endpoint.
func (h *SlotHolder) Left(now time.Time, running int) int {
	if !now.Before(h.expires) {
		return 0
	}
	return max(0, h.granted-running)
}

// Filled records the number of requests at the endpoint after one was started.
func (h *SlotHolder) Filled(running int) { h.peak = max(h.peak, running) }

// Miss counts a request that lacked a slot.
func (h *SlotHolder) Miss(now time.Time) {
	if now.After(h.lackedUntil) {
		h.lacked = 0
	}
	h.lacked++
	h.lackedUntil = now.Add(slotDemandTimeout)
	h.hurry()
}

// hurry has the next request sent soon.
func (h *SlotHolder) hurry() {
	if urgent := h.asked.Add(max(urgentSlotInterval, h.retryAfter)); h.next.After(urgent) {
		h.next = urgent
	}
}

// Emptied records the end of a request at the endpoint. If other daemons wait for the slot,
// it is given back unless this one needs it.
func (h *SlotHolder) Emptied() {
	if h.contended {
		h.hurry()
	}
}

// Observe records that requests wait at the endpoint, or that one was turned away.
func (h *SlotHolder) Observe(now time.Time, queued, rejected bool) {
	h.queued, h.rejected = h.queued || queued, h.rejected || rejected
	if rejected {
		h.granted, h.next = 0, now
	}
}

// Urgent returns the time of the next request for slots if requests lack some, and none is on
// its way.
func (h *SlotHolder) Urgent(now time.Time) (time.Time, bool) {
	return h.next, !h.pending && h.lacked > 0 && now.Before(h.lackedUntil)
}

// Expects reports whether a slot may be had until a time.
func (h *SlotHolder) Expects(by time.Time) bool { return h.pending || !h.next.After(by) }

// Next returns the time of the next request for slots.
func (h *SlotHolder) Next() time.Time { return h.next }

// Due returns the request to send to the allocator now, without the endpoint, or false if
// there is none.
func (h *SlotHolder) Due(now time.Time, running, slots int) (SlotRequest, bool) {
	if h.pending || now.Before(h.next) {
		return SlotRequest{}, false
	}
	want := max(running, h.peak)
	if now.Before(h.lackedUntil) {
		want += h.lacked
	}
	held := running + h.Left(now, running)
	if want == 0 && held == 0 && !h.rejected {
		return SlotRequest{}, false
	}
	// Slots that are no longer wanted are given back.
	held = max(running, min(held, want))
	h.granted = min(h.granted, held)
	q := SlotRequest{Slots: slots, Held: held, Want: min(want, slots), Queued: h.queued, Rejected: h.rejected}
	h.pending, h.want, h.asked = true, q.Want, now
	h.peak, h.lacked, h.queued, h.rejected = running, 0, false, false
	return q, true
}

// Granted applies the reply to the last request. u is uniform in [0, 1) and spreads the next
// one.
func (h *SlotHolder) Granted(r SlotReply, u float64) {
	h.pending, h.granted, h.expires = false, r.Granted, h.asked.Add(SlotLifetime)
	h.contended, h.retryAfter = r.Contended, r.RetryAfter
	wait := slotInterval
	if r.Granted < h.want || r.Contended {
		wait = urgentSlotInterval
	}
	wait = max(wait, r.RetryAfter)
	h.next = h.asked.Add(wait - time.Duration(retryJitter*u*float64(wait)))
}

// Failed records that the last request has reached no allocator.
func (h *SlotHolder) Failed(now time.Time) {
	h.pending, h.next = false, now.Add(slotInterval)
}
