package operator

import (
	"context"
	"net/http"

	"fescuelatch"
)

// This file defines Backend, the daemon interface used by the handlers.

// Backend serves operator requests on a daemon. All methods are safe for
// concurrent use.
type Backend interface {
	// Configuration returns the active configuration of this daemon. It is
	// nil until the daemon has received one, and has generation zero when
	// the platform reports that none was ever stored.
	Configuration() *fescuelatch.Configuration
	// Propose makes change the next generation. It is idempotent: for a
	// change that was accepted before, it returns the first result. Errors
	// are *Error of KindConflict with the winner, KindFaults,
	// KindUnavailable when the change certainly has no effect, and
	// KindUnknown when it may have; any other error counts as KindUnknown.
	Propose(ctx context.Context, change *fescuelatch.Change) (ProposeResult, error)
	// History returns at most limit changes, the newest first.
	History(ctx context.Context, limit int) ([]fescuelatch.Change, error)
	// Status returns this daemon's view of the fleet.
	Status(ctx context.Context) (Status, error)
	// Dump returns the state of this process, without keys.
	Dump(ctx context.Context) (any, error)
	// Ready returns an error while the daemon cannot serve.
	Ready() error
	// Metrics serves the metrics of this process.
	Metrics() http.Handler
}

// ProposeResult is the answer to an accepted change. Change is its identifier
// and Generation the generation that it creates.
type ProposeResult struct {
	Generation fescuelatch.Generation `json:"generation"`
	Change     fescuelatch.ChangeID   `json:"change"`
	Accepted   bool                   `json:"accepted"`
}
