package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"fescuelatch/internal/process"
	"fescuelatch/platform/fakeplatform"
)

// This file defines configurations that grow and shrink in quick succession on daemons that
// get little processor time, and checks which of them are in force.

const (
	// applyTimeout is the time until a configuration is in force at daemons in touch. The
	// time for which a daemon is paused adds to it.
	applyTimeout = 2 * time.Second
	// regressTimeout is the time after an effect of a version was seen at a daemon from which
	// it may handle nothing by an older one; longer if it was paused.
	regressTimeout       = 250 * time.Millisecond
	regressTimeoutPaused = 8 * regressTimeout
	// probeRouteInterval is the time between two calls that show which routes a daemon knows.
	probeRouteInterval = 40 * time.Millisecond

	minVersionInterval = 200 * time.Millisecond
	maxVersionInterval = 1500 * time.Millisecond
	minGrownRoutes     = 1000
	maxGrownRoutes     = 5600
	maxShrunkRoutes    = 50

	// minPulse and maxPulse bound the time for which a daemon is paused in a pulse, and
	// maxPulseGap that between two pulses.
	minPulse          = 100 * time.Millisecond
	maxPulse          = 300 * time.Millisecond
	minPulseGap       = 10 * time.Millisecond
	maxPulseGap       = 60 * time.Millisecond
	meanPulseInterval = 3 * time.Second
	minPulsesTime     = 2 * time.Second
	maxPulsesTime     = 5 * time.Second
)

// oneProcessor is the environment of daemons that run on one processor at a time.
var oneProcessor = []string{"GOMAXPROCS=1"}

// version is a version of the operators' configuration.
type version struct {
	number int
	key    int // number of the active key
	extra  int // number of extra routes
	sent   time.Time
}

// writeVersion writes a version that differs from the one before by a change. The caller
// holds the lock.
func (s *soak) writeVersion(change func(*version)) {
	v := version{}
	if n := len(s.versions); n > 0 {
		v = s.versions[n-1]
	}
	v.number++
	change(&v)
	s.store.Put(fakeplatform.ConfigurationKey, withAccount(fakeplatform.GrownConfiguration(v.number, keyOf(v.key), v.extra)))
	v.sent = time.Now()
	s.versions = append(s.versions, v)
}

// withAccount adds a less urgent account, whose key never changes, to a configuration.
func withAccount(configuration string) string {
	return strings.Replace(configuration, `"tenants":[`, fmt.Sprintf(`"tenants":[{"name":"lima","api_keys":[%q],"priority":3},`, keyOf(otherAccountKey)), 1)
}

// routeProbe is a route of some versions: the one that a version has added, or an extra one.
type routeProbe struct {
	version, extra int // version is 0 for an extra route
}

func (p routeProbe) in(v version) bool {
	if p.version > 0 {
		return v.number >= p.version
	}
	return p.extra < v.extra
}

func (p routeProbe) kind() kind {
	host, path := fakeplatform.ExtraRoute(p.extra)
	if p.version > 0 {
		host, path = fakeplatform.VersionRoute(p.version)
	}
	return kind{"probe", http.MethodPost, host, path, false, false}
}

// seenVersion is a version whose effect was seen at a process.
type seenVersion struct {
	number  int
	at      time.Time
	process *process.Process
}

// changeConfigurations writes versions, pauses daemons and sends probes until ctx ends.
func (s *soak) changeConfigurations(ctx context.Context, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	writes, pulses := rand.New(rand.NewPCG(random.Uint64(), 1)), rand.New(rand.NewPCG(random.Uint64(), 1))
	wg.Go(func() { s.injectFaults(ctx, func() drawnFault { return s.drawVersion(writes) }) })
	wg.Go(func() { s.injectFaults(ctx, func() drawnFault { return s.drawPulses(pulses) }) })
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(probeRouteInterval)
		s.registerAgain(s.endpoints[random.IntN(len(s.endpoints))], random.IntN(2))
		d := s.daemons[random.IntN(len(s.daemons))]
		s.mu.Lock()
		newest, key := s.versions[len(s.versions)-1].number, s.key
		s.mu.Unlock()
		p := routeProbe{extra: random.IntN(maxGrownRoutes)}
		if random.IntN(2) == 0 {
			p = routeProbe{version: max(1, newest-random.IntN(3))}
		}
		if !d.open() {
			continue
		}
		c := &call{kind: p.kind(), nonce: fmt.Sprintf("%d-probe-%d", s.Seed, n), target: d, key: key, probe: &p}
		s.launch(ctx, &wg, c)
	}
}

