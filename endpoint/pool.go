package endpoint

import (
	"bufio"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// This file defines connections and the pool of idle ones.

const (
	// defaultIdleTimeout applies to connections of endpoints that do not
	// announce an idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the announced idle timeout that
	// is used.
	idleTimeoutFraction = 0.7
	// maxFreshIdle bounds the idle time of a connection for a request that
	// must not be lost.
	maxFreshIdle = 300 * time.Millisecond
	// maxIdleConns bounds the idle connections to one endpoint.
	maxIdleConns = 16
)

// connection is a connection to an endpoint, with one exchange at a time.
type connection struct {
	net.Conn
	to          netip.AddrPort
	reader      *bufio.Reader
	lastUsed    time.Time
	idleTimeout time.Duration
	closed      atomic.Bool
	// reused reports that the connection has carried an earlier request.
	// acceptUnidentified is that of the client.
	reused, acceptUnidentified bool
	// refused holds hashes of the identifiers of the last refused requests, which may be
	// sent again; nextRefused is the place of the next one.
	refused     []uint64
	nextRefused int
	// activity is the last activity of the endpoint, relative to start.
	activity          *lastActivity
	start             time.Time
	inactivityTimeout time.Duration
	// lastBytes is when bytes last arrived.
	lastBytes time.Time
	// waitStart is when the wait for the next part began, relative to start.
	waitStart time.Duration
	// lateSince is when the longest wait was noticed to be over, or zero.
	lateSince time.Duration
	// inactive, when set, is called when the endpoint is inactive; otherwise the exchange ends.
	inactive func()
	// transferred is the Transferred of the request that is exchanged.
	transferred *int
	head        headBudget
}

// close closes the connection. It is safe for concurrent use with an exchange.
func (k *connection) close() {
	if !k.closed.Swap(true) {
		_ = k.Close()
	}
}

// setIdleTimeout sets the idle timeout from that of the endpoint, or the default
// for zero, and reports whether the connection may be kept.
func (k *connection) setIdleTimeout(announced time.Duration) bool {
	k.idleTimeout = defaultIdleTimeout
	if announced > 0 {
		k.idleTimeout = time.Duration(idleTimeoutFraction * float64(announced))
	}
	return k.idleTimeout > 0
}

// reusable reports whether the connection is open and has received no
// unsolicited bytes.
func (k *connection) reusable() bool {
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

// maxRefused bounds the refused requests that a connection remembers.
const maxRefused = 16

// recordRefusal records that the endpoint has refused a request.
func (k *connection) recordRefusal(identifier string) {
	h := xxhash.Sum64String(identifier)
	if len(k.refused) < maxRefused {
		k.refused = append(k.refused, h)
		return
	}
	k.refused[k.nextRefused] = h
	k.nextRefused = (k.nextRefused + 1) % maxRefused
}

// hasRefused reports whether the endpoint has refused a request on this connection. If the
// request is sent again here, a copy of that refusal cannot be told from the answer.
func (k *connection) hasRefused(identifier string) bool {
	return len(k.refused) > 0 && slices.Contains(k.refused, xxhash.Sum64String(identifier))
}

// pool holds the idle connections to one endpoint, most recently used last.
type pool struct{ idle []*connection }

// acquire returns an idle connection that may carry the request, or nil.
func (c *Client) acquire(to netip.AddrPort, r *Request) *connection {
	for {
		k := c.pop(to)
		if k == nil {
			return nil
		}
		idle := time.Since(k.lastUsed)
		if idle < k.idleTimeout && (!r.Fresh || idle < maxFreshIdle) && !k.hasRefused(r.Identifier) && k.reusable() {
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

func (c *Client) release(k *connection) {
	k.lastUsed = time.Now()
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
	if len(p.idle) >= maxIdleConns {
		p.idle[0].close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.idle = append(p.idle, k)
}

// CloseIdle closes connections past their idle timeout and all connections to
// endpoints that are not in use.
func (c *Client) CloseIdle(now time.Time, inUse func(netip.AddrPort) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, p := range c.pools {
		kept := p.idle[:0]
		for _, k := range p.idle {
			if now.Sub(k.lastUsed) < k.idleTimeout && inUse(to) {
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

// userTimeoutOption is TCP_USER_TIMEOUT, which package syscall does not define.
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
