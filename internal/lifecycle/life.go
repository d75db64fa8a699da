// Package lifecycle holds the state of a daemon after its chart.
package lifecycle

import (
	"log/slog"
	"sync"

	"fescuelatch/chart"
)

// This file defines the life of a daemon after its chart.

// Life is the state of this daemon. It is safe for concurrent use.
type Life struct {
	log     *slog.Logger
	mu      sync.Mutex
	machine *chart.Machine
}

// New returns the life of a daemon that starts.
func New(log *slog.Logger) *Life {
	return &Life{log: log, machine: chart.Daemon().New()}
}

// State returns the present state.
func (l *Life) State() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// Fire makes a transition. One that the chart lacks is a fault of this
// package.
func (l *Life) Fire(e chart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.machine.Fire(e); err != nil {
		l.log.Error("fault of the daemon's life", "error", err.Error())
		return
	}
	l.log.Info("state", "state", l.machine.State())
}

// FireIfPossible makes a transition unless the present state has none for e.
func (l *Life) FireIfPossible(e chart.Event) {
	l.mu.Lock()
	possible := l.machine.Can(e)
	l.mu.Unlock()
	if possible {
		l.Fire(e)
	}
}
