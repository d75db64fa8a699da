package keyvalue

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// This file defines how HTTP clients detect calls that cannot have had an
// effect.

// TraceConnection returns a context for one HTTP call, and a flag that is set
// once the call has a connection. Before that nothing has been sent.
func TraceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), connected
}
