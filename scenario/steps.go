package scenario

import (
	"context"
	"slices"
	"time"

	"fescuelatch"
	"fescuelatch/audit"
)

// This file defines what a step can do to a fleet. Each method notes what an
// audit has to know.

func (r *Run) event(k audit.EventKind, name string, g fescuelatch.Generation) {
	r.eventAt(time.Now(), k, name, g)
}

func (r *Run) eventAt(t time.Time, k audit.EventKind, name string, g fescuelatch.Generation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, audit.Event{At: t, Kind: k, Name: name, Generation: g})
}

// change edits the configuration through the daemons that run.
func (r *Run) change(ctx context.Context, k audit.EventKind, name string, edit func(*fescuelatch.Overrides)) error {
	a, err := r.Fleet.Change(ctx, func(c *fescuelatch.Configuration) { edit(&c.Overrides) })
	if err != nil {
		return err
	}
	r.eventAt(a.At, k, name, a.Generation)
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

// Restore ends what Withdraw began.
func (r *Run) Restore(ctx context.Context, v fescuelatch.VersionID) error {
	return r.change(ctx, audit.EventVersionRestored, string(v), func(o *fescuelatch.Overrides) {
		o.Withdrawn = without(o.Withdrawn, v)
	})
}

// TakeOut takes a failure domain out.
func (r *Run) TakeOut(ctx context.Context, d fescuelatch.DomainID) error {
	return r.change(ctx, audit.EventDomainOut, string(d), func(o *fescuelatch.Overrides) {
		o.DomainsOut = with(o.DomainsOut, d)
	})
}

// BringBack ends what TakeOut began.
func (r *Run) BringBack(ctx context.Context, d fescuelatch.DomainID) error {
	// Work may come back before the answer to the change does.
	at := time.Now()
	err := r.change(ctx, audit.EventDomainIn, string(d), func(o *fescuelatch.Overrides) {
		o.DomainsOut = without(o.DomainsOut, d)
	})
	if err == nil {
		r.eventAt(at, audit.EventDomainIn, string(d), 0)
	}
	return err
}

// Kill ends the daemon of a VM at once.
func (r *Run) Kill(ctx context.Context, m fescuelatch.VMID) error {
	err := r.Fleet.Kill(ctx, m)
	r.event(audit.EventDaemonKilled, string(m), 0)
	return err
}

// Restart starts the daemon of a VM again and waits until it is ready.
func (r *Run) Restart(ctx context.Context, m fescuelatch.VMID) error {
	r.event(audit.EventDaemonStarted, string(m), 0)
	if err := r.Fleet.Restart(ctx, m); err != nil {
		return err
	}
	return r.Fleet.WaitReady(ctx, m)
}

// Stop stops the daemon of a VM as planned.
func (r *Run) Stop(ctx context.Context, m fescuelatch.VMID) error {
	s := audit.Stop{VM: m, From: time.Now(), Caller: r.caller(m)}
	err := r.Fleet.Stop(ctx, m)
	s.To, s.Clean = time.Now(), err == nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, s)
	return err
}

func (r *Run) caller(m fescuelatch.VMID) string {
	for _, v := range r.Fleet.Configuration.Inventory.VMs {
		if v.ID == m {
			return v.Caller.String()
		}
	}
	return ""
}

// Leave lists an endpoint as leaving.
func (r *Run) Leave(ctx context.Context, e fescuelatch.EndpointID) error {
	if err := r.Fleet.Leave(ctx, e); err != nil {
		return err
	}
	r.event(audit.EventEndpointLeaving, string(e), 0)
	return nil
}

// Return ends what Leave began.
func (r *Run) Return(ctx context.Context, e fescuelatch.EndpointID) error {
	r.event(audit.EventEndpointBack, string(e), 0)
	return r.Fleet.Return(ctx, e)
}

// cold is the fault that turns an engine cold.
type cold struct {
	Cold struct {
		For            time.Duration `json:"for"`
		NewIncarnation bool          `json:"new-incarnation"`
		Unannounced    bool          `json:"unannounced"`
		Break          bool          `json:"break"`
	} `json:"cold"`
}

// Cool turns an engine cold for a time, as if it had started anew: what it
// runs breaks off, and it has a new incarnation.
func (r *Run) Cool(ctx context.Context, e fescuelatch.EndpointID, d time.Duration) error {
	var f cold
	f.Cold.For, f.Cold.NewIncarnation, f.Cold.Break = d, true, true
	r.event(audit.EventEndpointCold, string(e), 0)
	return r.Fleet.Faults(ctx, e, f)
}
