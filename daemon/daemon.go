// Package daemon connects the decision core to the network: it runs the servers
// for callers, operators and other daemons, carries out the core's actions, and
// reports events to the core.
//
// Run owns all goroutines; it returns when they have ended.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/billing"
	"fescuelatch/caller"
	"fescuelatch/chart"
	"fescuelatch/claim"
	"fescuelatch/configstore"
	"fescuelatch/decision"
	"fescuelatch/engine"
	"fescuelatch/fleetkey"
	"fescuelatch/internal/graceful"
	"fescuelatch/internal/lifecycle"
	"fescuelatch/keyvalue"
	"fescuelatch/ownership"
	"fescuelatch/peer"
	"fescuelatch/session"
	"fescuelatch/token"
)

// This file defines the daemon and the serialized access to its decision core.

// Options configures a daemon.
type Options struct {
	VM          fescuelatch.VMID
	Domain      fescuelatch.DomainID
	Incarnation fescuelatch.Incarnation
	// Seeds are peer addresses to request a configuration from when the
	// platform is unavailable.
	Seeds     []netip.AddrPort
	FleetKeys fleetkey.Keys
	Sessions  token.Ring
	Dialer    *peer.Dialer
	KV        fescuelatch.KV
	// Clock returns the time that daemons share; nil means the clock of this
	// VM.
	Clock          *keyvalue.Clock
	VMs            fescuelatch.VMList
	Rater          fescuelatch.Rater
	Core           decision.Options
	Log            *slog.Logger
	Metrics        tally.Scope
	MetricsHandler http.Handler
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// DrainDelay is how long a stopping daemon continues to refuse requests
	// before it closes its listeners. It exceeds the interval of the load
	// balancer's readiness check.
	DrainDelay time.Duration
	// Relay sends transactions to one daemon of the failure domain, which
	// groups them. It suits failure domains with many daemons. While that
	// daemon is unresponsive but not yet detected as such, claims are refused.
	Relay bool
	// FlushInterval is the interval of writing bills to the platform; zero
	// means the default.
	FlushInterval time.Duration
	// HoldTime is the age at which the holder writes copies of bills to the
	// platform; zero means the default.
	HoldTime time.Duration
}

// Daemon is the daemon of one entry VM.
type Daemon struct {
	options     Options
	incarnation fescuelatch.Incarnation
	started     time.Time
	log         *slog.Logger
	holder      *configstore.Holder
	store       *configstore.Store
	peers       *peer.Client
	engines     *engine.Client
	services    *engine.Client
	// reporters reads load reports over separate connections.
	reporters *engine.Client
	metrics   *metrics

	batcher     *keyvalue.Batcher
	claims      *claim.Claimer
	ledger      *billing.Ledger
	keeper      *billing.CopyStore
	codec       billing.Codec
	copyHolders vmSet
	// unresponsive holds the daemons that did not reply when asked to hold a
	// copy, until they are heard from again.
	unresponsive vmSet
	bindings     *session.Store
	breaker      breaker
	// checkingPlatform reports that a lookup is made only for the breaker.
	checkingPlatform atomic.Bool

	life    *lifecycle.Lifecycle
	leaving atomic.Bool
	closing graceful.Closing
	learned atomic.Bool
	// learnedSignal is closed when learned is set.
	learnedSignal        chan struct{}
	platformReachability reachability
	pauses               pauseDetector
	numberings           numberings

	// mu guards the fields below it, which form the decision state.
	mu             sync.Mutex
	core           *decision.Core
	table          *ownership.Table
	nextOwnership  time.Time
	vmList         vmListState
	leavingVMs     map[string]bool // VMs that the platform lists as leaving
	reports        map[fescuelatch.EndpointID]*reportState
	activeRequests map[fescuelatch.RequestID]*activeRequest
	hellos         map[fescuelatch.VMID]peerState
	forwards       forwards
	exchanges      heartbeatExchanges
	// partnerOrder ranks the daemons of other failure domains at generation
	// partnersGeneration.
	partnerOrder       []fescuelatch.VM
	partnersGeneration fescuelatch.Generation
	partnerCalled      map[fescuelatch.VMID]time.Time
	// evidenceSent and evidenceReceived track the evidence sent to and received
	// from each daemon.
	evidenceSent     map[fescuelatch.VMID]evidenceCursor
	evidenceReceived map[fescuelatch.VMID]evidenceCursor

	// work counts requests in progress.
	work tracker
}

