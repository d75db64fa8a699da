// Package decision is the pure decision core of a daemon. It takes events
// with explicit times and returns actions; it performs no I/O, starts no
// goroutine and reads no clock, so that a benchmark, a model checker or a
// replay can drive the code that runs in production.
//
// The core of the daemon that accepted a request from a caller plans its
// versions, places its attempts, and decides on retries, escalation and the
// final outcome. An attempt at an endpoint is admitted by the gate of the
// daemon that owns the endpoint. If another daemon owns it, the request is
// forwarded, and the core there handles it as a forwarded request with one
// attempt.
package decision

import (
	"math/rand/v2"
	"time"

	"fescuelatch"
)

// This file defines Core and the dispatch of events.

// Options configure a Core. All fields are required unless stated.
type Options struct {
	VM     fescuelatch.VMID
	Domain fescuelatch.DomainID
	// Random is the source of all random choices.
	Random    *rand.Rand
	Quality   fescuelatch.QualityModel
	Versions  fescuelatch.VersionPolicy
	Placement fescuelatch.PlacementPolicy
	Gate      fescuelatch.Gate
	// Sampler decides which accepted answers are rated for learning.
	Sampler fescuelatch.Sampler
	// Direct reports that the gate of each daemon reaches every endpoint, so that requests
	// are forwarded only while it does not.
	Direct bool
	// Retries bounds retries; nil means a budget for this daemon alone.
	Retries fescuelatch.RetryBudget
	// Escalation decides whether to keep answers that have begun; nil keeps all.
	Escalation fescuelatch.EscalationPolicy
	// Crashes decides which requests may reach endpoints; nil allows all.
	Crashes fescuelatch.CrashGuard
}

// Core decides on the requests of one daemon. It is not safe for concurrent
// use.
type Core struct {
	options    Options
	view       *fescuelatch.View
	ownedCount map[serviceKey]int
	requests   map[fescuelatch.RequestID]*request
	attempts   map[fescuelatch.AttemptID]*request
	peers      peers
	domains    map[fescuelatch.DomainID]*domainEntry
	// now is the time of the current event.
	now       time.Time
	exposures exposures
	stopping  bool
	actions   []Action
	faults    []error

	// ownSpares is the owned free capacity, valid while sparesCached is set.
	ownSpares    map[serviceKey]fescuelatch.Spare
	sparesCached bool

	// trace records the decisions of a preview; it is nil otherwise.
	trace *Trace
}

// serviceKey identifies what endpoints serve: a version or a plain service.
type serviceKey struct {
	version fescuelatch.VersionID
	plain   fescuelatch.ServiceID
}

func serviceKeyOf(s fescuelatch.Spare) serviceKey {
	return serviceKey{version: s.Version, plain: s.Service}
}

// New returns a core without a configuration: it refuses all requests until
// Configured.
func New(o Options) *Core {
	if o.Retries == nil {
		o.Retries = &retryBudget{tokens: retryBurst}
	}
	return &Core{
		options:    o,
		ownedCount: make(map[serviceKey]int),
		requests:   make(map[fescuelatch.RequestID]*request),
		attempts:   make(map[fescuelatch.AttemptID]*request),
		peers:      newPeers(!o.Direct),
		domains:    make(map[fescuelatch.DomainID]*domainEntry),
		exposures:  make(exposures),
		ownSpares:  make(map[serviceKey]fescuelatch.Spare),
	}
}

// NewRandom returns a source of random choices with a random seed.
func NewRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Handle processes one event and returns the resulting actions in order. Times
// must not decrease. The result is valid until the next call.
func (c *Core) Handle(now time.Time, e Event) []Action {
	c.actions = c.actions[:0]
	c.sparesCached = false
	c.now = now
	switch v := e.(type) {
	case Configured:
		c.configured(now, v)
	case Owned:
		c.owned(now, v)
	case Arrived:
		c.arrived(now, v)
	case FirstToken:
		c.firstToken(now, v)
	case Opened:
		c.opened(now, v)
	case Unresponsive:
		c.unresponsive(now, v)
	case Resumed:
		c.resumed(now, v)
	case Ended:
		c.ended(now, v)
	case Rated:
		c.rated(now, v)
	case Cancelled:
		c.cancelled(now, v)
	case Reported:
		c.applyAdmissions(now, c.gate().Report(now, v.Report))
	case BlocksChanged:
		c.refuseBlocked(now)
	case PeerSummarised:
		c.summarised(now, v)
	case PeerLost:
		c.peers.remove(v.VM)
	case Stopping:
		c.stopping = true
	case Tick:
		c.tickDomains(now)
		c.applyAdmissions(now, c.gate().Poll(now))
	}
	return c.actions
}

// View returns the active configuration, or nil.
func (c *Core) View() *fescuelatch.View { return c.view }

// Open returns the number of requests that have not ended.
func (c *Core) Open() int { return len(c.requests) }

// Faults returns and clears the faults of this package: events for which a
// chart has no transition.
func (c *Core) Faults() []error {
	fs := c.faults
	c.faults = nil
	return fs
}

// Summary returns the free capacity and evidence that are sent to the others.
func (c *Core) Summary(now time.Time) ([]fescuelatch.Spare, []fescuelatch.Evidence) {
	return c.options.Gate.Spare(now), c.options.Quality.Evidence(now)
}

// VersionState is the state of a version.
type VersionState struct {
	Version   fescuelatch.VersionID `json:"version"`
	Estimate  fescuelatch.Estimate  `json:"estimate"`
	Health    fescuelatch.Health    `json:"health"`
	Withdrawn bool                  `json:"withdrawn"`
	Exposure  fescuelatch.Exposure  `json:"exposure"`
}

// Versions returns the state of each version in the configuration.
func (c *Core) Versions(now time.Time) []VersionState {
	if c.view == nil {
		return nil
	}
	var vs []VersionState
	for _, v := range c.view.VersionsOf("") {
		vs = append(vs, VersionState{
			Version:   v.ID,
			Estimate:  c.options.Quality.Estimate(now, v.ID),
			Health:    c.options.Quality.Health(now, v.ID),
			Withdrawn: c.view.Withdrawn(v.ID),
			Exposure:  *c.exposures.get(v.ID),
		})
	}
	return vs
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) configured(now time.Time, e Configured) {
	c.view = e.View
	c.options.Quality.Configure(now, e.View.VersionsOf(""))
	c.configureDomains(now)
	c.peers.configure(e.View)
	c.exposures.configure(e.View)
	c.replanWithdrawn(now)
}

func (c *Core) owned(now time.Time, e Owned) {
	c.ownedCount = make(map[serviceKey]int)
	for _, o := range e.Endpoints {
		if o.Out {
			continue
		}
		for _, v := range o.Pool.Versions {
			c.ownedCount[serviceKey{version: v}]++
		}
		if o.Pool.Service != "" {
			c.ownedCount[serviceKey{plain: o.Pool.Service}]++
		}
	}
	c.gate().SetOwned(now, e.Endpoints)
	c.applyAdmissions(now, c.gate().Poll(now))
}

func (c *Core) summarised(now time.Time, e PeerSummarised) {
	c.options.Quality.Merge(now, e.Evidence)
	c.peers.put(newPeer(e), c.view)
}