// drawVersion draws a change of the configuration.
func (s *soak) drawVersion(random *rand.Rand) drawnFault {
	wait := minVersionInterval + time.Duration(random.Int64N(int64(maxVersionInterval-minVersionInterval)))
	grown, shrunk := minGrownRoutes+random.IntN(maxGrownRoutes-minGrownRoutes), random.IntN(maxShrunkRoutes)
	name, change := "the configuration is written again", func(*version) {}
	switch random.IntN(3) {
	case 0:
		name, change = fmt.Sprintf("the configuration grows to %d extra routes", grown), func(v *version) { v.extra = grown }
	case 1:
		name, change = fmt.Sprintf("the configuration shrinks to %d extra routes", shrunk), func(v *version) { v.extra = shrunk }
	}
	return drawnFault{fault{name, false, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.writeVersion(change)
	}, func() {}}, wait, 0}
}

// drawPulses draws a time in which one daemon or all get little processor time.
func (s *soak) drawPulses(random *rand.Rand) drawnFault {
	wait := time.Duration(random.ExpFloat64() * float64(meanPulseInterval))
	duration := minPulsesTime + time.Duration(random.Int64N(int64(maxPulsesTime-minPulsesTime)))
	n := random.IntN(len(s.daemons))
	daemons, name := s.daemons[n:n+1], s.daemons[n].VM
	if random.IntN(2) == 0 {
		daemons, name = s.daemons, "every daemon"
	}
	seeds := random.Uint64()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	return drawnFault{fault{name + " gets little processor time", false, func() {
		for n, d := range daemons {
			wg.Go(func() { d.pulse(ctx, rand.New(rand.NewPCG(seeds, uint64(n)))) })
		}
	}, func() { cancel(); wg.Wait() }}, wait, duration}
}

// pulse pauses and resumes the process until ctx ends or it is told to stop.
func (d *daemon) pulse(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		paused := minPulse + time.Duration(random.Int64N(int64(maxPulse-minPulse)))
		runs := minPulseGap + time.Duration(random.Int64N(int64(maxPulseGap-minPulseGap)))
		if d.pause(true) {
			time.Sleep(paused)
			d.resume()
		}
		time.Sleep(runs)
	}
}

// checkVersions checks whether a daemon handled a call by a version that may be in force there.
func (s *soak) checkVersions(c *call) {
	allowed := c.allowedBy()
	if allowed == nil {
		return
	}
	s.mu.Lock()
	versions := s.versions
	s.mu.Unlock()
	oldest := -1 // index of the oldest version that may be in force
	if s.appliesSince(c.target, c.sent) {
		for i, v := range versions {
			if v.sent.Add(applyTimeout + c.target.pausedBetween(v.sent, c.sent)).Before(c.sent) {
				oldest = i
			}
		}
		s.count("calls by version")
	}
	if seen := c.target.seen(c); seen > 0 {
		oldest = max(oldest, seen-1)
	}
	if oldest < 0 {
		return
	}
	for _, v := range versions[oldest:] {
		if allowed(v) {
			if c.probe != nil && c.probe.version > 0 && c.answered() {
				c.target.see(c)
			}
			return
		}
	}
	s.addViolation("%s: sent to %s with key %d, handled by none of versions %d to %d, the first of which was written %v before",
		c, c.path, c.key, versions[oldest].number, versions[len(versions)-1].number, c.sent.Sub(versions[oldest].sent).Round(time.Millisecond))
}

// allowedBy returns a function that reports whether a version allows the call's result, or nil
// if every version does.
func (c *call) allowedBy() func(version) bool {
	known := func(v version) bool { return c.probe == nil || c.probe.in(v) }
	switch {
	case c.answered():
		return func(v version) bool { return known(v) && c.usesKey(v.key) }
	case c.status == http.StatusUnauthorized:
		return func(v version) bool { return !c.usesKey(v.key) }
	case c.status == http.StatusNotFound:
		return func(v version) bool { return !known(v) }
	}
	return nil
}

// appliesSince reports whether a daemon was in touch from a time until now, but for pulses.
func (s *soak) appliesSince(d *daemon, t time.Time) bool {
	from := t.Add(-touchWindow)
	return s.core.noneSince(from) && d.storeLink.noneSince(from) && !d.signaledBetween(from, time.Now())
}

// see records that the version whose route a call used is in force at its process.
func (d *daemon) see(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == c.process && (d.seenVersion.process != d.process || c.probe.version > d.seenVersion.number) {
		d.seenVersion = seenVersion{c.probe.version, time.Now(), d.process}
	}
}

// seen returns the newest version that the process of a call has shown long enough before,
// or 0.
func (d *daemon) seen(c *call) int {
	d.mu.Lock()
	v := d.seenVersion
	d.mu.Unlock()
	timeout := regressTimeout
	if d.pausedBetween(v.at.Add(-touchWindow), c.sent) > 0 {
		timeout = regressTimeoutPaused
	}
	if v.process != c.process || c.sent.Before(v.at.Add(timeout)) {
		return 0
	}
	return v.number
}
