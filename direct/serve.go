package direct

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/gate/shared"
	"fescuelatch/internal/intake"
)

// This file defines how a request is served: by performing the core's actions
// until one of them ends it.

// activeRequest is a request that is being served.
type activeRequest struct {
	daemon   *Daemon
	config   *activeConfiguration
	route    *fescuelatch.Route
	call     fescuelatch.CallHeaders
	details  *fescuelatch.Request
	writer   *callerWriter
	incoming *http.Request
	body     *intake.Body
	arrived  time.Time
	actions  chan decision.Action
	cancel   context.CancelCauseFunc

	// current is the current attempt, and hedge the one beside it that may replace it.
	// Only the goroutine of the request uses them.
	current, hedge *attempt
	// hedgeFrom is what the caller had received when the current attempt was last
	// unresponsive.
	hedgeFrom atomic.Pointer[received]
	// sent counts attempts of which a byte may have reached an endpoint.
	sent int
	// ran reports that an ended attempt may have run on its endpoint.
	ran atomic.Bool
	// answers holds buffered answers, from which the core chooses.
	answers map[fescuelatch.AttemptID]*bufferedAnswer
	// buffer is the memory of the answers.
	buffer answerBuffer
	// output is the answer to the caller.
	output output
	// lastEndpoint is that of the current attempt, and lastError of the last one that
	// has ended, for the log.
	lastEndpoint fescuelatch.EndpointID
	lastError    error
	// refusal is why the request was refused, if room was short.
	refusal fescuelatch.RefusalCause
	// estimates are those by which the last endpoint was chosen, or nil.
	estimates *shared.Estimates
	// keptReason is why the relayed answer was not abandoned for a better one.
	keptReason decision.KeptReason
}

// actionBuffer holds all actions that can be pending for one request: abandon an
// attempt, start another, relay and end, also while hedges start and are abandoned.
const actionBuffer = 32

// lastRequest is the number of the last request of this process.
var lastRequest atomic.Uint64

func newActiveRequest(d *Daemon, f *activeConfiguration, route *fescuelatch.Route, c fescuelatch.CallHeaders, a fescuelatch.AccountID, now time.Time) *activeRequest {
	q := newRequest(f, route, c, a, now)
	q.ID = fescuelatch.RequestID(c.Call + "#" + strconv.FormatUint(lastRequest.Add(1), 10))
	q.Ladder = chooseTarget(route, c.Session).Ladder
	s := &activeRequest{
		daemon: d, config: f, route: route, call: c, details: q, arrived: now,
		actions: make(chan decision.Action, actionBuffer), answers: make(map[fescuelatch.AttemptID]*bufferedAnswer),
	}
	s.output.lastEvent = c.LastEvent
	s.buffer.memory = d.intake
	return s
}

// newRequest returns a request that arrives now, without its identifier, target and body.
func newRequest(f *activeConfiguration, route *fescuelatch.Route, c fescuelatch.CallHeaders, a fescuelatch.AccountID, now time.Time) *fescuelatch.Request {
	rank := route.Rank
	if r, ok := f.deployment.AccountRanks[a]; ok {
		rank = r
	}
	return &fescuelatch.Request{
		Account: a, Route: route.ID, Arrived: now, Deadline: now.Add(timeoutOf(route, c)),
		Idempotent: route.Kind.Repeatable(), Streamed: route.Kind.Streamed(), Resumable: route.Kind == fescuelatch.RequestResumable,
		PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, Parts: c.Parts,
		MaxAttempts: attemptsLeft(route, c), Delegated: c.Delegated, Rank: rank, TargetLatency: route.TargetLatency, TargetGap: route.TargetGap,
		SessionKey: c.Session,
	}
}

// attemptsLeft returns the maximum number of attempts of a request, of which another daemon
// may have made some; zero if there is no maximum.
func attemptsLeft(r *fescuelatch.Route, c fescuelatch.CallHeaders) int {
	if r.MaxAttempts == 0 {
		return 0
	}
	return max(1, r.MaxAttempts-c.Attempts)
}

// timeoutOf returns the timeout of a request.
func timeoutOf(r *fescuelatch.Route, c fescuelatch.CallHeaders) time.Duration {
	if c.Deadline > 0 {
		return min(r.Timeout, c.Deadline)
	}
	return r.Timeout
}

