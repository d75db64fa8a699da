package main

import (
	"fmt"
	"time"
)

// configApply is config_apply_ms.
const configApply = 2 * time.Second

// runSlashes has the operator add a route for all other paths of a host, with the prefix "/".
// Clients send requests whose paths begin with two slashes.
func runSlashes(r *rig) (bool, error) {
	config := poolConfig()
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": "r-once", "host": host, "path_prefix": "/once/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
		"priority": 2, "service": "wuno96b", "max_attempts": 1, "public": false,
	})
	config["services"] = append(config["services"].([]any), map[string]any{
		"name": "wuno96b", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
	})
	err := r.begin(config, func() error {
		for i, z := range zones {
			k, err := newWorker(fmt.Sprintf("i-%d", i+1), "wuno96b", z, "127.0.0.1", r.store, r.record)
			if err != nil {
				return err
			}
			k.slots = 6
		}
		return nil
	}, len(zones))
	if err != nil {
		return false, err
	}
	if r.trouble {
		r.record.add("the operator adds a route with the prefix /")
		config["version"] = 9
		config["routes"] = append(config["routes"].([]any), map[string]any{
			"name": "r-rest", "host": host, "path_prefix": "/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
			"priority": 2, "service": "wuno96b", "max_attempts": 1, "public": false,
		})
		r.store.put("op/config", config)
	}
	time.Sleep(configApply + time.Second)
	broken := false
	for i, path := range []string{"/once/2f", "/once//2f", "//once/2f", "//reader/41/ban", "/reader//41/ban"} {
		c := newCall("POST", path)
		c.deadline, c.body = 4*time.Second, "ban "+c.id
		c.send(r.daemons[i%len(r.daemons)], r.record, nil)
		for _, x := range r.record.runsOf(c.id) {
			if x.path != path {
				r.record.add("%s was sent with the path %s, and runs with the path %s", c.id, path, x.path)
				broken = true
			}
		}
	}
	if n := len(r.record.runs); n == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return broken, nil
}
