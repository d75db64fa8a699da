package main

import (
	"fmt"
	"time"
)

// names: a version of the configuration drops a key and a route, and adds a tenant whose name has
// spaces.
func names(s *site, trouble bool) (int, error) {
	const (
		applyTime = 2 * time.Second
		seconds   = 12
		leaked    = "anfqasnmgkcuyj8pjbvk"
		added     = "q7c2xkd0m4tz81vynp3w"
		route     = `,
  {"name":"r-old","host":"ficu95.example","path_prefix":"/old/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"tracker","max_attempts":1,"public":false}`
	)
	s.store.Put("op/config", configuration(3, 2000, route, `,"`+leaked+`"`, ""))
	w, err := s.addWorker("i-1", "tracker")
	if err != nil {
		return failed, err
	}
	d, err := s.addDaemon("edge-dub-a-1", "dub-a")
	if err != nil {
		return failed, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return failed, err
	}
	for _, k := range []string{key, leaked} {
		if a := s.send(d, "POST", "/set/reminder", k, 4*time.Second); a.status != 200 {
			return failed, fmt.Errorf("request before the change: %s", a)
		}
	}
	tenant := "limerick"
	if trouble {
		tenant = "University of Limerick"
	}
	s.log("version 7 drops the key %s and the route /old/, and adds the tenant %q", leaked, tenant)
	s.store.Put("op/config", configuration(7, 2000, "", "", fmt.Sprintf(`,{"name":%q,"api_keys":[%q],"priority":1}`, tenant, added)))
	s.log("the store has acknowledged version 7")
	acknowledged := time.Now()
	code := held
	for range seconds {
		time.Sleep(time.Second)
		late := time.Since(acknowledged) > applyTime
		for _, r := range []struct{ path, key, as string }{
			{"/set/reminder", leaked, "with the dropped key"}, {"/old/reminder", key, "on the dropped route"}, {"/set/reminder", added, "with the added key"},
		} {
			a := s.send(d, "POST", r.path, r.key, 4*time.Second)
			ran := w.hasRun(a.call)
			dropped := r.as != "with the added key"
			if late && (dropped && ran || !dropped && a.status == 401) {
				s.log("CONFIG: %s, %s, is handled as only version 3 allows, %.1f s after the acknowledgement: status %d, run %t",
					a.call, r.as, time.Since(acknowledged).Seconds(), a.status, ran)
				code = broken
			}
		}
	}
	// A daemon that starts now reads version 7 only.
	later, err := s.addDaemon("edge-dub-a-2", "dub-a")
	if err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	s.send(later, "POST", "/set/reminder", key, 4*time.Second)
	return code, nil
}
