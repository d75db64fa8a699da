package keyvalue

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// This file defines how clients over HTTP tell calls that cannot have had an
// effect.

// TraceConnection returns a context for one HTTP call, and whether the call
// has a connection. Until then nothing can have been sent.
func TraceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected
}
