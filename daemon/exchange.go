package daemon

import (
	"time"

	"fescuelatch"
	"fescuelatch/ownership"
	"fescuelatch/peer"
)

// This file defines how one exchange serves two daemons of a failure domain:
// the called daemon replies with a heartbeat of its own, which the caller
// acknowledges in its next message.

const (
	// callWindow is the time after a call by a member during which this daemon
	// leaves the next exchange to it.
	callWindow = 3 * heartbeatInterval / 2
	// minLeaseLeft is the remaining time of the member's lease that this
	// requires.
	minLeaseLeft = 3 * heartbeatInterval / 2
	// maxSentHeartbeats is the number of heartbeats in replies that may still
	// be acknowledged.
	maxSentHeartbeats = 4
)

// sentHeartbeat is a heartbeat in a reply.
type sentHeartbeat struct {
	sequence uint64
	sent     time.Time
}

// heartbeatExchanges tracks the heartbeats in replies for each other member.
// The daemon's lock guards it.
type heartbeatExchanges struct {
	// called is when each member last called.
	called      map[fescuelatch.VMID]time.Time
	sent        map[fescuelatch.VMID][]sentHeartbeat
	pendingAcks map[fescuelatch.VMID]*peer.Acked
}

func newHeartbeatExchanges() heartbeatExchanges {
	return heartbeatExchanges{
		called:      make(map[fescuelatch.VMID]time.Time),
		sent:        make(map[fescuelatch.VMID][]sentHeartbeat),
		pendingAcks: make(map[fescuelatch.VMID]*peer.Acked),
	}
}

// record stores when a heartbeat was sent to a member.
func (x *heartbeatExchanges) record(to fescuelatch.VMID, sequence uint64, sent time.Time) {
	x.called[to] = sent
	x.sent[to] = append(x.sent[to], sentHeartbeat{sequence, sent})
	x.sent[to] = x.sent[to][max(0, len(x.sent[to])-maxSentHeartbeats):]
}

// sentAt returns when a heartbeat was sent to a member.
func (x *heartbeatExchanges) sentAt(to fescuelatch.VMID, sequence uint64) (time.Time, bool) {
	for _, b := range x.sent[to] {
		if b.sequence == sequence {
			return b.sent, true
		}
	}
	return time.Time{}, false
}

// defersTo reports whether this daemon leaves the next exchange to a member: of
// two, the one with the greater identifier calls as long as that works in both
// directions.
func (x *heartbeatExchanges) defersTo(now time.Time, self fescuelatch.VMID, m *ownership.Member) bool {
	return self < m.VM && now.Sub(x.called[m.VM]) < callWindow && m.Lease.Sub(now) >= minLeaseLeft
}

// membersToCall returns the members of the own failure domain to call now.
func (d *Daemon) membersToCall() []fescuelatch.VM {
	all := d.members()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	deferred := make(map[fescuelatch.VMID]bool)
	for _, m := range d.table.Members(now) {
		deferred[m.VM] = d.exchanges.defersTo(now, d.options.VM, &m)
	}
	var call []fescuelatch.VM
	for _, m := range all {
		if !deferred[m.ID] {
			call = append(call, m)
		}
	}
	return call
}

// receiveReplyHeartbeat processes the heartbeat in a called member's reply.
func (d *Daemon) receiveReplyHeartbeat(now time.Time, b *ownership.Heartbeat) {
	if b == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a, err := d.table.ReceiveHeartbeat(now, *b)
	d.refreshOwned(now)
	if err == nil {
		d.exchanges.pendingAcks[b.From] = &peer.Acked{Ack: a, Sequence: b.Sequence}
	}
}

// answerHeartbeat processes the ownership part of a member's heartbeat and
// fills in that of the reply.
func (d *Daemon) answerHeartbeat(now time.Time, h *peer.Heartbeat, reply *peer.HeartbeatReply) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	ack, err := d.table.ReceiveHeartbeat(now, *h.Ownership)
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
	d.exchanges.record(h.VM, beat.Sequence, now)
	reply.Ownership, reply.Beat = &ack, &beat
	if d.isListReader(now) {
		reply.List = d.vmList.report(now)
	}
	return nil
}
