package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// failing: one worker of seven, whose health check is good, fails two of five requests for 6.5 s,
// after it has run them. It says so with a status of its own, in a page of more than a megabyte.
func failing(s *site, trouble bool) (int, error) {
	const (
		workers  = 7
		interval = 25 * time.Millisecond // between two requests
		before   = 2 * time.Second
		greyTime = 6500 * time.Millisecond
	)
	s.store.Put("op/config", configuration(3, 2000, "", "", ""))
	var all []*worker
	for i := range workers {
		var args []string
		if i == 0 {
			args = []string{"-mode", "grey", "-page", "1200000"}
		}
		w, err := s.addWorker(fmt.Sprintf("i-%d", i), "tracker", args...)
		if err != nil {
			return failed, err
		}
		all = append(all, w)
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
	send := func() {
		defer wait.Done()
		a := s.send(d, "POST", "/set/reminder", key, 4*time.Second)
		if a.status != 503 && a.status != 429 {
			return
		}
		for _, w := range all {
			if w.hasRun(a.call) {
				wrong.Add(1)
				s.log("REFUSED: %s is answered %d, and has run at %s", a.call, a.status, w.id)
			}
		}
	}
	end := time.Now().Add(before + greyTime + before)
	if trouble {
		time.AfterFunc(before, func() {
			s.log("worker i-0 fails 2 of 5 requests")
			all[0].order("fail")
		})
		time.AfterFunc(before+greyTime, func() {
			s.log("worker i-0 is sound again")
			all[0].order("recover")
		})
	}
	for time.Now().Before(end) {
		wait.Add(1)
		go send()
		time.Sleep(interval)
	}
	wait.Wait()
	s.log("%d requests were refused and had run", wrong.Load())
	if wrong.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
