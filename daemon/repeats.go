package daemon

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/claim"
	"fescuelatch/decision"
	"fescuelatch/engine"
)

// This file defines how a request that waits for capacity, or is refused for
// lack of it, finds out whether its idempotency key was used before. A request
// that starts finds out by its claim. So the platform is queried once more only
// for keys of requests that wait, and no caller waits for capacity that its
// request does not need.

const (
	// lookupDelay is how long a request waits for capacity before its key is
	// looked up. Most requests start sooner.
	lookupDelay = 2 * tickInterval
	// lookupTimeout bounds how long a refusal waits for the lookup.
	lookupTimeout = 250 * time.Millisecond
)

// lookupResult is the result of a key lookup: the claim of an earlier request,
// the reason why this request cannot claim the key, or neither.
type lookupResult struct {
	claim *claim.Claim
	err   error
}

// conclusive reports whether the result answers the request.
func (f lookupResult) conclusive() bool {
	return f.claim != nil || f.err != nil
}

// needsLookup reports whether to look up the key, which only the daemon that
// the caller sent the request to does.
func (s *activeRequest) needsLookup() bool {
	q := s.call.Request
	return s.call.Key != "" && !q.Idempotent && !q.Forwarded && !s.lookedUp
}

// findClaim looks up the key at the platform.
func (s *activeRequest) findClaim(ctx context.Context) lookupResult {
	if ctx.Err() != nil || !s.daemon.breaker.allow(time.Now()) {
		return lookupResult{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	l, err := s.daemon.claims.Find(ctx, s.claimRequest("look"))
	if claim.KindOf(err) == claim.KindNotMade {
		// A claim has a longer timeout, so this failure does not imply that one
		// would fail.
		s.daemon.breaker.undecided()
		return lookupResult{}
	}
	s.daemon.updateBreaker(err)
	return lookupResult{l, err}
}

// lookupTimer returns a channel that receives when the key is to be looked up,
// or nil if it is not.
func (s *activeRequest) lookupTimer() <-chan time.Time {
	if !s.needsLookup() {
		return nil
	}
	return time.After(lookupDelay)
}

// startLookup looks up the key in the background.
func (s *activeRequest) startLookup(ctx context.Context) chan lookupResult {
	s.lookedUp = true
	looked := make(chan lookupResult, 1)
	go func() { looked <- s.findClaim(ctx) }()
	return looked
}

// startsAttempt reports whether an action makes a claim, which itself detects
// an earlier request.
func startsAttempt(a decision.Action) bool {
	switch a.(type) {
	case decision.Start, decision.Forward:
		return true
	}
	return false
}

// handleLookup ends the wait of a request that the lookup answers.
func (s *activeRequest) handleLookup(f lookupResult) {
	if f.conclusive() {
		s.lookup = f
		s.daemon.decide(decision.Cancelled{Request: s.call.Request.ID})
	}
}

// answer returns the answer of the earlier request, or an error that explains
// why there is none.
func (f lookupResult) answer() (*engine.Answer, *engine.Error) {
	if f.err != nil {
		return nil, claimError(f.err)
	}
	return earlierAnswer(f.claim)
}

// answerRepeat answers the request from a lookup result and reports whether
// that was possible.
func (s *activeRequest) answerRepeat(ctx context.Context, f lookupResult) bool {
	if !f.conclusive() {
		return false
	}
	id := s.call.Request.ID
	a, e := f.answer()
	switch {
	case e == nil:
		// All repeats of a key share one bill.
		s.bill(ctx, decision.Accept{Request: id, Attempts: 1}, &answer{service: a})
		err := s.reply.Call(s.meta(""), a, "")
		s.daemon.recordEnd(s, fescuelatch.OutcomeAnswered, "repeat", err)
	case e.Kind == engine.KindRejected:
		s.last = e
		s.refuse(ctx, decision.Refuse{Request: id, Reason: decision.ReasonRejected})
	default:
		s.last = e
		s.failUnknown(decision.Fail{Request: id, Reason: decision.ReasonBroken})
	}
	return true
}
