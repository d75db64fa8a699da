package endpoint

import (
	"bufio"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// This file defines connections and the pool that keeps idle ones.

const (
	// defaultIdle is how long a connection is kept whose endpoint does not
	// say how long it keeps it itself.
	defaultIdle = 4 * time.Second
	// idleUse is the part of the endpoint's time that is used.
	idleUse = 0.7
	// freshIdle is the longest idle time of a connection that carries a
	// request which must not be lost.
	freshIdle = 300 * time.Millisecond
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 16
)

// connection is one connection to an endpoint. It carries one exchange at a
// time.
type connection struct {
	net.Conn
	to     netip.AddrPort
	reader *bufio.Reader
	used   time.Time
	idle   time.Duration
	closed atomic.Bool
	// hearing is that of the endpoint, in time since start.
	hearing  *hearing
	start    time.Time
	patience time.Duration
	// awaited is since when the next part is waited for, in time since start.
	awaited time.Duration
	// givesUp, when set, is asked before silence ends the exchange.
	givesUp func() bool
	head    headBudget
}

// close ends the connection, also from another goroutine than that of the
// exchange.
func (k *connection) close() {
	if !k.closed.Swap(true) {
		_ = k.Close()
	}
}

// keep notes how long the endpoint keeps the connection idle.
func (k *connection) keep(said time.Duration) bool {
	k.idle = defaultIdle
	if said > 0 {
		k.idle = time.Duration(idleUse * float64(said))
	}
	return k.idle > 0
}

// quiet reports whether the connection is open and nothing has arrived on it
// that nobody asked for.
func (k *connection) quiet() bool {
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// pool holds the idle connections to one endpoint, last used last.
type pool struct{ idle []*connection }

// take returns an idle connection, or nil.
func (c *Client) take(to netip.AddrPort, fresh bool) *connection {
	for {
		k := c.pop(to)
		if k == nil {
			return nil
		}
		idle := time.Since(k.used)
		if idle < k.idle && (!fresh || idle < freshIdle) && k.quiet() {
			return k
		}
		k.close()
	}
}

func (c *Client) pop(to netip.AddrPort) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[to]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	k := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return k
}

func (c *Client) keep(k *connection) {
	k.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = make(map[netip.AddrPort]*pool)
	}
	p := c.pools[k.to]
	if p == nil {
		p = new(pool)
		c.pools[k.to] = p
	}
	if len(p.idle) >= maxIdle {
		p.idle[0].close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.idle = append(p.idle, k)
}

// Sweep closes connections that have been idle for too long, and all those to
// endpoints that are not in use.
func (c *Client) Sweep(now time.Time, inUse func(netip.AddrPort) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, p := range c.pools {
		kept := p.idle[:0]
		for _, k := range p.idle {
			if now.Sub(k.used) < k.idle && inUse(to) {
				kept = append(kept, k)
			} else {
				k.close()
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		if len(kept) == 0 {
			delete(c.pools, to)
		}
	}
}

// userTimeoutOption is TCP_USER_TIMEOUT, which package syscall does not name.
const userTimeoutOption = 18

// setUserTimeout bounds how long sent data may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeoutOption, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(failed)
}
