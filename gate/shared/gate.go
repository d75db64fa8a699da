// Package shared provides the gate of a daemon that, like all other daemons,
// sends to every endpoint itself. Limits of an endpoint are divided by the
// number of live daemons, the load of the other daemons is estimated from the
// load that the endpoint reports with its answers, and the health of an endpoint
// is inferred from its answers alone.
//
// Package gate, whose endpoints are owned, needs one more hop: here a request
// goes to its endpoint from whichever daemon received it.
package shared

import (
	"math/rand/v2"
	"time"

	"fescuelatch"
	"fescuelatch/admission"
)

// This file defines the gate and its implementation of fescuelatch.Gate.

var _ fescuelatch.Gate = (*Gate)(nil)

// Gate admits attempts to all endpoints. It is not safe for concurrent use.
type Gate struct {
	settings Settings
	random   *rand.Rand
	// members is the number of live daemons, including this one.
	members    int
	endpoints  map[fescuelatch.EndpointID]*endpointLoad
	domains    map[fescuelatch.DomainID]*domain
	registered []*endpointLoad
	attempts   map[fescuelatch.AttemptID]*attempt
	serving    map[fescuelatch.VersionID][]*endpointLoad
	latencies  map[fescuelatch.VersionID]*versionLatency
	// uneven holds the models whose endpoints report how long work takes there.
	uneven map[fescuelatch.ModelID]bool
	// typical and recent are kept for contended versions.
	typical map[fescuelatch.ModelID]*typicalLoad
	recent  map[fescuelatch.VersionID]*recentStarts
	// candidates, near and prefixes are reused by choices.
	candidates []candidate
	near       []*endpointLoad
	prefixes   []prefix
	// unfit reports that the latest choice found endpoints with a slot, but not with memory.
	unfit bool

	waiting queue
	// contention holds the work that waits for contended versions.
	contention *admission.Queue
	// departure decides which work may leave the failure domain.
	departure departure
	// cutOffs holds the versions of which no endpoint can be reached.
	cutOffs map[fescuelatch.VersionID]*cutOff
	hints   hintCache
	// limited holds the endpoints that limit their rate, or did so recently, and
	// brittle those that must not be filled beyond their slots.
	limited map[fescuelatch.EndpointID]*endpointLoad
	brittle map[fescuelatch.EndpointID]*endpointLoad

	// trace records the decisions of a preview, which starts nothing; it is nil otherwise.
	trace *trace
}

// New returns a gate without endpoints.
func New(s Settings, r *rand.Rand) *Gate {
	s = s.withDefaults()
	return &Gate{
		settings: s, random: r, members: 1, waiting: queue{limit: s.QueueLimit},
		contention: admission.New(s.QueueLimit, r),
		endpoints:  make(map[fescuelatch.EndpointID]*endpointLoad),
		domains:    make(map[fescuelatch.DomainID]*domain),
		attempts:   make(map[fescuelatch.AttemptID]*attempt),
		serving:    make(map[fescuelatch.VersionID][]*endpointLoad),
		latencies:  make(map[fescuelatch.VersionID]*versionLatency),
		uneven:     make(map[fescuelatch.ModelID]bool),
		typical:    make(map[fescuelatch.ModelID]*typicalLoad),
		recent:     make(map[fescuelatch.VersionID]*recentStarts),
		departure:  newDeparture(),
		cutOffs:    make(map[fescuelatch.VersionID]*cutOff),
		hints:      newHintCache(),
		limited:    make(map[fescuelatch.EndpointID]*endpointLoad),
		brittle:    make(map[fescuelatch.EndpointID]*endpointLoad),
	}
}

// attempt is a started attempt.
type attempt struct {
	work     fescuelatch.Work
	endpoint *endpointLoad
	started  time.Time
	// uncached is the number of prompt tokens assumed not to be cached there.
	uncached    int
	firstOutput time.Time
	// load is the load factor of the endpoint at the start, and serviceTime its estimated
	// service time; zero if the version is not contended.
	load, serviceTime float64
}

// SetMembers sets the number of live daemons, including this one.
func (g *Gate) SetMembers(n int) { g.members = max(n, 1) }

// SetOwned implements fescuelatch.Gate. It is called with all registered endpoints.
func (g *Gate) SetOwned(now time.Time, owned []fescuelatch.OwnedEndpoint) {
	seen := make(map[fescuelatch.EndpointID]bool, len(owned))
	g.registered = g.registered[:0]
	clear(g.serving)
	for _, o := range owned {
		seen[o.Endpoint.ID] = true
		e := g.endpoints[o.Endpoint.ID]
		if e == nil || e.owned.Process != o.Process || e.owned.Endpoint.Address != o.Endpoint.Address {
			e = newEndpointLoad(now, o, e)
			e.hint = g.hints.of(o)
			g.endpoints[o.Endpoint.ID] = e
			g.trackLimit(e)
			g.trackBrittle(e)
		}
		e.update(now, o, g.startPhase(o))
		g.registered = append(g.registered, e)
		for _, v := range o.Pool.Versions {
			g.serving[v] = append(g.serving[v], e)
		}
	}
	for id := range g.endpoints {
		if !seen[id] {
			delete(g.endpoints, id)
			delete(g.limited, id)
			delete(g.brittle, id)
		}
	}
	g.refreshUneven()
	g.spreadBrittle()
	g.contention.Retain(func(v fescuelatch.VersionID) bool { return len(g.serving[v]) > 0 })
}

