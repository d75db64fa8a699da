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
// been silent on all connections for longer, or on this one for hangFactor
// times longer.
func (k *connection) Read(b []byte) (int, error) {
	if k.patience <= 0 {
		n, err := k.Conn.Read(b)
		if n > 0 {
			k.heard()
		}
		return n, err //nolint:wrapcheck // The exchange wraps it.
	}
	began := time.Since(k.start)
	until := began + k.patience
	for {
		// A deadline that cannot be set shows in the read.
		_ = k.SetReadDeadline(k.start.Add(until))
		n, err := k.Conn.Read(b)
		if n > 0 {
			k.heard()
		}
		if n > 0 || err == nil || kindOf(err) != KindSilent {
			return n, err //nolint:wrapcheck // The exchange wraps it.
		}
		until = min(time.Duration(k.hearing.last.Load())+k.patience, began+hangFactor*k.patience)
		if until <= time.Since(k.start) {
			return n, err //nolint:wrapcheck // The exchange wraps it.
		}
	}
}

// setPatience bounds the silence in reads to come; zero ends the bound.
func (k *connection) setPatience(d time.Duration) {
	k.patience = d
	if d <= 0 {
		_ = k.SetReadDeadline(time.Time{})
	}
}
