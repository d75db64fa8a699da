package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// This file defines the case of a worker that is gone in the middle of its answers.

func init() { cases["leaving"] = leavingWorkerEnds }

// spotTime is the time from the notice of a worker that leaves until it is gone.
const spotTime = 2 * time.Second

// leavingWorkerEnds lets a worker that is leaving be gone in the middle of its answers, which have
// no length.
func leavingWorkerEnds(r *rig) (bool, error) {
	const look = `{"name":"look","host":"ficu95.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":20000,"target_latency_ms":3000,"priority":2,"service":"app","max_attempts":2,"public":false}`
	const order = `{"name":"order","host":"ficu95.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":3000,"priority":2,"service":"app","max_attempts":1,"public":false}`
	const tell = `{"name":"tell","host":"ficu95.example","path_prefix":"/tell/","kind":"streaming","resumable":true,"timeout_ms":20000,"target_latency_ms":3000,"gap_aim_ms":1200,"priority":1,"service":"app","max_attempts":3,"public":false}`
	r.store.Put("op/config", configuration(1, look, order, tell))
	workers, err := r.startWorkers("app", r.zones, "--mode", "unframed", "--work", "1500ms")
	if err != nil {
		return false, err
	}
	daemons, err := r.newDaemons(r.zones)
	if err != nil {
		return false, err
	}
	if err := r.startAll(daemons); err != nil {
		return false, err
	}
	clients := r.newClients(daemons)
	time.Sleep(3 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var answers []*answer
	leaver := workers[0]
	began := time.Now()
	drained, killed := !r.trouble, !r.trouble
	for n := 0; time.Since(began) < 6*time.Second; n++ {
		if since := time.Since(began); !drained && since >= 2*time.Second {
			leaver.drain()
			drained = true
		} else if !killed && since >= 2*time.Second+spotTime {
			leaver.kill()
			killed = true
		}
		for k, path := range []string{"/look/1", "/order/1", "/tell/1"} {
			wait.Add(1)
			go func() {
				defer wait.Done()
				a := clients[n%len(clients)].send("POST", "ficu95.example", path, fmt.Sprintf("%d-%02d", k, n), 20*time.Second, map[string]string{"X-Api-Key": key}, "body")
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	short := 0
	for _, a := range answers {
		if a.succeeded() && !endsAsAnswer(a.body) && !strings.HasSuffix(a.body, eventOf(events)) {
			short++
			r.note("request %s got a success that looks complete with a part of its worker's body", a.call)
		}
	}
	r.note("%d of %d answers are successes with a part of the body", short, len(answers))
	return short > 0, nil
}