// startPhase draws a random delay for this daemon's first start at a cold endpoint,
// so that the daemons' starts do not coincide.
func (g *Gate) startPhase(o fescuelatch.OwnedEndpoint) time.Duration {
	if o.ColdRate <= 0 {
		return 0
	}
	return time.Duration(g.random.Float64() * float64(g.coldInterval(o.ColdRate)))
}

// coldInterval returns the time between this daemon's starts at a cold endpoint.
func (g *Gate) coldInterval(rate float64) time.Duration {
	return time.Duration(float64(g.members) / (rate * coldRateShare) * float64(time.Second))
}

// Offer implements fescuelatch.Gate.
func (g *Gate) Offer(now time.Time, w fescuelatch.Work) fescuelatch.Admission {
	g.trace.begin(now, g, w)
	a := g.admit(now, w)
	g.trace.end(a)
	return a
}

// admit decides on work that arrives.
func (g *Gate) admit(now time.Time, w fescuelatch.Work) fescuelatch.Admission {
	if expired(now, w) {
		return refuse(w, minRetryAfter)
	}
	if g.isCutOff(now, w) {
		return g.refuseCutOff(now, w)
	}
	if g.ordered(w.Version) {
		return g.offerContended(now, w)
	}
	e, lacking := g.choose(now, w)
	if lacking != nil {
		lacking.missPermit(now)
		g.missSecondSlot(now, w, lacking)
	}
	if e != nil {
		return g.start(now, e, w)
	}
	wait := g.maxWait(w)
	if !g.canServe(now.Add(wait), w) || !g.waiting.push(now, w, wait) {
		return refuse(w, g.retryAfter(now, w))
	}
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionQueue}
}

// Admits reports whether w would start at once.
func (g *Gate) Admits(now time.Time, w fescuelatch.Work) bool {
	if g.ordered(w.Version) && !g.contention.MayStart(now, w) {
		return false
	}
	e, _ := g.choose(now, w)
	return e != nil
}

func (g *Gate) start(now time.Time, e *endpointLoad, w fescuelatch.Work) fescuelatch.Admission {
	if g.trace == nil {
		g.recordStart(now, e, w)
	}
	return fescuelatch.Admission{Attempt: w.Attempt, Verdict: fescuelatch.AdmissionStart, Endpoint: e.owned.Endpoint.ID}
}

func (g *Gate) recordStart(now time.Time, e *endpointLoad, w fescuelatch.Work) {
	a := &attempt{work: w, endpoint: e, started: now, uncached: e.uncachedTokens(w, g.prefixesOf(w))}
	if g.contended(w.Version) {
		a.load = e.loadFactor(g.othersAt(now, e, w.Version))
		a.serviceTime = e.speed.Factor(now)
		g.recentOf(w.Version).add(now, w)
	}
	g.attempts[w.Attempt] = a
	g.recordTrial(now, w)
	e.start(now, a, g.coldInterval(e.owned.ColdRate))
	e.usePermit(now)
}

// FirstToken implements fescuelatch.Gate.
func (g *Gate) FirstToken(now time.Time, id fescuelatch.AttemptID) {
	a := g.attempts[id]
	if a == nil || !a.firstOutput.IsZero() {
		return
	}
	a.firstOutput = now
	delete(g.cutOffs, a.work.Version)
	a.endpoint.responded(now)
	g.domainOf(a.endpoint).reached()
	a.endpoint.cache.add(g.prefixesOf(a.work))
	latency := g.latencyOf(a.work.Version)
	took := g.took(now, a, latency.expectedFirst(a.uncached))
	g.observeSpeed(now, a, latency, took, latency.expectedFirst(a.uncached))
	latency.observeFirst(took, a.uncached)
	a.endpoint.observeFirst(now, took, latency.expectedFirst(a.uncached))
}

// Inactive records that the endpoint of a started attempt is unresponsive. It gets no further
// work until it accepts a connection or goes on with its answer.
func (g *Gate) Inactive(now time.Time, id fescuelatch.AttemptID) {
	if a := g.attempts[id]; a != nil {
		a.endpoint.markUnreachable(now)
		g.domainOf(a.endpoint).failed()
	}
}

