package direct

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/crash"
	"fescuelatch/decision"
	"fescuelatch/gate/shared"
)

// This file defines how a daemon explains where a request would go now. The code that decides
// on requests decides on copies of its state, so that nothing changes.

// Verdict is what would become of a request.
type Verdict string

// Verdicts.
const (
	VerdictStart    Verdict = "start"     // at an endpoint
	VerdictWait     Verdict = "wait"      // for an endpoint
	VerdictPassedOn Verdict = "passed-on" // to another daemon, as this one reaches no endpoint
	VerdictRefused  Verdict = "refused"
	VerdictFailed   Verdict = "failed"
)

// Explanation is what would become of a request that arrived at a daemon, and why.
type Explanation struct {
	VM         fescuelatch.VMID       `json:"vm"`
	Domain     fescuelatch.DomainID   `json:"failure-domain"`
	At         time.Time              `json:"at"`
	Generation fescuelatch.Generation `json:"generation"`
	StoreAge   string                 `json:"store-age"`
	Ready      bool                   `json:"ready"`
	Isolated   bool                   `json:"isolated"`

	Route   fescuelatch.RouteID     `json:"route"`
	Account fescuelatch.AccountID   `json:"account"`
	Rank    int                     `json:"rank"`
	Kind    fescuelatch.RequestKind `json:"kind"`
	// Targets are those of the route, of which Chosen is the one that is explained.
	Targets []TargetShare `json:"targets"`
	// Bound is the release that the session is bound to at this daemon, if any.
	Bound    fescuelatch.ReleaseID                  `json:"session-release,omitempty"`
	Rollouts map[fescuelatch.ServiceID]RolloutState `json:"roll-outs,omitempty"`
	// Blocks are the parts of the prompt, or the request, that crash endpoints.
	Blocks []crash.Refusal `json:"blocks,omitempty"`

	Verdict  Verdict                `json:"verdict"`
	Version  fescuelatch.VersionID  `json:"version,omitempty"`
	Endpoint fescuelatch.EndpointID `json:"endpoint,omitempty"`
	// Peer is the daemon that the request is passed on to.
	Peer fescuelatch.VMID `json:"peer,omitempty"`
	// Reason and Cause are those of a refusal, and RetryAfter what its caller is told.
	Reason     string                   `json:"reason,omitempty"`
	Cause      fescuelatch.RefusalCause `json:"cause,omitempty"`
	RetryAfter time.Duration            `json:"retry-after-ns,omitempty"`

	decision.Trace
	Choices []shared.Choice `json:"choices,omitempty"`
}

// TargetShare is a target of a route.
type TargetShare struct {
	Service fescuelatch.ServiceID `json:"service"`
	Share   float64               `json:"share"`
	Chosen  bool                  `json:"chosen"`
}

// explainInterval is the least time between two explanations of a daemon. Each takes as long as
// some tens of decisions.
const explainInterval = 100 * time.Millisecond

// explanations bounds the explanations of a daemon.
type explanations struct {
	sync.Mutex
	next time.Time
}

// begin reports whether an explanation may be made. It is followed by end.
func (e *explanations) begin(now time.Time) bool {
	if !e.TryLock() {
		return false
	}
	if now.Before(e.next) {
		e.Unlock()
		return false
	}
	return true
}

func (e *explanations) end(now time.Time) {
	e.next = now.Add(explainInterval)
	e.Unlock()
}

// Explain tells what would become of a request that arrived now.
func (d *Daemon) Explain(q Question) (*Explanation, error) {
	const op = "explain"
	if err := q.Check(); err != nil {
		return nil, err
	}
	if !d.explanations.begin(time.Now()) {
		return nil, &Error{op, KindBusy, errors.New("one question is answered at a time, and ten in a second")}
	}
	defer func() { d.explanations.end(time.Now()) }()
	f := d.active.Load()
	if f == nil {
		return nil, &Error{op, KindUnready, errors.New("this daemon has no configuration yet")}
	}
	route, err := q.routeIn(f.deployment)
	if err != nil {
		return nil, err
	}
	x, r, err := d.described(f, route, &q)
	if err != nil {
		return nil, err
	}
	switch {
	case !d.endsInTime(x.At, route, route.Timeout):
		x.Verdict, x.Reason, x.RetryAfter = VerdictRefused, codeStopping, stoppingRetryAfter
	case int64(q.BodyBytes) > bodyLimit(f.deployment):
		x.Verdict, x.Reason = VerdictRefused, codeTooLarge
	default:
		d.decideOnCopies(x, r)
	}
	return x, nil
}

// described returns the part of an explanation that describes the request, and the request.
func (d *Daemon) described(f *activeConfiguration, route *fescuelatch.Route, q *Question) (*Explanation, *fescuelatch.Request, error) {
	target, models, err := q.targetOf(route)
	if err != nil {
		return nil, nil, err
	}
	account, err := q.accountIn(f.view, route)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	r := newRequest(f, route, q.headers(), account, now)
	r.ID = fescuelatch.RequestID("explain-" + strconv.FormatUint(q.hash(), 16))
	r.Ladder, r.BodyBytes, r.Fingerprint = models, q.BodyBytes, q.Fingerprint
	x := &Explanation{
		VM: d.options.VM, Domain: d.options.Domain, At: now, Generation: f.deployment.Generation,
		StoreAge: d.store.age(now).Round(time.Millisecond).String(), Ready: d.ready(), Isolated: d.isolated.Load(),
		Route: route.ID, Account: account, Rank: r.Rank, Kind: route.Kind,
	}
	total := 0.0
	for i := range route.Targets {
		total += route.Targets[i].Weight
	}
	for i := range route.Targets {
		t := &route.Targets[i]
		x.Targets = append(x.Targets, TargetShare{t.Service, t.Weight / max(total, 1e-9), t == target})
	}
	return x, r, nil
}

