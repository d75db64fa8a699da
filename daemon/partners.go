package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines with which daemons of other failure domains a daemon
// exchanges heartbeats: a few fixed ones, so that connections and bytes do
// not grow with the fleet.

const (
	// gossipInterval is the least time between two such exchanges.
	gossipInterval = 250 * time.Millisecond
	// partnerInterval is the time after which a partner that was neither
	// heard nor called is called. What is known of the free capacity
	// elsewhere is hardly older in a small fleet. With all partners in turn
	// the time stays below lostAfter.
	partnerInterval = 500 * time.Millisecond
	// probeInterval is the least time between two calls of lost partners.
	probeInterval = time.Second
	// partners is the number of partners that are not lost.
	partners = 10
	// idleAfter is the time after which a connection to another daemon that
	// nobody uses is closed.
	idleAfter = 30 * time.Second
	// idleInterval is that of looking for such connections.
	idleInterval = 10 * time.Second
)

// ranked returns the VMs of other failure domains in the order in which self
// takes them for partners: the first of each failure domain, then the second
// of each, and so on.
func ranked(v *fescuelatch.View, self fescuelatch.VMID, own fescuelatch.DomainID) []fescuelatch.VM {
	type place struct {
		round int
		rank  uint64
		vm    fescuelatch.VM
	}
	byDomain := make(map[fescuelatch.DomainID][]place)
	for _, m := range v.Configuration.Inventory.VMs {
		if m.Domain != own {
			byDomain[m.Domain] = append(byDomain[m.Domain], place{rank: rankOf(self, m.ID), vm: m})
		}
	}
	var all []place
	for _, ps := range byDomain {
		slices.SortFunc(ps, func(a, b place) int { return cmp.Compare(a.rank, b.rank) })
		for i := range ps {
			ps[i].round = i
		}
		all = append(all, ps...)
	}
	slices.SortFunc(all, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.rank, b.rank), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	vms := make([]fescuelatch.VM, len(all))
	for i, p := range all {
		vms[i] = p.vm
	}
	return vms
}

// contact is when a daemon was last in touch with another one.
type contact struct {
	heard, called time.Time
	// lost reports that it has been silent for long, or never answered.
	lost bool
}

// last returns the later of both times.
func (k contact) last() time.Time {
	if k.heard.After(k.called) {
		return k.heard
	}
	return k.called
}

// nextPartner returns the partner to call at now, among those that are lost
// or those that are not. The first VMs in order that are not lost are
// partners, and so are the lost ones before them.
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
		if live == partners {
			break
		}
	}
	return next, found
}

// gossip sends a heartbeat to a partner that is due.
func (d *Daemon) gossip(ctx context.Context) { d.callPartner(ctx, false) }

// probe sends a heartbeat to a partner that is lost.
func (d *Daemon) probe(ctx context.Context) { d.callPartner(ctx, true) }

func (d *Daemon) callPartner(ctx context.Context, lost bool) {
	v := d.holder.View()
	if v == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.partnersAt != v.Generation() {
		d.partnersAt, d.partnerOrder = v.Generation(), ranked(v, d.options.VM, d.options.Domain)
	}
	now := time.Now()
	m, ok := nextPartner(now, d.partnerOrder, lost, d.contactWith)
	if ok {
		d.partnerCalled[m.ID] = now
		// A partner that answers late holds up no other.
		go d.heartbeat(ctx, m)
	}
}

// contactWith returns the contact with a VM. The lock is held.
func (d *Daemon) contactWith(vm fescuelatch.VMID) contact {
	h, ok := d.hellos[vm]
	called := d.partnerCalled[vm]
	return contact{heard: h.at, called: called, lost: h.lost || !ok && !called.IsZero()}
}

// closeIdle closes connections that are not used.
func (d *Daemon) closeIdle(context.Context) { d.peers.CloseIdle(time.Now().Add(-idleAfter)) }
