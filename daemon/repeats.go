package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"fescuelatch"
	"fescuelatch/claim"
	"fescuelatch/decision"
	"fescuelatch/engine"
)

// This file defines how a request that waits for capacity, or is refused for
// lack of it, finds out whether its idempotency key was used before. A request
// that starts finds out by its claim. While a request waits, the daemon in whose
// queue it is looks the key up; the daemon that forwarded it does not know
// whether it waits. Before a refusal, the daemon that the caller sent the
// request to looks the key up. So the platform is queried once more only for
// keys of requests that wait or are refused.

const (
	// lookupDelay is how long a request waits for capacity before its key is
	// looked up. Most requests start sooner.
	lookupDelay = 2 * tickInterval
	// lookupRetryInterval is the pause after a failed lookup for a waiting
	// request. The breaker allows no earlier lookup.
	lookupRetryInterval = claimBackoff
	// lookupTimeout bounds how long a refusal waits for a lookup.
	lookupTimeout = 250 * time.Millisecond
	// lookupValidity is the age up to which a refusal relies on a lookup that
	// found no earlier request.
	lookupValidity = time.Second
)

// lookupResult is the result of a key lookup: the claim of an earlier request,
// the reason why this request cannot claim the key, or neither. If failed is
// set, it is not known whether there was an earlier request.
type lookupResult struct {
	claim  *claim.Claim
	err    error
	failed bool
}

// conclusive reports whether the result answers the request.
func (f lookupResult) conclusive() bool {
	return f.claim != nil || f.err != nil
}

// keyLookup looks up the key of one request, one lookup at a time. It is safe
// for concurrent use.
type keyLookup struct {
	find func() lookupResult

	mu sync.Mutex
	// last is the result of the last lookup that ended, and began its start;
	// began is zero before that.
	last  lookupResult
	began time.Time
	// ended is closed at the end of the current lookup; nil if there is none.
	ended chan struct{}
}

// start begins a lookup, unless one is in progress, and returns a channel that
// is closed when it has ended.
func (k *keyLookup) start() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended == nil {
		k.ended = make(chan struct{})
		go k.run(time.Now(), k.ended)
	}
	return k.ended
}

func (k *keyLookup) run(began time.Time, ended chan struct{}) {
	f := k.find()
	k.mu.Lock()
	k.last, k.began, k.ended = f, began, nil
	k.mu.Unlock()
	close(ended)
}

// result returns the last result and the start of its lookup, or zero values.
func (k *keyLookup) result() (lookupResult, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.last, k.began
}

// known reports whether a lookup has succeeded.
func (k *keyLookup) known() bool {
	f, began := k.result()
	return !began.IsZero() && !f.failed
}

// beforeRefusal returns the result that a refusal relies on. If the last one
// neither answers the request nor is recent, it waits for a lookup, also for one
// that is in progress, until lookupTimeout or the end of ctx.
func (k *keyLookup) beforeRefusal(ctx context.Context) lookupResult {
	f, began := k.result()
	if ctx.Err() != nil || f.conclusive() || !f.failed && time.Since(began) < lookupValidity {
		return f
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	select {
	case <-k.start():
		f, _ = k.result()
		return f
	case <-ctx.Done():
		return lookupResult{failed: true}
	}
}

// hasKey reports whether the request has an idempotency key that must run only
// once.
func (s *activeRequest) hasKey() bool {
	return s.call.Key != "" && !s.call.Request.Idempotent
}

// findClaim looks up the key at the platform. The lookup continues after the
// end of the request, so that its result tells the breaker about the platform.
func (s *activeRequest) findClaim(ctx context.Context) lookupResult {
	if !s.daemon.breaker.allow(time.Now()) {
		return lookupResult{failed: true}
	}
	ctx = context.WithoutCancel(ctx)
	l, err := s.daemon.claims.Find(ctx, s.claimRequest("look"))
	s.daemon.updateBreaker(ctx, err)
	switch {
	case claim.KindOf(err) == claim.KindNotMade:
		return lookupResult{failed: true}
	case l != nil && s.isOwnClaim(l):
		return lookupResult{}
	}
	return lookupResult{claim: l, err: err}
}

// checkPlatform looks up the key in the background for the breaker, since the claim
// had less time than one may take. One such lookup runs at a time.
func (s *activeRequest) checkPlatform(ctx context.Context) {
	if s.daemon.checkingPlatform.CompareAndSwap(false, true) {
		s.daemon.work.run(func() {
			defer s.daemon.checkingPlatform.Store(false)
			s.findClaim(ctx)
		})
	}
}

// isOwnClaim reports whether a claim was made by an attempt of this request,
// here or at another daemon. It may not be released yet.
func (s *activeRequest) isOwnClaim(l *claim.Claim) bool {
	id := string(s.call.Request.ID)
	if s.call.Request.Forwarded {
		id = requestOfAttempt(id)
	}
	return strings.HasSuffix(requestOfAttempt(l.Claimant), "/"+id)
}

// requestOfAttempt returns s, which ends with the identifier of an attempt,
// without the attempt's number.
func requestOfAttempt(s string) string {
	return s[:max(strings.LastIndexByte(s, '.'), 0)]
}

// lookupTimer returns a channel that receives when the key of a waiting request
// is to be looked up, or nil if it need not be.
func (s *activeRequest) lookupTimer() <-chan time.Time {
	if !s.hasKey() || s.key.known() {
		return nil
	}
	return time.After(lookupDelay)
}

// handleLookup ends the wait of a request that the last lookup answers. After a
// failed lookup it returns a channel that receives when to look up again.
func (s *activeRequest) handleLookup() <-chan time.Time {
	f, _ := s.key.result()
	if f.conclusive() {
		s.daemon.decide(decision.Cancelled{Request: s.call.Request.ID})
	}
	if f.failed {
		return time.After(lookupRetryInterval)
	}
	return nil
}

// answerBeforeRefusal looks up the key of a request that is to be refused and
// answers a repeat. Otherwise it returns the refusal, which does not claim a
// lack of capacity if it is not known whether the request is a repeat.
func (s *activeRequest) answerBeforeRefusal(ctx context.Context, a decision.Refuse) (decision.Refuse, bool) {
	if !s.hasKey() || s.call.Request.Forwarded || a.Reason == decision.ReasonRejected {
		return a, false
	}
	f := s.key.beforeRefusal(ctx)
	if s.answerRepeat(ctx, f) {
		return a, true
	}
	if f.failed {
		a.Reason = decision.ReasonPlatformUnavailable
		a.RetryAfter = max(a.RetryAfter, s.daemon.breaker.retryAfter(time.Now()))
	}
	return a, false
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
		if !s.call.Request.Forwarded {
			// All repeats of a key share one bill.
			s.bill(ctx, decision.Accept{Request: id, Attempts: 1}, &answer{service: a})
		}
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
