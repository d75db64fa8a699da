package daemon

import (
	"sync"
	"testing"
)

// TestTrackerWhileWorkBegins waits while work keeps beginning and ending,
// which a sync.WaitGroup answers with a panic.
func TestTrackerWhileWorkBegins(t *testing.T) {
	const workers, waits, rounds = 8, 2000, 20000
	var work tracker
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range rounds {
				work.begin()
				work.end()
			}
		})
	}
	for range waits {
		<-work.done()
	}
	wg.Wait()
	<-work.done()
}
