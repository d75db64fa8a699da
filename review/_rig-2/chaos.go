package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines a search for faults, which is no case.

func init() { cases["chaos"] = chaos }

// chaos disturbs daemons and paths at random, and checks what holds at any time.
func chaos(r *rig) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	const routes = `{"name":"look","host":"ficu95.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"public":false}|` +
		`{"name":"order","host":"ficu95.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"public":false}|` +
		`{"name":"tell","host":"ficu95.example","path_prefix":"/tell/","kind":"streaming","resumable":true,"timeout_ms":8000,"target_latency_ms":1000,"gap_aim_ms":800,"priority":1,"sizes":["small-1","large-1"],"service":"pool","max_attempts":3,"public":false}|` +
		`{"name":"once","host":"ficu95.example","path_prefix":"/once/","kind":"streaming","resumable":false,"timeout_ms":8000,"target_latency_ms":1000,"gap_aim_ms":800,"priority":1,"sizes":["large-1"],"service":"pool","max_attempts":3,"public":false}`
	r.store.Put("op/config", configuration(1, strings.Split(routes, "|")...))
	var workers []*workerProcess
	for n, zone := range []string{"dub-a", "dub-b", "dub-c"} {
		w, err := r.startWorker(fmt.Sprintf("i-app-%d", n), "app", zone, "--work", "80ms")
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
		if w, err = r.startWorker(fmt.Sprintf("i-pool-%d", n), "pool", zone, "--mode", "sized", "--work", "120ms"); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	var daemons []*daemonProcess
	var clients []*client
	for n, zone := range []string{"dub-a", "dub-b", "dub-c"} {
		d, err := r.newDaemon(n, zone)
		if err != nil {
			return false, err
		}
		if err := d.givePaths(workers); err != nil {
			return false, err
		}
		if err := d.giveStoreLink(); err != nil {
			return false, err
		}
		if err := d.start(); err != nil {
			return false, err
		}
		daemons = append(daemons, d)
		clients = append(clients, r.newClient(d))
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var wait sync.WaitGroup
	var answers []*answer
	kinds := make(map[string]string)
	began := time.Now()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(500+random.IntN(1500)) * time.Millisecond):
			}
			d := daemons[random.IntN(len(daemons))]
			switch random.IntN(8) {
			case 0, 1, 2:
				p := []fakeplatform.Partition{fakeplatform.PartitionHangs, fakeplatform.PartitionResets, fakeplatform.PartitionRefusesNew}[random.IntN(3)]
				r.note("%s: %s from workers", d.name, p)
				_ = d.separate(p)
				time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
				_ = d.join()
			case 3:
				d.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(200+random.IntN(3000)) * time.Millisecond)
				d.signal(syscall.SIGCONT)
			case 4:
				r.note("%s is killed", d.name)
				d.kill()
				time.Sleep(time.Duration(200+random.IntN(1000)) * time.Millisecond)
				_ = d.start()
			case 5:
				d.signal(syscall.SIGTERM)
				_ = d.command.Wait()
				_ = d.start()
			case 6:
				r.note("%s: cut from the store", d.name)
				_ = d.store.Separate(fakeplatform.PartitionHangs)
				time.Sleep(time.Duration(500+random.IntN(5000)) * time.Millisecond)
				_ = d.store.Join()
			case 7:
				for _, k := range d.paths {
					k.SetFault(fakeplatform.LinkStalledBack)
				}
				r.note("%s: answers of workers held back", d.name)
				time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
				for _, k := range d.paths {
					k.SetFault(fakeplatform.LinkHealthy)
				}
			}
		}
	}()
	for n := 0; time.Since(began) < 60*time.Second; n++ {
		for k, path := range []string{"/look/1", "/order/1", "/tell/1", "/once/1"} {
			wait.Add(1)
			go func() {
				defer wait.Done()
				headers := map[string]string{"X-Api-Key": key}
				if k >= 2 {
					headers["Fescuelatch-Model"] = "*"
					headers["Fescuelatch-Token-Usage"] = "400,80"
				}
				call := fmt.Sprintf("%d-%04d", k, n)
				a := clients[n%len(clients)].send("POST", "ficu95.example", path, call, 6*time.Second, headers, "prompt")
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
				kinds[call] = path
			}()
		}
		time.Sleep(40 * time.Millisecond)
	}
	close(stop)
	wait.Wait()
	time.Sleep(time.Second)
	runs := make(map[string]int)
	for _, w := range workers {
		for _, e := range w.events() {
			if e.Event == "run" {
				runs[e.Call]++
			}
		}
	}
	bad := 0
	statuses := make(map[string]int)
	for _, a := range answers {
		path := kinds[a.call]
		once := path == "/order/1" || path == "/once/1"
		statuses[fmt.Sprintf("%s %d %v", path, a.status, a.whole)]++
		complain := func(what string) {
			bad++
			r.note("FAULT %s on %s: %s (%d runs): %s", a.call, path, what, runs[a.call], a)
		}
		if once && runs[a.call] > 1 {
			complain("ran more than once")
		}
		if once && runs[a.call] > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			complain("refused but run")
		}
		if a.status == 200 && a.whole {
			switch {
			case a.signature == "" || !strings.HasSuffix(a.signature, "."+a.call):
				complain("signature")
			case path == "/look/1" || path == "/order/1":
				if !endsAsAnswer(a.body) || !strings.Contains(a.body, `"call":"`+a.call+`"`) {
					complain("body")
				}
			default:
				want := ""
				for e := 1; e <= events; e++ {
					want += eventOf(e)
				}
				if a.body != want {
					complain("stream: " + strconv.Quote(a.body))
				}
			}
		}
		if a.status != 200 && a.signature != "" && a.status != 0 {
			complain("failure with signature")
		}
	}
	r.note("%v", statuses)
	return bad > 0, nil
}
