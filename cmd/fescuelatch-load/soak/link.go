package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// This file defines links, which are TCP proxies between a daemon and the store
// or an endpoint, and inject network faults.

// linkFault is a network fault of a link.
type linkFault string

// Faults of a link.
const (
	linkHealthy     linkFault = ""
	linkCut         linkFault = "cut"         // closes existing and new connections
	linkSlow        linkFault = "slow"        // delays all data
	linkStalled     linkFault = "silent"      // holds data back in both directions
	linkStalledBack linkFault = "silent back" // holds answers back
)

const (
	// linkDelay is the delay of each chunk on a slow link.
	linkDelay = 80 * time.Millisecond
	// linkPollInterval is the interval at which a stalled link checks for the end of
	// its fault.
	linkPollInterval = 20 * time.Millisecond
	linkBuffer       = 16 << 10
	// linkSettling is how long after a fault data that it held back may arrive.
	linkSettling = 2 * time.Second
)

// link forwards connections to a target. It is safe for concurrent use.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   linkFault
	closed  bool
	isDown  bool
	conns   map[net.Conn]bool
	changes []linkChange
}

// linkChange is the beginning or end of a fault.
type linkChange struct {
	at    time.Time
	fault linkFault
}

func newLink(target netip.AddrPort) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Listening does not block.
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target.String(), conns: make(map[net.Conn]bool)}
	go k.accept(l)
	return k, nil
}

func (k *link) address() netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	return netip.MustParseAddrPort(k.listener.Addr().String())
}

// down ends all connections and refuses new ones, as if the target's process had ended.
// It reports whether the link was up.
func (k *link) down() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isDown || k.closed {
		return false
	}
	k.isDown = true
	_ = k.listener.Close()
	k.closeAll()
	return true
}

// up accepts connections again, at a new address.
func (k *link) up() error {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Listening does not block.
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return l.Close()
	}
	k.listener, k.isDown = l, false
	go k.accept(l)
	return nil
}

// setFault sets the current fault of the link.
func (k *link) setFault(f linkFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	k.changes = append(k.changes, linkChange{time.Now(), f})
	if f == linkCut {
		k.closeAll()
	}
}

// calmAt reports whether no fault held data back at a time or shortly before.
func (k *link) calmAt(t time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	calm := true
	for _, c := range k.changes {
		if c.at.After(t) {
			break
		}
		calm = c.fault == linkHealthy && t.Sub(c.at) >= linkSettling
	}
	return calm
}

func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	_ = k.listener.Close()
	k.closeAll()
}

// closeAll closes all connections. The caller holds the lock.
func (k *link) closeAll() {
	for c := range k.conns {
		_ = c.Close()
	}
	clear(k.conns)
}

func (k *link) state() (linkFault, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fault, k.closed || k.isDown
}

// track registers a connection, or closes it if the link is closed or cut.
func (k *link) track(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || k.isDown || k.fault == linkCut {
		_ = c.Close()
		return false
	}
	k.conns[c] = true
	return true
}

func (k *link) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // The listener was closed.
		}
		go k.serve(c)
	}
}

func (k *link) serve(client net.Conn) {
	server, err := net.Dial("tcp", k.target) //nolint:noctx // Dialing loopback does not block.
	if err != nil {
		_ = client.Close()
		return
	}
	if !k.track(client) || !k.track(server) {
		_ = client.Close()
		_ = server.Close()
		return
	}
	go k.forward(server, client, true)
	k.forward(client, server, false)
}

// forward copies data in one direction until either end closes.
func (k *link) forward(to, from net.Conn, back bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, to)
		delete(k.conns, from)
	}()
	b := make([]byte, linkBuffer)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !k.waitToForward(back) {
				return
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToForward applies the current fault to a chunk and reports whether to
// forward it.
func (k *link) waitToForward(back bool) bool {
	for {
		fault, closed := k.state()
		switch {
		case closed || fault == linkCut:
			return false
		case fault == linkSlow:
			time.Sleep(linkDelay)
			return true
		case fault == linkStalled, fault == linkStalledBack && back:
			time.Sleep(linkPollInterval)
		default:
			return true
		}
	}
}
