package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// This file defines the cases.

func init() {
	cases["sized"] = sizedRoutes
	cases["leaving"] = leavingWorkerEnds
}

// key is the key of the only tenant.
const key = "n2ctnfzs989anu6wsjnb"

// configuration returns a configuration with routes, given as JSON objects.
func configuration(version int, routes ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[`+
		`{"name":"pool","max_connections":370,"cold_per_s":12,"engine":{"kv_capacity":376325,"models":[{"name":"small-1","cost":0.017},{"name":"large-1","cost":0.26}]}},`+
		`{"name":"app","max_connections":110},{"name":"app2","max_connections":110}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000},`+
		`"tenants":[{"name":"hule930","api_keys":["%s"]}]}`, version, strings.Join(routes, ","), key)
}

// sizedRoutes sends requests that may run once on routes with sizes. The routes come with a
// change of the configuration.
func sizedRoutes(r *rig) (bool, error) {
	const read = `{"name":"read","host":"ficu95.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"pool","max_attempts":2,"public":false}`
	const tell = `{"name":"tell","host":"ficu95.example","path_prefix":"/tell/","kind":"streaming","resumable":false,"timeout_ms":15000,"target_latency_ms":2000,"gap_aim_ms":1200,"priority":1,"sizes":["small-1","large-1"],"service":"pool","max_attempts":3,"public":false,"sticky":true}`
	const act = `{"name":"act","host":"ficu95.example","path_prefix":"/act/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":1000,"priority":1,"sizes":["small-1","large-1"],"service":"pool","max_attempts":3,"public":false,"sticky":true}`
	r.store.Put("op/config", configuration(1, read))
	var workers []*workerProcess
	for n, zone := range []string{"dub-a", "dub-b", "dub-c"} {
		w, err := r.startWorker(fmt.Sprintf("i-pool-%d", n), "pool", zone, "--mode", "sized", "--work", "30ms")
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	var clients []*client
	for n, zone := range []string{"dub-a", "dub-b", "dub-c"} {
		d, err := r.newDaemon(n, zone)
		if err != nil {
			return false, err
		}
		if err := d.start(); err != nil {
			return false, err
		}
		clients = append(clients, r.newClient(d))
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
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

// spotTime is the time from the notice of a worker that leaves until it is gone.
const spotTime = 2 * time.Second

// leavingWorkerEnds lets a worker that is leaving be gone in the middle of its answers, which have
// no length.
func leavingWorkerEnds(r *rig) (bool, error) {
	const look = `{"name":"look","host":"ficu95.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":20000,"target_latency_ms":3000,"priority":2,"service":"app","max_attempts":2,"public":false}`
	const order = `{"name":"order","host":"ficu95.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":3000,"priority":2,"service":"app","max_attempts":1,"public":false}`
	const tell = `{"name":"tell","host":"ficu95.example","path_prefix":"/tell/","kind":"streaming","resumable":true,"timeout_ms":20000,"target_latency_ms":3000,"gap_aim_ms":1200,"priority":1,"service":"app","max_attempts":3,"public":false}`
	r.store.Put("op/config", configuration(1, look, order, tell))
	var workers []*workerProcess
	for n, zone := range []string{"dub-a", "dub-b", "dub-c"} {
		w, err := r.startWorker(fmt.Sprintf("i-app-%d", n), "app", zone, "--mode", "unframed", "--work", "1500ms")
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	var clients []*client
	for n, zone := range []string{"dub-a", "dub-b", "dub-c"} {
		d, err := r.newDaemon(n, zone)
		if err != nil {
			return false, err
		}
		if err := d.start(); err != nil {
			return false, err
		}
		clients = append(clients, r.newClient(d))
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
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
