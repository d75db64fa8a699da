package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyPart crashes each worker that begins to write an answer on it.
	deadlyPart = "d1e0ca11"
	// sharedPart is in the prompts of all requests of this case.
	sharedPart = "5c1e07a2"
	// lull is how long the callers are quiet before the deadly requests come.
	lull = 33 * time.Second
	// deadlyFor is how long deadly requests come.
	deadlyFor = 12 * time.Second
)

// window counts the sound requests that were sent in a time, and those that began at the first
// attempt. The clients of this case make no other one.
type window struct{ sent, began int }

func (w window) share() float64 { return float64(w.began) / float64(max(w.sent, 1)) }

// runDeadly has a part of prompts crash workers. The deadly requests and the sound ones share
// their key and the part after the first.
func runDeadly(r *rig) (bool, error) {
	var mu sync.Mutex
	var crashes []time.Time
	err := r.begin(poolConfig(), func() error {
		for i, z := range zones {
			k, err := newWorker(fmt.Sprintf("i-%d", i+1), "huvo11a", z, "127.0.0.1", r.store, r.record)
			if err != nil {
				return err
			}
			k.first, k.events = 700*time.Millisecond, 10
			k.onRun = func(k *worker, q *http.Request) bool {
				if !r.trouble || !strings.Contains(q.Header.Get("Fescuelatch-Prefix-Hash"), deadlyPart) {
					return true
				}
				time.Sleep(150 * time.Millisecond) // Its prompt is short.
				r.record.run(q.Header.Get("Fescuelatch-Attempt-Id"), k.id, q)
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				k.crash(3 * time.Second)
				return false
			}
		}
		return nil
	}, len(zones))
	if err != nil {
		return false, err
	}
	var all sync.WaitGroup
	var calls []*call
	send := func(n int, first string) *call {
		c := newCall("POST", "/stream/2f")
		c.parts, c.body = first+":400,"+sharedPart+":800,"+c.id[8:]+":250", "digest "+c.id
		all.Go(func() { c.send(r.daemons[n%len(r.daemons)], r.record, nil) })
		return c
	}
	sound := func(n int) { calls = append(calls, send(n, fmt.Sprintf("91bd%04x", n))) }

	// Sound requests alone.
	n := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); n++ {
		sound(n)
		time.Sleep(150 * time.Millisecond)
	}
	calmEnd := time.Now()
	all.Wait()
	r.record.add("callers are quiet for %v", lull)
	time.Sleep(lull)

	// Sound and deadly ones.
	r.record.add("requests with the part %s come as well", deadlyPart)
	began := time.Now()
	for i := 0; time.Since(began) < deadlyFor; i++ {
		if i%3 == 0 {
			send(i/3, deadlyPart)
		}
		sound(n)
		n++
		time.Sleep(150 * time.Millisecond)
	}
	deadlyEnd := time.Now()
	all.Wait()

	// From 2 x stable_window_ms after the fifth crash, or the last if there are fewer.
	from := began
	mu.Lock()
	for i, at := range crashes {
		if i < 5 {
			from = at
		}
	}
	r.record.add("%d crashes", len(crashes))
	mu.Unlock()
	from = from.Add(2 * stableWindow)
	var calm, troubled window
	for _, c := range calls {
		w := &calm
		switch {
		case c.sent.Before(calmEnd):
		case !c.sent.Before(from) && c.sent.Before(deadlyEnd):
			w = &troubled
		default:
			continue
		}
		w.sent++
		if len(r.record.runsOf(c.id)) > 0 {
			w.began++
		}
	}
	r.record.add("sound requests outside the disruption: %d, %d began; in the window of %v: %d, %d began",
		calm.sent, calm.began, deadlyEnd.Sub(from).Round(time.Millisecond), troubled.sent, troubled.began)
	if min(calm.sent, troubled.sent) < 20 {
		return false, fmt.Errorf("%d and %d requests are too few", calm.sent, troubled.sent)
	}
	return troubled.share() < calm.share()/2, nil
}
