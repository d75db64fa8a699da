package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"fescuelatch/platform/fakeplatform"
)

// This file defines the case of a daemon that reaches no worker, and that passes requests on to
// one which cannot reach the store.

func init() { cases["delegates"] = staleDelegate }

// givePaths gives a daemon links of its own to all workers. It reads their addresses in the
// entries of the store in place of those of the workers.
func (d *daemonProcess) givePaths(workers []*workerProcess) error {
	d.paths = make(map[string]*fakeplatform.Link)
	for _, w := range workers {
		k, err := fakeplatform.NewLink(mustParse(w.address))
		if err != nil {
			return err
		}
		d.rig.addLink(k)
		d.paths[w.id] = k
	}
	d.platform = d.rig.store.View(func(key string, value []byte) []byte {
		for _, w := range workers {
			if key == "servers/"+w.id {
				return bytes.ReplaceAll(value, []byte(w.address), []byte(d.paths[w.id].Address().String()))
			}
		}
		return value
	})
	return nil
}

// giveStoreLink gives a daemon a link of its own to the store.
func (d *daemonProcess) giveStoreLink() error {
	k, err := fakeplatform.NewLink(d.platform)
	if err != nil {
		return err
	}
	d.rig.addLink(k)
	d.store, d.platform = k, k.Address()
	return nil
}

func (r *rig) addLink(k *fakeplatform.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = append(r.links, k)
}

// separate cuts a daemon off from all workers.
func (d *daemonProcess) separate(p fakeplatform.Partition) error {
	d.rig.note("daemon %s is partitioned from all workers", d.name)
	for _, k := range d.paths {
		if err := k.Separate(p); err != nil {
			return err
		}
	}
	return nil
}

// join ends that.
func (d *daemonProcess) join() error {
	d.rig.note("daemon %s reaches the workers again", d.name)
	for _, k := range d.paths {
		if err := k.Join(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// applyTime is config_apply_ms of the settings.
	applyTime = 2 * time.Second
	// partitioned is how long one daemon is partitioned from all workers, and storeCut how long
	// another one is partitioned from the store.
	partitioned = 10 * time.Second
	storeCut    = 5500 * time.Millisecond
)

// staleDelegate partitions a daemon from all workers and another one from the store, and changes
// the configuration meanwhile.
func staleDelegate(r *rig) (bool, error) {
	const move = `{"name":"move","host":"ficu95.example","path_prefix":"/move/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"%s","max_attempts":2,"public":false}`
	const fresh = `{"name":"fresh","host":"ficu95.example","path_prefix":"/fresh/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app2","max_attempts":2,"public":false}`
	r.store.Put("op/config", configuration(1, fmt.Sprintf(move, "app")))
	workers, err := r.startWorkers("app", r.zones, "--work", "30ms")
	if err != nil {
		return false, err
	}
	newWorkers, err := r.startWorkers("app2", r.zones, "--work", "30ms")
	if err != nil {
		return false, err
	}
	daemons, err := r.newDaemons(r.zones)
	if err != nil {
		return false, err
	}
	stranded, cut := daemons[0], daemons[1]
	if err := stranded.givePaths(append(newWorkers, workers...)); err != nil {
		return false, err
	}
	if err := cut.giveStoreLink(); err != nil {
		return false, err
	}
	if err := r.startAll(daemons); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	var wait sync.WaitGroup
	var mu sync.Mutex
	var answers []*answer
	var acknowledged time.Time
	began := time.Now()
	client := r.newClient(stranded)
	steps := []struct {
		at      time.Duration
		trouble bool // left out without the trouble
		do      func() error
	}{
		{2 * time.Second, true, func() error { return stranded.separate(fakeplatform.PartitionResets) }},
		{4 * time.Second, true, func() error {
			r.note("daemon %s is partitioned from the store", cut.name)
			return cut.store.Separate(fakeplatform.PartitionHangs)
		}},
		{4500 * time.Millisecond, false, func() error {
			r.store.Put("op/config", configuration(2, fmt.Sprintf(move, "app2"), fresh))
			acknowledged = time.Now()
			r.note("version 2 is acknowledged: /move/ goes to app2, and /fresh/ is new")
			return nil
		}},
		{4*time.Second + storeCut, true, func() error {
			r.note("daemon %s reaches the store again", cut.name)
			return cut.store.Join()
		}},
		{2*time.Second + partitioned, true, stranded.join},
	}
	for n := 0; time.Since(began) < 14*time.Second; n++ {
		for len(steps) > 0 && time.Since(began) >= steps[0].at {
			step := steps[0]
			steps = steps[1:]
			if step.trouble && !r.trouble {
				continue
			}
			if err := step.do(); err != nil {
				return false, err
			}
		}
		for k, path := range []string{"/move/1", "/fresh/1"} {
			if k == 1 && acknowledged.IsZero() {
				continue
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				a := client.send("GET", "ficu95.example", path, fmt.Sprintf("%d-%03d", k, n), 4*time.Second, map[string]string{"X-Api-Key": key}, "")
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
		}
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(200 * time.Millisecond)

	stale := staleAnswers(r, answers, workers, acknowledged)
	r.note("%d of %d requests to %s were handled by the old version later than %s after the acknowledgement", stale, len(answers), stranded.name, applyTime)
	return stale > 0, nil
}

// staleAnswers returns the number of requests, sent later than applyTime after the acknowledgement of
// version 2, that workers of the old service have run or that were refused though the route is there.
func staleAnswers(r *rig, answers []*answer, oldWorkers []*workerProcess, acknowledged time.Time) int {
	old := make(map[string]string) // workers of the old service, by the requests that they have run
	for _, w := range oldWorkers {
		for _, e := range w.events() {
			if e.Event == "run" {
				old[e.Call] = w.id
			}
		}
	}
	stale := 0
	for _, a := range answers {
		after := a.sent.Sub(acknowledged)
		if after <= applyTime {
			continue
		}
		switch {
		case old[a.call] != "":
			stale++
			r.note("request %s, sent %d ms after version 2 was acknowledged, was run by %s of the old service", a.call, after.Milliseconds(), old[a.call])
		case a.status == 404 || a.status == 401 || a.status == 403:
			stale++
			r.note("request %s, sent %d ms after version 2 was acknowledged, was refused with %d", a.call, after.Milliseconds(), a.status)
		}
	}
	return stale
}
