package direct

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/decision"
)

// This file defines how a daemon that reaches no endpoint of a version finds daemons that
// do, its delegates. While it knows some, its decision core passes requests on to them.
// Whether the partition or the endpoints are at fault cannot be told from here: a daemon
// that reaches none either has nothing to offer, and is no delegate.
//
// A delegate handles a request by its own state of the store. It must know all that this daemon
// knows of what decides that, or it would handle the request by an older configuration. So it
// is told what that is: with the question for its capacity, and with each request.
//
// A daemon's answers show that it runs, whatever its record in the store. The record of one that
// has not reached the store for a time is gone, as its lease has expired.

const (
	// delegateInterval is the time between two rounds of questions.
	delegateInterval = 300 * time.Millisecond
	// delegateTimeout is how long this daemon runs before a question has failed.
	delegateTimeout = 600 * time.Millisecond
	// delegateLifetime is how long a daemon that no longer answers remains a
	// delegate: it may be busy.
	delegateLifetime = 2 * time.Second
	// maxDelegates bounds the daemons asked in a round, and maxLocalDelegates those of
	// the own failure domain, which may be partitioned as a whole.
	maxDelegates      = 4
	maxLocalDelegates = 2
	// delegateBackoff is how long a daemon without spare capacity is not asked.
	delegateBackoff = 2 * time.Second
	// behindBackoff is the same for one with an older state, which mostly catches up at once.
	behindBackoff = delegateInterval
)

// delegates holds the delegates of a daemon. It is not safe for concurrent use.
type delegates struct {
	// active reports whether the daemon reaches no endpoint of some version.
	active bool
	asked  time.Time
	// known holds the daemons whose capacity the core knows.
	known map[fescuelatch.VMID]delegate
	// uselessUntil is until when daemons are not asked.
	uselessUntil map[fescuelatch.VMID]time.Time
	// required is what those with a newer state than this daemon have told to be required.
	required fescuelatch.StateVersion
	// journals holds where the journals of daemons have been read to that do not tell their
	// state otherwise.
	journals map[fescuelatch.VMID]journalPosition
}

// delegate is the last answer of a daemon that has capacity to offer.
type delegate struct {
	at    time.Time
	state fescuelatch.StateVersion
	// checks reports that it refuses requests that need a newer state.
	checks bool
}

