package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// spoiled: one worker of two spoils one of fifty answers for 5.5 s, six times. In the place of such
// an answer comes the page of another program, with no identifier and no signature.
func spoiled(s *site, trouble bool) (int, error) {
	const (
		daemons = 8
		pause   = 380 * time.Millisecond // between two requests of a client
		times   = 6
		onTime  = 5500 * time.Millisecond
		offTime = 2 * time.Second
	)
	s.store.Put("op/config", configuration(3, 2000, "", "", ""))
	faulty, err := s.addWorker("i-faulty", "tracker", "-spoil", "50")
	if err != nil {
		return failed, err
	}
	if _, err := s.addWorker("i-sound", "tracker"); err != nil {
		return failed, err
	}
	for i := range daemons {
		if _, err := s.addDaemon(fmt.Sprintf("edge-dub-a-%d", i+1), "dub-a"); err != nil {
			return failed, err
		}
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return failed, err
	}
	var wait sync.WaitGroup
	var sent, wrong atomic.Int64
	stop := make(chan struct{})
	for _, d := range s.daemons {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				a := s.send(d, "POST", "/set/reminder", key, 4*time.Second)
				sent.Add(1)
				if a.err == nil && a.status >= 200 && a.status < 300 && a.signature() == "" {
					wrong.Add(1)
					s.log("MIXED: %s is a success without a worker's signature, with the body %q", a.call, a.body)
				}
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
			}
		}()
	}
	for range times {
		time.Sleep(offTime)
		if trouble {
			s.log("worker i-faulty spoils answers")
			faulty.order("spoil")
		}
		time.Sleep(onTime)
		if trouble {
			s.log("worker i-faulty is sound again")
			faulty.order("recover")
		}
	}
	close(stop)
	wait.Wait()
	s.log("%d successes without a signature, of %d requests", wrong.Load(), sent.Load())
	if wrong.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
