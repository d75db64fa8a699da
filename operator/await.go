package operator

import (
	"context"
	"slices"
	"time"

	"fescuelatch"
)

// This file defines how the client waits until a generation is in force.

// Await asks all addresses every interval until each daemon of want confirms
// its generation or ctx ends, and returns the failure domains of want as last
// known. It calls report, which may be nil, after each round that got an
// answer. At least one round is made. The error is that of the last round
// when no address ever answered.
func (c *Client) Await(ctx context.Context, want *fescuelatch.Configuration, interval time.Duration, report func([]DomainStatus)) ([]DomainStatus, error) {
	var known []DomainStatus
	for {
		statuses, err := askAll[Status](ctx, c, "get status", "/v1/status")
		if err == nil {
			known = Confirmations(want, statuses)
			if report != nil {
				report(known)
			}
			if AllConfirmed(known, want.Generation) {
				return known, nil
			}
		}
		t := time.NewTimer(interval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			if known == nil {
				return nil, err
			}
			return known, nil
		}
	}
}

// Confirmations returns the failure domains and daemons of want as the
// statuses tell of them. A daemon of which none tells is silent: views of an
// earlier generation do not know new daemons. It is left out when a view of
// a later generation, which has removed it, is among them.
func Confirmations(want *fescuelatch.Configuration, statuses []Status) []DomainStatus {
	told := combineDaemons(statuses)
	later := false
	for _, s := range statuses {
		later = later || s.Generation > want.Generation
	}
	var ds []DomainStatus
	for _, f := range want.Inventory.Domains {
		d := DomainStatus{ID: f.ID, Out: slices.Contains(want.Overrides.DomainsOut, f.ID)}
		for _, v := range want.Inventory.VMs {
			m, ok := told[v.ID]
			if v.Domain != f.ID || (!ok && later) {
				continue
			}
			if !ok {
				m = DaemonStatus{VM: v.ID, State: DaemonSilent}
			}
			d.Daemons = append(d.Daemons, m)
		}
		ds = append(ds, d)
	}
	return ds
}

// AllConfirmed reports whether each failure domain confirms generation g.
func AllConfirmed(ds []DomainStatus, g fescuelatch.Generation) bool {
	for n := range ds {
		if !ds[n].Confirmed(g) {
			return false
		}
	}
	return true
}

// combineDaemons joins the views of several daemons. A daemon that any of
// them hears counts as heard, with the lowest generation that is told of it:
// a view that lags delays a confirmation and never makes one up.
func combineDaemons(statuses []Status) map[fescuelatch.VMID]DaemonStatus {
	told := make(map[fescuelatch.VMID]DaemonStatus)
	for _, s := range statuses {
		for _, d := range s.Domains {
			for _, m := range d.Daemons {
				was, ok := told[m.VM]
				if !ok || m.preferred(&was) {
					told[m.VM] = m
				}
			}
		}
	}
	return told
}

// preferred reports whether m, told by another view, replaces was.
func (m *DaemonStatus) preferred(was *DaemonStatus) bool {
	switch {
	case m.heard() != was.heard():
		return m.heard()
	case m.heard():
		return m.Generation < was.Generation
	default:
		return m.Since.After(was.Since)
	}
}