// choose returns the daemons to ask: the known ones, and random others.
func (g *delegates) choose(now time.Time, members map[fescuelatch.VMID]member, self fescuelatch.VMID, domain fescuelatch.DomainID) []fescuelatch.VMID {
	chosen := slices.Collect(maps.Keys(g.known))
	candidates := make([]fescuelatch.VMID, 0, len(members))
	for vm, m := range members {
		if vm != self && m.Control.IsValid() && m.Callers.IsValid() && g.known[vm].at.IsZero() && !now.Before(g.uselessUntil[vm]) {
			candidates = append(candidates, vm)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	local := 0
	for _, vm := range chosen {
		if members[vm].Domain == domain {
			local++
		}
	}
	for _, vm := range candidates {
		if len(chosen) >= maxDelegates {
			break
		}
		if members[vm].Domain == domain {
			if local >= maxLocalDelegates {
				continue
			}
			local++
		}
		chosen = append(chosen, vm)
	}
	return chosen
}

// add records that a daemon has capacity to offer, and reports whether that is new.
func (g *delegates) add(vm fescuelatch.VMID, k delegate) bool {
	if g.known == nil {
		g.known = make(map[fescuelatch.VMID]delegate)
	}
	_, known := g.known[vm]
	g.known[vm] = k
	return !known
}

// remove records that a daemon is no delegate and is not asked for a time, and reports whether
// it was one.
func (g *delegates) remove(now time.Time, vm fescuelatch.VMID, backoff time.Duration) bool {
	if g.uselessUntil == nil {
		g.uselessUntil = make(map[fescuelatch.VMID]time.Time)
	}
	g.uselessUntil[vm] = now.Add(backoff)
	_, known := g.known[vm]
	delete(g.known, vm)
	return known
}

// watchDelegatesLocked looks for delegates while this daemon reaches no endpoint of some
// version.
func (d *Daemon) watchDelegatesLocked(ctx context.Context, now time.Time) {
	versions := d.gate.UnreachableVersions()
	if len(versions) == 0 {
		if d.delegates.active {
			d.log.Info("endpoints are reachable again; requests are no longer passed on")
			d.dropDelegatesLocked(now)
		}
		return
	}
	if !d.delegates.active {
		d.delegates.active = true
		d.log.Warn("no endpoint of some versions is reachable; asking other daemons", "versions", versions, "store-age", d.store.age(now).String())
	}
	d.dropOlderDelegatesLocked(now)
	if now.Sub(d.delegates.asked) < delegateInterval {
		return
	}
	d.delegates.asked = now
	for _, vm := range d.delegates.choose(now, d.storeView.lastMembers(now), d.options.VM, d.options.Domain) {
		if m, ok := d.storeView.lastMember(vm); ok {
			go d.askDelegate(ctx, vm, m)
		}
	}
}

// dropDelegatesLocked forgets all delegates.
func (d *Daemon) dropDelegatesLocked(now time.Time) {
	for vm := range d.delegates.known {
		d.decideLocked(now, decision.PeerLost{VM: vm})
	}
	d.delegates = delegates{}
	d.metrics.delegates.Update(0)
	d.delegateCalls.close()
}

// requiredStateLocked returns what a daemon must know to handle a request of this one.
func (d *Daemon) requiredStateLocked() fescuelatch.StateVersion {
	return d.storeView.decisiveVersion().Join(d.delegates.required)
}

// dropOlderDelegatesLocked ends the use of delegates of an earlier build whose state was read
// before the last change that matters.
func (d *Daemon) dropOlderDelegatesLocked(now time.Time) {
	required := d.requiredStateLocked()
	for vm, k := range d.delegates.known {
		if !k.checks && !k.state.Covers(required) {
			d.dropOlderDelegateLocked(now, vm, k.state)
		}
	}
}

// dropOlderDelegateLocked ends the use of a daemon whose state is older than required.
func (d *Daemon) dropOlderDelegateLocked(now time.Time, vm fescuelatch.VMID, state fescuelatch.StateVersion) {
	d.metrics.olderDelegates.Inc(1)
	d.log.Info("another daemon's state is older than this one's; no requests are passed on to it", "peer", vm,
		"state", state, "required", d.requiredStateLocked(), "store-age", d.store.age(now).String())
	d.removeDelegateLocked(now, vm, behindBackoff)
}

// SparesRequest asks a daemon for the free capacity of the endpoints that it reaches.
type SparesRequest struct {
	From fescuelatch.VMID
	// Required is what the daemon must know to handle requests. It is zero in requests of
	// earlier builds.
	Required fescuelatch.StateVersion
}

// SparesReply holds the free capacity by version.
type SparesReply struct {
	Spares []fescuelatch.Spare
	// State is what the daemon knows, and Required what another one must know to handle
	// its requests. Both are zero in replies of earlier builds.
	State, Required fescuelatch.StateVersion
}

// Spares returns the free capacity to another daemon. It is called by net/rpc.
func (p *peerServer) Spares(q SparesRequest, reply *SparesReply) error {
	d := p.daemon
	// The other daemon compares the versions.
	_ = d.catchUp(context.Background(), q.Required, catchUpTimeout)
	d.mu.Lock()
	defer d.mu.Unlock()
	reply.State, reply.Required = d.storeView.version(), d.storeView.decisiveVersion()
	if !d.stopping.Load() {
		reply.Spares = d.gate.Spare(time.Now())
	}
	return nil
}

// askDelegate asks a daemon for its free capacity and passes that of unreachable versions
// to the core.
func (d *Daemon) askDelegate(ctx context.Context, vm fescuelatch.VMID, m member) {
	ctx, cancel := d.stalls.WithTimeout(ctx, delegateTimeout)
	defer cancel()
	d.mu.Lock()
	q := SparesRequest{d.options.VM, d.requiredStateLocked()}
	d.mu.Unlock()
	reply := new(SparesReply)
	err := d.delegateCalls.call(ctx, vm, m.Control, "Spares", q, reply)
	checks := err == nil && !reply.State.IsZero() // A late reply may still be arriving.
	if err == nil && !checks {
		reply.State, err = d.askState(ctx, vm, m)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.delegates.active {
		return
	}
	if err != nil {
		d.log.Info("another daemon does not tell its free capacity", "peer", vm, "error", err.Error())
		if now.Sub(d.delegates.known[vm].at) >= delegateLifetime {
			d.removeDelegateLocked(now, vm, delegateBackoff)
		}
		return
	}
	spares := usableSpares(reply.Spares, d.gate.UnreachableVersions())
	if len(spares) == 0 {
		d.removeDelegateLocked(now, vm, delegateBackoff)
		return
	}
	if !reply.State.Covers(d.requiredStateLocked()) {
		d.dropOlderDelegateLocked(now, vm, reply.State)
		return
	}
	d.delegates.required = d.delegates.required.Join(reply.Required)
	if d.delegates.add(vm, delegate{now, reply.State, checks}) {
		d.log.Info("another daemon reaches endpoints that this one does not; requests are passed on to it", "peer", vm, "state", reply.State)
	}
	d.decideLocked(now, decision.PeerSummarised{VM: vm, Domain: m.Domain, At: now, Spares: spares})
	d.metrics.delegates.Update(float64(len(d.delegates.known)))
}

// journalPosition is a position in the journal of a daemon's process.
type journalPosition struct {
	process string
	next    int64
}

// askState returns the state of a daemon of an earlier build, which tells it to its followers
// only. The generation follows from the revision unless the store was restored, which such a
// daemon cannot tell.
func (d *Daemon) askState(ctx context.Context, vm fescuelatch.VMID, m member) (fescuelatch.StateVersion, error) {
	d.mu.Lock()
	at := d.delegates.journals[vm]
	generation := d.requiredStateLocked().Generation
	d.mu.Unlock()
	reply := new(ChangesReply)
	q := ChangesRequest{From: d.options.VM, Process: at.process, Next: at.next, Encoded: true, Held: d.largeValues.held()}
	if err := d.delegateCalls.call(ctx, vm, m.Control, "Changes", q, reply); err != nil {
		return fescuelatch.StateVersion{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.delegates.journals == nil {
		d.delegates.journals = make(map[fescuelatch.VMID]journalPosition)
	}
	d.delegates.journals[vm] = journalPosition{reply.Process, reply.Next}
	return fescuelatch.StateVersion{Era: reply.Era, Revision: reply.Revision, Generation: generation}, nil
}

func (d *Daemon) removeDelegateLocked(now time.Time, vm fescuelatch.VMID, backoff time.Duration) {
	if d.delegates.remove(now, vm, backoff) {
		d.log.Info("requests are no longer passed on to another daemon", "peer", vm)
		d.decideLocked(now, decision.PeerLost{VM: vm})
	}
	d.metrics.delegates.Update(float64(len(d.delegates.known)))
}

// maxSpareSlots bounds the slots of a daemon, so that those of all daemons can be added up.
const maxSpareSlots = 1 << 30

// usableSpares returns the capacity for the given versions that a daemon reaches.
func usableSpares(spares []fescuelatch.Spare, versions []fescuelatch.VersionID) []fescuelatch.Spare {
	return slices.DeleteFunc(spares, func(s fescuelatch.Spare) bool {
		return s.Slots <= 0 || min(s.Free, s.Queued) < 0 || s.Free > s.Slots || max(s.Slots, s.Queued) > maxSpareSlots ||
			!slices.Contains(versions, s.Version)
	})
}

// delegateOf returns the address of a daemon for requests that are passed on, and what it must
// know to handle them.
func (d *Daemon) delegateOf(vm fescuelatch.VMID) (netip.AddrPort, fescuelatch.StateVersion, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.storeView.lastMember(vm)
	return m.Callers, d.requiredStateLocked(), ok && m.Callers.IsValid()
}

// refusedForState records that a daemon has refused a request that needs a newer state.
func (d *Daemon) refusedForState(vm fescuelatch.VMID, state fescuelatch.StateVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropOlderDelegateLocked(time.Now(), vm, state)
}
