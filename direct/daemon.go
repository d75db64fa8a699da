package direct

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/cascade"
	"fescuelatch/chart"
	"fescuelatch/crash"
	"fescuelatch/decision"
	"fescuelatch/egress"
	"fescuelatch/endpoint"
	"fescuelatch/gate/shared"
	"fescuelatch/internal/graceful"
	"fescuelatch/internal/intake"
	"fescuelatch/internal/lifecycle"
	"fescuelatch/internal/pause"
	"fescuelatch/internal/stall"
	"fescuelatch/permit"
	"fescuelatch/placement"
	"fescuelatch/quality"
	"fescuelatch/rollout"
)

// This file defines the daemon and serializes access to its decision core.

// Options configure a daemon.
type Options struct {
	VM     fescuelatch.VMID
	Domain fescuelatch.DomainID
	// Regions are those of the failure domains configured in advance.
	Regions  map[fescuelatch.DomainID]string
	Store    fescuelatch.Store
	Notation fescuelatch.StoreCodec
	Dialect  fescuelatch.HeaderCodec
	// Callers, Readiness, Control and Metrics are the addresses to listen
	// on. Control and Metrics are optional.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Control   netip.AddrPort
	Metrics   netip.AddrPort
	// Seeds are control addresses of daemons that provide state while the
	// store is unavailable.
	Seeds  []netip.AddrPort
	Ladder cascade.LadderSettings
	// Contended reports that demand may exceed the capacity of the endpoints for a while.
	Contended bool
	// SharedRetries reports that the daemons share one retry budget, as far as they tell each other
	// what they use. Otherwise each has its part.
	SharedRetries bool
	// Prices are those of leaving the failure domain; nil if they are not stated.
	Prices  *egress.Prices
	Dynamic DynamicSettings
	// LeaseTime is how long a daemon's record outlives the daemon.
	LeaseTime time.Duration
	Log       *slog.Logger
	Scope     tally.Scope
	// Scrape is the HTTP handler for metrics.
	Scrape http.Handler
}

// DynamicSettings are settings that can change while a daemon runs.
type DynamicSettings struct {
	Retries shared.BudgetSettings
	Rollout rollout.Settings
	// ApplyTime is the time from the acknowledgement of a change by the store within which
	// it must be in force.
	ApplyTime time.Duration
	// StopGrace is the time from the stop signal to the kill signal.
	StopGrace time.Duration
	// Intake describes the machine.
	Intake intake.Settings
}

// Daemon is the daemon of an entry VM.
type Daemon struct {
	options Options
	log     *slog.Logger
	metrics *metrics
	life    *lifecycle.Lifecycle
	closing graceful.Closing
	// intake is the memory and the connections that callers make this daemon hold.
	intake    *intake.Budget
	endpoints *endpoint.Client
	// active is replaced as a whole, so that its parts match.
	active   atomic.Pointer[activeConfiguration]
	stopping atomic.Bool
	// isolated reports that a partition took this daemon out of rotation.
	isolated atomic.Bool
	// stopDeadline is set while the daemon stops. Requests that still run then are
	// aborted. drained reports that the balancer sends no more callers here.
	stopDeadline atomic.Pointer[time.Time]
	drained      atomic.Bool
	durations    *durations
	store        storeAvailability
	// stalls are the times in which this daemon did not run.
	stalls *stall.Log
	// decoding decodes configurations outside mu.
	decoding *decodingCodec
	// process distinguishes successive processes of this VM.
	process string
	// sources is used only by the store loop.
	sources     sources
	largeValues *largeValues
	// crashWrites holds records on crashes that are to be written.
	crashWrites chan []crash.Write
	// crashTrials holds blocked requests whose trial is to be claimed.
	crashTrials chan trial
	// permitsLacking signals that requests may lack permits.
	permitsLacking chan struct{}
	allocators     peerClients
	// usage is what this daemon and others tell each other of what they use.
	usage *usageExchange
	// delegateCalls and delegateFronts are the connections to the delegates: for
	// questions, and for requests.
	delegateCalls  peerClients
	delegateFronts *endpoint.Client
	// followNow signals that the next call to the store is not to wait.
	followNow chan struct{}
	// recordLost signals that the store may have lost this daemon's record, and
	// recordDoubtful that its lease may have expired.
	recordLost, recordDoubtful chan struct{}
	ownRecord                  writtenRecord
	explanations               explanations

	// mu guards the fields below, the state of the decisions.
	mu        sync.Mutex
	bounds    DynamicSettings
	core      *decision.Core
	ladder    *cascade.Ladder
	budget    *shared.Budget
	gate      *shared.Gate
	storeView *storeView
	rollouts  map[fescuelatch.ServiceID]*trackedRollout
	// findingsLack holds since when the store lacks findings on a service.
	findingsLack map[fescuelatch.ServiceID]time.Time
	requests     map[fescuelatch.RequestID]*activeRequest
	members      int
	isolation    isolation
	delegates    delegates
	crashes      *crash.Ledger
	answers      answerHistory
	running      runningAttempts
	underWay     underWayCrashes
	// allocator hands out permits for the endpoints of which this daemon is an
	// allocator.
	allocator *permit.Allocator
	// slotAllocator does the same for the slots of brittle endpoints.
	slotAllocator *permit.SlotAllocator
	permitOrders  permitOrders
}

