package scenario

import (
	"context"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/audit"
)

// This file defines the operations of steps on a fleet. Each method records
// the events and stops that the audit needs.

func (r *Run) recordEvent(k audit.EventKind, name string, g fescuelatch.Generation) {
	r.recordEventAt(time.Now(), k, name, g)
}

func (r *Run) recordEventAt(t time.Time, k audit.EventKind, name string, g fescuelatch.Generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, audit.Event{At: t, Kind: k, Name: name, Generation: g})
}

// change edits the overrides through the running daemons.
func (r *Run) change(ctx context.Context, k audit.EventKind, name string, edit func(*fescuelatch.Overrides)) error {
	a, err := r.Fleet.Change(ctx, func(c *fescuelatch.Configuration) { edit(&c.Overrides) })
	if err != nil {
		return err
	}
	r.recordEventAt(a.At, k, name, a.Generation)
	return nil
}

// with returns list with v, without returns it without v.
func with[T comparable](list []T, v T) []T { return append(without(list, v), v) }

func without[T comparable](list []T, v T) []T {
	return slices.DeleteFunc(slices.Clone(list), func(e T) bool { return e == v })
}

// Withdraw withdraws a version.
func (r *Run) Withdraw(ctx context.Context, v fescuelatch.VersionID) error {
	return r.change(ctx, audit.EventVersionWithdrawn, string(v), func(o *fescuelatch.Overrides) {
		o.Withdrawn = with(o.Withdrawn, v)
	})
}

// Restore reverts Withdraw.
func (r *Run) Restore(ctx context.Context, v fescuelatch.VersionID) error {
	return r.change(ctx, audit.EventVersionRestored, string(v), func(o *fescuelatch.Overrides) {
		o.Withdrawn = without(o.Withdrawn, v)
	})
}

// TakeOutDomain takes a failure domain out.
func (r *Run) TakeOutDomain(ctx context.Context, d fescuelatch.DomainID) error {
	return r.change(ctx, audit.EventDomainOut, string(d), func(o *fescuelatch.Overrides) {
		o.DomainsOut = with(o.DomainsOut, d)
	})
}

// RestoreDomain reverts TakeOutDomain.
func (r *Run) RestoreDomain(ctx context.Context, d fescuelatch.DomainID) error {
	// Endpoints may receive work before the change returns.
	at := time.Now()
	err := r.change(ctx, audit.EventDomainIn, string(d), func(o *fescuelatch.Overrides) {
		o.DomainsOut = without(o.DomainsOut, d)
	})
	if err == nil {
		r.recordEventAt(at, audit.EventDomainIn, string(d), 0)
	}
	return err
}

// Kill kills the daemon of a VM.
func (r *Run) Kill(ctx context.Context, m fescuelatch.VMID) error {
	err := r.Fleet.Kill(ctx, m)
	r.recordEvent(audit.EventDaemonKilled, string(m), 0)
	return err
}

// Restart starts the daemon of a VM again and waits until it is ready.
func (r *Run) Restart(ctx context.Context, m fescuelatch.VMID) error {
	r.recordEvent(audit.EventDaemonStarted, string(m), 0)
	if err := r.Fleet.Restart(ctx, m); err != nil {
		return err
	}
	return r.Fleet.WaitReady(ctx, m)
}

// Stop gracefully stops the daemon of a VM.
func (r *Run) Stop(ctx context.Context, m fescuelatch.VMID) error {
	s := audit.Stop{VM: m, From: time.Now(), Caller: r.callerAddress(m)}
	err := r.Fleet.Stop(ctx, m)
	s.To, s.Clean = time.Now(), err == nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, s)
	return err
}

func (r *Run) callerAddress(m fescuelatch.VMID) string {
	for _, v := range r.Fleet.Configuration.Inventory.VMs {
		if v.ID == m {
			return v.Caller.String()
		}
	}
	return ""
}

// Leave lists an endpoint as leaving.
func (r *Run) Leave(ctx context.Context, e fescuelatch.EndpointID) error {
	if err := r.Fleet.MarkLeaving(ctx, e); err != nil {
		return err
	}
	r.recordEvent(audit.EventEndpointLeaving, string(e), 0)
	return nil
}

// Return reverts Leave.
func (r *Run) Return(ctx context.Context, e fescuelatch.EndpointID) error {
	r.recordEvent(audit.EventEndpointReturned, string(e), 0)
	return r.Fleet.ClearLeaving(ctx, e)
}

// coldFault is the fault that makes an engine cold.
type coldFault struct {
	Cold struct {
		For            time.Duration `json:"for"`
		NewIncarnation bool          `json:"new-incarnation"`
		Unannounced    bool          `json:"unannounced"`
		Break          bool          `json:"break"`
	} `json:"cold"`
}

// MakeCold makes an engine cold for a duration as if it had restarted: its running
// requests break off, and it gets a new incarnation.
func (r *Run) MakeCold(ctx context.Context, e fescuelatch.EndpointID, d time.Duration) error {
	var f coldFault
	f.Cold.For, f.Cold.NewIncarnation, f.Cold.Break = d, true, true
	r.recordEvent(audit.EventEndpointCold, string(e), 0)
	return r.Fleet.Faults(ctx, e, f)
}
