package main

import (
	"fmt"
	"sync"
	"time"
)

// This file defines the case of routes with sizes whose requests may run once.

func init() { cases["sized"] = sizedRoutes }

// sizedRoutes sends requests that may run once on routes with sizes. The routes come with a
// change of the configuration.
func sizedRoutes(r *rig) (bool, error) {
	const read = `{"name":"read","host":"ficu95.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"pool","max_attempts":2,"public":false}`
	const tell = `{"name":"tell","host":"ficu95.example","path_prefix":"/tell/","kind":"streaming","resumable":false,"timeout_ms":15000,"target_latency_ms":2000,"gap_aim_ms":1200,"priority":1,"sizes":["small-1","large-1"],"service":"pool","max_attempts":3,"public":false,"sticky":true}`
	const act = `{"name":"act","host":"ficu95.example","path_prefix":"/act/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":1000,"priority":1,"sizes":["small-1","large-1"],"service":"pool","max_attempts":3,"public":false,"sticky":true}`
	r.store.Put("op/config", configuration(1, read))
	workers, err := r.startWorkers("pool", r.zones, "--mode", "sized", "--work", "30ms")
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
	if r.trouble {
		r.note("the operator writes version 2, which adds the routes /tell/ and /act/")
		r.store.Put("op/config", configuration(2, read, tell, act))
	}
	time.Sleep(3 * time.Second)
	var wait sync.WaitGroup
	for n := range 30 {
		for k, path := range []string{"/read/1", "/tell/1", "/act/1"} {
			wait.Add(1)
			go func() {
				defer wait.Done()
				headers := map[string]string{"X-Api-Key": key}
				if k > 0 {
					headers["Fescuelatch-Model"] = "*"
					headers["Fescuelatch-Token-Usage"] = "400,80"
					headers["Fescuelatch-Prefix-Hash"] = fmt.Sprintf("5c1e07a2:300,%08x:100", n)
				}
				clients[n%len(clients)].send("POST", "ficu95.example", path, fmt.Sprintf("%d-%02d", k, n), 4*time.Second, headers, "prompt")
			}()
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(200 * time.Millisecond)
	runs, twice := make(map[string]int), 0
	paths := make(map[string]string)
	for _, w := range workers {
		for _, e := range w.events() {
			if e.Event == "run" {
				runs[e.Call]++
				paths[e.Call] = e.Path
			}
		}
	}
	for call, n := range runs {
		if n > 1 && paths[call] != "/read/1" {
			twice++
			r.note("request %s on %s, which may run once, has run %d times", call, paths[call], n)
		}
	}
	r.note("%d of %d requests that have run and may run once have run more than once", twice, len(runs))
	return twice > 0, nil
}
