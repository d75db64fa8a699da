package direct

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"fescuelatch"
)

// This file defines the kept connections to other daemons.

const (
	// peerBackoff is how long a daemon is not called after its connection has failed.
	peerBackoff = 3 * time.Second
	// minPeerBackoff is how long it is not called after it was late to answer, which may
	// be a moment without processor time on either side. The time doubles with each late
	// answer in a row.
	minPeerBackoff = 250 * time.Millisecond
)

// peerClients holds connections to other daemons. It is safe for concurrent use.
type peerClients struct {
	mu       sync.Mutex
	peers    map[fescuelatch.VMID]*peerClient
	failures map[fescuelatch.VMID]peerFailure
}

// peerFailure records that a daemon has not answered.
type peerFailure struct {
	at, until time.Time // until it is called again
	backoff   time.Duration
}

// choose returns the first of several daemons that has not failed recently.
func (a *peerClients) choose(now time.Time, vms []fescuelatch.VMID) (fescuelatch.VMID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, vm := range vms {
		if !now.Before(a.failures[vm].until) {
			return vm, true
		}
	}
	return "", false
}

// fail records that a daemon has not answered a call that began at a time. The connection of
// one that was late is kept. Calls that were under way together are one failure.
func (a *peerClients) fail(began, now time.Time, vm fescuelatch.VMID, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failures == nil {
		a.failures = make(map[fescuelatch.VMID]peerFailure)
	}
	last := a.failures[vm]
	backoff := peerBackoff
	var e *Error
	if errors.As(err, &e) && e.Kind == KindTimeout {
		if !last.at.IsZero() && !began.After(last.at) {
			return
		}
		backoff = min(max(minPeerBackoff, 2*last.backoff), peerBackoff)
	}
	a.failures[vm] = peerFailure{now, now.Add(backoff), backoff}
	if p := a.peers[vm]; p != nil && backoff == peerBackoff {
		delete(a.peers, vm)
		go p.close() // A call may be opening the connection.
	}
}

// answered records that a daemon has answered.
func (a *peerClients) answered(vm fescuelatch.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.failures, vm)
}

// close closes all connections and forgets all failures.
func (a *peerClients) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		go p.close()
	}
	a.peers, a.failures = nil, nil
}

func (a *peerClients) of(vm fescuelatch.VMID) *peerClient {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers == nil {
		a.peers = make(map[fescuelatch.VMID]*peerClient)
	}
	if a.peers[vm] == nil {
		a.peers[vm] = new(peerClient)
	}
	return a.peers[vm]
}

// call calls a method of a daemon until the end of ctx, and records whether it answers.
func (a *peerClients) call(ctx context.Context, vm fescuelatch.VMID, address netip.AddrPort, method string, request, reply any) error {
	began := time.Now()
	client, err := a.of(vm).connect(ctx, address)
	if err == nil {
		err = callPeer(ctx, client, method, request, reply)
	}
	if err != nil {
		a.fail(began, time.Now(), vm, err)
		return err
	}
	a.answered(vm)
	return nil
}

// peerClient is the connection to a daemon.
type peerClient struct {
	mu      sync.Mutex
	address netip.AddrPort
	client  *rpc.Client
	closed  bool
}

// connect returns the connection, which it opens if there is none to the address.
func (p *peerClient) connect(ctx context.Context, address netip.AddrPort) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &Error{"ask peer", KindPeer, net.ErrClosed}
	}
	if p.client != nil && p.address == address {
		return p.client, nil
	}
	p.closeLocked()
	client, err := dialPeer(ctx, address, func() {})
	if err != nil {
		return nil, err
	}
	p.client, p.address = client, address
	return client, nil
}

func (p *peerClient) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeLocked()
}

func (p *peerClient) closeLocked() {
	if p.client != nil {
		// The connection is no longer needed, whether or not its close fails.
		_ = p.client.Close()
		p.client = nil
	}
}
