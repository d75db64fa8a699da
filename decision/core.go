// Package decision is the pure decision core of a daemon. It takes events
// with explicit times and returns actions; it does no input or output,
// starts no goroutine and reads no clock, so that a bench, a model checker
// or a replay can drive the code that runs in production.
//
// A request lives in the core of the daemon that accepted it from a caller.
// That core plans its versions, places its attempts, and decides on
// retries, escalation and the final outcome. An attempt at an endpoint is
// admitted by the gate of the daemon that owns the endpoint; when that is
// another daemon, the request is forwarded and lives there as well, as a
// forwarded request with one attempt.
package decision

import (
	"math/rand/v2"
	"time"

	"fescuelatch"
)

// This file defines the core and the dispatch of events.

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
	// Direct reports that the gate reaches every endpoint, so that nothing
	// is forwarded to other daemons.
	Direct bool
	// Retries bounds retries; nil means a budget of this daemon's own.
	Retries fescuelatch.RetryBudget
	// Escalation decides on answers that have begun; nil keeps them all.
	Escalation fescuelatch.EscalationPolicy
}

// Core decides on the requests of one daemon. It is not safe for concurrent
// use.
type Core struct {
	options  Options
	view     *fescuelatch.View
	serves   map[service]int
	requests map[fescuelatch.RequestID]*request
	attempts map[fescuelatch.AttemptID]*request
	peers    peers
	domains  map[fescuelatch.DomainID]*domainLife
	// now is the time of the event that is being handled.
	now       time.Time
	exposures exposures
	stopping  bool
	out       []Action
	faults    []error

	// spares is the free capacity of the own endpoints, while sparesKnown.
	spares      map[service]fescuelatch.Spare
	sparesKnown bool
}

// service is what endpoints are chosen by: a version or a plain service.
type service struct {
	version fescuelatch.VersionID
	plain   fescuelatch.ServiceID
}

func serviceOf(s fescuelatch.Spare) service { return service{version: s.Version, plain: s.Service} }

// New returns a core without a configuration: it refuses all requests until
// Configured.
func New(o Options) *Core {
	if o.Retries == nil {
		o.Retries = &retryBudget{tokens: retryBurst}
	}
	return &Core{
		options:   o,
		serves:    make(map[service]int),
		requests:  make(map[fescuelatch.RequestID]*request),
		attempts:  make(map[fescuelatch.AttemptID]*request),
		peers:     newPeers(),
		domains:   make(map[fescuelatch.DomainID]*domainLife),
		exposures: make(exposures),
		spares:    make(map[service]fescuelatch.Spare),
	}
}

// NewRandom returns a source of random choices with a random seed.
func NewRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Handle takes one event and returns the actions that follow from it, in
// order. Times must not decrease. The result is valid until the next call.
func (c *Core) Handle(now time.Time, e Event) []Action {
	c.out = c.out[:0]
	c.sparesKnown = false
	c.now = now
	switch v := e.(type) {
	case Configured:
		c.configured(now, v)
	case Owned:
		c.own(now, v)
	case Arrived:
		c.arrived(now, v)
	case FirstToken:
		c.firstToken(now, v)
	case Opened:
		c.opened(now, v)
	case Ended:
		c.ended(now, v)
	case Rated:
		c.rated(now, v)
	case Cancelled:
		c.cancelled(now, v)
	case Reported:
		c.admit(now, c.gate().Report(now, v.Report))
	case Summarised:
		c.summarised(now, v)
	case Lost:
		c.peers.remove(v.VM)
	case Stopping:
		c.stopping = true
	case Tick:
		c.tickDomains(now)
		c.admit(now, c.gate().Poll(now))
	}
	return c.out
}

// View returns the configuration that decisions are made with, or nil.
func (c *Core) View() *fescuelatch.View { return c.view }

// Open returns the number of requests that have not ended.
func (c *Core) Open() int { return len(c.requests) }

// Faults returns and forgets the faults of this package: events that the
// chart of a request does not provide for.
func (c *Core) Faults() []error {
	fs := c.faults
	c.faults = nil
	return fs
}

// Summary returns what this daemon tells others of its owned endpoints.
func (c *Core) Summary(now time.Time) ([]fescuelatch.Spare, []fescuelatch.Evidence) {
	return c.options.Gate.Spare(now), c.options.Quality.Evidence(now)
}

// VersionState is what the core knows of a version.
type VersionState struct {
	Version   fescuelatch.VersionID `json:"version"`
	Estimate  fescuelatch.Estimate  `json:"estimate"`
	Health    fescuelatch.Health    `json:"health"`
	Withdrawn bool                  `json:"withdrawn"`
	Exposure  fescuelatch.Exposure  `json:"exposure"`
}

// Versions returns what the core knows of each version of the configuration.
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
			Exposure:  *c.exposures.of(v.ID),
		})
	}
	return vs
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) configured(now time.Time, e Configured) {
	c.view = e.View
	c.options.Quality.Configure(now, e.View.VersionsOf(""))
	c.configureDomains(now)
	c.peers.configure(e.View)
	c.exposures.configure(e.View)
	c.replanWithdrawn(now)
}

func (c *Core) own(now time.Time, e Owned) {
	c.serves = make(map[service]int)
	for _, o := range e.Endpoints {
		if o.Out {
			continue
		}
		for _, v := range o.Pool.Versions {
			c.serves[service{version: v}]++
		}
		if o.Pool.Service != "" {
			c.serves[service{plain: o.Pool.Service}]++
		}
	}
	c.gate().Own(now, e.Endpoints)
	c.admit(now, c.gate().Poll(now))
}

func (c *Core) summarised(now time.Time, e Summarised) {
	c.options.Quality.Merge(now, e.Evidence)
	c.peers.put(newPeer(e), c.view)
}