// hash returns a number by which a question draws, so that daemons that know the same answer
// the same.
func (q *Question) hash() uint64 {
	b, err := json.Marshal(q)
	if err != nil {
		return 0 // Not possible: it has only texts and numbers.
	}
	return xxhash.Sum64(b)
}

// decideOnCopies completes an explanation by what the decision core does on copies of the state.
func (d *Daemon) decideOnCopies(x *Explanation, r *fescuelatch.Request) {
	random := rand.New(rand.NewPCG(xxhash.Sum64String(string(r.ID)), 0))
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	x.Bound, _ = d.ladder.Release(now, r.SessionKey)
	x.Rollouts = make(map[fescuelatch.ServiceID]RolloutState)
	for _, t := range x.Targets {
		if o := d.rollouts[t.Service]; o != nil {
			x.Rollouts[t.Service] = RolloutState{o.Order().Target, o.State(), o.Share(now), o.Evidence()}
		}
	}
	crashes := d.crashes.Preview()
	x.Blocks = crashes.Refusals(now, r)
	gate := d.gate.Preview(random)
	core := d.core.Preview(decision.Policies{
		Random: random, Versions: d.ladder.Preview(r.SessionKey), Gate: gate, Retries: d.budget.Preview(), Crashes: crashes,
	})
	x.Verdict = VerdictWait
	for _, a := range core.Handle(now, decision.Arrived{Request: r}) {
		d.conclude(x, now, a)
	}
	x.Trace, x.Choices = core.Trace(), gate.Choices()
	for _, err := range core.Faults() {
		d.log.Error("fault of the decision core in an explanation", "error", err.Error())
	}
}

// conclude sets the verdict by an action of the core.
func (d *Daemon) conclude(x *Explanation, now time.Time, action decision.Action) {
	switch a := action.(type) {
	case decision.Start:
		x.Verdict, x.Version, x.Endpoint = VerdictStart, a.Version, a.Endpoint
	case decision.Forward:
		x.Verdict, x.Version, x.Peer = VerdictPassedOn, a.Version, a.VM
	case decision.Refuse:
		x.Verdict, x.Reason, x.Cause, x.RetryAfter = VerdictRefused, string(a.Reason), a.Cause, max(a.RetryAfter, minRetryAfter)
		if wait, ok := d.isolation.redirectDelay(now); ok {
			x.RetryAfter = wait
		}
	case decision.Fail:
		x.Verdict, x.Reason = VerdictFailed, string(a.Reason)
	}
}

// KnownDaemon is a daemon that another one knows.
type KnownDaemon struct {
	VM      fescuelatch.VMID     `json:"vm"`
	Domain  fescuelatch.DomainID `json:"failure-domain"`
	Control netip.AddrPort       `json:"control-address"`
}

// KnownDaemons returns the daemons that this one knows, itself included, by VM.
func (d *Daemon) KnownDaemons() []KnownDaemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := []KnownDaemon{{d.options.VM, d.options.Domain, d.options.Control}}
	for vm, m := range d.storeView.members {
		if vm != d.options.VM && m.Control.IsValid() {
			all = append(all, KnownDaemon{vm, m.Domain, m.Control})
		}
	}
	slices.SortFunc(all, func(a, b KnownDaemon) int { return cmp.Compare(a.VM, b.VM) })
	return all
}

// questionTimeout is the time for a question to arrive.
const questionTimeout = 5 * time.Second

// serveExplain answers an operator's question.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	// An operator that sends slowly is cut off; if the deadline cannot be set, the read fails.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(questionTimeout))
	var q Question
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestionBytes)).Decode(&q); err != nil {
		d.writeControlError(w, err)
		return
	}
	x, err := d.Explain(q)
	if err != nil {
		d.writeControlError(w, err)
		return
	}
	d.log.Info("request explained to an operator", "route", x.Route, "account", x.Account, "verdict", x.Verdict,
		"version", x.Version, "endpoint", x.Endpoint, "reason", x.Reason)
	d.writeJSON(w, x)
}

// controlError is the answer to a question that cannot be answered.
type controlError struct {
	Kind  ErrorKind `json:"kind"`
	Error string    `json:"error"`
}

// writeControlError answers with an error of this package.
func (d *Daemon) writeControlError(w http.ResponseWriter, err error) {
	status, kind := http.StatusBadRequest, KindInvalid
	var e *Error
	if errors.As(err, &e) {
		kind = e.Kind
	}
	switch kind {
	case KindBusy:
		status = http.StatusTooManyRequests
	case KindUnready:
		status = http.StatusServiceUnavailable
	}
	if status != http.StatusBadRequest {
		w.Header().Set("Retry-After", "1")
	}
	d.log.Info("question of an operator is not answered", "kind", kind, "error", err.Error())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(controlError{kind, strings.TrimSpace(err.Error())})
}
