package endpoint

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/internal/pause"
)

// This file defines how a client finds out whether an endpoint can be reached, and whether its
// process still runs.

const (
	// outlastTime is how long a new connection must stay open to show that the process runs,
	// and outlastInterval the time between two looks at it. The kernel closes the sockets of
	// a killed process one after the other, and its listener, which still accepts
	// connections, may be the last one.
	outlastTime     = 20 * time.Millisecond
	outlastInterval = 5 * time.Millisecond
)

// Probe opens a connection to an endpoint, which is kept for the next request.
func (c *Client) Probe(ctx context.Context, to netip.AddrPort) error {
	k, err := c.dial(ctx, to)
	if err != nil {
		return err
	}
	c.keep(k)
	return nil
}

// Runs returns nil if the process of an endpoint runs: a new connection, which is kept for the
// next request, stays open. If it is ended, the endpoint is asked once more: a process that has
// ended refuses the next one, and one that has too many connections ends it as well.
func (c *Client) Runs(ctx context.Context, to netip.AddrPort) error {
	for asked := 1; ; asked++ {
		k, err := c.dial(ctx, to)
		if err != nil && !errors.Is(err, syscall.ECONNRESET) {
			return err
		}
		if err == nil {
			if k.outlasts(ctx) {
				c.keep(k)
				return nil
			}
			k.close()
		}
		if ctx.Err() != nil {
			return exchangeError(ctx, "ask", ctx.Err())
		}
		if asked > 1 {
			return nil
		}
	}
}

// Local reports whether a connection was not opened for want of something on this VM:
// descriptors or ports.
func Local(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// outlasts reports whether a new connection stays open for outlastTime.
func (k *connection) outlasts(ctx context.Context) bool {
	for began := time.Now(); time.Since(began) < outlastTime; {
		if !pause.For(ctx, outlastInterval) || !k.reusable() {
			return false
		}
	}
	return true
}

// keep keeps a new connection for the next request.
func (c *Client) keep(k *connection) {
	k.setIdleTimeout(0)
	c.release(k)
}
