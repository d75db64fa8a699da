// Package soak runs daemons as processes against a stand-in of the users'
// platform while series of faults, drawn from a seed, overlap, and checks what
// callers and endpoints see.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/platform/fakeplatform"
)

// This file defines a soak from its start to its end.

const (
	domains          = 2
	daemonsPerDomain = 2
	desks, models    = 3, 3
	// callPace passes between two calls.
	callPace = 15 * time.Millisecond
	// startTimeout bounds the wait until a daemon serves, at the start and
	// after the last fault.
	startTimeout = 15 * time.Second
	recheckPause = 100 * time.Millisecond
	// probePause passes between two probes of the balancer.
	probePause = 100 * time.Millisecond
)

// Options of a soak. All are required.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Program is that of the daemon.
	Program string
	// Dir receives settings and logs.
	Dir string
	// Note is told of each fault.
	Note func(string)
}

// Report is what a soak has found.
type Report struct {
	Seed       uint64
	Calls      map[string]int // by kind and status
	Faults     int
	Violations []string
}

// soak is one under way.
type soak struct {
	Options
	random    *rand.Rand // of the faults
	store     *fakeplatform.Store
	daemons   []*daemon
	endpoints []*endpoint
	ran       *executions
	began     time.Time
	client    *http.Transport

	// restoring is held while the store comes back from a copy.
	restoring sync.Mutex

	mu     sync.Mutex
	report Report
	calls  []*call
	// key is the number of the key in force, and changed when it came.
	key     int
	changed time.Time
	// storeFaults is the number of faults at the store or on the way to it,
	// and storeCalm when the last one ended.
	storeFaults int
	storeCalm   time.Time
}

// Run runs a soak. An error means that it could not be run.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &soak{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: fakeplatform.NewStore(),
		ran: &executions{counts: make(map[string]int)}, began: time.Now(), client: new(http.Transport),
		report: Report{Seed: o.Seed, Calls: make(map[string]int)},
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.callAll(ctx) })
	wg.Go(func() { s.disturb(ctx) })
	for _, d := range s.daemons {
		wg.Go(func() {
			for ctx.Err() == nil {
				d.probe(ctx)
				time.Sleep(probePause)
			}
		})
	}
	wg.Wait()
	s.recover(context.WithoutCancel(ctx))
	s.check()
	return &s.report, nil
}

// start starts endpoints and daemons and waits until all serve.
func (s *soak) start(ctx context.Context) error {
	s.changeKey()
	for n := range desks + models {
		service := serviceDesk
		if n >= desks {
			service = serviceModel
		}
		e, err := newEndpoint(fmt.Sprintf("i-%d", n), service, s.ran)
		if err != nil {
			return err
		}
		s.endpoints = append(s.endpoints, e)
		s.register(e, "ready")
	}
	for n := range domains * daemonsPerDomain {
		l, err := newLink(s.store.Address())
		if err != nil {
			return err
		}
		d, err := newDaemon(s.Dir, s.Program, fmt.Sprintf("vm-%d", n), string(rune('a'+n%domains)), l)
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		for _, o := range s.daemons {
			if o != d {
				d.Seeds = append(d.Seeds, o.Control)
			}
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if !s.serves(ctx, d) {
			return errors.Errorf("%s does not serve at the start; logs are in %s", d.VM, s.Dir)
		}
	}
	return nil
}

func (s *soak) register(e *endpoint, state string) { s.store.Put(e.Key(), e.entry(state)) }

// changeKey has the operators replace the account's key.
func (s *soak) changeKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.key++
	s.changed = time.Now()
	s.store.Put(fakeplatform.ConfigurationKey, fakeplatform.Configuration(s.key, keyOf(s.key)))
}

func (s *soak) close() {
	for _, d := range s.daemons {
		d.kill()
		d.store.close()
	}
	for _, e := range s.endpoints {
		e.close()
	}
	s.client.CloseIdleConnections()
	s.store.Close()
}

// callAll sends calls to daemons that run until ctx ends, and waits for their
// answers. A caller keeps its connection until the daemon closes it.
func (s *soak) callAll(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 2))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(callPace)
		d := s.daemons[random.IntN(len(s.daemons))]
		if _, runs := d.calmSince(); !runs {
			continue
		}
		ks := kinds()
		c := &call{kind: ks[random.IntN(len(ks))], nonce: fmt.Sprintf("%d-%d", s.Seed, n), to: d}
		s.mu.Lock()
		// Some callers have not heard of the last change.
		c.key = s.key - max(0, random.IntN(10)-8)
		s.mu.Unlock()
		wg.Go(func() {
			c.send(context.WithoutCancel(ctx), s.client)
			s.note(c)
		})
	}
}

// serves waits until a daemon answers a call of each kind.
func (s *soak) serves(ctx context.Context, d *daemon) bool {
	until := time.Now().Add(startTimeout)
	for n := 0; time.Now().Before(until); n++ {
		good := true
		for _, k := range kinds() {
			c := &call{kind: k, nonce: fmt.Sprintf("%s-%s-%d-%d", d.VM, k.path[1:len(k.path)-1], s.key, time.Now().UnixNano()), to: d, key: s.key}
			c.send(ctx, s.client)
			good = good && c.answered() && c.fault() == ""
		}
		if good {
			return true
		}
		time.Sleep(recheckPause)
	}
	return false
}

// recover starts what does not run and checks that all serve, and stop, as
// before.
func (s *soak) recover(ctx context.Context) {
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			s.violate("%s does not start: %v", d.VM, err)
		}
	}
	for _, d := range s.daemons {
		if !s.serves(ctx, d) {
			s.violate("%s does not serve %v after the last fault", d.VM, startTimeout)
		}
	}
	var wg sync.WaitGroup
	for _, d := range s.daemons {
		wg.Go(d.stop)
	}
	wg.Wait()
	for _, d := range s.daemons {
		for _, e := range d.badEnds() {
			s.violate("%s %s", d.VM, e)
		}
		s.readLog(d)
	}
}

// readLog looks for what a daemon must never log.
func (s *soak) readLog(d *daemon) {
	b, err := os.ReadFile(filepath.Join(s.Dir, d.VM+".log")) //nolint:gosec // The name is this program's own.
	if err != nil {
		s.violate("the log of %s cannot be read: %v", d.VM, err)
	}
	for _, bad := range []string{"fault of the decision core", "panic:", "DATA RACE"} {
		if bytes.Contains(b, []byte(bad)) {
			s.violate("%s logged %q", d.VM, bad)
		}
	}
}

func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}
