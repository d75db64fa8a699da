package daemon

import (
	"context"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the tracking of requests that other daemons run for this
// one.

// errPeerLost is the cancellation cause of a forwarded attempt whose daemon has
// become unreachable.
var errPeerLost = errors.New("the daemon that runs the attempt is unreachable")

// forwards holds the cancel functions of forwarded attempts in progress, by the
// VM that runs them. The daemon's lock guards it.
type forwards map[fescuelatch.VMID]map[fescuelatch.AttemptID]context.CancelCauseFunc

// beginForward returns a context that is cancelled when the VM is lost, and a
// function to call when the attempt has ended.
func (d *Daemon) beginForward(ctx context.Context, vm fescuelatch.VMID, a fescuelatch.AttemptID) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forwards[vm] == nil {
		d.forwards[vm] = make(map[fescuelatch.AttemptID]context.CancelCauseFunc)
	}
	d.forwards[vm][a] = cancel
	return ctx, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.forwards[vm], a)
		cancel(nil)
	}
}

// cancelForwards cancels the attempts that a lost VM runs, long before their
// deadlines. Idempotent requests are then retried elsewhere; callers of the
// others learn that their outcome is unknown. The lock is held.
func (d *Daemon) cancelForwards(vm fescuelatch.VMID) {
	for _, cancel := range d.forwards[vm] {
		cancel(errPeerLost)
	}
}
