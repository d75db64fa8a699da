// Package soak runs daemon processes against a stand-in for the users'
// platform, injects overlapping faults generated from a seed, and checks the
// results at callers and endpoints.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/platform/fakeplatform"
)

// This file defines the course of a soak.

// DefaultDaemons is the number of daemons of a soak that does not name it.
const DefaultDaemons = 4

const (
	domains       = 2
	desks, models = 3, 3
	// callInterval is the time between two calls.
	callInterval = 15 * time.Millisecond
	// callsStream is the random stream of the calls.
	callsStream = 2
	// startTimeout bounds the wait for a daemon to serve calls, at the start
	// and after the last fault.
	startTimeout    = 15 * time.Second
	recheckInterval = 100 * time.Millisecond
	// probeInterval is the time between two readiness probes of a daemon.
	probeInterval = 100 * time.Millisecond
)

// Options configures a soak. Fields are required unless they say otherwise.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Program is the path of the daemon's program.
	Program string
	// EarlierProgram is the path of another build of it, which runs beside it, or "".
	EarlierProgram string
	// Daemons is the number of daemons, in two failure domains.
	Daemons int
	// Series are the series of faults that overlap the general ones. It may be empty.
	Series []Series
	// Dir is the directory of the settings and logs.
	Dir string
	// OnFault is called with a description of each fault.
	OnFault func(string)
}

// Report holds the results of a soak.
type Report struct {
	Seed       uint64
	Calls      map[string]int // by kind and status
	Checked    map[string]int // cases of checks that need not occur in a run
	Faults     int
	Violations []string
}

// soak is the state of a running soak.
type soak struct {
	Options
	random     *rand.Rand // draws the faults
	store      *fakeplatform.Store
	daemons    []*daemon
	endpoints  []*endpoint
	decoy      *fakeplatform.Endpoint // at the address of odd registrations; refuses all calls
	executions *executions
	started    time.Time
	client     *http.Transport

	core    disturbances // of the store
	bursts  disturbances // of the room
	crashes crashes
	// brittle holds the times in which the desks were brittle.
	brittle []*brittlePeriod
	// limitDrawn holds the endpoints whose last fault of limits that was drawn begins one.
	limitDrawn map[*endpoint]bool
	// restarts are the pending restarts of endpoints.
	restarts sync.WaitGroup

	// restoring is held while the store is restored from a backup.
	restoring sync.Mutex

	mu     sync.Mutex
	report Report
	calls  []*call
	// servedRepeated and servedOthers hold calls by kind.
	servedRepeated, servedOthers map[string]served
	// targets holds the daemons of all calls that were sent, by nonce.
	targets map[string]*daemon
	// key is the number of the active key; keyChanged is when it was set.
	key        int
	keyChanged time.Time
	// versions holds the versions of the configuration; version n is at n-1.
	versions []version
	// storeFaults is the number of current faults that keep daemons from the
	// store; storeStableSince is when this number last changed.
	storeFaults      int
	storeStableSince time.Time
}

// Run runs a soak. It returns an error only if the soak could not start.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &soak{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: fakeplatform.NewStore(), decoy: fakeplatform.NewEndpoint("decoy"),
		executions: &executions{counts: make(map[string]int), arrivals: make(map[string]time.Time), notes: make(map[string]string), brokenOff: make(map[string]bool)}, started: time.Now(), client: new(http.Transport),
		report:         Report{Seed: o.Seed, Calls: make(map[string]int), Checked: make(map[string]int)},
		crashes:        crashes{times: make(map[string][]time.Time), late: make(map[string][]string)},
		servedRepeated: make(map[string]served), servedOthers: make(map[string]served),
		targets: make(map[string]*daemon), limitDrawn: make(map[*endpoint]bool),
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.sendCalls(ctx) })
	wg.Go(func() { s.injectFaults(ctx, s.slowed(s.drawGeneralFault)) })
	for _, name := range o.Series {
		wg.Go(func() { s.runSeries(ctx, name) })
	}
	for _, d := range s.daemons {
		wg.Go(func() {
			for ctx.Err() == nil {
				d.probe(ctx)
				time.Sleep(probeInterval)
			}
		})
	}
	wg.Wait()
	s.recover(context.WithoutCancel(ctx))
	s.checkExecutions()
	s.checkWhole()
	s.checkRateLimits()
	s.checkCrashes()
	s.checkBrittle()
	s.checkServed()
	return &s.report, nil
}

// start starts the endpoints and daemons and waits until all daemons serve calls.
func (s *soak) start(ctx context.Context) error {
	s.changeKey()
	for n := range desks + models {
		service := serviceDesk
		if n >= desks {
			service = serviceModel
		}
		e, err := newEndpoint(fmt.Sprintf("i-%d", n), service, s.executions)
		if err != nil {
			return err
		}
		e.onCrash, e.onViolation = s.crash, s.addViolation
		e.onBroken = func(b *brokenStreams, w http.ResponseWriter, r *http.Request, nonce string) { b.stream(s, w, r, nonce) }
		e.room = s.newRoom(n)
		s.endpoints = append(s.endpoints, e)
		s.register(e, "ready")
	}
	builds := s.drawBuilds(s.Daemons)
	for n := range s.Daemons {
		l, err := fakeplatform.NewLink(s.store.Address())
		if err != nil {
			return err
		}
		d, err := newDaemon(s.Dir, builds[n], fmt.Sprintf("vm-%d", n), string(rune('a'+n%domains)), l)
		if err != nil {
			return err
		}
		s.prepare(d)
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
		if !s.waitUntilServing(ctx, d) {
			return errors.Errorf("%s does not serve calls after the start; logs are in %s", d.VM, s.Dir)
		}
	}
	return nil
}

