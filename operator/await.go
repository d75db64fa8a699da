package operator

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"fescuelatch"
)

// This file defines how the client waits until a generation is in force.

// Await asks all addresses every interval until each failure domain confirms
// generation g or ctx ends, and returns the failure domains as last known.
// It calls report, which may be nil, after each round that got an answer. At
// least one round is made. The error is that of the last round when no
// address ever answered.
func (c *Client) Await(ctx context.Context, g fescuelatch.Generation, interval time.Duration, report func([]DomainStatus)) ([]DomainStatus, error) {
	var known []DomainStatus
	for {
		statuses, err := c.allStatuses(ctx)
		if len(statuses) > 0 {
			known = CombineDomains(statuses)
			if report != nil {
				report(known)
			}
			if AllConfirmed(known, g) {
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

// AllConfirmed reports whether each failure domain confirms generation g.
func AllConfirmed(ds []DomainStatus, g fescuelatch.Generation) bool {
	for n := range ds {
		if !ds[n].Confirmed(g) {
			return false
		}
	}
	return true
}

// allStatuses asks all addresses at once. The error is nil when one of them
// answered.
func (c *Client) allStatuses(ctx context.Context) ([]Status, error) {
	answers := make([]*Status, len(c.Addresses))
	errs := make([]*Error, len(c.Addresses))
	var wg sync.WaitGroup
	for n, a := range c.Addresses {
		wg.Go(func() {
			var s Status
			l := call{op: "get status", method: http.MethodGet, address: a, path: "/v1/status"}
			if errs[n] = c.call(ctx, l, &s); errs[n] == nil {
				answers[n] = &s
			}
		})
	}
	wg.Wait()
	var out []Status
	for _, s := range answers {
		if s != nil {
			out = append(out, *s)
		}
	}
	if len(out) > 0 {
		return out, nil
	}
	for _, e := range errs {
		if e != nil {
			return nil, e
		}
	}
	return nil, &Error{Op: "get status", Kind: KindInvalid}
}

// CombineDomains joins the views of several daemons. A daemon that any of
// them hears counts as heard, with the lowest generation that is told of it:
// a view that lags delays a confirmation and never makes one up.
func CombineDomains(statuses []Status) []DomainStatus {
	byID := make(map[fescuelatch.DomainID]map[fescuelatch.VMID]DaemonStatus)
	out := make(map[fescuelatch.DomainID]bool)
	for _, s := range statuses {
		for _, d := range s.Domains {
			if byID[d.ID] == nil {
				byID[d.ID] = make(map[fescuelatch.VMID]DaemonStatus)
			}
			out[d.ID] = out[d.ID] || d.Out
			for _, m := range d.Daemons {
				was, ok := byID[d.ID][m.VM]
				if !ok || m.preferred(&was) {
					byID[d.ID][m.VM] = m
				}
			}
		}
	}
	var ds []DomainStatus
	for id, daemons := range byID {
		d := DomainStatus{ID: id, Out: out[id]}
		for _, m := range daemons {
			d.Daemons = append(d.Daemons, m)
		}
		sort.Slice(d.Daemons, func(i, j int) bool { return d.Daemons[i].VM < d.Daemons[j].VM })
		ds = append(ds, d)
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i].ID < ds[j].ID })
	return ds
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
