package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// silentStore is how long the store is silent, and frozenFor how long a machine is frozen.
	silentStore = 3300 * time.Millisecond
	frozenFor   = 2500 * time.Millisecond
	rounds      = 9
)

// runRevoked has the operator take away a key right after the store was silent, while the
// machine that the others of its failure domain follow freezes.
func runRevoked(r *rig) (bool, error) {
	keys := make([]any, rounds+1)
	for i := range keys {
		keys[i] = fmt.Sprintf("n2ctnfzs989anu6wsj%02d", i)
	}
	config := poolConfig()
	config["routes"] = []any{map[string]any{
		"name": "r-once", "host": host, "path_prefix": "/once/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
		"priority": 2, "service": "wuno96b", "max_attempts": 1, "public": false,
	}}
	config["services"] = []any{map[string]any{
		"name": "wuno96b", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
	}}
	set := func(version int) {
		config["version"] = version
		config["tenants"] = []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1}}
	}
	set(7)
	oneZone := zones
	zones = zones[:1] // All machines are in one failure domain.
	err := r.begin(config, func() error {
		for i, z := range oneZone {
			k, err := newWorker(fmt.Sprintf("i-%d", i+1), "wuno96b", z, "127.0.0.1", r.store, r.record)
			if err != nil {
				return err
			}
			k.slots = 6
		}
		return nil
	}, 3)
	if err != nil {
		return false, err
	}
	source, err := r.sourceOfOthers()
	if err != nil {
		return false, err
	}
	r.record.add("the others follow %s", source.name)
	for n := range rounds {
		if r.trouble {
			r.store.silence(silentStore)
			r.record.add("the store is silent for %v", silentStore)
		}
		time.Sleep(silentStore)
		stable := time.Now()
		time.Sleep(200 * time.Millisecond)
		revoked := keys[0].(string)
		keys = keys[1:]
		set(8 + n)
		r.store.put("op/config", config)
		acknowledged := time.Now()
		r.record.add("version %d takes away the key %s", 8+n, revoked)
		time.Sleep(time.Until(stable.Add(1600 * time.Millisecond)))
		if r.trouble {
			r.record.add("%s freezes for %v", source.name, frozenFor)
			source.signal(syscall.SIGSTOP)
			time.AfterFunc(frozenFor, func() { source.signal(syscall.SIGCONT) })
		}
		// The others are in touch: the store has been stable for stable_window_ms.
		from := stable.Add(stableWindow + 50*time.Millisecond)
		if t := acknowledged.Add(configApply + 50*time.Millisecond); t.After(from) {
			from = t
		}
		time.Sleep(time.Until(from))
		if r.useKey(source, revoked, stable.Add(frozenFor+1600*time.Millisecond)) {
			return true, nil
		}
		time.Sleep(time.Until(stable.Add(6 * time.Second)))
	}
	return false, nil
}

// useKey sends requests with a key to all machines but one, and reports whether one has run.
func (r *rig) useKey(except *daemon, revoked string, until time.Time) bool {
	var all sync.WaitGroup
	var mu sync.Mutex
	ran := false
	for time.Now().Before(until) {
		for _, d := range r.daemons {
			if d == except {
				continue
			}
			all.Go(func() {
				c := newCall("POST", "/once/2f")
				c.key, c.deadline, c.body = revoked, 4*time.Second, "ban "+c.id
				c.send(d, r.record, nil)
				if len(r.record.runsOf(c.id)) > 0 {
					r.record.add("%s has run with a key that was taken away", c.id)
					mu.Lock()
					defer mu.Unlock()
					ran = true
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	return ran
}

// sourceOfOthers returns the machine that the others of its failure domain follow, by their logs.
func (r *rig) sourceOfOthers() (*daemon, error) {
	for _, d := range r.daemons {
		b, err := os.ReadFile(filepath.Join(r.dir, d.name+".log"))
		if err != nil {
			return nil, err
		}
		for line := range bytes.Lines(b) {
			var l struct{ Msg, Source string }
			if json.Unmarshal(line, &l) != nil || l.Msg != "received changes from a source" {
				continue
			}
			for _, s := range r.daemons {
				if s.name == l.Source {
					return s, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("no machine follows another one")
}

// silence has the store answer nothing for some time. What it gets meanwhile stays unanswered.
func (s *store) silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = time.Now().Add(d)
}

// handler leaves calls without an answer that arrive, or would be answered, while the store is
// silent.
func (s *store) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		a := &storeAnswer{header: make(http.Header), status: http.StatusOK}
		if !s.isSilent() {
			next.ServeHTTP(a, q)
		}
		if s.isSilent() {
			<-q.Context().Done()
			return
		}
		maps.Copy(w.Header(), a.header)
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body.Bytes())
	})
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silent)
}

// storeAnswer holds an answer until it is sent.
type storeAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *storeAnswer) Header() http.Header         { return a.header }
func (a *storeAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }
func (a *storeAnswer) WriteHeader(status int)      { a.status = status }
