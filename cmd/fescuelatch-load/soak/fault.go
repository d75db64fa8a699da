package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines the faults and injects them in overlapping series.

const (
	// minFaultDuration and maxFaultDuration bound the duration of a fault;
	// meanFaultInterval is the mean time between the starts of two faults.
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	meanFaultInterval = 600 * time.Millisecond
	// rewriteInterval is the time between two keys that are rewritten after the
	// store was restored from a backup.
	rewriteInterval = 100 * time.Millisecond
)

// fault is a fault that can be injected and ended.
type fault struct {
	name         string
	affectsStore bool // daemons may miss store changes
	begin        func()
	end          func()
}

// drawnFault is a fault with the time to wait before it and its duration.
type drawnFault struct {
	fault
	wait, duration time.Duration
}

// injectFaults starts the faults that draw returns until ctx ends, and waits until all have
// ended.
func (s *soak) injectFaults(ctx context.Context, draw func() drawnFault) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		f := draw()
		select {
		case <-time.After(f.wait):
		case <-ctx.Done():
			return
		}
		s.announce("%s for %v", f.name, f.duration.Round(time.Millisecond))
		wg.Go(func() { s.injectFault(ctx, f.fault, f.duration) })
	}
}

// announce counts and reports a fault.
func (s *soak) announce(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Faults++
	s.OnFault(fmt.Sprintf("%6.2f s: ", time.Since(s.started).Seconds()) + fmt.Sprintf(format, args...))
}

// drawGeneralFault draws the next of the general faults.
func (s *soak) drawGeneralFault() drawnFault {
	wait := time.Duration(s.random.ExpFloat64() * float64(meanFaultInterval))
	duration := minFaultDuration + time.Duration(s.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	return drawnFault{s.drawFault(), wait, duration}
}

// injectFault starts a fault and ends it after its duration or when ctx ends.
func (s *soak) injectFault(ctx context.Context, f fault, duration time.Duration) {
	if f.affectsStore {
		s.countStoreFault(1)
		defer s.countStoreFault(-1)
	}
	f.begin()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
	f.end()
}

func (s *soak) countStoreFault(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFaults += n
	s.storeStableSince = time.Now()
}

// drawFault returns a random fault.
func (s *soak) drawFault() fault {
	d := s.daemons[s.random.IntN(len(s.daemons))]
	e := s.endpoints[s.random.IntN(len(s.endpoints))]
	all := []func() fault{
		func() fault { return s.newTerminationFault("kill", d, d.kill) },
		func() fault { return s.newTerminationFault("stop", d, d.stop) },
		func() fault {
			return s.newTerminationFault("kill together with the next daemon:", d, func() { d.kill(); s.next(d).kill() })
		},
		func() fault {
			return fault{"pause " + d.VM, true, func() { d.pause(false) }, func() { d.resume(); d.disrupt() }}
		},
		func() fault {
			return fault{"reload " + d.VM, false, d.reload, d.reload}
		},
		func() fault { return s.drawStoreFault() },
		func() fault { return s.newRestoreFault() },
		func() fault { return d.storeLink.during(s.drawLinkFault("store of "+d.VM, true, d.store)) },
		func() fault { return s.drawLinkFault(e.ID, false, e.link) },
		func() fault { return s.drawEndpointFault(e) },
		func() fault { return s.newDrainFault(e) },
		func() fault { return s.newLimitFault(e) },
		func() fault { return s.newCrashFault(e) },
		func() fault { return s.newCrashingPartFault() },
		func() fault { return s.newBrittleFault() },
		func() fault { return fault{"change the key", false, s.changeKey, func() {}} },
	}
	return all[s.random.IntN(len(all))]()
}

// next returns the daemon after d.
func (s *soak) next(d *daemon) *daemon {
	for n, o := range s.daemons {
		if o == d {
			return s.daemons[(n+1)%len(s.daemons)]
		}
	}
	return d
}

// newTerminationFault returns a fault that ends processes and then restarts them.
func (s *soak) newTerminationFault(name string, d *daemon, end func()) fault {
	return fault{name + " " + d.VM, true, end, func() {
		for _, o := range []*daemon{d, s.next(d)} {
			if err := o.start(); err != nil {
				s.addViolation("%s failed to start: %v", o, err)
			}
		}
	}}
}

func (s *soak) drawStoreFault() fault {
	faults := []fakeplatform.Fault{
		fakeplatform.FaultBusy, fakeplatform.FaultLimit, fakeplatform.FaultUnresponsive,
		fakeplatform.FaultReset, fakeplatform.FaultResponseLost, fakeplatform.FaultHistoryGone,
	}
	f := faults[s.random.IntN(len(faults))]
	return s.core.during(fault{
		"store " + string(f), true,
		func() { s.store.SetFault(f) }, func() { s.store.SetFault(fakeplatform.FaultNone) },
	})
}

// newRestoreFault returns a fault after which the store is briefly unavailable and
// is restored from a backup that was made when the fault began.
func (s *soak) newRestoreFault() fault {
	var backup *fakeplatform.Backup
	return s.core.during(fault{"store comes back from a copy", true, func() { backup = s.store.Backup() }, func() {
		s.restoring.Lock()
		defer s.restoring.Unlock()
		s.store.SetFault(fakeplatform.FaultReset)
		time.Sleep(minFaultDuration)
		lost := s.store.Restore(backup)
		s.store.SetFault(fakeplatform.FaultNone)
		for _, key := range lost {
			time.Sleep(rewriteInterval)
			s.store.RestoreKey(key)
		}
	}})
}

func (s *soak) drawLinkFault(name string, store bool, l *fakeplatform.Link) fault {
	faults := []fakeplatform.LinkFault{fakeplatform.LinkCut, fakeplatform.LinkSlow, fakeplatform.LinkStalled, fakeplatform.LinkStalledBack}
	f := faults[s.random.IntN(len(faults))]
	return fault{"link to " + name + " " + string(f), store, func() { l.SetFault(f) }, func() { l.SetFault(fakeplatform.LinkHealthy) }}
}

func (s *soak) drawEndpointFault(e *endpoint) fault {
	faults := []endpointFault{endpointFails, endpointDisconnects, endpointFull, endpointSlow}
	f := faults[s.random.IntN(len(faults))]
	return fault{e.ID + " " + string(f), false, func() { e.fault.Store(f) }, func() { e.fault.Store(endpointHealthy) }}
}

// newDrainFault returns a fault that drains an endpoint and then makes it ready again.
func (s *soak) newDrainFault(e *endpoint) fault {
	return fault{e.ID + " leaves", false, func() { s.register(e, "draining") }, func() { s.register(e, "ready") }}
}

// newLimitFault returns a fault after which an endpoint limits the rate of its calls, or
// no longer does.
func (s *soak) newLimitFault(e *endpoint) fault {
	// The faults that were drawn decide, as those that have begun depend on the scheduler.
	if s.limitDrawn[e] = !s.limitDrawn[e]; !s.limitDrawn[e] {
		return fault{e.ID + " limits its rate no longer", false, func() { e.limiter.set(0) }, func() {}}
	}
	limits := []float64{0.4, 1, 3, 10}
	l := limits[s.random.IntN(len(limits))]
	return fault{fmt.Sprintf("%s limits its rate to %v a second", e.ID, l), false, func() { e.limiter.set(l) }, func() {}}
}
