package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines registrations that another writer makes, again and again, while daemons
// start. They stay until the end, so that daemons have to serve beside them then.

const (
	oddKeys            = 12
	maxOddInterval     = 150 * time.Millisecond
	minRestartInterval = 500 * time.Millisecond
	maxRestartInterval = 2 * time.Second
	maxRestartTime     = time.Second
)

// writeOddRegistrations writes odd registrations and restarts daemons until ctx ends.
func (s *soak) writeOddRegistrations(ctx context.Context, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	restarts := rand.New(rand.NewPCG(random.Uint64(), 1))
	wg.Go(func() { s.injectFaults(ctx, func() drawnFault { return s.drawRestart(restarts) }) })
	entries := append(fakeplatform.OddEntries(serviceDesk, s.decoy.Address()), fakeplatform.OddEntries(serviceModel, s.decoy.Address())...)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(maxOddInterval))))
		key := fmt.Sprintf("servers/odd-%d", random.IntN(oddKeys))
		if random.IntN(20) == 0 {
			s.store.Delete(key)
			continue
		}
		s.store.Put(key, entries[random.IntN(len(entries))])
		s.count("odd registrations")
	}
}

// drawRestart draws a daemon that ends and starts again.
func (s *soak) drawRestart(random *rand.Rand) drawnFault {
	wait := minRestartInterval + time.Duration(random.Int64N(int64(maxRestartInterval-minRestartInterval)))
	duration := time.Duration(random.Int64N(int64(maxRestartTime)))
	d := s.daemons[random.IntN(len(s.daemons))]
	end, verb := d.stop, "stop"
	if random.IntN(2) == 0 {
		end, verb = d.kill, "kill"
	}
	return drawnFault{fault{fmt.Sprintf("%s %s and start it", verb, d.VM), false, end, func() {
		if err := d.start(); err != nil {
			s.addViolation("%s failed to start: %v", d, err)
		}
	}}, wait, duration}
}
