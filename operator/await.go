package operator

import (
	"context"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines how the client waits until a generation is in force.

// AwaitOptions sets up a wait. Interval lies between two rounds. Report,
// which may be nil, is called after each round that got an answer.
type AwaitOptions struct {
	Wait     time.Duration
	Interval time.Duration
	Report   func([]DomainStatus)
}

// Await asks all addresses again and again until each daemon of want
// confirms its generation, the wait has passed or ctx ends, and returns the
// failure domains of want as last known. The first round is made in full
// however short the wait is. The error is that of the last round when no
// address ever answered.
func (c *Client) Await(ctx context.Context, want *fescuelatch.Configuration, o AwaitOptions) ([]DomainStatus, error) {
	deadline, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	known, err := c.confirmations(ctx, want)
	for {
		if known != nil && o.Report != nil {
			o.Report(known)
		}
		if known != nil && AllConfirmed(known, want.Generation) {
			return known, nil
		}
		if !pause.For(deadline, o.Interval) {
			break
		}
		var told []DomainStatus
		if told, err = c.confirmations(deadline, want); err == nil {
			known = told
		}
	}
	if known != nil {
		err = nil
	}
	return known, err
}

// confirmations makes one round.
func (c *Client) confirmations(ctx context.Context, want *fescuelatch.Configuration) ([]DomainStatus, error) {
	statuses, err := askAll[Status](ctx, c, "get status", "/v1/status")
	if err != nil {
		return nil, err
	}
	return Confirmations(want, statuses), nil
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
	ds := make([]DomainStatus, 0, len(want.Inventory.Domains))
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
