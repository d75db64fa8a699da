package daemon

import "sync"

// This file defines the tracking of work in progress.

// tracker counts work in progress. Unlike a sync.WaitGroup, it may be waited
// for while new work begins, as requests do until a stopping daemon closes its
// listeners. The zero value has no work.
type tracker struct {
	mu   sync.Mutex
	open int
	idle chan struct{} // closed when open becomes 0; nil when no one waits
}

func (t *tracker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open++
}

func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
	if t.open == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// run runs f in a tracked goroutine.
func (t *tracker) run(f func()) {
	t.begin()
	go func() {
		defer t.end()
		f()
	}()
}

// done returns a channel that is closed once no work is in progress.
func (t *tracker) done() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	return t.idle
}
