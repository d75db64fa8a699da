package daemon

import (
	"sync"
	"testing"
)

// TestTrackerWhileWorkBegins waits while work begins and ends repeatedly, which
// makes a sync.WaitGroup panic.
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
