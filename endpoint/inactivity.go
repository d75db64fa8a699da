package endpoint

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// This file defines the silence of an endpoint. One that is busy answers some
// of its requests late, but it is heard on other connections meanwhile; one
// that has gone dark is heard on none. Giving a request of a busy endpoint to
// another one only adds to the load.

// hangFactor is how many times longer an exchange may be silent at an endpoint
// that is heard on other connections.
const hangFactor = 3

// hearing is when something last came from an endpoint.
type hearing struct{ last atomic.Int64 } // nanoseconds since the client's start

// ears knows the hearing of all endpoints. Its zero value is ready to use.
type ears struct {
	start time.Time
	once  sync.Once
	all   sync.Map // of *hearing by address
}

func (e *ears) of(a netip.AddrPort) *hearing {
	e.once.Do(func() { e.start = time.Now() })
	h, _ := e.all.LoadOrStore(a, new(hearing))
	return h.(*hearing) //nolint:forcetypeassert // Nothing else is stored.
}

// heard notes that something came from an endpoint.
func (k *connection) heard() { k.hearing.last.Store(int64(time.Since(k.start))) }

// Read implements io.Reader. With a patience it fails when the endpoint has
// been silent on all connections for longer, or when what is awaited has not
// come within hangFactor times as long: bytes alone are no progress.
func (k *connection) Read(b []byte) (int, error) {
	if k.head.exceeded() {
		return 0, errLongHead
	}
	if k.patience <= 0 {
		n, err := k.Conn.Read(b)
		k.received(n)
		return n, err //nolint:wrapcheck // The exchange wraps it.
	}
	until := min(time.Since(k.start)+k.patience, k.awaited+hangFactor*k.patience)
	for {
		// A deadline that cannot be set shows in the read.
		_ = k.SetReadDeadline(k.start.Add(until))
		n, err := k.Conn.Read(b)
		k.received(n)
		if n > 0 || err == nil || kindOf(err) != KindSilent {
			return n, err //nolint:wrapcheck // The exchange wraps it.
		}
		now := time.Since(k.start)
		until = min(time.Duration(k.hearing.last.Load())+k.patience, k.awaited+hangFactor*k.patience)
		if until > now {
			continue
		}
		if k.givesUp == nil || k.givesUp() {
			return n, err //nolint:wrapcheck // The exchange wraps it.
		}
		k.awaited = now
		until = now + k.patience
	}
}

// received notes bytes of the endpoint.
func (k *connection) received(n int) {
	if n > 0 {
		k.heard()
		k.head.add(n)
	}
}

// setPatience bounds the wait for what comes next, a head or an event; zero
// ends the bound.
func (k *connection) setPatience(d time.Duration) {
	k.patience = d
	k.awaited = time.Since(k.start)
	if d <= 0 {
		_ = k.SetReadDeadline(time.Time{})
	}
}
