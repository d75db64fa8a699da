package direct

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/permit"
)

// This file defines the connections to the daemons that hand out permits.

const (
	// allocatorTimeout bounds a call to an allocator. Permits that arrive later
	// could hardly be used.
	allocatorTimeout = 300 * time.Millisecond
	// allocatorBackoff is how long an allocator is not used after a failure.
	allocatorBackoff = 3 * time.Second
)

// allocatorPeers holds the connections to the allocators. It is safe for concurrent
// use.
type allocatorPeers struct {
	mu          sync.Mutex
	peers       map[fescuelatch.VMID]*allocatorPeer
	failedUntil map[fescuelatch.VMID]time.Time
}

// choose returns the first of the allocators that has not failed recently.
func (a *allocatorPeers) choose(now time.Time, vms []fescuelatch.VMID) (fescuelatch.VMID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, vm := range vms {
		if !now.Before(a.failedUntil[vm]) {
			return vm, true
		}
	}
	return "", false
}

// fail records that an allocator has not answered.
func (a *allocatorPeers) fail(now time.Time, vm fescuelatch.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failedUntil == nil {
		a.failedUntil = make(map[fescuelatch.VMID]time.Time)
	}
	a.failedUntil[vm] = now.Add(allocatorBackoff)
	if p := a.peers[vm]; p != nil {
		delete(a.peers, vm)
		go p.close() // A call may be opening the connection.
	}
}

// close closes all connections and forgets all failures.
func (a *allocatorPeers) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		go p.close()
	}
	a.peers, a.failedUntil = nil, nil
}

func (a *allocatorPeers) of(vm fescuelatch.VMID) *allocatorPeer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers == nil {
		a.peers = make(map[fescuelatch.VMID]*allocatorPeer)
	}
	if a.peers[vm] == nil {
		a.peers[vm] = new(allocatorPeer)
	}
	return a.peers[vm]
}

// ask sends requests to an allocator.
func (a *allocatorPeers) ask(ctx context.Context, vm fescuelatch.VMID, address netip.AddrPort, requests []permit.Request) ([]permit.Reply, error) {
	const op = "request permits"
	ctx, cancel := context.WithTimeout(ctx, allocatorTimeout)
	defer cancel()
	client, err := a.of(vm).connect(ctx, address)
	if err != nil {
		return nil, err
	}
	reply := new(PermitsReply)
	if err := callPeer(ctx, client, "Permits", PermitsRequest{requests}, reply); err != nil {
		return nil, err
	}
	if len(reply.Replies) != len(requests) {
		return nil, &Error{op, KindInvalid, errors.Errorf("%d replies to %d requests", len(reply.Replies), len(requests))}
	}
	for i := range reply.Replies {
		if err := reply.Replies[i].Check(); err != nil {
			return nil, &Error{op, KindInvalid, err}
		}
	}
	return reply.Replies, nil
}

// allocatorPeer is the connection to an allocator.
type allocatorPeer struct {
	mu      sync.Mutex
	address netip.AddrPort
	client  *rpc.Client
	closed  bool
}

// connect returns the connection, which it opens if there is none to the address.
func (p *allocatorPeer) connect(ctx context.Context, address netip.AddrPort) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &Error{"request permits", KindPeer, net.ErrClosed}
	}
	if p.client != nil && p.address == address {
		return p.client, nil
	}
	p.closeLocked()
	client, err := dialPeer(ctx, address)
	if err != nil {
		return nil, err
	}
	p.client, p.address = client, address
	return client, nil
}

func (p *allocatorPeer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeLocked()
}

func (p *allocatorPeer) closeLocked() {
	if p.client != nil {
		// The connection is no longer needed, whether or not its close fails.
		_ = p.client.Close()
		p.client = nil
	}
}
