package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// takenAway: workers are replaced one after the other. Each reports draining, serves for a little
// longer than drain_ms, and exits, while it is still writing answers that have neither a length nor
// chunks. Without trouble it exits once it has written them.
func takenAway(s *site, trouble bool) (int, error) {
	const (
		pieces, size = 1200, 50
		gap          = 2500 * time.Microsecond // an answer takes 3 s and a little more
		workers      = 11
		replaced     = 5
		gapTime      = time.Second
		drainTime    = 2200 * time.Millisecond
		interval     = 45 * time.Millisecond // between two requests
	)
	s.store.Put("op/config", configuration(3, 10000, "", "", ""))
	add := func(id string) (*worker, error) {
		return s.addWorker(id, "tracker", "-mode", "unframed", "-pieces", fmt.Sprint(pieces), "-size", fmt.Sprint(size), "-gap", gap.String())
	}
	var old []*worker
	for i := range workers {
		w, err := add(fmt.Sprintf("i-%d", i))
		if err != nil {
			return failed, err
		}
		old = append(old, w)
	}
	d, err := s.addDaemon("edge-dub-a-1", "dub-a")
	if err != nil {
		return failed, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return failed, err
	}
	var wait sync.WaitGroup
	var wrong atomic.Int64
	stop := make(chan struct{})
	wait.Add(1)
	go func() {
		defer wait.Done()
		for t := time.NewTicker(interval); ; {
			select {
			case <-stop:
				t.Stop()
				return
			case <-t.C:
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				a := s.send(d, "POST", "/set/report", key, 10*time.Second)
				if a.err == nil && a.status == 200 && len(a.body) != pieces*size {
					wrong.Add(1)
					s.log("MIXED: %s is a success that looks complete, with %d of the worker's %d bytes", a.call, len(a.body), pieces*size)
				}
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	var exits sync.WaitGroup
	for i := range replaced {
		if _, err := add(fmt.Sprintf("i-new-%d", i)); err != nil {
			return failed, err
		}
		w := old[i]
		s.log("worker %s reports draining", w.id)
		w.drain()
		exits.Add(1)
		go func() {
			defer exits.Done()
			if trouble {
				time.Sleep(drainTime)
			} else {
				time.Sleep(drainTime + 2*pieces*gap)
			}
			s.log("worker %s exits", w.id)
			w.exit()
		}()
		time.Sleep(gapTime)
	}
	exits.Wait()
	close(stop)
	wait.Wait()
	s.log("%d answers look complete and are not", wrong.Load())
	if wrong.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
