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

// This file defines how daemons request slots of brittle endpoints from each other.

// SlotsRequest requests slots of several endpoints.
type SlotsRequest struct{ Requests []permit.SlotRequest }

// SlotsReply holds the replies in the order of the requests.
type SlotsReply struct{ Replies []permit.SlotReply }

// Slots grants slots to another daemon. It is called by net/rpc.
func (p *peerServer) Slots(q SlotsRequest, reply *SlotsReply) error {
	const op = "grant slots"
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
		reply.Replies = append(reply.Replies, d.grantSlotsLocked(now, r))
	}
	return nil
}

// grantSlotsLocked answers a request for slots as the allocator.
func (d *Daemon) grantSlotsLocked(now time.Time, q permit.SlotRequest) permit.SlotReply {
	return d.slotAllocator.Allot(now, d.slotOrderLocked(q).Position, q)
}

// slotOrderLocked returns the order of the daemons for the endpoint of a request.
func (d *Daemon) slotOrderLocked(q permit.SlotRequest) permit.Order {
	return d.permitOrders.of(d, permit.Request{Process: q.Process, Domain: q.Domain})
}

// requestSlots sends the requests for slots that are due, and returns a channel that fires
// when the next one is that should not wait for the daemon's tick.
func (d *Daemon) requestSlots(ctx context.Context, now time.Time) <-chan time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sendSlotRequestsLocked(ctx, now)
	if wait, ok := d.gate.SlotsDue(now); ok {
		return time.After(wait)
	}
	return nil
}

func (d *Daemon) sendSlotRequestsLocked(ctx context.Context, now time.Time) {
	rounds := make(map[fescuelatch.VMID][]permit.SlotRequest)
	for _, q := range d.gate.SlotRequests(now, maxPermitRequests) {
		q.From = d.options.VM
		vm, ok := d.allocators.choose(now, d.slotOrderLocked(q).Allocators)
		if !ok {
			d.gate.SlotsFailed(now, q.Process)
			continue
		}
		rounds[vm] = append(rounds[vm], q)
	}
	for vm, requests := range rounds {
		if vm != d.options.VM {
			go d.askForSlots(ctx, vm, d.storeView.members[vm].Control, requests)
			continue
		}
		for _, q := range requests {
			d.gate.GrantSlots(q.Process, d.grantSlotsLocked(now, q))
		}
		d.decideLocked(now, decision.Tick{})
	}
}

// askForSlots sends requests to another daemon and applies its replies. Queued requests may
// fill the slots.
func (d *Daemon) askForSlots(ctx context.Context, vm fescuelatch.VMID, address netip.AddrPort, requests []permit.SlotRequest) {
	replies, err := d.callForSlots(ctx, vm, address, requests)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.allocators.fail(now, vm)
		d.metrics.allocatorFailures.Inc(1)
		d.log.Warn("request for slots failed", "allocator", vm, "endpoints", len(requests), "error", err.Error())
		for _, q := range requests {
			d.gate.SlotsFailed(now, q.Process)
		}
		return
	}
	for i, q := range requests {
		d.gate.GrantSlots(q.Process, replies[i])
		d.metrics.countSlots(q.Want, replies[i].Granted)
	}
	d.decideLocked(now, decision.Tick{})
}

// callForSlots sends requests to an allocator.
func (d *Daemon) callForSlots(ctx context.Context, vm fescuelatch.VMID, address netip.AddrPort, requests []permit.SlotRequest) ([]permit.SlotReply, error) {
	const op = "request slots"
	reply := new(SlotsReply)
	if err := d.allocators.call(ctx, allocatorTimeout, vm, address, "Slots", SlotsRequest{requests}, reply); err != nil {
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