func (s *soak) register(e *endpoint, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.registered = e.registration(state)
	s.store.Put(e.Key(), e.registered)
}

// registerAgain writes the registration of an endpoint again, with more slots.
func (s *soak) registerAgain(e *endpoint, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put(e.Key(), strings.Replace(e.registered, `"capacity":8`, fmt.Sprintf(`"capacity":%d`, 8+slots), 1))
}

// changeKey replaces the account's key in the configuration.
func (s *soak) changeKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.key++
	s.keyChanged = time.Now()
	s.writeVersion(func(v *version) { v.key = s.key })
}

func (s *soak) close() {
	for _, d := range s.daemons {
		d.kill()
		d.store.Close()
	}
	s.restarts.Wait()
	for _, e := range s.endpoints {
		e.close()
	}
	s.decoy.Close()
	s.client.CloseIdleConnections()
	s.store.Close()
}

// sendCalls sends calls to running daemons until ctx ends, and waits for their
// answers. Connections stay open until the daemon closes them.
func (s *soak) sendCalls(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, callsStream))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(callInterval)
		d := s.daemons[random.IntN(len(s.daemons))]
		if !d.open() {
			continue
		}
		ks := kinds()
		c := &call{kind: ks[random.IntN(len(ks))], nonce: fmt.Sprintf("%d-%d", s.Seed, n), target: d}
		if c.streamed {
			c.prompt = s.crashes.promptOf(random, c.nonce)
			if slices.Contains(s.Series, SeriesConfiguration) {
				c.model = anyModel
			}
		}
		s.mu.Lock()
		// Some callers still use the previous key.
		c.key = s.key - max(0, random.IntN(10)-8)
		s.mu.Unlock()
		s.launch(ctx, &wg, c)
	}
}

// launch sends a call and checks its answer.
func (s *soak) launch(ctx context.Context, wg *sync.WaitGroup, c *call) {
	s.mu.Lock()
	s.targets[c.nonce] = c.target
	s.mu.Unlock()
	wg.Go(func() {
		c.send(context.WithoutCancel(ctx), s.client)
		s.checkCall(c)
	})
}

// waitUntilServing waits until d answers a call of each kind, and each of the sound requests
// that are repeated, or startTimeout passes.
// It reports whether d does.
func (s *soak) waitUntilServing(ctx context.Context, d *daemon) bool {
	until := time.Now().Add(startTimeout)
	for n := 0; time.Now().Before(until); n++ {
		good := true
		for _, k := range kinds() {
			c := &call{kind: k, nonce: fmt.Sprintf("%s-%s-%d-%d", d.VM, k.path[1:len(k.path)-1], s.key, time.Now().UnixNano()), target: d, key: s.key}
			c.send(ctx, s.client)
			good = good && c.answered() && c.fault() == ""
		}
		for _, r := range popular() {
			c := r.newCall(fmt.Sprintf("%s-%s-%d", d.VM, r.path[1:len(r.path)-1], time.Now().UnixNano()), d, s.key)
			c.send(ctx, s.client)
			good = good && c.answered() && c.fault() == ""
		}
		if good {
			return true
		}
		time.Sleep(recheckInterval)
	}
	return false
}

// recover starts daemons that do not run and checks that all serve calls
// again and then stop cleanly.
func (s *soak) recover(ctx context.Context) {
	s.restarts.Wait()
	for _, e := range s.endpoints {
		e.limiter.set(0)
	}
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			s.addViolation("%s failed to start: %v", d, err)
		}
	}
	for _, d := range s.daemons {
		if !s.waitUntilServing(ctx, d) {
			s.addViolation("%s does not serve calls %v after the last fault", d, startTimeout)
		}
	}
	var wg sync.WaitGroup
	for _, d := range s.daemons {
		wg.Go(d.stop)
	}
	wg.Wait()
	for _, d := range s.daemons {
		for _, e := range d.exitFailures() {
			s.addViolation("%s %s", d, e)
		}
		s.checkLog(d)
	}
}

// checkLog checks that a daemon logged no internal fault, panic or data race.
func (s *soak) checkLog(d *daemon) {
	b, err := os.ReadFile(filepath.Join(s.Dir, d.VM+".log")) //nolint:gosec // The name is this program's own.
	if err != nil {
		s.addViolation("cannot read the log of %s: %v", d.VM, err)
	}
	for _, bad := range []string{"fault of the decision core", "panic:", "DATA RACE"} {
		if bytes.Contains(b, []byte(bad)) {
			s.addViolation("%s logged %q", d, bad)
		}
	}
}

// count counts a case of a check.
func (s *soak) count(check string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Checked[check]++
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}