// peerState holds the last hello of another daemon.
type peerState struct {
	hello peer.Hello
	at    time.Time
	first time.Time
	// lost reports that nothing is forwarded to the daemon until its next
	// hello.
	lost bool
}

// New returns a daemon that is not running yet.
func New(o Options) (*Daemon, error) {
	now := time.Now()
	if o.Clock == nil {
		o.Clock = keyvalue.NewClock(now)
	}
	t, err := ownership.New(o.VM, o.Incarnation, ownership.Settings{}, now)
	if err != nil {
		return nil, errors.Wrap(err, "new daemon")
	}
	d := &Daemon{
		options:       o,
		incarnation:   o.Incarnation,
		started:       now,
		log:           o.Log.With("vm", o.VM, "failure-domain", o.Domain),
		holder:        new(configstore.Holder),
		store:         &configstore.Store{KV: o.KV},
		peers:         &peer.Client{Keys: o.FleetKeys, Dialer: o.Dialer.Counting(ControlTraffic(o.Metrics, TrafficPeer))},
		metrics:       newMetrics(o.Metrics),
		life:          lifecycle.New(o.Log),
		core:          decision.New(o.Core),
		table:         t,
		leavingVMs:    make(map[string]bool),
		forwards:      make(forwards),
		exchanges:     newHeartbeatExchanges(),
		partnerCalled: make(map[fescuelatch.VMID]time.Time),

		learnedSignal:    make(chan struct{}),
		reports:          make(map[fescuelatch.EndpointID]*reportState),
		activeRequests:   make(map[fescuelatch.RequestID]*activeRequest),
		hellos:           make(map[fescuelatch.VMID]peerState),
		evidenceSent:     make(map[fescuelatch.VMID]evidenceCursor),
		evidenceReceived: make(map[fescuelatch.VMID]evidenceCursor),
	}
	d.initPlatformClients(o)
	data := o.Dialer.Counting(DataTraffic(o.Metrics))
	d.engines = &engine.Client{HTTP: httpClient(data, false)}
	d.services = &engine.Client{HTTP: httpClient(data, true)}
	reports := o.Dialer.Counting(ControlTraffic(o.Metrics, TrafficReport))
	d.reporters = &engine.Client{HTTP: httpClient(reports, false)}
	return d, nil
}

// initPlatformClients creates the clients that store claims, sessions and bills
// at the platform.
func (d *Daemon) initPlatformClients(o Options) {
	d.batcher = &keyvalue.Batcher{KV: o.KV, Interval: batchInterval}
	relay := &keyvalue.Relay{Local: d.batcher, Remote: d.relayRemote}
	d.claims = &claim.Claimer{Submitter: relay, Granter: o.KV, Now: time.Now, CommonTime: o.Clock.Now, Timeout: claimTimeout}
	d.bindings = &session.Store{Submitter: relay, Granter: o.KV, Now: time.Now, CommonTime: o.Clock.Now, Timeout: claimTimeout}
	d.ledger = &billing.Ledger{
		Origin: d.incarnation, Submitter: relay, Copier: (*copier)(d), FlushInterval: o.FlushInterval,
		Spread: func() float64 { return minJitter + rand.Float64() },
	}
	d.keeper = &billing.CopyStore{Submitter: relay, Now: time.Now, Copier: (*copier)(d), HoldTime: o.HoldTime}
}

