package operator

import (
	"context"
	"net/http"

	"fescuelatch"
)

// This file defines what the handlers need of a daemon.

// Backend is a daemon as operators see it. All methods are safe for
// concurrent use.
type Backend interface {
	// Configuration returns the configuration in force at this daemon. It is
	// nil while the daemon has not learned it, and has the generation zero
	// when the platform says that there has never been one.
	Configuration() *fescuelatch.Configuration
	// Propose makes change the next generation. It may be called again with
	// the same change: when the change has been accepted before, it returns
	// the result of that. Errors are *Error of KindConflict with the winner,
	// KindFaults, KindUnavailable when the change certainly has no effect,
	// and KindUnknown when it may have; any other error counts as
	// KindUnknown.
	Propose(ctx context.Context, change *fescuelatch.Change) (ProposeResult, error)
	// History returns at most limit changes, the newest first.
	History(ctx context.Context, limit int) ([]fescuelatch.Change, error)
	// Status returns the fleet as this daemon sees it.
	Status(ctx context.Context) (Status, error)
	// Dump returns the state of this process, without keys.
	Dump(ctx context.Context) (any, error)
	// Ready returns an error while the daemon cannot serve.
	Ready() error
	// Metrics serves the metrics of this process.
	Metrics() http.Handler
}

// ProposeResult is the answer to a change that was accepted. Change is its
// identifier and Generation the one that it leads to.
type ProposeResult struct {
	Generation fescuelatch.Generation `json:"generation"`
	Change     fescuelatch.ChangeID   `json:"change"`
	Accepted   bool                   `json:"accepted"`
}