// chooseTarget chooses the target of a request by the weights of its route. A
// session keeps its target.
func chooseTarget(r *fescuelatch.Route, session string) *fescuelatch.RouteTarget {
	total := 0.0
	for i := range r.Targets {
		total += r.Targets[i].Weight
	}
	u := rand.Float64()
	if session != "" {
		h := fnv.New64a()
		_, _ = h.Write([]byte(session))
		u = float64(h.Sum64()>>11) / (1 << 53)
	}
	return targetAt(r, u*total)
}

// targetAt returns the target of a route at a sum of weights.
func targetAt(r *fescuelatch.Route, u float64) *fescuelatch.RouteTarget {
	for i := range r.Targets {
		u -= r.Targets[i].Weight
		if u < 0 {
			return &r.Targets[i]
		}
	}
	return &r.Targets[len(r.Targets)-1]
}

// serve runs the request to its end.
func (s *activeRequest) serve() {
	d := s.daemon
	ctx, cancel := context.WithDeadline(s.incoming.Context(), s.details.Deadline)
	defer cancel()
	ctx, s.cancel = context.WithCancelCause(ctx)
	defer s.cancel(nil)
	s.awaitTrial(ctx)
	d.mu.Lock()
	d.requests[s.details.ID] = s
	d.decideLocked(time.Now(), decision.Arrived{Request: s.details})
	d.signalPermitsLocked()
	d.mu.Unlock()
	s.run(ctx)
	s.buffer.releaseAll()
	d.mu.Lock()
	delete(d.requests, s.details.ID)
	d.mu.Unlock()
	if s.output.truncated {
		panic(http.ErrAbortHandler) // Aborts the connection, so that the answer appears incomplete.
	}
}

// run performs actions until the request has ended.
func (s *activeRequest) run(ctx context.Context) {
	done := ctx.Done()
	for {
		select {
		case a := <-s.actions:
			if s.perform(ctx, a) {
				return
			}
		case <-done:
			done = nil
			_, expired := endReason(ctx)
			s.daemon.decide(decision.Cancelled{Request: s.details.ID, Expired: expired})
		}
	}
}

// perform performs one action and reports whether the request has ended.
func (s *activeRequest) perform(ctx context.Context, action decision.Action) bool {
	switch a := action.(type) {
	case decision.Start:
		s.start(ctx, a)
	case decision.Forward:
		s.delegate(ctx, a)
	case decision.Relay:
		s.keptReason = a.Kept
		s.current.relay()
	case decision.Abandon:
		s.abandon(a)
	case decision.Accept:
		s.stopAttempts()
		// The caller may be slow to read the answer.
		s.body.Release()
		s.body = nil
		s.accept(a)
		return true
	case decision.Refuse:
		s.stopAttempts()
		s.refusal = a.Cause
		s.refuse(a.Reason, a.RetryAfter)
		return true
	case decision.Fail:
		s.stopAttempts()
		s.fail(a.Reason)
		return true
	case decision.Drop:
		s.stopAttempts()
		s.drop(ctx)
		return true
	}
	return false
}

// start makes an attempt at an endpoint.
func (s *activeRequest) start(ctx context.Context, a decision.Start) {
	from := s.endPrevious(a.Hedge)
	s.recordLimited(a)
	s.recordEstimates(a)
	t := newAttempt(ctx, s, a, from)
	switch {
	case a.Hedge == decision.HedgeSilence:
		s.log("endpoint is silent; request is sent to another one as well", "attempt", a.Attempt, "endpoint", a.Endpoint, "version", a.Version,
			"last-event", from.lastEvent, "silent", s.lastEndpoint)
	case a.Hedge == decision.HedgeEscalation:
		s.log("answer is held back for one of a larger model", "attempt", a.Attempt, "endpoint", a.Endpoint, "version", a.Version,
			"held", s.lastEndpoint, "confidence", s.current.confidence)
	case s.sent > 0:
		s.log("request is sent again", "attempt", a.Attempt, "endpoint", a.Endpoint, "version", a.Version,
			"last-event", from.lastEvent, "cause", errorText(s.lastError))
	}
	s.launch(t, a.Hedge)
}

