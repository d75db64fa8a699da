package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines which daemons of other failure domains a daemon exchanges
// heartbeats with: a small fixed set, so that connections and traffic do not
// grow with the fleet.

const (
	// gossipInterval is the minimum time between two such exchanges.
	gossipInterval = 250 * time.Millisecond
	// partnerInterval is the time since the last contact after which a partner
	// is called. In a small fleet, the known free capacity elsewhere is hardly
	// older. A full round over all partners takes less than lostTimeout.
	partnerInterval = 500 * time.Millisecond
	// probeInterval is the minimum time between two calls of lost partners.
	probeInterval = time.Second
	// maxPartners is the number of partners that are not lost.
	maxPartners = 10
	// peerIdleTimeout is the time after which an unused connection to another
	// daemon is closed.
	peerIdleTimeout = 30 * time.Second
	// idleCheckInterval is the interval of checks for such connections.
	idleCheckInterval = 10 * time.Second
)

// rankPartners returns the VMs of other failure domains in the order in which
// self selects them as partners: the first of each failure domain, then the
// second of each, and so on.
func rankPartners(v *fescuelatch.View, self fescuelatch.VMID, own fescuelatch.DomainID) []fescuelatch.VM {
	type candidate struct {
		round int
		rank  uint64
		vm    fescuelatch.VM
	}
	byDomain := make(map[fescuelatch.DomainID][]candidate)
	for _, m := range v.Configuration.Inventory.VMs {
		if m.Domain != own {
			byDomain[m.Domain] = append(byDomain[m.Domain], candidate{rank: rankOf(self, m.ID), vm: m})
		}
	}
	var all []candidate
	for _, ps := range byDomain {
		slices.SortFunc(ps, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
		for i := range ps {
			ps[i].round = i
		}
		all = append(all, ps...)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.rank, b.rank), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	vms := make([]fescuelatch.VM, len(all))
	for i, p := range all {
		vms[i] = p.vm
	}
	return vms
}

// contact records when a daemon was last in contact with another one.
type contact struct {
	heard, called time.Time
	// lost reports that the daemon has been unresponsive for long, or never
	// replied.
	lost bool
}

// last returns the later of the two times.
func (k contact) last() time.Time {
	if k.heard.After(k.called) {
		return k.heard
	}
	return k.called
}

// nextPartner returns the partner to call at now, among either the lost or the
// live ones. Partners are the first live VMs in order, up to maxPartners, and
// the lost VMs that precede the last of them.
func nextPartner(now time.Time, order []fescuelatch.VM, lost bool, of func(fescuelatch.VMID) contact) (fescuelatch.VM, bool) {
	var next fescuelatch.VM
	var oldest time.Time
	live, found := 0, false
	for _, m := range order {
		k := of(m.ID)
		at := k.last()
		if k.lost == lost && now.Sub(at) >= partnerInterval && (!found || at.Before(oldest)) {
			next, oldest, found = m, at, true
		}
		if !k.lost {
			live++
		}
		if live == maxPartners {
			break
		}
	}
	return next, found
}

// gossip sends a heartbeat to the partner that is due.
func (d *Daemon) gossip(ctx context.Context) { d.callNextPartner(ctx, false) }

// probe sends a heartbeat to a lost partner.
func (d *Daemon) probe(ctx context.Context) { d.callNextPartner(ctx, true) }

func (d *Daemon) callNextPartner(ctx context.Context, lost bool) {
	v := d.holder.View()
	if v == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.partnersGeneration != v.Generation() {
		d.partnersGeneration, d.partnerOrder = v.Generation(), rankPartners(v, d.options.VM, d.options.Domain)
	}
	now := time.Now()
	m, ok := nextPartner(now, d.partnerOrder, lost, d.contactWith)
	if ok {
		d.partnerCalled[m.ID] = now
		// A slow partner must not delay the others.
		go d.heartbeat(ctx, m)
	}
}

// contactWith returns the last contact with a VM. The lock is held.
func (d *Daemon) contactWith(vm fescuelatch.VMID) contact {
	h, ok := d.hellos[vm]
	called := d.partnerCalled[vm]
	return contact{heard: h.at, called: called, lost: h.lost || !ok && !called.IsZero()}
}

// closeIdle closes unused connections to other daemons.
func (d *Daemon) closeIdle(context.Context) { d.peers.CloseIdle(time.Now().Add(-peerIdleTimeout)) }
