// Package fleet runs a fleet of the router on one machine: the stand-ins of
// the platform, the engines and the services, the daemons, and the links
// that can partition failure domains. Each is a separate process that listens
// on loopback. Tests, the demo and the experiments use it; the daemon
// starts no process.
//
// A fleet starts goroutines that wait for its processes. Close ends all of
// them, the processes by process identifier.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/process"
)

// This file defines fleets and their lifecycle.

const (
	maxProcesses  = 60
	readyTimeout  = 30 * time.Second
	stopGrace     = 40 * time.Second // beyond the daemon's own --stop-timeout
	closeGrace    = 8 * time.Second
	standinGrace  = 3 * time.Second
	callTimeout   = 5 * time.Second
	pollInterval  = 50 * time.Millisecond
	secretBytes   = 16
	sessionKeyLen = 32
)

// Options configures a fleet.
type Options struct {
	// Configuration holds the inventory and rules.
	Configuration *fescuelatch.Configuration
	// Bin is the directory of the programs.
	Bin string
	// Dir is the directory for the log file of each process.
	Dir string
	// Fixed keeps the ports of the inventory instead of choosing free ones.
	Fixed bool
	// Daemon holds extra arguments of every daemon.
	Daemon []string
	// Engine returns extra arguments of the stand-in of an endpoint.
	Engine func(fescuelatch.Endpoint) []string
	// Platform and Rating hold extra arguments of these stand-ins.
	Platform []string
	Rating   []string
}

// addresses holds the addresses that the inventory does not list.
type addresses struct {
	platform, platformLink, platformControl netip.AddrPort
	vms, rating, weights                    netip.AddrPort
	peers, controls                         map[fescuelatch.VMID]netip.AddrPort
}

// Fleet is a running fleet. Its methods are safe for concurrent use, but
// those that change the same VM must not overlap.
type Fleet struct {
	// Configuration is the initial configuration, with the addresses in use
	// and the hashes of Keys.
	Configuration *fescuelatch.Configuration
	// OperatorKey authorizes calls to the operator addresses.
	OperatorKey string
	// Keys holds a bearer key for each client account.
	Keys map[fescuelatch.AccountID]string

	options    Options
	addresses  addresses
	fleetKey   string
	sessionKey string
	client     *http.Client

	mu        sync.Mutex
	processes map[string]*process.Process
	drops     linkDrops
	listed    map[string]fescuelatch.ListedVM
	order     []string // process names in start order
	closed    bool
}

// Start starts a fleet, seeds its configuration and waits until every
// process is ready. If it fails, it leaves no process running.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{
		options:     o,
		OperatorKey: secret(secretBytes),
		fleetKey:    secret(secretBytes),
		sessionKey:  secret(sessionKeyLen),
		Keys:        make(map[fescuelatch.AccountID]string),
		client:      &http.Client{Timeout: callTimeout},
		processes:   make(map[string]*process.Process),
		drops:       make(linkDrops),
		listed:      make(map[string]fescuelatch.ListedVM),
	}
	if err := os.MkdirAll(o.Dir, 0o750); err != nil {
		return nil, &Error{"start fleet", KindProcess, errors.WithStack(err)}
	}
	if err := f.assignAddresses(); err != nil {
		return nil, err
	}
	f.issueKeys()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.startAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// secret returns n random bytes in hexadecimal.