// activeConfiguration is a deployment with the view composed from it.
type activeConfiguration struct {
	deployment *fescuelatch.Deployment
	view       *fescuelatch.View
	addresses  map[fescuelatch.EndpointID]netip.AddrPort
}

// New returns a daemon that has not been started.
func New(o Options) *Daemon {
	log := o.Log.With("vm", o.VM)
	decoding := &decodingCodec{StoreCodec: o.Notation}
	d := &Daemon{
		options: o, log: log, metrics: newMetrics(o.Scope), life: lifecycle.New(log),
		intake: intake.NewBudget(o.Dynamic.Intake), decoding: decoding, storeView: newStoreView(decoding, log), largeValues: newLargeValues(),
		rollouts: make(map[fescuelatch.ServiceID]*trackedRollout), findingsLack: make(map[fescuelatch.ServiceID]time.Time),
		requests:   make(map[fescuelatch.RequestID]*activeRequest),
		members:    1,
		stalls:     new(stall.Log),
		process:    uuid.NewString(),
		bounds:     o.Dynamic,
		durations:  newDurations(),
		followNow:  make(chan struct{}, 1),
		usage:      newUsageExchange(),
		recordLost: make(chan struct{}, 1), recordDoubtful: make(chan struct{}, 1), crashWrites: make(chan []crash.Write, 1), crashTrials: make(chan trial),
		allocator: permit.NewAllocator(), slotAllocator: permit.NewSlotAllocator(), permitsLacking: make(chan struct{}, 1),
	}
	d.storeView.stalls = d.stalls
	d.budget = shared.NewBudget(o.Dynamic.Retries, func() int { return d.members })
	d.endpoints = &endpoint.Client{
		DecodeHeaders: o.Dialect.ReadAnswer,
		Opened:        func() { d.metrics.connections.Inc(1) },
	}
	// Daemons identify relayed answers, but not their own refusals.
	d.delegateFronts = &endpoint.Client{DecodeHeaders: o.Dialect.ReadAnswer, AcceptUnidentified: true}
	random := decision.NewRandom()
	d.gate = shared.New(shared.Settings{Domain: string(o.Domain), Prices: o.Prices, Contended: o.Contended, Stalls: d.stalls}, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
	d.answers, d.running = newAnswerHistory(), make(runningAttempts)
	d.underWay = newUnderWayCrashes()
	d.crashes = crash.NewLedger(rand.New(rand.NewPCG(random.Uint64(), random.Uint64())), func() int { return d.members })
	d.ladder = cascade.NewLadder(o.Ladder)
	d.core = decision.New(decision.Options{
		VM: o.VM, Domain: o.Domain, Random: random, Direct: true,
		Quality: new(quality.Static), Versions: d.ladder, Escalation: d.ladder,
		Placement: new(placement.Policy), Gate: d.gate, Sampler: quality.FixedShare{},
		Retries: d.budget, Crashes: d.crashes,
	})
	return d
}

// SetDynamic replaces the bounds, also for rollouts in progress.
func (d *Daemon) SetDynamic(b DynamicSettings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bounds = b
	d.budget.Set(b.Retries)
	d.intake.Set(b.Intake)
	for _, r := range d.rollouts {
		r.SetSettings(b.Rollout)
	}
	d.refreshLocked(time.Now())
}

// decide passes an event to the core and dispatches the resulting actions to
// their requests.
func (d *Daemon) decide(e decision.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decideLocked(time.Now(), e)
	d.signalPermitsLocked()
}

func (d *Daemon) decideLocked(now time.Time, e decision.Event) {
	for _, a := range d.core.Handle(now, e) {
		s, ok := d.requests[a.Of()]
		if !ok {
			d.log.Error("action for an unknown request", "request", a.Of())
			continue
		}
		s.actions <- a
	}
	for _, err := range d.core.Faults() {
		d.log.Error("fault of the decision core", "error", err.Error())
	}
}

// refreshLocked updates the decision core and the gate to the known state.
func (d *Daemon) refreshLocked(now time.Time) {
	if d.storeView.deployment == nil {
		return
	}
	d.updateRollouts(now)
	d.syncCrashesLocked(now)
	v, err := composeView(d.storeView, d.options.Regions, d.divisionsAt(now), d.rolledBackRelease)
	if err != nil {
		d.log.Error("known state makes no valid configuration; keeping the previous one", "error", err.Error())
		return
	}
	endpoints := ownedEndpoints(d.storeView, v)
	f := &activeConfiguration{deployment: d.storeView.deployment, view: v, addresses: make(map[fescuelatch.EndpointID]netip.AddrPort, len(endpoints))}
	for _, o := range endpoints {
		f.addresses[o.Endpoint.ID] = o.Endpoint.Address
	}
	d.active.Store(f)
	d.countMembersLocked()
	d.decideLocked(now, decision.Configured{View: v})
	d.decideLocked(now, decision.Owned{Endpoints: endpoints})
	d.metrics.generation.Update(float64(f.deployment.Generation))
	d.metrics.endpoints.Update(float64(len(endpoints)))
	if d.storeView.usable() {
		d.life.FireIfPossible(chart.EventLearned)
	}
}

// countMembersLocked sets how many daemons share the endpoints.
func (d *Daemon) countMembersLocked() {
	d.members = len(d.storeView.members)
	if _, ok := d.storeView.members[d.options.VM]; !ok {
		d.members++
	}
	d.gate.SetMembers(d.members)
	d.metrics.members.Update(float64(d.members))
}

// ready reports whether the balancer should send callers here.
func (d *Daemon) ready() bool {
	return d.active.Load() != nil && !d.stopping.Load() && !d.isolated.Load() && d.life.State() != chart.DaemonLearningConfiguration
}

// tickInterval is the interval at which waiting requests are checked.
const tickInterval = 40 * time.Millisecond

// Run runs the daemon until ctx ends, then stops it gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	stopServers, err := d.startServers(running, g)
	if err != nil {
		cancel()
		_ = g.Wait()
		return err
	}
	d.life.Fire(chart.EventStarted)
	for _, loop := range []func(context.Context){d.stalls.Watch, d.follow, d.keepRecord, d.tick, d.driveRollouts, d.drivePermits, d.exchangeUsage, d.exchangeSums, d.reportDepartures, d.writeCrashRecords, d.sweep, d.learnFromPeers} {
		g.Go(func() error {
			loop(running)
			return nil
		})
	}
	g.Go(func() error {
		d.intake.Watch(running, d.metrics.scope, d.log)
		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			d.stopGracefully(stopServers)
		case <-running.Done():
		}
		cancel()
		return nil
	})
	return g.Wait() //nolint:wrapcheck // The loops wrap their errors.
}

