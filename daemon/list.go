package daemon

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/peer"
)

// This file defines how a daemon obtains the platform's list of VMs. One daemon
// of each failure domain reads the list and sends the relevant part to the
// others in heartbeat replies. A daemon that has not received it for some time
// reads the list itself.

const (
	// listInterval is the read interval of the daemon that reads the list for
	// its failure domain.
	listInterval = 2 * time.Second
	// maxListAge is the age of received list data at which a daemon reads the
	// list itself. With the lag of the list and one check it stays below the
	// bound for new work at a leaving endpoint.
	maxListAge = 3 * time.Second
	// listCheckInterval is the interval of checks whether to read the list.
	listCheckInterval = 500 * time.Millisecond
	listTimeout       = 2 * time.Second
)

// vmListState is a daemon's current view of the list of VMs. The daemon's lock
// guards it.
type vmListState struct {
	// requested is the time of the request that the list answered, or earlier.
	requested time.Time
	// attempted is when this daemon last requested the list.
	attempted time.Time
	// listed holds the VMs of the list that this daemon read last. It is nil
	// before the first read.
	listed map[string]bool
	// missing holds the members of the failure domain that the list lacks.
	missing []fescuelatch.VMID
	// leaving holds all VMs that are listed as leaving.
	leaving []string
}

// due reports whether to read the list at now.
func (l *vmListState) due(now time.Time, reader bool) bool {
	age := maxListAge
	if reader {
		age = listInterval
	}
	const early = listCheckInterval / 2 // tolerance for timer inaccuracy
	return now.Sub(l.requested) >= age-early && now.Sub(l.attempted) >= listInterval-early
}

// report returns the data for another daemon at now, or nil if it is too old to
// be useful.
func (l *vmListState) report(now time.Time) *peer.Listing {
	age := now.Sub(l.requested)
	if age >= maxListAge {
		return nil
	}
	return &peer.Listing{Age: age, Missing: l.missing, Leaving: l.leaving}
}

// isListReader reports whether this daemon reads the list for its failure
// domain, that is, whether no live member precedes it. The lock is held.
func (d *Daemon) isListReader(now time.Time) bool {
	return !d.learned.Load() || d.firstMemberAt(now) == ""
}

// readListWhenDue reads the list if a read is due.
func (d *Daemon) readListWhenDue(ctx context.Context) {
	d.mu.Lock()
	now := time.Now()
	due := d.vmList.due(now, d.isListReader(now))
	if due {
		d.vmList.attempted = now
	}
	d.mu.Unlock()
	if due {
		d.readList(ctx)
	}
}

// readList reads and merges the platform's list of VMs.
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
	d.vmList.listed = listed
	d.mergeList(now, asked, missing, leaving)
}

// receiveList merges list data from the reply to a message that was sent at
// sent. By this daemon's clock, the other daemon requested the list no earlier
// than sent minus the age.
func (d *Daemon) receiveList(sent time.Time, l *peer.Listing) {
	if l == nil || l.Age < 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mergeList(time.Now(), sent.Add(-l.Age), l.Missing, l.Leaving)
}

// mergeList merges list data unless later data is known. The lock is held.
func (d *Daemon) mergeList(now, asked time.Time, missing []fescuelatch.VMID, leaving []string) {
	if !asked.After(d.vmList.requested) {
		return
	}
	d.vmList.requested, d.vmList.missing, d.vmList.leaving = asked, missing, leaving
	d.table.ReceiveMissingVMs(now, asked, missing)
	d.leavingVMs = make(map[string]bool, len(leaving))
	for _, m := range leaving {
		d.leavingVMs[m] = true
	}
	d.refreshOwned(now)
}

// isGone reports whether this daemon has read the list of VMs and the list
// lacks a VM.
func (d *Daemon) isGone(vm fescuelatch.VMID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.vmList.listed != nil && !d.vmList.listed[string(vm)]
}
