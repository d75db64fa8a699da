package shared

import (
	"math/rand/v2"
	"time"

	"fescuelatch"
	"fescuelatch/admission"
)

// This file defines the trace of a preview: which endpoints it has considered for work, what
// counted for and against each, and what was decided.

// Exclusion is why an endpoint may not get work.
type Exclusion string

// Exclusions.
const (
	ExcludedOut          Exclusion = "out"          // taken out, or leaving
	ExcludedPaused       Exclusion = "paused"       // it asked for no work for a while
	ExcludedMisplaced    Exclusion = "misplaced"    // another endpoint answers at its address
	ExcludedTried        Exclusion = "tried"        // an earlier attempt of the request was there
	ExcludedBound        Exclusion = "not-named"    // the work is bound to another endpoint
	ExcludedUnreachable  Exclusion = "unreachable"  // it, or its failure domain
	ExcludedEjected      Exclusion = "ejected"      // for its failures
	ExcludedOnTrial      Exclusion = "on-trial"     // the attempt that tries it again has not ended
	ExcludedTrial        Exclusion = "trial-only"   // the next attempt tries it again, and this one may run once
	ExcludedCold         Exclusion = "cold"         // beyond the rate of a cold start
	ExcludedUnresponsive Exclusion = "unresponsive" // an attempt there has waited unusually long
	ExcludedConnections  Exclusion = "connections"  // this daemon has its part of them
	ExcludedQueue        Exclusion = "only-queues"  // in another failure domain, without a free slot
	ExcludedFull         Exclusion = "full"
	ExcludedMemory       Exclusion = "memory"
	ExcludedPermits      Exclusion = "limited" // its rate limit, or no slot granted
)

