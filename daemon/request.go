package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/decision"
	"fescuelatch/engine"
	"fescuelatch/openai"
	"fescuelatch/token"
)

// This file defines the processing of one request.

// activeRequest is a request in progress. Only its own goroutine uses fields
// other than actions.
type activeRequest struct {
	daemon  *Daemon
	call    *caller.Call
	reply   *caller.Reply
	actions chan timedAction
	// answers holds the answers of ended attempts, from which the core chooses.
	answers map[fescuelatch.AttemptID]*answer
	started time.Time
	// sink writes the streamed answer; it is nil before one begins.
	sink *sink
	// last is the error of the last failed attempt.
	last *engine.Error
	// mayHaveRun reports that an attempt may have run without an answer.
	mayHaveRun bool
	key        keyLookup
}

// timedAction is an action and the time of its decision.
type timedAction struct {
	decision.Action
	at time.Time
}

// answer is the answer of one attempt.
type answer struct {
	chat    *openai.ChatResponse
	service *engine.Answer
	text    string
	result  fescuelatch.AttemptResult
}

// actionBuffer is the maximum number of pending actions of one request: a
// request has one current attempt, and at most an action to end it.
const actionBuffer = 4

// maxStartDelay bounds the time between the decision to start an attempt and
// its dispatch. If the process was paused in between, the decision is checked
// again.
const maxStartDelay = 250 * time.Millisecond

// Serve implements caller.Backend.
func (d *Daemon) Serve(ctx context.Context, c *caller.Call, r *caller.Reply) {
	d.work.begin()
	defer d.work.end()
	ctx, cancel := context.WithDeadline(ctx, c.Request.Deadline)
	defer cancel()
	s := &activeRequest{
		daemon: d, call: c, reply: r, actions: make(chan timedAction, actionBuffer),
		answers: make(map[fescuelatch.AttemptID]*answer), started: time.Now(),
	}
	s.key.find = func() lookupResult { return s.findClaim(ctx) }
	if !s.billable() || !s.resolveSession(ctx) {
		return
	}
	id := c.Request.ID
	d.mu.Lock()
	d.activeRequests[id] = s
	now := time.Now()
	d.decideLocked(decision.Arrived{
		Request: c.Request, Share: c.Share, Attempt: c.Attempt,
		// Without a claim the request would wait for a slot and then be
		// refused.
		PlatformUnavailable: !c.Request.Idempotent && !d.breaker.admit(now),
		RetryAfter:          d.breaker.retryAfter(now),
	})
	d.mu.Unlock()
	s.run(ctx)
	d.mu.Lock()
	delete(d.activeRequests, id)
	d.mu.Unlock()
}

// billable refuses a request if this daemon has no room for its bill during a
// long outage of the platform.
func (s *activeRequest) billable() bool {
	if s.call.Request.Forwarded || !s.daemon.ledger.Full() {
		return true
	}
	f := caller.Failure{
		Status: http.StatusServiceUnavailable, Code: "bills-full", Outcome: fescuelatch.OutcomeNotRun,
		Message: "this VM can hold no more bills until the platform is back; the request was not run", RetryAfter: billsRetryAfter,
	}
	s.daemon.recordEnd(s, fescuelatch.OutcomeNotRun, f.Code, s.reply.Fail(s.meta(""), f))
	return false
}

// billsRetryAfter is the retry delay sent to callers while there is no room for
// bills.
const billsRetryAfter = 10 * time.Second

// run carries out actions until the request has ended.
func (s *activeRequest) run(ctx context.Context) {
	done := ctx.Done()
	timer := s.lookupTimer()
	var lookup <-chan struct{}
	for {
		select {
		case <-timer:
			timer, lookup = nil, s.key.start()
		case <-lookup:
			lookup, timer = nil, s.handleLookup()
		case a := <-s.actions:
			if s.perform(ctx, a) {
				return
			}
			// The request may wait again.
			timer = s.lookupTimer()
		case <-done:
			done = nil
			expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
			s.daemon.decide(decision.Cancelled{Request: s.call.Request.ID, Expired: expired})
		}
	}
}

// perform carries out one action and reports whether the request has ended.
func (s *activeRequest) perform(ctx context.Context, t timedAction) bool {
	switch a := t.Action.(type) {
	case decision.Start:
		s.start(ctx, a, t.at)
	case decision.Forward:
		s.forward(ctx, a)
	case decision.Rate:
		s.rate(ctx, a)
	case decision.Accept:
		s.accept(ctx, a)
		return true
	case decision.Refuse:
		s.refuse(ctx, a)
		return true
	case decision.Fail:
		s.failUnknown(a)
		return true
	case decision.Drop:
		s.drop(ctx)
		return true
	}
	return false
}

func (s *activeRequest) rate(ctx context.Context, a decision.Rate) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	e := decision.Rated{Request: a.Request, Attempt: a.Attempt, Version: a.Version}
	score, err := s.daemon.options.Rater.Rate(ctx, a.Version, s.call.Chat.Prompt(), s.answers[a.Attempt].text)
	if err == nil {
		e.Rated = true
		e.Score = score
	}
	s.daemon.decide(e)
}

// meta returns the metadata of an answer.
func (s *activeRequest) meta(v fescuelatch.VersionID) caller.Meta {
	m := caller.Meta{Request: s.call.Request.ID, Version: v}
	if v == "" || s.call.Request.Forwarded {
		return m
	}
	t, err := s.daemon.options.Sessions.Sign(token.Claims{
		Account: s.call.Request.Account, Version: v, Session: string(s.call.Request.ID), Issued: s.started,
	})
	if err == nil {
		m.Session = t
	}
	return m
}

