// Package lifecycle tracks the state of a daemon as defined by its chart.
package lifecycle

import (
	"log/slog"
	"sync"

	"fescuelatch/chart"
)

// This file defines the life of a daemon.

// Lifecycle is the state of this daemon. It is safe for concurrent use.
type Lifecycle struct {
	log     *slog.Logger
	mu      sync.Mutex
	machine *chart.Machine
}

// New returns the life of a starting daemon.
func New(log *slog.Logger) *Lifecycle {
	return &Lifecycle{log: log, machine: chart.Daemon().New()}
}

// State returns the current state.
func (l *Lifecycle) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// Fire makes a transition. A transition that the chart lacks is a bug and is
// logged as an error.
func (l *Lifecycle) Fire(e chart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.machine.Fire(e); err != nil {
		l.log.Error("daemon state machine rejected the event", "error", err.Error())
		return
	}
	l.log.Info("daemon state changed", "state", l.machine.State())
}

// FireIfPossible makes a transition if the current state has one for e.
func (l *Lifecycle) FireIfPossible(e chart.Event) {
	l.mu.Lock()
	possible := l.machine.Can(e)
	l.mu.Unlock()
	if possible {
		l.Fire(e)
	}
}