// batchInterval is the interval of batched calls to the platform.
const batchInterval = 20 * time.Millisecond

// minJitter is the lower bound of the random factor of a flush interval; the
// upper bound is 1 more.
const minJitter = 0.5

const maxIdlePerHost = 256

// httpClient returns a client for endpoints and for daemons that requests are
// forwarded to. If fresh is set, each request uses a new connection, so that a
// silently broken connection cannot make the outcome of a request unknown.
func httpClient(d *peer.Dialer, fresh bool) *http.Client {
	t := &http.Transport{
		DialContext:         d.DialContext,
		TLSClientConfig:     d.TLS,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
	}
	return &http.Client{Transport: t}
}

// decide passes an event to the core and delivers the resulting actions to
// their requests.
func (d *Daemon) decide(e decision.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decideLocked(e)
}

func (d *Daemon) decideLocked(e decision.Event) {
	now := time.Now()
	// Ownership may have lapsed while the process was paused, so it is
	// refreshed before the event is handled.
	if !now.Before(d.nextOwnership) {
		d.refreshOwned(now)
	}
	d.deliver(now, d.core.Handle(now, e))
	for _, err := range d.core.Faults() {
		d.log.Error("fault of the decision core", "error", err.Error())
	}
}

func (d *Daemon) deliver(now time.Time, actions []decision.Action) {
	for _, a := range actions {
		s, ok := d.activeRequests[a.Of()]
		if !ok {
			d.log.Error("action for an unknown request", "request", a.Of())
			continue
		}
		s.actions <- timedAction{Action: a, at: now}
	}
}

// refreshOwned recomputes ownership and reports it to the core.
func (d *Daemon) refreshOwned(now time.Time) {
	owned := d.table.Owned(now)
	d.nextOwnership = d.table.Next(now)
	if d.holder.View() == nil {
		return
	}
	for i := range owned {
		if d.leavingVMs[string(owned[i].Endpoint.ID)] {
			owned[i].Out = true
		}
	}
	d.deliver(now, d.core.Handle(now, decision.Owned{Endpoints: owned}))
}

// View implements caller.Backend. It returns nil until this daemon has obtained
// the active configuration.
func (d *Daemon) View() *fescuelatch.View {
	if !d.learned.Load() {
		return nil
	}
	return d.holder.View()
}

var _ caller.Backend = (*Daemon)(nil)

// Run runs the daemon until ctx ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context, fronts ListenOptions) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	if err := d.listen(running, g, fronts); err != nil {
		cancel()
		_ = g.Wait()
		return err
	}
	d.life.Fire(chart.EventStarted)
	d.loops(running, g)
	g.Go(func() error {
		select {
		case <-ctx.Done():
			d.stop()
		case <-running.Done():
		}
		cancel()
		return nil
	})
	err := g.Wait()
	d.peers.Close()
	return err
}

// stop finishes open requests, waiting at most StopTimeout, and flushes the
// pending bills and claims.
func (d *Daemon) stop() {
	d.log.Info("stopping", "open", d.openRequests())
	d.life.Fire(chart.EventDrain)
	d.leaving.Store(true)
	d.closing.Begin()
	d.mu.Lock()
	d.table.Leave(time.Now())
	d.decideLocked(decision.Stopping{})
	d.refreshOwned(time.Now())
	d.mu.Unlock()
	d.announce(context.Background())
	// Refuse requests that arrive before the load balancer stops sending them,
	// instead of refusing their connections.
	time.Sleep(d.options.DrainDelay)
	select {
	case <-d.work.done():
	case <-time.After(d.options.StopTimeout):
		d.log.Warn("stop timeout expired with open requests", "open", d.openRequests())
	}
	d.flushPending()
	time.Sleep(d.closing.Remaining(time.Now()))
	d.life.Fire(chart.EventDrained)
	d.log.Info("stopped")
}

func (d *Daemon) openRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Open()
}