func (s *activeRequest) accept(ctx context.Context, a decision.Accept) {
	v := s.answers[a.Attempt]
	if !s.call.Request.Forwarded {
		s.bill(ctx, a, v)
	}
	if a.Health != "" {
		s.daemon.metrics.countVersionAnswer(a.Version, a.Health)
	}
	var err error
	switch {
	case s.sink != nil:
		err = s.sink.finish()
	case v.chat != nil:
		err = s.reply.Chat(s.meta(a.Version), v.chat)
	default:
		err = s.reply.Call(s.meta(""), v.service, a.Attempt)
	}
	s.daemon.recordEnd(s, fescuelatch.OutcomeAnswered, string(a.Version), err)
	if a.Sample {
		s.daemon.rateSample(a.Version, s.call.Chat.Prompt(), v.text)
	}
}

var refusals = []struct {
	reason  decision.Reason
	status  int
	message string
}{
	{decision.ReasonNoVersion, http.StatusForbidden, "no version that the account may use serves this model"},
	{decision.ReasonQuality, http.StatusServiceUnavailable, "no version in service is expected to meet the quality asked for"},
	{decision.ReasonWithdrawn, http.StatusConflict, "the version asked for, or that of this session, has been withdrawn; begin a new session"},
	{decision.ReasonNoCapacity, http.StatusServiceUnavailable, "no capacity is free; the request was not run"},
	{decision.ReasonDeadline, http.StatusServiceUnavailable, "the request cannot be answered before its deadline; it was not run"},
	{decision.ReasonPlatformUnavailable, http.StatusServiceUnavailable, "the request needs a claim and the platform is away; it was not run"},
	{decision.ReasonNoEndpoint, http.StatusServiceUnavailable, "no endpoint serves the request at present; it was not run"},
	{decision.ReasonNotStarted, http.StatusServiceUnavailable, "no endpoint could be reached; the request was not run"},
	{decision.ReasonStopping, http.StatusServiceUnavailable, "this VM accepts no new work; the request was not run"},
	{decision.ReasonNoConfig, http.StatusServiceUnavailable, "no configuration is in force here; the request was not run"},
}

func (s *activeRequest) refuse(ctx context.Context, a decision.Refuse) {
	a, answered := s.answerBeforeRefusal(ctx, a)
	if answered {
		return
	}
	f := caller.Failure{
		Status: http.StatusServiceUnavailable, Code: string(a.Reason), Message: string(a.Reason),
		Outcome: fescuelatch.OutcomeNotRun, RetryAfter: a.RetryAfter,
	}
	for _, r := range refusals {
		if r.reason == a.Reason {
			f.Status = r.status
			f.Message = r.message
		}
	}
	if s.last != nil && s.last.Kind == engine.KindRejected {
		f.Status = http.StatusBadRequest
		f.Code = string(engine.KindRejected)
		f.Message = s.last.Error()
	}
	if f.Status != http.StatusServiceUnavailable {
		f.RetryAfter = 0
	}
	err := s.reply.Fail(s.meta(""), f)
	s.daemon.recordEnd(s, fescuelatch.OutcomeNotRun, f.Code, err)
}

func (s *activeRequest) failUnknown(a decision.Fail) {
	f := caller.Failure{
		Status: http.StatusBadGateway, Code: string(a.Reason), Outcome: fescuelatch.OutcomeUnknown,
		Message: "the answer was lost; the request may have run", RetryAfter: time.Second,
	}
	if s.last != nil && s.last.Kind == engine.KindInProgress {
		f = caller.Failure{
			Status: http.StatusConflict, Code: string(engine.KindInProgress), Outcome: fescuelatch.OutcomeUnknown,
			Message: "a request with the same idempotency key is in progress", RetryAfter: time.Second,
		}
	}
	if s.last != nil && s.last.Kind == engine.KindClaimUnknown {
		f = caller.Failure{
			Status: http.StatusConflict, Code: string(engine.KindClaimUnknown), Outcome: fescuelatch.OutcomeUnknown,
			Message: "an earlier request with the same idempotency key may have run; its outcome is not known",
		}
	}
	var err error
	if s.sink != nil {
		err = s.sink.abort(f)
	} else {
		err = s.reply.Fail(s.meta(""), f)
	}
	s.daemon.recordEnd(s, fescuelatch.OutcomeUnknown, string(a.Reason), err)
}

// answered reports whether an attempt has been answered.
func (s *activeRequest) answered() bool {
	for _, a := range s.answers {
		if a.result.Status == fescuelatch.AttemptAnswered {
			return true
		}
	}
	return false
}

// drop answers a request whose caller disconnected or whose deadline passed
// while it waited. Nothing was sent to an endpoint unless an attempt is
// recorded.
func (s *activeRequest) drop(ctx context.Context) {
	if f, _ := s.key.result(); s.answerRepeat(ctx, f) {
		return
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.daemon.recordEnd(s, fescuelatch.OutcomeUnknown, "caller-left", nil)
		return
	}
	if s.sink != nil || s.mayHaveRun || s.answered() {
		s.failUnknown(decision.Fail{Request: s.call.Request.ID, Reason: decision.ReasonDeadline})
		return
	}
	s.refuse(ctx, decision.Refuse{Request: s.call.Request.ID, Reason: decision.ReasonDeadline, RetryAfter: time.Second})
}