// Resumed records that the endpoint of an attempt has gone on with its answer.
func (g *Gate) Resumed(now time.Time, id fescuelatch.AttemptID) {
	if a := g.attempts[id]; a != nil {
		a.endpoint.responded(now)
		g.Reached(a.endpoint.owned.Endpoint.ID)
	}
}

// took returns how long an attempt has taken. If a stall of this daemon hides that, it is the
// expected time as far as that is possible.
func (g *Gate) took(now time.Time, a *attempt, expected time.Duration) time.Duration {
	return min(max(expected, g.ranSince(a, now)), now.Sub(a.started))
}

// End implements fescuelatch.Gate.
func (g *Gate) End(now time.Time, r fescuelatch.AttemptResult) []fescuelatch.Admission {
	a := g.attempts[r.Attempt]
	if a == nil {
		g.waiting.remove(r.Attempt)
		g.contention.Remove(now, r.Attempt)
		return nil
	}
	delete(g.attempts, r.Attempt)
	a.endpoint.end(now, a, r, g.unanswered(now, a), g.settings)
	if r.Overloaded && g.contended(a.work.Version) {
		g.observeFull(now, a.endpoint)
	}
	if a.endpoint.hint.brittle {
		a.endpoint.hint.slots.Emptied()
		if r.Overloaded {
			a.endpoint.hint.slots.Observe(now, true, true)
		}
	}
	if r.RetryAfter > 0 {
		g.hints.pause(now, a.endpoint, r.RetryAfter)
	}
	g.domainOf(a.endpoint).end(r)
	if answers(r) {
		delete(g.cutOffs, a.work.Version)
	}
	if r.Status == fescuelatch.AttemptAnswered {
		latency := g.latencyOf(a.work.Version)
		g.observeOutput(now, a, latency)
		latency.observeTotal(g.took(now, a, latency.meanTotal()))
	}
	return g.drain(now, nil)
}

// Report implements fescuelatch.Gate. A report without slots carries no load.
// Whether an endpoint is cold is taken from its registration.
func (g *Gate) Report(now time.Time, r fescuelatch.LoadReport) []fescuelatch.Admission {
	e := g.endpoints[r.Endpoint]
	if e == nil {
		return nil
	}
	if r.State == fescuelatch.EndpointLeaving {
		g.hints.leave(e)
	}
	if r.ServiceTime > 0 {
		e.speed.Report(now, r.ServiceTime)
	}
	if r.Slots > 0 {
		g.observeUneven(e, r.ServiceTime > 0)
		e.report(now, r)
		g.recordTypical(now, e)
		if e.hint.brittle && r.Waiting > 0 {
			e.hint.slots.Observe(now, true, false)
		}
	}
	return g.drain(now, nil)
}

// Poll implements fescuelatch.Gate.
func (g *Gate) Poll(now time.Time) []fescuelatch.Admission {
	g.refreshDeparture(now)
	g.refreshCutOff(now)
	as := g.drain(now, nil)
	for _, w := range g.waiting.removeOverdue(now) {
		as = append(as, refuse(w, g.retryAfter(now, w)))
	}
	return g.refuseOverdue(now, as)
}

// drain starts queued work in order of rank while endpoints can take it.
func (g *Gate) drain(now time.Time, as []fescuelatch.Admission) []fescuelatch.Admission {
	g.waiting.removeAccepted(func(w fescuelatch.Work) bool {
		if expired(now, w) {
			as = append(as, refuse(w, minRetryAfter))
			return true
		}
		e, _ := g.choose(now, w)
		if e == nil {
			return false
		}
		as = append(as, g.start(now, e, w))
		return true
	})
	return g.drainContended(now, as)
}

// Spare implements fescuelatch.Gate. Endpoints that this daemon does not reach have no
// slots.
func (g *Gate) Spare(now time.Time) []fescuelatch.Spare {
	spares := make([]fescuelatch.Spare, 0, len(g.serving))
	for v, endpoints := range g.serving {
		s := fescuelatch.Spare{Version: v}
		for _, e := range endpoints {
			if e.out() || g.unreachable(e) {
				continue
			}
			s.Slots += e.slots()
			if e.open(now) {
				s.Free += min(max(0, e.slots()-e.busy(now)), e.permitsLeft(now))
			}
		}
		spares = append(spares, s)
	}
	return spares
}

// Latency implements fescuelatch.Gate. It returns the expected time to the first
// output, since a started stream may use the rest of the target latency.
func (g *Gate) Latency(v fescuelatch.VersionID) time.Duration { return g.latencyOf(v).meanFirst() }

func (g *Gate) latencyOf(v fescuelatch.VersionID) *versionLatency {
	p := g.latencies[v]
	if p == nil {
		p = new(versionLatency)
		g.latencies[v] = p
	}
	return p
}
