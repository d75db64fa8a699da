package gate

import (
	"slices"
	"time"

	"fescuelatch"
)

// This file defines Fixed, the baseline gate.

// Fixed is a gate with the configured number of slots for each endpoint and
// one queue in order of arrival. It ignores load reports, cold starts, shares
// and the wait of new owners. The zero value owns nothing and is ready to use.
type Fixed struct {
	// QueueLimit bounds the queue; zero means defaultQueueLimit.
	QueueLimit int

	owned   []fescuelatch.OwnedEndpoint
	running map[fescuelatch.EndpointID]int
	started map[fescuelatch.AttemptID]fescuelatch.EndpointID
	queue   []fescuelatch.Work
	latency latencies
}

// SetOwned implements fescuelatch.Gate.
func (f *Fixed) SetOwned(_ time.Time, owned []fescuelatch.OwnedEndpoint) {
	f.owned = slices.Clone(owned)
}

// Offer implements fescuelatch.Gate.
func (f *Fixed) Offer(now time.Time, w fescuelatch.Work) fescuelatch.Admission {
	if e, ok := f.free(w); ok {
		return f.start(w, e)
	}
	if len(f.queue) >= f.limit() || expired(now, w) || !f.serves(w) {
		return refuse(w.Attempt, minRetryAfter)
	}
	f.queue = append(f.queue, w)
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionQueue}
}

// FirstToken implements fescuelatch.Gate.
func (f *Fixed) FirstToken(time.Time, fescuelatch.AttemptID) {}

// End implements fescuelatch.Gate.
func (f *Fixed) End(now time.Time, r fescuelatch.AttemptResult) []fescuelatch.Admission {
	if e, ok := f.started[r.Attempt]; ok {
		delete(f.started, r.Attempt)
		f.running[e]--
		f.latency.observe(r)
		return f.Poll(now)
	}
	f.queue = slices.DeleteFunc(f.queue, func(w fescuelatch.Work) bool { return w.Attempt == r.Attempt })
	return nil
}

// Report implements fescuelatch.Gate.
func (f *Fixed) Report(time.Time, fescuelatch.LoadReport) []fescuelatch.Admission { return nil }

// Poll implements fescuelatch.Gate.
func (f *Fixed) Poll(now time.Time) []fescuelatch.Admission {
	var as []fescuelatch.Admission
	kept := f.queue[:0]
	for _, w := range f.queue {
		if expired(now, w) {
			as = append(as, refuse(w.Attempt, minRetryAfter))
			continue
		}
		if e, ok := f.free(w); ok {
			as = append(as, f.start(w, e))
			continue
		}
		kept = append(kept, w)
	}
	clear(f.queue[len(kept):])
	f.queue = kept
	return as
}

// Spare implements fescuelatch.Gate.
func (f *Fixed) Spare(time.Time) []fescuelatch.Spare {
	var t spareTable
	for _, o := range f.owned {
		if !o.Out {
			t.addSlots(o.Pool, o.Pool.Slots, o.Pool.Slots-f.running[o.Endpoint.ID])
		}
	}
	for _, w := range f.queue {
		t.addQueued(targetOf(w), 1)
	}
	return t.list()
}

// Latency implements fescuelatch.Gate.
func (f *Fixed) Latency(v fescuelatch.VersionID) time.Duration { return f.latency.total(v) }

func (f *Fixed) limit() int {
	if f.QueueLimit > 0 {
		return f.QueueLimit
	}
	return defaultQueueLimit
}

func (f *Fixed) start(w fescuelatch.Work, e fescuelatch.EndpointID) fescuelatch.Admission {
	if f.running == nil {
		f.running = make(map[fescuelatch.EndpointID]int)
		f.started = make(map[fescuelatch.AttemptID]fescuelatch.EndpointID)
	}
	f.running[e]++
	f.started[w.Attempt] = e
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionStart, Endpoint: e}
}

// free returns the endpoint with the most free slots that serves w.
func (f *Fixed) free(w fescuelatch.Work) (fescuelatch.EndpointID, bool) {
	var best fescuelatch.EndpointID
	most := 0
	for i := range f.owned {
		o := &f.owned[i]
		if n := o.Pool.Slots - f.running[o.Endpoint.ID]; n > most && fits(o, w) {
			best, most = o.Endpoint.ID, n
		}
	}
	return best, most > 0
}

// serves reports whether any owned endpoint could ever run w.
func (f *Fixed) serves(w fescuelatch.Work) bool {
	for i := range f.owned {
		if fits(&f.owned[i], w) {
			return true
		}
	}
	return false
}
