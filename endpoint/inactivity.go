package endpoint

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// This file defines the inactivity timeout of endpoints. A busy endpoint answers
// some requests late but is active on other connections; an unreachable one is
// active on none. Moving a request from a busy endpoint to another one only adds
// load.

// activeTimeoutFactor multiplies the inactivity timeout of an exchange while the
// endpoint is active on other connections.
const activeTimeoutFactor = 3

const (
	// recheckTimeout is how long is waited once more after a timeout, which may be that of
	// this process rather than the endpoint's: bytes that arrived while it did not run
	// are not read before a timeout that has passed is reported.
	recheckTimeout = 10 * time.Millisecond
	// maxLateReading bounds the time for which such bytes are read after the longest wait.
	maxLateReading = 100 * time.Millisecond
)

// lastActivity is when bytes last arrived from an endpoint.
type lastActivity struct {
	nanos atomic.Int64 // nanoseconds since the tracker's start
	// identified reports that the endpoint has identified an answer.
	identified atomic.Bool
}

// activityTracker holds the last activity of all endpoints. The zero value is
// ready to use.
type activityTracker struct {
	start time.Time
	once  sync.Once
	all   sync.Map // *lastActivity by address
}

func (t *activityTracker) of(a netip.AddrPort) *lastActivity {
	t.once.Do(func() { t.start = time.Now() })
	h, _ := t.all.LoadOrStore(a, new(lastActivity))
	return h.(*lastActivity) //nolint:forcetypeassert // The map has no other type.
}

// recordActivity records that the endpoint is active now.
func (k *connection) recordActivity() { k.activity.nanos.Store(int64(time.Since(k.start))) }

// Read implements io.Reader. With an inactivity timeout it fails, or calls inactive and
// goes on, when the endpoint has been inactive on all connections for that long, or when
// the awaited head or event has not arrived within activeTimeoutFactor times as long:
// bytes alone are no progress. Bytes that have arrived by the time at which a timeout is
// noticed are read.
func (k *connection) Read(b []byte) (int, error) {
	if k.head.exceeded() {
		return 0, errHeadTooLong
	}
	if k.inactivityTimeout <= 0 {
		n, err := k.Conn.Read(b)
		k.received(b[:n])
		return n, err //nolint:wrapcheck // The exchange wraps it.
	}
	longest := k.waitStart + activeTimeoutFactor*k.inactivityTimeout
	until := min(time.Since(k.start)+k.inactivityTimeout, longest)
	rechecked := false
	for {
		// If setting the deadline fails, the read fails as well.
		_ = k.SetReadDeadline(k.start.Add(until))
		n, err := k.Conn.Read(b)
		k.received(b[:n])
		if n > 0 || err == nil || kindOf(err) != KindInactive {
			return n, err //nolint:wrapcheck // The exchange wraps it.
		}
		now := time.Since(k.start)
		if !rechecked && k.mayReadLate(now, longest) {
			rechecked = true
			until = now + recheckTimeout
			continue
		}
		rechecked = false
		until = min(time.Duration(k.activity.nanos.Load())+k.inactivityTimeout, longest)
		if until > now {
			continue
		}
		if k.inactive == nil {
			return n, err //nolint:wrapcheck // The exchange wraps it.
		}
		k.inactive()
		now = time.Since(k.start)
		k.waitStart, k.lateSince = now, 0
		longest = now + activeTimeoutFactor*k.inactivityTimeout
		until = now + k.inactivityTimeout
	}
}

// mayReadLate reports whether bytes that have arrived may still be read, after the longest
// wait only for a moment: an endpoint may send bytes without end.
func (k *connection) mayReadLate(now, longest time.Duration) bool {
	if now < longest {
		return true
	}
	if k.lateSince == 0 {
		k.lateSince = now
	}
	return now-k.lateSince < maxLateReading
}

// received records bytes from the endpoint.
func (k *connection) received(b []byte) {
	if len(b) > 0 {
		if k.transferred != nil {
			*k.transferred += len(b)
		}
		k.lastBytes = time.Now()
		k.recordActivity()
		k.head.add(b)
	}
}

// setInactivityTimeout restarts the wait for the next head or event with
// timeout d; zero removes the timeout.
func (k *connection) setInactivityTimeout(d time.Duration) {
	k.inactivityTimeout = d
	k.waitStart, k.lateSince = time.Since(k.start), 0
	if d <= 0 {
		_ = k.SetReadDeadline(time.Time{})
	}
}
