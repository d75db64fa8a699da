package daemon

import (
	"context"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the requests that other daemons run for this one.

// errPeerLost is the cause with which a forwarded attempt ends when nothing
// has been heard of the daemon that runs it.
var errPeerLost = errors.New("the daemon that runs the attempt is not heard of")

// forwards are the forwarded attempts under way, by the VM that runs them. The
// daemon's lock guards them.
type forwards map[fescuelatch.VMID]map[fescuelatch.AttemptID]context.CancelCauseFunc

// beginForward returns a context that ends when the VM is lost, and a function that
// is called when the attempt has ended.
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

// loseForwards ends the attempts that a lost VM runs, so that idempotent
// requests are tried elsewhere and others are told that their outcome is
// unknown, long before their deadlines. The lock is held.
func (d *Daemon) loseForwards(vm fescuelatch.VMID) {
	for _, cancel := range d.forwards[vm] {
		cancel(errPeerLost)
	}
}