// delegate passes the request on to another daemon.
func (s *activeRequest) delegate(ctx context.Context, a decision.Forward) {
	from := s.endPrevious(a.Hedge)
	t := newAttempt(ctx, s, decision.Start{
		Request: a.Request, Attempt: a.Attempt, Version: a.Version, Timeouts: a.Timeouts, Hedge: a.Hedge,
	}, from)
	t.delegate, t.allowed = a.VM, a.Attempts
	s.log("request is passed on to another daemon", "attempt", a.Attempt, "peer", a.VM, "last-event", from.lastEvent, "cause", errorText(s.lastError),
		"hedge", a.Hedge, "attempts", a.Attempts)
	s.launch(t, a.Hedge)
}

// endPrevious ends the attempt before a new one, and returns what the caller has received
// by then.
func (s *activeRequest) endPrevious(hedge decision.HedgeReason) received {
	if hedge != "" {
		if s.hedge != nil {
			s.end(s.hedge, true)
			s.log("attempt at another endpoint has ended", "attempt", s.hedge.start.Attempt, "endpoint", s.hedge.start.Endpoint, "error", errorText(s.hedge.err))
		}
	}
	if hedge == decision.HedgeSilence {
		return *s.hedgeFrom.Load()
	}
	if hedge == decision.HedgeEscalation {
		return s.current.from
	}
	s.end(s.current, false)
	return s.output.received
}

// launch starts a new attempt.
func (s *activeRequest) launch(t *attempt, hedge decision.HedgeReason) {
	if s.sent == 0 {
		s.daemon.metrics.countStart(s.route.ID, time.Since(s.arrived))
	}
	s.sent++
	if hedge != "" {
		s.hedge = t
		s.daemon.metrics.countHedge(hedge)
	} else {
		s.makeCurrent(t)
	}
	go t.run()
}

func (s *activeRequest) makeCurrent(t *attempt) {
	s.current, s.lastEndpoint = t, t.start.Endpoint
	if s.details.Delegated {
		s.output.servedBy = t.start.Endpoint
	}
}

// end stops an attempt, if there is one, and records how it has ended.
func (s *activeRequest) end(t *attempt, hedge bool) {
	if t == nil || t.ended {
		return
	}
	t.stop(hedge)
	t.ended = true
	if !hedge {
		s.lastError = t.err
	}
}

// stopAttempts stops all attempts.
func (s *activeRequest) stopAttempts() {
	if s.hedge != nil {
		s.hedge.cancel()
	}
	s.end(s.current, false)
	s.end(s.hedge, true)
}

// abandon ends an attempt in favour of another one.
func (s *activeRequest) abandon(a decision.Abandon) {
	if s.hedge.start.Attempt == a.Attempt {
		s.log("attempt at another endpoint is ended", "attempt", a.Attempt, "endpoint", s.hedge.start.Endpoint, "kept", s.lastEndpoint)
		s.end(s.hedge, true)
		s.hedge = nil
		return
	}
	if a.Replaced {
		s.log("another endpoint goes on in place of a silent one", "attempt", s.hedge.start.Attempt, "endpoint", s.hedge.start.Endpoint, "silent", s.lastEndpoint)
	} else {
		s.log("answer abandoned for one of a larger model", "attempt", a.Attempt, "endpoint", s.lastEndpoint, "confidence", s.current.confidence)
	}
	s.current.replaced = a.Replaced
	s.end(s.current, false)
	s.makeCurrent(s.hedge)
	s.hedge = nil
}

// recordLimited logs and counts an attempt at an endpoint that limits its rate.
func (s *activeRequest) recordLimited(a decision.Start) {
	d := s.daemon
	d.mu.Lock()
	l := d.gate.Limit(a.Endpoint)
	d.mu.Unlock()
	if !l.Limited {
		return
	}
	s.log("attempt at an endpoint with a rate limit", "attempt", a.Attempt, "endpoint", a.Endpoint, "number", s.sent+1, "per-second", l.PerSecond)
	d.metrics.countLimitedAttempt(s.sent > 0)
}

// recordEstimates records the estimates by which the endpoint of an attempt was chosen.
func (s *activeRequest) recordEstimates(a decision.Start) {
	d := s.daemon
	d.mu.Lock()
	e, ok := d.gate.Estimates(a.Attempt)
	d.mu.Unlock()
	s.estimates = nil
	if ok {
		s.estimates = &e
		d.metrics.recordEstimates(e)
	}
}

// accept ends the request with the answer of an attempt. A streamed answer has
// already been relayed.
func (s *activeRequest) accept(a decision.Accept) {
	buffered := s.answers[a.Attempt]
	reason := "answered"
	switch {
	case buffered != nil && s.output.started:
		s.output.truncated = true
		reason = "not-whole"
	case buffered != nil:
		reason = "status-" + strconv.Itoa(buffered.status)
		s.output.writeBuffered(s.writer, s.daemon.options.Dialect, buffered)
	}
	s.finish(fescuelatch.OutcomeAnswered, reason, a.Version)
}

