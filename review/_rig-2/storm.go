package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// This file defines the case of large configurations in quick succession.

func init() { cases["storm"] = storm }

const (
	// grownBy is the number of routes that each growth of the configuration adds, and growths
	// how often it grows.
	grownBy = 350
	growths = 10
	// stormGap is the time between two versions of a storm that lasts stormTime.
	stormGap  = 60 * time.Millisecond
	stormTime = 1500 * time.Millisecond
	// calmGap is the time between two versions without the storm.
	calmGap = 3 * time.Second
	// history is how long the platform keeps its history. All that is judged comes earlier.
	history = 20 * time.Second
	// droppedKey is a key of the tenant that the last version drops.
	droppedKey = "k7vq0cm2h5s9x1b4z8tr"
)

// grown returns a version of the configuration with many routes. The route "step" of each version is
// under a path of its own.
func grown(version, routes int, keys ...string) string {
	const route = `{"name":"r-%06d","host":"ficu95.example","path_prefix":"/lohu%06d/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"public":false,"sticky":false,"resumable":false}`
	const step = `{"name":"step","host":"ficu95.example","path_prefix":"/step%d/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"public":false}`
	const read = `{"name":"read","host":"ficu95.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"public":false}`
	all := []string{fmt.Sprintf(step, version), read}
	for n := range routes {
		all = append(all, fmt.Sprintf(route, n, n))
	}
	c := configuration(version, all...)
	return strings.Replace(c, `"api_keys":["`+key+`"]`, `"api_keys":["`+strings.Join(append([]string{key}, keys...), `","`)+`"]`, 1)
}

// storm writes versions of a large configuration in quick succession, and asks the daemons for a
// route that the last one has added, and with a key that it has dropped.
func storm(r *rig) (bool, error) {
	version := 1
	r.store.Put("op/config", grown(version, 0, droppedKey))
	if _, err := r.startWorkers("app", r.zones, "--work", "30ms"); err != nil {
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
	put := func(c string) {
		r.store.Put("op/config", c)
		r.note("version %d is acknowledged: %d bytes", version, len(c))
	}
	for n := range growths {
		version++
		put(grown(version, (n+1)*grownBy, droppedKey))
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)

	gap := calmGap
	versions := 1
	if r.trouble {
		gap, versions = stormGap, int(stormTime/stormGap)
	}
	var next []string // made before, so that the gap is the time between writes
	for n := range versions {
		next = append(next, grown(version+1+n, growths*grownBy, droppedKey))
	}
	last := grown(version+versions+1, growths*grownBy)
	began := time.Now()
	for _, c := range next {
		version++
		put(c)
		time.Sleep(gap)
	}
	version++
	put(last)
	acknowledged := time.Now()
	r.note("the last version has a new path /step%d/ and has dropped a key", version)

	refused, ran := askForLast(r, clients, version, acknowledged, began.Add(history-time.Second))
	return refused+ran > 0, nil
}

// askForLast asks all daemons, until a time, for the route that the last version has added and with
// the key that it has dropped. It returns how many requests were refused and run as by an older version.
func askForLast(r *rig, clients []*client, version int, acknowledged, until time.Time) (refused, ran int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	sent := 0
	path := fmt.Sprintf("/step%d/1", version)
	for n := 0; time.Now().Before(until); n++ {
		c := clients[n%len(clients)]
		for k, q := range []struct{ path, key string }{{path, key}, {"/read/1", droppedKey}} {
			wait.Add(1)
			go func() {
				defer wait.Done()
				a := c.send("GET", "ficu95.example", q.path, fmt.Sprintf("%d-%03d", k, n), 4*time.Second, map[string]string{"X-Api-Key": q.key}, "")
				after := a.sent.Sub(acknowledged)
				mu.Lock()
				defer mu.Unlock()
				sent++
				switch {
				case after <= applyTime:
				case k == 0 && a.status == 404:
					refused++
					r.note("request %s, sent %d ms after version %d was acknowledged, was refused with 404 by %s", a.call, after.Milliseconds(), version, c.to.name)
				case k == 1 && a.succeeded():
					ran++
					r.note("request %s, sent %d ms after version %d had dropped its key, was run for %s", a.call, after.Milliseconds(), version, c.to.name)
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	r.note("of %d requests, %d were refused on a route that is there, and %d ran with a dropped key, later than %s after the acknowledgement", sent, refused, ran, applyTime)
	return refused, ran
}