// tick drives the time-dependent decisions until ctx ends.
func (d *Daemon) tick(ctx context.Context) {
	due := time.Now().Add(tickInterval)
	for pause.For(ctx, tickInterval) {
		woken := time.Now()
		d.mu.Lock()
		now := time.Now()
		d.recordDelays(woken.Sub(due), now.Sub(woken))
		if d.storeView.expireHeldRemovals(now) {
			d.refreshLocked(now)
		}
		d.decideLocked(now, decision.Tick{})
		probes := d.gate.Probes(now)
		d.signalPermitsLocked()
		d.tickCrashesLocked(now)
		d.metrics.waiting.Update(float64(d.gate.Waiting()))
		suspicious := d.suspiciousProcessesLocked(now)
		d.watchIsolationLocked(ctx, now)
		d.watchDelegatesLocked(ctx, now)
		d.watchRecordLocked()
		d.mu.Unlock()
		d.metrics.storeAge.Update(d.store.age(now).Seconds())
		for _, id := range probes {
			go d.probe(ctx, id)
		}
		for _, p := range suspicious {
			go d.checkProcess(ctx, p)
		}
		due = time.Now().Add(tickInterval)
	}
}

// minLoggedDelay is the delay from which on it is logged: it is of the order of the
// shortest timeouts of other machines.
const minLoggedDelay = 100 * time.Millisecond

// recordDelays records how late a tick began, and how long it waited for other decisions.
func (d *Daemon) recordDelays(late, waited time.Duration) {
	d.metrics.tickDelay.RecordDuration(late)
	d.metrics.decisionWait.RecordDuration(waited)
	if late >= minLoggedDelay || waited >= minLoggedDelay {
		d.log.Info("decisions are delayed", "late", late.String(), "waited", waited.String())
	}
}

// probe checks whether an endpoint accepts connections again.
func (d *Daemon) probe(ctx context.Context, id fescuelatch.EndpointID) {
	to, ok := d.active.Load().addresses[id]
	if !ok || d.endpoints.Probe(ctx, to) != nil {
		return
	}
	d.log.Info("endpoint can be reached again", "endpoint", id)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate.Reached(id)
}

// sweepInterval is the interval at which idle connections are checked.
const sweepInterval = time.Second

// sweep closes connections to endpoints that are no longer needed.
func (d *Daemon) sweep(ctx context.Context) {
	for pause.For(ctx, sweepInterval) {
		used := make(map[netip.AddrPort]bool)
		if f := d.active.Load(); f != nil {
			for _, a := range f.addresses {
				used[a] = true
			}
		}
		d.endpoints.CloseIdle(time.Now(), func(a netip.AddrPort) bool { return used[a] })
		d.delegateFronts.CloseIdle(time.Now(), func(netip.AddrPort) bool { return true })
	}
}