func secret(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// assignAddresses chooses all addresses of the fleet.
func (f *Fleet) assignAddresses() error {
	c := f.options.Configuration
	if len(c.Inventory.VMs) == 0 {
		return &Error{"place fleet", KindConfiguration, errors.New("the inventory has no VM")}
	}
	ps := newPorts()
	if err := ps.reserve(c); err != nil {
		return err
	}
	if !f.options.Fixed {
		d, err := ps.relocate(c)
		if err != nil {
			return err
		}
		c = d
	}
	f.Configuration = c
	return f.assignUnlistedAddresses(ps)
}

// assignUnlistedAddresses chooses the addresses outside the inventory.
func (f *Fleet) assignUnlistedAddresses(ps *ports) error {
	p := &f.addresses
	ip := platformIP(f.Configuration.Inventory.VMs[0].Peer.Addr())
	for _, a := range []*netip.AddrPort{&p.platform, &p.platformLink, &p.platformControl, &p.vms, &p.rating, &p.weights} {
		b, err := ps.free(ip)
		if err != nil {
			return err
		}
		*a = b
	}
	p.peers = make(map[fescuelatch.VMID]netip.AddrPort)
	p.controls = make(map[fescuelatch.VMID]netip.AddrPort)
	for _, m := range f.Configuration.Inventory.VMs {
		for _, to := range []map[fescuelatch.VMID]netip.AddrPort{p.peers, p.controls} {
			a, err := ps.free(m.Peer.Addr())
			if err != nil {
				return err
			}
			to[m.ID] = a
		}
	}
	return nil
}

// FleetKey returns the key that authenticates daemons to each other.
func (f *Fleet) FleetKey() string { return f.fleetKey }

// Key returns the bearer key of a client account of the example inventories.
// It protects nothing: a fleet listens on loopback only.
func Key(a fescuelatch.AccountID) string { return "demo-" + string(a) }

// issueKeys adds the hash of Key to each client account.
func (f *Fleet) issueKeys() {
	c := *f.Configuration
	c.Rules.Accounts = append([]fescuelatch.Account(nil), c.Rules.Accounts...)
	for n := range c.Rules.Accounts {
		a := &c.Rules.Accounts[n]
		f.Keys[a.ID] = Key(a.ID)
		h := fescuelatch.HashKey(Key(a.ID))
		if !slices.Contains(a.KeyHashes, h) {
			a.KeyHashes = append(slices.Clone(a.KeyHashes), h)
		}
	}
	f.Configuration = &c
}

// startAll starts the stand-ins, then the daemons, and seeds the
// configuration.
func (f *Fleet) startAll(ctx context.Context) error {
	cs := f.standins()
	for _, m := range f.Configuration.Inventory.VMs {
		cs = append(cs, f.daemon(m, f.addresses.peers[m.ID]))
	}
	if len(cs) > maxProcesses {
		return &Error{"start fleet", KindConfiguration, errors.Errorf("%d processes exceed the limit of %d", len(cs), maxProcesses)}
	}
	for _, c := range cs {
		if err := f.launch(c); err != nil {
			return err
		}
	}
	if err := f.waitListening(ctx); err != nil {
		return err
	}
	if err := f.listAll(ctx); err != nil {
		return err
	}
	if err := f.seed(ctx); err != nil {
		return err
	}
	for _, m := range f.Configuration.Inventory.VMs {
		if err := f.WaitReady(ctx, m.ID); err != nil {
			return err
		}
	}
	return nil
}

// standins returns the commands of all processes other than daemons.
func (f *Fleet) standins() []process.Command {
	p := &f.addresses
	platform := f.standin("platform", "platform", p.platform, f.options.Platform...)
	rating := f.standin("rating", "rating", p.rating, f.options.Rating...)
	cs := []process.Command{
		platform,
		rating,
		f.standin("vms", "vms", p.vms),
		f.standin("weights", "weights", p.weights),
		f.link("link-platform", p.platformLink, p.platform, p.platformControl),
	}
	pools := make(map[fescuelatch.PoolID]fescuelatch.Pool)
	for _, l := range f.Configuration.Inventory.Pools {
		pools[l.ID] = l
	}
	for _, e := range f.Configuration.Inventory.Endpoints {
		cs = append(cs, f.endpoint(e, pools[e.Pool]))
	}
	for _, m := range f.Configuration.Inventory.VMs {
		cs = append(cs, f.link("link-"+string(m.ID), m.Peer, p.peers[m.ID], p.controls[m.ID]))
	}
	return cs
}

// endpoint returns the command of the stand-in of e.
func (f *Fleet) endpoint(e fescuelatch.Endpoint, l fescuelatch.Pool) process.Command {
	c := f.engine(e, l)
	if l.Service != "" {
		c = f.service(e, l)
	}
	if f.options.Engine != nil {
		c.Args = append(c.Args, f.options.Engine(e)...)
	}
	return c
}

// launch starts c and stores the process under its name.
func (f *Fleet) launch(c process.Command) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return &Error{"start process", KindProcess, errors.New("the fleet is closed")}
	}
	p, err := process.Start(c, f.options.Dir)
	if err != nil {
		return &Error{"start process", KindProcess, err}
	}
	if _, ok := f.processes[c.Name]; !ok {
		f.order = append(f.order, c.Name)
	}
	f.processes[c.Name] = p
	return nil
}

// process returns the process called name.
func (f *Fleet) process(name string) (*process.Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	if !ok {
		return nil, &Error{"find process", KindUnknown, errors.New(name)}
	}
	return p, nil
}

// Crashed returns the names of the processes that ended unexpectedly.
func (f *Fleet) Crashed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ns []string
	for _, n := range f.order {
		if f.processes[n].Crashed() {
			ns = append(ns, n)
		}
	}
	return ns
}

// Close ends all processes, the daemons first. It may be called more than
// once.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	ps := make([]*process.Process, 0, len(f.order))
	for _, n := range f.order {
		ps = append(ps, f.processes[n])
	}
	f.mu.Unlock()
	f.endAll(ps, true, closeGrace)
	f.endAll(ps, false, standinGrace)
	f.client.CloseIdleConnections()
}

// endAll ends the daemons or the stand-ins concurrently.
func (f *Fleet) endAll(ps []*process.Process, daemons bool, grace time.Duration) {
	var wg sync.WaitGroup
	for _, p := range ps {
		if isDaemon(p.Command) != daemons || !p.Running() {
			continue
		}
		wg.Go(func() {
			// A paused process cannot handle SIGTERM.
			_ = p.Signal(syscall.SIGCONT)
			p.End(syscall.SIGTERM, grace)
		})
	}
	wg.Wait()
}
