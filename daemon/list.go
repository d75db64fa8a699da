package daemon

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/peer"
)

// This file defines how a daemon learns what the platform's list of VMs says.
// One daemon of each failure domain reads it and tells the others, with the
// replies to their heartbeats, the little that concerns them. Who has not been
// told for some time reads the list.

const (
	// listInterval is that of reads by the daemon that reads for all.
	listInterval = 2 * time.Second
	// listToldFor is the age of what was told at which a daemon reads the
	// list itself. With the list's lag and a check it stays below the bound
	// for new work at a leaving endpoint.
	listToldFor = 3 * time.Second
	// listCheckInterval is that of the decision whether to read.
	listCheckInterval = 500 * time.Millisecond
	listTimeout       = 2 * time.Second
)

// listing is what a daemon knows of the list of VMs. The daemon's lock guards
// it.
type listing struct {
	// asked is no later than the question that the list answered.
	asked time.Time
	// tried is when this daemon last asked.
	tried time.Time
	// listed holds the VMs of the list that this daemon read last. It is nil
	// before the first.
	listed map[string]bool
	// missing are members of the failure domain that the list lacks.
	missing []fescuelatch.VMID
	// leaving are all VMs that the list says are leaving.
	leaving []string
}

// due reports whether to read the list at now.
func (l *listing) due(now time.Time, reader bool) bool {
	age := listToldFor
	if reader {
		age = listInterval
	}
	const early = listCheckInterval / 2 // the checks are not exact
	return now.Sub(l.asked) >= age-early && now.Sub(l.tried) >= listInterval-early
}

// tell returns what to tell another daemon at now, or nil when that is too
// old to be of use.
func (l *listing) tell(now time.Time) *peer.Listing {
	age := now.Sub(l.asked)
	if age >= listToldFor {
		return nil
	}
	return &peer.Listing{Age: age, Missing: l.missing, Leaving: l.leaving}
}

// readsList reports whether this daemon reads the list for its failure
// domain: no live member precedes it. The lock is held.
func (d *Daemon) readsList(now time.Time) bool {
	return !d.learned.Load() || d.firstMemberAt(now) == ""
}

// readListWhenDue reads the list if this daemon has to.
func (d *Daemon) readListWhenDue(ctx context.Context) {
	d.mu.Lock()
	now := time.Now()
	due := d.listing.due(now, d.readsList(now))
	if due {
		d.listing.tried = now
	}
	d.mu.Unlock()
	if due {
		d.readList(ctx)
	}
}

// readList takes in the platform's list of VMs.
func (d *Daemon) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := time.Now()
	vms, err := d.options.VMs.VMs(ctx)
	if err != nil || len(vms) == 0 {
		return
	}
	listed := make(map[string]bool, len(vms))
	var leaving []string
	for _, m := range vms {
		listed[m.ID] = true
		if m.State == fescuelatch.ListedLeaving {
			leaving = append(leaving, m.ID)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var missing []fescuelatch.VMID
	for _, m := range d.table.Members(now) {
		if !listed[string(m.VM)] {
			missing = append(missing, m.VM)
		}
	}
	d.listing.listed = listed
	d.learnList(now, asked, missing, leaving)
}

// toldList takes in what another daemon told of the list in the reply to a
// message that was sent at sent. That daemon asked no earlier than the age
// before sent, by this daemon's clock.
func (d *Daemon) toldList(sent time.Time, l *peer.Listing) {
	if l == nil || l.Age < 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learnList(time.Now(), sent.Add(-l.Age), l.Missing, l.Leaving)
}

// learnList takes in what the list says unless something later is known. The
// lock is held.
func (d *Daemon) learnList(now, asked time.Time, missing []fescuelatch.VMID, leaving []string) {
	if !asked.After(d.listing.asked) {
		return
	}
	d.listing.asked, d.listing.missing, d.listing.leaving = asked, missing, leaving
	d.table.Missing(now, asked, missing)
	d.vmsOut = make(map[string]bool, len(leaving))
	for _, m := range leaving {
		d.vmsOut[m] = true
	}
	d.refreshOwned(now)
}

// isGone reports whether the list of VMs has been read and lacks a VM.
func (d *Daemon) isGone(vm fescuelatch.VMID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listing.listed != nil && !d.listing.listed[string(vm)]
}
