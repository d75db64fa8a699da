package operator

import (
	"context"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines how the client waits until a generation is active.

// AwaitOptions configures Await. Interval is the delay between two rounds.
// Report, which may be nil, is called after each round that got an answer.
type AwaitOptions struct {
	Wait     time.Duration
	Interval time.Duration
	OnRound  func([]DomainStatus)
}

// Await polls all addresses until each daemon of want confirms its generation,
// o.Wait has passed or ctx is done, and returns the last known status of the
// failure domains of want. The first round is not bounded by o.Wait. When no
// address ever answered, the error is that of the last round.
func (c *Client) Await(ctx context.Context, want *fescuelatch.Configuration, o AwaitOptions) ([]DomainStatus, error) {
	deadline, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	known, err := c.confirmations(ctx, want)
	for {
		if known != nil && o.OnRound != nil {
			o.OnRound(known)
		}
		if known != nil && AllConfirmed(known, want.Generation) {
			return known, nil
		}
		if !pause.For(deadline, o.Interval) {
			break
		}
		var ds []DomainStatus
		if ds, err = c.confirmations(deadline, want); err == nil {
			known = ds
		}
	}
	if known != nil {
		err = nil
	}
	return known, err
}

// confirmations polls all addresses once.
func (c *Client) confirmations(ctx context.Context, want *fescuelatch.Configuration) ([]DomainStatus, error) {
	statuses, err := queryAll[Status](ctx, c, "get status", "/v1/status")
	if err != nil {
		return nil, err
	}
	return Confirmations(want, statuses), nil
}

// Confirmations returns the failure domains and daemons of want with their
// state in the statuses. A daemon missing from all of them counts as
// DaemonUnresponsive, since views of an earlier generation lack new daemons. It is
// omitted if any view has a later generation, which has removed it.
func Confirmations(want *fescuelatch.Configuration, statuses []Status) []DomainStatus {
	reported := mergeDaemons(statuses)
	later := false
	for _, s := range statuses {
		later = later || s.Generation > want.Generation
	}
	ds := make([]DomainStatus, 0, len(want.Inventory.Domains))
	for _, f := range want.Inventory.Domains {
		d := DomainStatus{ID: f.ID, Out: slices.Contains(want.Overrides.DomainsOut, f.ID)}
		for _, v := range want.Inventory.VMs {
			m, ok := reported[v.ID]
			if v.Domain != f.ID || (!ok && later) {
				continue
			}
			if !ok {
				m = DaemonStatus{VM: v.ID, State: DaemonUnresponsive}
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

// mergeDaemons merges the views of several daemons. A daemon that is alive in
// any view counts as alive, with the lowest generation reported for it, so
// that a stale view can delay a confirmation but never cause a false one.
func mergeDaemons(statuses []Status) map[fescuelatch.VMID]DaemonStatus {
	merged := make(map[fescuelatch.VMID]DaemonStatus)
	for _, s := range statuses {
		for _, d := range s.Domains {
			for _, m := range d.Daemons {
				prev, ok := merged[m.VM]
				if !ok || m.preferred(&prev) {
					merged[m.VM] = m
				}
			}
		}
	}
	return merged
}

// preferred reports whether m, from another view, replaces prev.
func (m *DaemonStatus) preferred(prev *DaemonStatus) bool {
	switch {
	case m.responsive() != prev.responsive():
		return m.responsive()
	case m.responsive():
		return m.Generation < prev.Generation
	default:
		return m.Since.After(prev.Since)
	}
}
