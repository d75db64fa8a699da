package soak

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/internal/loopback"
	"fescuelatch/internal/process"
	"fescuelatch/platform"
	"fescuelatch/platform/fakeplatform"
)

// This file defines daemons, each of which runs as a separate process.

// stopTimeout bounds a daemon's graceful shutdown: its grace period and the
// time to exit.
const stopTimeout = 10 * time.Second

// probeTimeout is the timeout of the load balancer's readiness probes.
const probeTimeout = 200 * time.Millisecond

// daemon is the daemon of a VM, across restarts of its process.
type daemon struct {
	fakeplatform.Process
	dir   string
	env   []string // of its processes, besides the settings
	store *fakeplatform.Link

	mu       sync.Mutex
	build    build // that the process runs
	next     build // that the next process runs
	process  *process.Process
	stopping bool // it received a signal to end
	ready    bool // the load balancer sends it calls
	started  bool // the process has been ready, so that its signal handlers are installed
	// disruptions are the times at which it was started or signaled.
	disruptions []time.Time
	kills       []time.Time // those of them that killed it
	pauses      []pausedTime
	seenVersion seenVersion
	storeLink   disturbances
	failures    []string // crashes and failed shutdowns
}

func newDaemon(dir string, b build, vm, domain string, store *fakeplatform.Link) (*daemon, error) {
	d := &daemon{dir: dir, next: b, store: store}
	d.VM, d.Domain, d.Store = vm, domain, store.Address()
	for _, a := range []*netip.AddrPort{&d.Callers, &d.Readiness, &d.Control} {
		free, err := loopback.Free()
		if err != nil {
			return nil, err
		}
		*a = free
	}
	return d, nil
}

// start starts the process if it is not running.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil && d.process.Running() {
		return nil
	}
	d.recordCrash()
	settings := filepath.Join(d.dir, d.VM+".toml")
	if err := os.WriteFile(settings, []byte(d.Settings()), 0o600); err != nil {
		return errors.WithStack(err)
	}
	p, err := process.Start(process.Command{
		Name: d.VM, Path: d.next.program, Args: []string{"direct", "--metrics-port", "0"},
		Env: append([]string{platform.SettingsVariable + "=" + settings}, d.env...),
	}, d.dir)
	if err != nil {
		return err
	}
	d.process, d.build, d.stopping, d.ready, d.started = p, d.next, false, false, false
	d.disruptions = append(d.disruptions, time.Now())
	return nil
}

// recordCrash records an unexpected exit of the process. The caller holds the lock.
func (d *daemon) recordCrash() {
	if d.process != nil && d.process.Crashed() {
		d.failures = append(d.failures, "exited unexpectedly: "+d.process.State())
	}
}

// exitFailures describes crashes and failed shutdowns of the daemon.
func (d *daemon) exitFailures() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordCrash()
	return d.failures
}

// reload makes the process read its settings again, if it is ready. SIGHUP
// would terminate a process that has not installed its handler yet.
func (d *daemon) reload() {
	d.mu.Lock()
	ready := d.ready
	d.mu.Unlock()
	if ready {
		d.signal(syscall.SIGHUP)
	}
}

// signal sends a signal to the process, if one was started.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return
	}
	d.disruptions = append(d.disruptions, time.Now())
	// The process may have just ended; it needs no signal then.
	_ = d.process.Signal(s)
}

// stop shuts the process down gracefully. It records a failure if the process
// exceeds stopTimeout or exits with a status other than 0, unless another fault
// killed it meanwhile. A process that has just started may not have installed its signal
// handlers, and has no calls.
func (d *daemon) stop() {
	p := d.beginStop()
	if p == nil {
		return
	}
	began := time.Now()
	clean := p.End(syscall.SIGTERM, stopTimeout)
	if took := time.Since(began); !clean && (took >= stopTimeout || !p.Killed()) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.started && p.EndedBy(syscall.SIGTERM) {
			return
		}
		d.failures = append(d.failures, "stopped: "+p.State()+" after "+took.String())
	}
}

// kill terminates the process immediately.
func (d *daemon) kill() {
	d.mu.Lock()
	d.kills = append(d.kills, time.Now())
	d.mu.Unlock()
	if p := d.beginStop(); p != nil {
		p.End(syscall.SIGKILL, stopTimeout)
	}
}

// beginStop marks the process as stopping and returns it, or nil if none runs.
func (d *daemon) beginStop() *process.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil || !d.process.Running() {
		return nil
	}
	d.disruptions, d.stopping = append(d.disruptions, time.Now()), true
	return d.process
}

// probe updates the readiness of the daemon, as a load balancer does.
func (d *daemon) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ready := fakeplatform.Ready(ctx, d.Readiness)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready, d.started = ready, d.started || ready
}

// stableSince returns when the daemon was last disturbed, and whether it is
// running and ready.
func (d *daemon) stableSince() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var last time.Time
	if n := len(d.disruptions); n > 0 {
		last = d.disruptions[n-1]
	}
	if n := len(d.pauses); n > 0 && d.pauses[n-1].until.After(last) {
		last = d.pauses[n-1].until
	}
	return last, d.process != nil && d.process.Running() && !d.stopping && d.ready
}

// open reports whether callers may have connections to the daemon.
func (d *daemon) open() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started && d.process != nil && d.process.Running()
}

// killedBetween reports whether the process was killed in a time.
func (d *daemon) killedBetween(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.kills, func(t time.Time) bool { return !t.Before(from) && !t.After(to) })
}

// disturbedBetween reports whether the daemon was disturbed in a time.
func (d *daemon) disturbedBetween(from, to time.Time) bool {
	return d.signaledBetween(from, to) || d.pausedBetween(from, to) > 0
}

// signaledBetween reports whether the daemon was started or signaled in a time, other than
// by pulses.
func (d *daemon) signaledBetween(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.disruptions, func(t time.Time) bool { return !t.Before(from) && !t.After(to) })
}
