package daemon

import (
	"log/slog"
	"sync"

	"fescuelatch/chart"
)

// This file defines the life of a daemon after its chart.

// life is the state of this daemon. It is safe for concurrent use.
type life struct {
	log     *slog.Logger
	mu      sync.Mutex
	machine *chart.Machine
}

func newLife(log *slog.Logger) *life {
	return &life{log: log, machine: chart.Daemon().New()}
}

func (l *life) state() chart.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// fire makes a transition. One that the chart lacks is a fault of this
// package.
func (l *life) fire(e chart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.machine.Fire(e); err != nil {
		l.log.Error("fault of the daemon's life", "error", err.Error())
		return
	}
	l.log.Info("state", "state", l.machine.State())
}

// fireIfPossible makes a transition unless the present state has none for e.
func (l *life) fireIfPossible(e chart.Event) {
	l.mu.Lock()
	possible := l.machine.Can(e)
	l.mu.Unlock()
	if possible {
		l.fire(e)
	}
}
