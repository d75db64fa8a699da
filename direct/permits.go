package direct

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/permit"
)

// This file defines how daemons request the permits for endpoints that limit their
// rate from each other.

// maxPermitRequests bounds the requests of one message.
const maxPermitRequests = 1024

// maxSentRequests bounds those that this daemon sends, so that they fit in a call with names of
// any usual length.
const maxSentRequests = maxPermitRequests / 2

// PermitsRequest requests permits for several endpoints.
type PermitsRequest struct{ Requests []permit.Request }

// clip drops the requests if there are too many, and fails then.
func (q *PermitsRequest) clip() error { return clip("allot permits", &q.Requests) }

// clip drops the requests of a message if there are too many, and fails then.
func clip[T any](op string, requests *[]T) error {
	n := len(*requests)
	if n <= maxPermitRequests {
		return nil
	}
	*requests = nil
	return &Error{op, KindInvalid, errors.Errorf("%d requests in a message", n)}
}

// PermitsReply holds the replies in the order of the requests.
type PermitsReply struct{ Replies []permit.Reply }

// checked is a pointer to a message that checks itself.
type checked[T any] interface {
	*T
	Check() error
}

// checkRequests checks the requests of a message.
func checkRequests[T any, M checked[T]](op string, requests []T) error {
	if len(requests) > maxPermitRequests {
		return &Error{op, KindInvalid, errors.Errorf("%d requests in a message", len(requests))}
	}
	for i := range requests {
		if err := M(&requests[i]).Check(); err != nil {
			return &Error{op, KindInvalid, err}
		}
	}
	return nil
}

// checkReplies checks the replies to a number of requests.
func checkReplies[T any, M checked[T]](op string, replies []T, requests int) error {
	if len(replies) != requests {
		return &Error{op, KindInvalid, errors.Errorf("%d replies to %d requests", len(replies), requests)}
	}
	return checkRequests[T, M](op, replies)
}

// Permits hands out permits to another daemon. It is called by net/rpc.
func (p *peerServer) Permits(q PermitsRequest, reply *PermitsReply) error {
	if err := checkRequests("allot permits", q.Requests); err != nil {
		return err
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
	return d.allocator.Allot(now, d.permitOrders.of(d, q.Process.Endpoint, q.Domain).Position, q)
}

// permitOrders caches the orders of the daemons for limited endpoints. An order takes a
// tenth of a millisecond for a thousand daemons.
type permitOrders struct {
	memberChanges int
	byEndpoint    map[fescuelatch.EndpointID]permit.Order
}

// of returns the order for an endpoint of a failure domain.
func (o *permitOrders) of(d *Daemon, id fescuelatch.EndpointID, domain fescuelatch.DomainID) permit.Order {
	if o.byEndpoint == nil || o.memberChanges != d.storeView.memberChanges || len(o.byEndpoint) >= maxPermitRequests {
		o.byEndpoint, o.memberChanges = make(map[fescuelatch.EndpointID]permit.Order), d.storeView.memberChanges
	}
	order, ok := o.byEndpoint[id]
	if !ok {
		order = d.permitOrderLocked(id, domain)
		o.byEndpoint[id] = order
	}
	return order
}

// permitOrderLocked returns the order of the daemons for an endpoint. A daemon that the
// others do not know of yet must not be an allocator, unless it knows of no other one
// either.
func (d *Daemon) permitOrderLocked(id fescuelatch.EndpointID, domain fescuelatch.DomainID) permit.Order {
	return permit.OrderOf(id, domain, d.options.VM, func(yield func(fescuelatch.VMID, fescuelatch.DomainID) bool) {
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
	var slotsDue <-chan time.Time
	for {
		select {
		case <-d.permitsLacking:
		case <-slotsDue:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		d.requestPermits(ctx, now)
		slotsDue = d.requestSlots(ctx, now)
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
	due := d.gate.PermitRequests(now, maxSentRequests)
	if len(due) == 0 {
		if d.gate.LimitedEndpoints() == 0 && d.gate.BrittleEndpoints() == 0 {
			d.allocators.close()
		}
		return
	}
	rounds := make(map[fescuelatch.VMID]*permitRound)
	for _, q := range due {
		q.From = d.options.VM
		order := d.permitOrders.of(d, q.Process.Endpoint, q.Domain)
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

// allocatorTimeout is how long this daemon runs before a call to an allocator has failed.
// Permits that arrive later could hardly be used.
const allocatorTimeout = 300 * time.Millisecond

// callAllocator sends requests to an allocator.
func (d *Daemon) callAllocator(ctx context.Context, vm fescuelatch.VMID, address netip.AddrPort, requests []permit.Request) ([]permit.Reply, error) {
	ctx, cancel := d.stalls.WithTimeout(ctx, allocatorTimeout)
	defer cancel()
	reply := new(PermitsReply)
	if err := d.allocators.call(ctx, vm, address, "Permits", PermitsRequest{requests}, reply); err != nil {
		return nil, err
	}
	if err := checkReplies("request permits", reply.Replies, len(requests)); err != nil {
		return nil, err
	}
	return reply.Replies, nil
}

// askAllocator sends requests to another daemon and applies its replies.
func (d *Daemon) askAllocator(ctx context.Context, vm fescuelatch.VMID, address netip.AddrPort, r *permitRound) {
	replies, err := d.callAllocator(ctx, vm, address, r.requests)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
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
