package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// poolConfig is a configuration with a route of resumable streams, as guidance-digest has it.
func poolConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-2yhvz3p", "host": host, "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 3000,
			"priority": 1, "service": "huvo11a", "max_attempts": 3, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 1200,
		}},
		"services": []any{map[string]any{
			"name": "huvo11a", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 12.0,
			"engine": map[string]any{
				"capacity": 64, "kv_capacity": 376325, "kv_token_bytes": 35136, "link_mbps": 1100000.0,
				"models": []any{map[string]any{"name": "daka510000", "cost": 0.017}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []any{key}, "priority": 1}},
	}
}

// silentFor is "a second or so".
const silentFor = 1200 * time.Millisecond

// runSilence has a client's stream run at a worker while all others of the service are full.
// The worker falls silent for a second and goes on. The client's machine gets SIGHUP while the
// stream runs, which is planned work.
func runSilence(r *rig) (bool, error) {
	var workers []*worker
	err := r.begin(poolConfig(), func() error {
		for i, z := range zones {
			k, err := newWorker(fmt.Sprintf("i-%d", i+1), "huvo11a", z, "127.0.0.1", r.store, r.record)
			if err != nil {
				return err
			}
			workers = append(workers, k)
		}
		return nil
	}, len(zones))
	if err != nil {
		return false, err
	}
	broken := false
	for _, d := range r.daemons {
		c := newCall("POST", "/stream/2f")
		c.parts, c.body = "5c1e07a2:800,91bd3f06:410,"+c.id[8:]+":250", "digest "+c.id
		var once sync.Once
		c.send(d, r.record, func(n int) {
			if n < 10 {
				return
			}
			once.Do(func() {
				r.record.add("SIGHUP to %s", d.name)
				d.signal(syscall.SIGHUP)
				at := r.record.runsOf(c.id)[0].worker
				for _, k := range workers {
					if k.id != at {
						k.full.Store(true)
					} else if r.trouble {
						k.fallSilent(silentFor)
					}
				}
			})
		})
		if c.status != 200 {
			return false, fmt.Errorf("the stream has status %d: %v", c.status, c.err)
		}
		broken = broken || c.err != nil
		for _, k := range workers {
			k.full.Store(false)
		}
		time.Sleep(stableWindow)
	}
	return broken, nil
}
