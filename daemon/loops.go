package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/ownership"
	"fescuelatch/peer"
)

// This file defines the periodic work of a daemon.

const (
	// tickInterval is the maximum wait of a queued attempt for a decision that
	// depends only on time.
	tickInterval = 20 * time.Millisecond
	// heartbeatInterval is the interval of heartbeats within the failure
	// domain.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat. It is shorter than the lease.
	heartbeatTimeout = time.Second
	// lostTimeout is the inactivity timeout after which nothing is forwarded to
	// a daemon.
	lostTimeout = 3 * time.Second
)

// loops starts the periodic work of the daemon, which ends with ctx.
func (d *Daemon) loops(ctx context.Context, g *errgroup.Group) {
	every := func(interval time.Duration, f func(context.Context)) {
		g.Go(func() error {
			t := time.NewTicker(interval)
			defer t.Stop()
			for {
				select {
				case <-t.C:
					f(ctx)
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	every(tickInterval, func(context.Context) { d.touch(); d.decide(decision.Tick{}) })
	every(heartbeatInterval, d.heartbeatDomain)
	every(gossipInterval, d.gossip)
	every(probeInterval, d.probe)
	every(reportInterval, d.readReports)
	every(listCheckInterval, d.readListWhenDue)
	every(lostTimeout/4, d.markLost)
	every(idleCheckInterval, d.closeIdle)
	g.Go(func() error { d.follow(ctx); return nil })
	g.Go(func() error { d.applyConfigurations(ctx); return nil })
	g.Go(func() error { d.learnConfiguration(ctx); return nil })
	for _, run := range []func(context.Context){d.batcher.Run, d.claims.Run, d.ledger.Run, d.keeper.Run} {
		g.Go(func() error { run(ctx); return nil })
	}
}

// heartbeatDomain sends a heartbeat to each daemon of the own failure domain
// that is not expected to send one itself.
func (d *Daemon) heartbeatDomain(ctx context.Context) {
	for _, m := range d.membersToCall() {
		go d.heartbeat(ctx, m)
	}
}

// members returns the other entry VMs of the own failure domain.
func (d *Daemon) members() []fescuelatch.VM {
	v := d.holder.View()
	if v == nil {
		return nil
	}
	var ms []fescuelatch.VM
	for _, m := range v.VMsIn(d.options.Domain) {
		if m.ID != d.options.VM {
			ms = append(ms, m)
		}
	}
	return ms
}

// heartbeat exchanges state with another daemon.
func (d *Daemon) heartbeat(ctx context.Context, to fescuelatch.VM) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	h := &peer.Heartbeat{Hello: d.hello(d.generationAt(to.ID))}
	since, known := d.evidenceSince(sent, to.ID, h.Generation)
	h.Evidence = changedSince(h.Evidence, since)
	if !known.Through.IsZero() {
		h.Known = known
	}
	if to.Domain == d.options.Domain {
		d.mu.Lock()
		o := d.table.Heartbeat(sent)
		h.Acked = d.exchanges.pendingAcks[to.ID]
		d.mu.Unlock()
		h.Ownership = &o
	}
	d.metrics.heartbeats.Inc(1)
	reply, err := d.peers.Heartbeat(ctx, to.Peer, h)
	if err != nil {
		d.metrics.unanswered.Inc(1)
		return
	}
	if reply.Ownership != nil {
		d.acknowledged(sent, *reply.Ownership)
	}
	d.receiveReplyHeartbeat(time.Now(), reply.Beat)
	d.receiveList(sent, reply.List)
	d.receiveHello(ctx, reply.Hello)
	if reply.Generation == h.Generation {
		d.recordEvidence(sent, h, reply, since)
	}
}

// evidenceSince returns the time after which changes of evidence have not been
// sent to a daemon yet, and the evidence received from that daemon.
func (d *Daemon) evidenceSince(now time.Time, to fescuelatch.VMID, g fescuelatch.Generation) (time.Time, peer.Known) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := d.hellos[to].hello.Incarnation
	return d.evidenceSent[to].since(now, i, g), peer.Known{Incarnation: i, Through: d.evidenceReceived[to].since(now, i, g)}
}

// recordEvidence records the evidence exchanged by a heartbeat and its reply.
func (d *Daemon) recordEvidence(sent time.Time, h *peer.Heartbeat, reply *peer.HeartbeatReply, since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	to := reply.VM
	d.evidenceSent[to] = d.evidenceSent[to].advance(sent, since, reply.Incarnation, h.Generation, h.Evidence)
	d.evidenceReceived[to] = d.evidenceReceived[to].advance(sent, h.Known.Through, reply.Incarnation, h.Generation, reply.Evidence)
}

// generationAt returns the last reported generation of a daemon.
func (d *Daemon) generationAt(vm fescuelatch.VMID) fescuelatch.Generation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hellos[vm].hello.Generation
}

func (d *Daemon) acknowledged(sent time.Time, a ownership.Ack) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.acknowledgedLocked(now, sent, a)
	d.refreshOwned(now)
}

func (d *Daemon) acknowledgedLocked(now, sent time.Time, a ownership.Ack) {
	if err := d.table.ReceiveAck(now, sent, a); err != nil {
		d.log.Warn("heartbeat acknowledgement rejected", "vm-from", a.From, "error", err.Error())
	}
}

// receiveHello merges the state that another daemon reports.
func (d *Daemon) receiveHello(ctx context.Context, h peer.Hello) {
	if err := h.Validate(); err != nil || h.VM == d.options.VM {
		return
	}
	now := time.Now()
	d.mu.Lock()
	was, ok := d.hellos[h.VM]
	h.Spares, h.Counts = d.sparesOf(&h, was), nil
	since := now
	switch {
	case ok && was.hello.Incarnation == h.Incarnation:
		since = was.first
	case ok && !was.lost:
		go d.reportLost(context.WithoutCancel(ctx), was.hello.Incarnation)
	}
	if d.unresponsive.remove(h.VM) || was.lost || since.Equal(now) {
		go d.ledger.PeerJoined()
	}
	d.hellos[h.VM] = peerState{hello: h, at: now, first: since}
	if h.Leaving {
		d.decideLocked(decision.PeerLost{VM: h.VM})
	} else {
		d.decideLocked(decision.PeerSummarised{
			VM: h.VM, Domain: h.Domain, Spares: h.Spares, Evidence: toOwnTime(d.options.Clock, h.Evidence), At: now,
		})
	}
	d.mu.Unlock()
	if d.learned.Load() && h.Generation > d.holder.Generation() {
		d.fetchFrom(ctx, h.VM)
	}
}

// markLost stops forwarding to daemons whose inactivity timeout has expired,
// and has the bills whose copies they hold copied to other daemons.
func (d *Daemon) markLost(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for vm, h := range d.hellos {
		if h.lost || now.Sub(h.at) <= lostTimeout {
			continue
		}
		h.lost = true
		d.hellos[vm] = h
		d.decideLocked(decision.PeerLost{VM: vm})
		d.cancelForwards(vm)
		go d.reportLost(ctx, h.hello.Incarnation)
	}
}

// announce sends heartbeats to all daemons of the own failure domain at once.
func (d *Daemon) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	g := new(errgroup.Group)
	for _, m := range d.members() {
		g.Go(func() error { d.heartbeat(ctx, m); return nil })
	}
	_ = g.Wait()
}
