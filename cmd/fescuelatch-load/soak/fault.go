package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines the faults. They come in series and overlap.

const (
	// leastFault and mostFault bound how long a fault lasts, and faultPause
	// is the mean time between the beginnings of two.
	leastFault = 300 * time.Millisecond
	mostFault  = 4 * time.Second
	faultPause = 600 * time.Millisecond
	// rewritePause passes between two keys that are written again after the store
	// has come back.
	rewritePause = 100 * time.Millisecond
)

// fault is something that goes wrong, and its end.
type fault struct {
	name  string
	store bool // daemons may not learn of changes
	begin func()
	end   func()
}

// disturb begins faults until ctx ends, and waits for the end of all.
func (s *soak) disturb(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		wait := time.Duration(s.random.ExpFloat64() * float64(faultPause))
		lasts := leastFault + time.Duration(s.random.Int64N(int64(mostFault-leastFault)))
		f := s.draw()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		s.Note(fmt.Sprintf("%6.2f s: %s for %v", time.Since(s.began).Seconds(), f.name, lasts.Round(time.Millisecond)))
		s.report.Faults++
		wg.Go(func() { s.inflict(ctx, f, lasts) })
	}
}

// inflict begins a fault and ends it, at the latest when ctx ends.
func (s *soak) inflict(ctx context.Context, f fault, lasts time.Duration) {
	if f.store {
		s.countStoreFault(1)
		defer s.countStoreFault(-1)
	}
	f.begin()
	select {
	case <-time.After(lasts):
	case <-ctx.Done():
	}
	f.end()
}

func (s *soak) countStoreFault(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFaults += n
	s.storeCalm = time.Now()
}

// draw returns a fault of some kind.
func (s *soak) draw() fault {
	d := s.daemons[s.random.IntN(len(s.daemons))]
	e := s.endpoints[s.random.IntN(len(s.endpoints))]
	all := []func() fault{
		func() fault { return s.signals("kill", d, d.kill) },
		func() fault { return s.signals("stop", d, d.stop) },
		func() fault {
			return s.signals("kill at once with the next one", d, func() { d.kill(); s.next(d).kill() })
		},
		func() fault {
			return fault{"pause " + d.VM, true, func() { d.signal(syscall.SIGSTOP) }, func() { d.signal(syscall.SIGCONT) }}
		},
		func() fault {
			return fault{"hang up " + d.VM, false, d.hangUp, d.hangUp}
		},
		func() fault { return s.atStore() },
		func() fault { return s.comesBack() },
		func() fault { return s.onLink("store of "+d.VM, true, d.store) },
		func() fault { return s.onLink(e.ID, false, e.link) },
		func() fault { return s.atEndpoint(e) },
		func() fault { return s.leaves(e) },
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

// signals is a fault that ends processes, which then start again.
func (s *soak) signals(name string, d *daemon, end func()) fault {
	return fault{name + " " + d.VM, true, end, func() {
		for _, o := range []*daemon{d, s.next(d)} {
			if err := o.start(); err != nil {
				s.violate("%s does not start: %v", o.VM, err)
			}
		}
	}}
}

func (s *soak) atStore() fault {
	faults := []fakeplatform.Fault{
		fakeplatform.FaultBusy, fakeplatform.FaultLimit, fakeplatform.FaultSilent,
		fakeplatform.FaultReset, fakeplatform.FaultLost, fakeplatform.FaultGone,
	}
	f := faults[s.random.IntN(len(faults))]
	return fault{
		"store " + string(f), true,
		func() { s.store.SetFault(f) }, func() { s.store.SetFault(fakeplatform.FaultNone) },
	}
}

// comesBack is a store that is away for a moment and comes back from a copy which
// was made when the fault began.
func (s *soak) comesBack() fault {
	var before *fakeplatform.Copy
	return fault{"store comes back from a copy", true, func() { before = s.store.Copy() }, func() {
		s.restoring.Lock()
		defer s.restoring.Unlock()
		s.store.SetFault(fakeplatform.FaultReset)
		time.Sleep(leastFault)
		lost := s.store.Restore(before)
		s.store.SetFault(fakeplatform.FaultNone)
		for _, key := range lost {
			time.Sleep(rewritePause)
			s.store.Rewrite(key)
		}
	}}
}

func (s *soak) onLink(name string, store bool, l *link) fault {
	faults := []linkFault{linkCut, linkSlow, linkSilent, linkSilentBack}
	f := faults[s.random.IntN(len(faults))]
	return fault{"link to " + name + " " + string(f), store, func() { l.set(f) }, func() { l.set(linkGood) }}
}

func (s *soak) atEndpoint(e *endpoint) fault {
	faults := []endpointFault{endpointFails, endpointBreaks, endpointFull, endpointSlow}
	f := faults[s.random.IntN(len(faults))]
	return fault{e.ID + " " + string(f), false, func() { e.fault.Store(f) }, func() { e.fault.Store(endpointGood) }}
}

// leaves is an endpoint that drains and comes back.
func (s *soak) leaves(e *endpoint) fault {
	return fault{e.ID + " leaves", false, func() { s.register(e, "draining") }, func() { s.register(e, "ready") }}
}
