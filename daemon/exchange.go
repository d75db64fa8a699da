package daemon

import (
	"time"

	"fescuelatch"
	"fescuelatch/ownership"
	"fescuelatch/peer"
)

// This file defines how one exchange serves two daemons of a failure domain:
// the one that is called answers with a heartbeat of its own, which the next
// message of the caller acknowledges.

const (
	// calledWithin is the time since a member called within which this
	// daemon leaves the next exchange to it.
	calledWithin = 3 * heartbeatInterval / 2
	// leaseLeft is what must be left of the lease from a member to do so.
	leaseLeft = 3 * heartbeatInterval / 2
	// beatsKept is the number of heartbeats in replies that may still be
	// acknowledged.
	beatsKept = 4
)

// sentBeat is a heartbeat in a reply.
type sentBeat struct {
	sequence uint64
	sent     time.Time
}

// exchanges are the heartbeats in replies, by the other member. The daemon's
// lock guards them.
type exchanges struct {
	// called is when a member called last.
	called map[fescuelatch.VMID]time.Time
	sent   map[fescuelatch.VMID][]sentBeat
	owed   map[fescuelatch.VMID]*peer.Acked
}

func newExchanges() exchanges {
	return exchanges{
		called: make(map[fescuelatch.VMID]time.Time),
		sent:   make(map[fescuelatch.VMID][]sentBeat),
		owed:   make(map[fescuelatch.VMID]*peer.Acked),
	}
}

// note keeps when a heartbeat was sent to a member.
func (x *exchanges) note(to fescuelatch.VMID, sequence uint64, sent time.Time) {
	x.called[to] = sent
	x.sent[to] = append(x.sent[to], sentBeat{sequence, sent})
	x.sent[to] = x.sent[to][max(0, len(x.sent[to])-beatsKept):]
}

// sentAt returns when a heartbeat was sent to a member.
func (x *exchanges) sentAt(to fescuelatch.VMID, sequence uint64) (time.Time, bool) {
	for _, b := range x.sent[to] {
		if b.sequence == sequence {
			return b.sent, true
		}
	}
	return time.Time{}, false
}

// leaveTo reports whether the next exchange with a member is left to it: of
// two, the later by name calls while that works in both directions.
func (x *exchanges) leaveTo(now time.Time, self fescuelatch.VMID, m *ownership.Member) bool {
	return self < m.VM && now.Sub(x.called[m.VM]) < calledWithin && m.Lease.Sub(now) >= leaseLeft
}

// toCall returns the members of the own failure domain to call now.
func (d *Daemon) toCall() []fescuelatch.VM {
	all := d.members()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	left := make(map[fescuelatch.VMID]bool)
	for _, m := range d.table.Members(now) {
		left[m.VM] = d.exchanges.leaveTo(now, d.options.VM, &m)
	}
	var call []fescuelatch.VM
	for _, m := range all {
		if !left[m.ID] {
			call = append(call, m)
		}
	}
	return call
}

// receivedInReply takes in the heartbeat of a member that was called.
func (d *Daemon) receivedInReply(now time.Time, b *ownership.Heartbeat) {
	if b == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a, err := d.table.Received(now, *b)
	d.refreshOwned(now)
	if err == nil {
		d.exchanges.owed[b.From] = &peer.Acked{Ack: a, Sequence: b.Sequence}
	}
}

// answer takes in what a member says of ownership and returns the reply's
// part of it.
func (d *Daemon) answer(now time.Time, h *peer.Heartbeat, reply *peer.HeartbeatReply) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	ack, err := d.table.Received(now, *h.Ownership)
	if a := h.Acked; err == nil && a != nil {
		if sent, ok := d.exchanges.sentAt(h.VM, a.Sequence); ok {
			d.acknowledgedLocked(now, sent, a.Ack)
		}
	}
	d.refreshOwned(now)
	if err != nil {
		return err
	}
	beat := d.table.Heartbeat(now)
	d.exchanges.note(h.VM, beat.Sequence, now)
	reply.Ownership, reply.Beat = &ack, &beat
	if d.readsList(now) {
		reply.List = d.listing.tell(now)
	}
	return nil
}
