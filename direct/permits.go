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
	"fescuelatch/decision"
	"fescuelatch/permit"
)

// This file defines how daemons request the permits for endpoints that limit their
// rate from each other.

const (
	// allocatorTimeout bounds a call to an allocator. Permits that arrive later
	// could hardly be used.
	allocatorTimeout = 300 * time.Millisecond
	// allocatorBackoff is how long an allocator is not used after a failure.
	allocatorBackoff = 3 * time.Second
	// maxPermitRequests bounds the requests of one message.
	maxPermitRequests = 1024
)

// PermitsRequest requests permits for several endpoints.
type PermitsRequest struct{ Requests []permit.Request }

// PermitsReply holds the replies in the order of the requests.
type PermitsReply struct{ Replies []permit.Reply }

// Permits hands out permits to another daemon. It is called by net/rpc.
func (p *peerServer) Permits(q PermitsRequest, reply *PermitsReply) error {
	const op = "allot permits"
	if len(q.Requests) > maxPermitRequests {
		return &Error{op, KindInvalid, errors.Errorf("%d requests in a message", len(q.Requests))}
	}
	for i := range q.Requests {
		if err := q.Requests[i].Check(); err != nil {
			return &Error{op, KindInvalid, err}
		}
	}
	d := p.daemon
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range q.Requests {
		reply.Replies = append(reply.Replies, d.allotLocked(now, r))
	}
	return nil
}

// allotLocked answers a request for permits as the allocator.
func (d *Daemon) allotLocked(now time.Time, q permit.Request) permit.Reply {
	return d.allocator.Allot(now, d.permitOrders.of(d, q).Position, q)
}

// permitOrders caches the orders of the daemons for limited endpoints. An order takes a
// tenth of a millisecond for a thousand daemons.
type permitOrders struct {
	memberChanges int
	byEndpoint    map[fescuelatch.EndpointID]permit.Order
}

// of returns the order for the endpoint of a request.
func (o *permitOrders) of(d *Daemon, q permit.Request) permit.Order {
	if o.byEndpoint == nil || o.memberChanges != d.storeView.memberChanges || len(o.byEndpoint) >= maxPermitRequests {
		o.byEndpoint, o.memberChanges = make(map[fescuelatch.EndpointID]permit.Order), d.storeView.memberChanges
	}
	order, ok := o.byEndpoint[q.Process.Endpoint]
	if !ok {
		order = d.permitOrderLocked(q)
		o.byEndpoint[q.Process.Endpoint] = order
	}
	return order
}

// permitOrderLocked returns the order of the daemons for the endpoint of a request. A
// daemon that the others do not know of yet must not be an allocator, unless it knows of
// no other one either.
func (d *Daemon) permitOrderLocked(q permit.Request) permit.Order {
	return permit.OrderOf(q.Process.Endpoint, q.Domain, d.options.VM, func(yield func(fescuelatch.VMID, fescuelatch.DomainID) bool) {
		if len(d.storeView.members) == 0 {
			yield(d.options.VM, d.options.Domain)
			return
		}
		for vm, m := range d.storeView.members {
			if m.Control.IsValid() && !yield(vm, m.Domain) {
				return
			}
		}
	})
}

// signalPermitsLocked has the requests for permits sent that are due.
func (d *Daemon) signalPermitsLocked() {
	if !d.gate.TracksLimits() {
		return
	}
	select {
	case d.permitsLacking <- struct{}{}:
	default: // A signal is already pending.
	}
}

// drivePermits requests permits when signaled until ctx ends.
func (d *Daemon) drivePermits(ctx context.Context) {
	defer d.allocators.close()
	for {
		select {
		case <-d.permitsLacking:
		case <-ctx.Done():
			return
		}
		d.requestPermits(ctx, time.Now())
	}
}

// permitRound is the requests of one moment to one allocator.
type permitRound struct {
	asked    time.Time
	requests []permit.Request
	// polls holds, for requests without permits, the time until the next one.
	polls []time.Duration
}

// requestPermits sends the requests for permits that are due.
func (d *Daemon) requestPermits(ctx context.Context, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	due := d.gate.PermitRequests(now, maxPermitRequests)
	if len(due) == 0 {
		if d.gate.LimitedEndpoints() == 0 {
			d.allocators.close()
		}
		return
	}
	rounds := make(map[fescuelatch.VMID]*permitRound)
	for _, q := range due {
		q.From = d.options.VM
		order := d.permitOrders.of(d, q)
		var poll time.Duration
		if !order.MayHold(q.Limit) {
			q.Want, poll = 0, order.PollInterval()
		}
		vm, ok := d.allocators.choose(now, order.Allocators)
		if !ok {
			d.gate.PermitsFailed(now, q.Process)
			continue
		}
		if rounds[vm] == nil {
			rounds[vm] = &permitRound{asked: now}
		}
		rounds[vm].requests = append(rounds[vm].requests, q)
		rounds[vm].polls = append(rounds[vm].polls, poll)
	}
	for vm, r := range rounds {
		if vm == d.options.VM {
			replies := make([]permit.Reply, len(r.requests))
			for i, q := range r.requests {
				replies[i] = d.allotLocked(now, q)
			}
			d.applyPermitsLocked(now, r, replies)
			continue
		}
		go d.askAllocator(ctx, vm, d.storeView.members[vm].Control, r)
	}
}

// askAllocator sends requests to another daemon and applies its replies.
func (d *Daemon) askAllocator(ctx context.Context, vm fescuelatch.VMID, address netip.AddrPort, r *permitRound) {
	replies, err := d.allocators.ask(ctx, vm, address, r.requests)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.allocators.fail(now, vm)
		d.metrics.allocatorFailures.Inc(1)
		d.log.Warn("request for permits failed", "allocator", vm, "endpoints", len(r.requests), "error", err.Error())
		for _, q := range r.requests {
			d.gate.PermitsFailed(now, q.Process)
		}
		return
	}
	d.applyPermitsLocked(now, r, replies)
}

// applyPermitsLocked applies the replies of an allocator. Queued requests may use the
// permits.
func (d *Daemon) applyPermitsLocked(now time.Time, r *permitRound, replies []permit.Reply) {
	for i, q := range r.requests {
		reply := replies[i]
		reply.RetryAfter = max(reply.RetryAfter, r.polls[i])
		if d.gate.GrantPermits(now, r.asked, q.Process, reply) {
			d.log.Info("allocator knows of another rate limit", "endpoint", q.Process.Endpoint,
				"limited", reply.Limit.Limited, "per-second", reply.Limit.PerSecond, "age", reply.Age.String())
		}
		d.metrics.countPermits(q.Want, reply.Permits)
	}
	d.metrics.limited.Update(float64(d.gate.LimitedEndpoints()))
	d.decideLocked(now, decision.Tick{})
}

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