// Choice is how a preview has decided on work.
type Choice struct {
	Version  fescuelatch.VersionID        `json:"version"`
	Verdict  fescuelatch.AdmissionVerdict `json:"verdict"`
	Endpoint fescuelatch.EndpointID       `json:"endpoint,omitempty"`
	// Cause and RetryAfter are those of a refusal.
	Cause      fescuelatch.RefusalCause `json:"cause,omitempty"`
	RetryAfter time.Duration            `json:"retry-after-ns,omitempty"`
	// Ordered reports that work for the version waits by package admission; Shortage is then
	// the room as it is for this work.
	Ordered  bool                `json:"ordered"`
	Shortage *admission.Shortage `json:"shortage,omitempty"`
	// Waiting is the work that waits at this daemon.
	Waiting int `json:"waiting"`
	// NoMore reports that endpoints have room, but that this daemon has started its part of
	// it until their reports tell of the others' starts.
	NoMore bool `json:"part-taken,omitempty"`
	// First and Total are the mean times to the first output and to the end.
	First time.Duration `json:"first-output-ns"`
	Total time.Duration `json:"total-ns"`
	// Departure is the surplus of the version in this daemon's failure domain, where prices
	// are stated, and Meant the failure domain that the work is surplus for, if it is.
	Departure *Departure           `json:"departure,omitempty"`
	Meant     fescuelatch.DomainID `json:"meant-for,omitempty"`
	// Candidates are the endpoints of the version.
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an endpoint with what counted for and against it.
type Candidate struct {
	Endpoint fescuelatch.EndpointID `json:"endpoint"`
	Domain   fescuelatch.DomainID   `json:"failure-domain"`
	// Chosen reports that the work would go there. Share is the part of such work that would,
	// where the endpoint is drawn among several.
	Chosen bool    `json:"chosen,omitempty"`
	Share  float64 `json:"share,omitempty"`
	// Excluded is why it may not get the work, and Left how long that lasts if it is known.
	Excluded Exclusion     `json:"excluded,omitempty"`
	Left     time.Duration `json:"left-ns,omitempty"`
	// Slots are its own, Running the attempts of this daemon there, and Others the estimate
	// of those of the other daemons. Fill is the number of requests per slot up to which it
	// gets the work.
	Slots   int     `json:"slots"`
	Running int     `json:"running"`
	Others  float64 `json:"others"`
	Fill    float64 `json:"fill"`
	// Cold reports a cold start, Ejections are consecutive ones, Failing is the weighted
	// share of failures, and Limited reports a rate limit or granted slots.
	Cold      bool    `json:"cold,omitempty"`
	Ejections int     `json:"ejections,omitempty"`
	Failing   float64 `json:"failing,omitempty"`
	Limited   bool    `json:"limited,omitempty"`
	// ServiceTime is relative to that of the other endpoints, and Slowdown the ratio of the
	// time to the first output to the expected one. Contended versions go by the former.
	ServiceTime float64 `json:"service-time"`
	Slowdown    float64 `json:"slowdown"`
	// Cached are the prompt tokens assumed to be in its cache. Crossing is the time that
	// counts for leaving the failure domain. Cost is the one by which it was compared:
	// the expected time to the first output, the crossing, and for contended versions a
	// part of the rest of the answer. They are zero if it is excluded.
	Cached   int           `json:"cached-tokens,omitempty"`
	Crossing time.Duration `json:"crossing-ns,omitempty"`
	Cost     time.Duration `json:"cost-ns,omitempty"`
}

// trace collects the choices of a preview. All methods do nothing if it is nil, as in a gate
// that is no preview.
type trace struct {
	choices []Choice
	// random is for what only the trace draws.
	random  *rand.Rand
	fill    float64
	lasts   time.Duration
	typical float64
	// open reports that an offer is being decided on.
	open bool
}

// Choices returns the choices of a preview, in order.
func (g *Gate) Choices() []Choice {
	if g.trace == nil {
		return nil
	}
	return g.trace.choices
}

func newTrace() *trace { return &trace{random: rand.New(rand.NewPCG(1, 1))} }

func (t *trace) current() *Choice { return &t.choices[len(t.choices)-1] }

func (t *trace) begin(now time.Time, g *Gate, w fescuelatch.Work) {
	if t != nil {
		t.add(now, g, w)
	}
}

// add begins a choice, before the offer changes the preview.
func (t *trace) add(now time.Time, g *Gate, w fescuelatch.Work) {
	latency := g.latencyOf(w.Version)
	c := Choice{
		Candidates: make([]Candidate, 0, len(g.serving[w.Version])),
		Version:    w.Version, Ordered: g.ordered(w.Version), Waiting: g.Waiting(), First: latency.meanFirst(), Total: latency.meanTotal(),
	}
	if c.Ordered {
		s := g.contention.Shortage(now, w.Request, w.Version, g.roomOf(now, w.Version))
		c.Shortage = &s
	}
	if s := g.departure.shares[w.Version]; s != nil {
		c.Departure = &Departure{w.Version, s.Reason(), s.home, s.Parts()}
		c.Meant = s.Draw(lot(w.Attempt))
	}
	t.choices = append(t.choices, c)
	t.open = true
	t.fill, t.lasts, t.typical = g.fillOf(now, w), latency.meanTotal(), g.typicalOf(w.Version).mean(now)
}

func (t *trace) end(a fescuelatch.Admission) {
	if t == nil {
		return
	}
	c := t.current()
	c.Verdict, c.Endpoint, c.Cause, c.RetryAfter = a.Verdict, a.Endpoint, a.Cause, a.RetryAfter
	for i := range c.Candidates {
		c.Candidates[i].Chosen = a.Endpoint != "" && c.Candidates[i].Endpoint == a.Endpoint
	}
	t.open = false
}

func (t *trace) exclude(now time.Time, g *Gate, e *endpointLoad, x Exclusion) {
	if t != nil && t.open {
		c := t.candidate(now, g, e)
		c.Excluded, c.Left = x, e.left(now, x)
	}
}

func (t *trace) consider(now time.Time, g *Gate, e *endpointLoad, w fescuelatch.Work, uncached int, cost time.Duration) {
	if t != nil && t.open {
		t.addConsidered(now, g, e, w, uncached, cost)
	}
}

func (t *trace) addConsidered(now time.Time, g *Gate, e *endpointLoad, w fescuelatch.Work, uncached int, cost time.Duration) {
	c := t.candidate(now, g, e)
	c.Cached, c.Crossing, c.Cost = max(0, w.Request.PromptTokens-uncached), g.distance(e, w), cost
	if e.permitsLeft(now) <= 0 {
		c.Excluded, c.Left = ExcludedPermits, max(0, e.permitWait(now))
	}
}

// candidate adds e to the candidates of the current choice.
func (t *trace) candidate(now time.Time, g *Gate, e *endpointLoad) *Candidate {
	c := t.current()
	others := e.othersLoad(now)
	if g.contended(c.Version) {
		others = e.expectedOthers(now, t.typical, t.lasts)
	}
	c.Candidates = append(c.Candidates, Candidate{
		Endpoint: e.owned.Endpoint.ID, Domain: e.owned.Endpoint.Domain, Slots: e.slots(), Running: len(e.running), Others: others, Fill: t.fill,
		Cold: e.cold(now), Ejections: e.ejections, Failing: e.failureRate, Limited: e.isLimited() || e.hint.brittle,
		ServiceTime: e.speed.Factor(now), Slowdown: e.slowdown,
	})
	return &c.Candidates[len(c.Candidates)-1]
}

// consult has the endpoints considered for work that may not start before other work.
func (t *trace) consult(now time.Time, g *Gate, w fescuelatch.Work) {
	if t == nil {
		return
	}
	random := g.random
	g.random = t.random
	g.choose(now, w)
	g.random = random
}

func (t *trace) takeNoMore() {
	if t != nil && t.open {
		t.current().NoMore = true
	}
}

// maxDraws bounds the draws by which shares are told, and maxDrawn the candidates in all of them.
const (
	maxDraws = 200
	maxDrawn = 20_000
)

// draw tells the share of each candidate by further draws.
func (t *trace) draw(g *Gate, unreported load) {
	if t == nil || !t.open {
		return
	}
	n := min(max(1, maxDrawn/len(g.candidates)), maxDraws)
	shares := make(map[fescuelatch.EndpointID]float64)
	for range n {
		shares[g.candidates[draw(g.candidates, unreported, t.random)].endpoint.owned.Endpoint.ID] += 1 / float64(n)
	}
	c := t.current()
	for i := range c.Candidates {
		c.Candidates[i].Share = shares[c.Candidates[i].Endpoint]
	}
}

// closedBy returns why an endpoint is not open that is neither out nor paused.
func (e *endpointLoad) closedBy(now time.Time) Exclusion {
	switch {
	case now.Before(e.ejectedUntil):
		return ExcludedEjected
	case e.trial != "":
		return ExcludedOnTrial
	case e.isUnreachable(now):
		return ExcludedUnreachable
	}
	return ExcludedCold
}

// left returns how long an exclusion lasts, or zero if that is not known.
func (e *endpointLoad) left(now time.Time, x Exclusion) time.Duration {
	var until time.Time
	switch x {
	case ExcludedPaused:
		until = e.hint.paused
	case ExcludedMisplaced:
		until = e.misplacedUntil
	case ExcludedEjected:
		until = e.ejectedUntil
	case ExcludedCold:
		until = e.nextStart
	default:
		return 0
	}
	return max(0, until.Sub(now))
}
