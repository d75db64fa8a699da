package main

import (
	"fmt"
	"sync"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines the case of daemons that reach no worker while the zone of all others is
// evacuated.

func init() { cases["evacuated"] = evacuatedDelegates }

// strandedTime is how long daemons are partitioned from all workers.
const strandedTime = 12 * time.Second

// evacuatedDelegates evacuates the workers of a zone, and partitions the daemons of the other zone
// from all workers.
func evacuatedDelegates(r *rig) (bool, error) {
	const look = `{"name":"look","host":"ficu95.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"public":false}`
	r.zones = []string{"dub-a", "dub-b"}
	r.store.Put("op/config", configuration(1, look))
	workers, err := r.startWorkers("app", []string{"dub-a", "dub-b", "dub-a", "dub-b"}, "--work", "30ms")
	if err != nil {
		return false, err
	}
	daemons, err := r.newDaemons([]string{"dub-a", "dub-a", "dub-b", "dub-b"})
	if err != nil {
		return false, err
	}
	for _, d := range daemons {
		if d.zone == "dub-b" {
			continue
		}
		if err := d.givePaths(workers); err != nil {
			return false, err
		}
	}
	if err := r.startAll(daemons); err != nil {
		return false, err
	}
	clients := r.newClients(daemons)
	time.Sleep(4 * time.Second)
	r.store.Put("op/evacuate/dub-b", "{}")
	r.note("the workers of dub-b are evacuated")

	type count struct{ served, sent int }
	var mu sync.Mutex
	var wait sync.WaitGroup
	counts := make(map[bool]*count) // by whether the daemon is partitioned from the workers
	counts[true], counts[false] = new(count), new(count)
	began := time.Now()
	var cutAt time.Time
	for n := 0; time.Since(began) < 3*time.Second+strandedTime; n++ {
		if cutAt.IsZero() && time.Since(began) >= 3*time.Second {
			mu.Lock()
			cutAt = time.Now()
			mu.Unlock()
			if err := r.separateAll(daemons); err != nil {
				return false, err
			}
		}
		for k, c := range clients {
			wait.Add(1)
			go func() {
				defer wait.Done()
				a := c.send("GET", "ficu95.example", "/look/1", fmt.Sprintf("%d-%03d", k, n), 4*time.Second, map[string]string{"X-Api-Key": key}, "")
				mu.Lock()
				defer mu.Unlock()
				if cutAt.IsZero() || a.sent.Before(cutAt.Add(stable)) {
					return
				}
				of := counts[c.to.paths != nil]
				of.sent++
				if a.succeeded() {
					of.served++
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	cut, others := counts[true], counts[false]
	r.note("from %s after the cut began: %d of %d first tries served at the machines that are cut off, %d of %d at the others", stable, cut.served, cut.sent, others.served, others.sent)
	failed, all := cut.sent-cut.served, cut.sent+others.sent
	lessThanTwoThirds := 3*cut.served*others.sent < 2*others.served*cut.sent
	return lessThanTwoThirds && failed > 10+all/50, nil
}

// stable is stable_window_ms of the settings.
const stable = 3 * time.Second

// separateAll partitions the daemons that have links of their own from all workers, with the trouble.
func (r *rig) separateAll(daemons []*daemonProcess) error {
	for _, d := range daemons {
		if !r.trouble || d.paths == nil {
			continue
		}
		if err := d.separate(fakeplatform.PartitionResets); err != nil {
			return err
		}
	}
	return nil
}