// refuse answers that the request has not run and when to retry it.
func (s *activeRequest) refuse(why decision.Reason, after time.Duration) {
	if s.mayHaveRun() {
		s.fail(why)
		return
	}
	s.daemon.writeError(s.writer, http.StatusServiceUnavailable, string(why), max(s.daemon.retryDelay(time.Now(), after), minRetryAfter))
	s.finish(fescuelatch.OutcomeNotRun, string(why), "")
}

// minRetryAfter is the minimum retry delay sent to callers.
const minRetryAfter = 50 * time.Millisecond

// mayHaveRun reports whether any attempt may have run. It must not be called
// during an attempt.
func (s *activeRequest) mayHaveRun() bool { return s.ran.Load() }

// fail ends a request that may have run with an error answer.
func (s *activeRequest) fail(why decision.Reason) {
	status := http.StatusBadGateway
	if why == decision.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	if s.output.started {
		s.output.truncated = true
	} else {
		s.daemon.writeError(s.writer, status, string(why), 0)
	}
	s.finish(fescuelatch.OutcomeUnknown, string(why), "")
}

// drop ends a request whose caller disconnected or whose time is over.
func (s *activeRequest) drop(ctx context.Context) {
	reason, ok := endReason(ctx)
	if !ok {
		s.output.truncated = true
		s.finish(fescuelatch.OutcomeUnknown, codeCallerLeft, "")
		return
	}
	if !s.mayHaveRun() {
		s.refuse(reason, 0)
		return
	}
	s.fail(reason)
}

// endReason returns why the time of a request is over, or false if its caller has left.
func endReason(ctx context.Context) (decision.Reason, bool) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStopping):
		return decision.ReasonStopping, true
	case errors.Is(cause, context.DeadlineExceeded):
		return decision.ReasonDeadline, true
	}
	return "", false
}

// finish records the outcome of the request.
func (s *activeRequest) finish(o fescuelatch.Outcome, reason string, v fescuelatch.VersionID) {
	took := time.Since(s.arrived)
	if o == fescuelatch.OutcomeAnswered {
		s.daemon.durations.observe(s.route.ID, took)
	}
	s.daemon.metrics.countRequest(s.route.ID, o, reason, took)
	args := []any{
		"outcome", o, "reason", reason, "account", s.details.Account, "version", v, "endpoint", s.lastEndpoint,
		"session", s.details.SessionKey != "", "attempts", s.sent, "took", took.String(), "generation", s.config.deployment.Generation,
		"store-age", s.daemon.store.age(time.Now()).Round(time.Millisecond).String(),
	}
	args = append(args, s.output.timing.logAttributes()...)
	if s.estimates != nil {
		args = append(args, "service-time", rounded(s.estimates.ServiceTime), "load", rounded(s.estimates.Load))
	}
	if s.keptReason != "" {
		args = append(args, "kept", s.keptReason)
	}
	if s.lastError != nil {
		args = append(args, "error", s.lastError.Error())
	}
	if o == fescuelatch.OutcomeAnswered {
		s.log("request ended", args...)
		return
	}
	s.daemon.mu.Lock()
	if !s.mayHaveRun() {
		s.daemon.crashes.TrialNotRun(s.details.ID)
	}
	now := time.Now()
	args = append(args, "endpoints", s.daemon.gate.Census(now, s.details.Ladder[0]))
	if s.refusal != "" {
		s.daemon.metrics.countRefusal(s.route.ID, s.refusal)
		args = append(args, "cause", s.refusal, "shortage", s.daemon.gate.Shortage(now, s.details))
	}
	s.daemon.mu.Unlock()
	s.warn("request ended", args...)
}

// rounded returns a number for the log.
func rounded(v float64) float64 { return math.Round(v*100) / 100 }

func (s *activeRequest) log(message string, args ...any) {
	s.daemon.log.Info(message, append([]any{"request", s.call.Call, "route", s.route.ID}, args...)...)
}

func (s *activeRequest) warn(message string, args ...any) {
	s.daemon.log.Warn(message, append([]any{"request", s.call.Call, "route", s.route.ID}, args...)...)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
