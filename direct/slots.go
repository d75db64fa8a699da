package direct

import (
	"context"
	"net/netip"
	"time"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/permit"
)

// This file defines how daemons request slots of brittle endpoints from each other.

// SlotsRequest requests slots of several endpoints.
type SlotsRequest struct{ Requests []permit.SlotRequest }

// clip drops the requests if there are too many, and fails then.
func (q *SlotsRequest) clip() error { return clip("grant slots", &q.Requests) }

// SlotsReply holds the replies in the order of the requests.
type SlotsReply struct{ Replies []permit.SlotReply }

// Slots grants slots to another daemon. It is called by net/rpc.
func (p *peerServer) Slots(q SlotsRequest, reply *SlotsReply) error {
	if err := checkRequests("grant slots", q.Requests); err != nil {
		return err
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
	return d.slotAllocator.Allot(now, d.permitOrders.of(d, q.Process.Endpoint, q.Domain).Position, q)
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
	for _, q := range d.gate.SlotRequests(now, maxSentRequests) {
		q.From = d.options.VM
		vm, ok := d.allocators.choose(now, d.permitOrders.of(d, q.Process.Endpoint, q.Domain).Allocators)
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
	ctx, cancel := d.stalls.WithTimeout(ctx, allocatorTimeout)
	defer cancel()
	reply := new(SlotsReply)
	if err := d.allocators.call(ctx, vm, address, "Slots", SlotsRequest{requests}, reply); err != nil {
		return nil, err
	}
	if err := checkReplies("request slots", reply.Replies, len(requests)); err != nil {
		return nil, err
	}
	return reply.Replies, nil
}
