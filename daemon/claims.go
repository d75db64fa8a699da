package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/claim"
	"fescuelatch/engine"
)

// This file defines attempts of non-idempotent requests: a claim at the
// platform, then one dispatch.

const (
	// claimTimeout bounds making a claim.
	claimTimeout = time.Second
	// claimBackoff is the pause between claims after one could not be made, so
	// that requests are refused at once while the platform is unavailable.
	claimBackoff = time.Second
)

// recordTimeout bounds the writing of a claim's outcome. The caller is not
// waiting for it.
const recordTimeout = 2 * time.Second

// attemptWithClaim claims the request and then makes the attempt.
func (s *activeRequest) attemptWithClaim(ctx context.Context, t engine.Target, r fescuelatch.AttemptResult, decided time.Time) {
	r.Unsent = true // until it is sent
	if now := time.Now(); !s.daemon.breaker.allow(now) {
		s.conclude(r, &answer{}, &engine.Error{
			Op: "claim", Kind: engine.KindNotStarted, Code: engine.CodePlatformUnavailable,
			RetryAfter: s.daemon.breaker.retryAfter(now), Err: errors.New("the platform is away"),
		})
		return
	}
	l, err := s.daemon.claims.Claim(ctx, s.claimRequest(string(r.Attempt)))
	s.daemon.updateBreaker(ctx, err)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			s.checkPlatform(ctx)
		}
		s.conclude(r, &answer{}, claimError(err))
		return
	}
	if l.State != claim.StateAcquired {
		s.concludeRepeat(r, l)
		return
	}
	if !s.mayStart(ctx, r, decided) || !l.Dispatch() {
		s.releaseClaim(ctx, l)
		s.notStarted(r, errors.New("dispatch delayed for too long after the decision"))
		return
	}
	r.Unsent = false
	v, err := s.send(ctx, t, &r)
	s.daemon.work.run(func() { s.finishClaim(ctx, l, v, err) })
	s.conclude(r, v, err)
}

// claimRequest returns the claim request for this arrival of the request.
func (s *activeRequest) claimRequest(arrival string) claim.Request {
	q := s.call.Request
	return claim.Request{
		Account: q.Account, Key: s.call.ClaimKey,
		Fingerprint: claim.Fingerprint([]byte(string(q.Service) + "/" + string(q.Operation) + "\n" + string(s.call.Body))),
		Claimant:    string(s.daemon.incarnation) + "/" + arrival, Deadline: q.Deadline,
	}
}

// updateBreaker reports the result of a claim or lookup with ctx to the breaker.
// One that ended because its request did tells nothing about the platform.
func (d *Daemon) updateBreaker(ctx context.Context, err error) {
	switch {
	case err == nil, claim.KindOf(err) == claim.KindMismatch:
		d.breaker.succeeded()
	case claim.KindOf(err) == claim.KindNotMade && ctx.Err() == nil:
		d.breaker.failed(time.Now())
	default:
		d.breaker.undecided()
	}
}

// concludeRepeat ends an attempt whose request already has a claim of another
// arrival.
func (s *activeRequest) concludeRepeat(r fescuelatch.AttemptResult, l *claim.Claim) {
	if a, e := earlierAnswer(l); e != nil {
		s.conclude(r, &answer{}, e)
	} else {
		s.conclude(r, &answer{service: a}, nil)
	}
}

// earlierAnswer returns the answer recorded in a claim, or an error that
// explains why there is none.
func earlierAnswer(l *claim.Claim) (*engine.Answer, *engine.Error) {
	switch {
	case l.State == claim.StateFinished && l.Answer != nil && !l.Answer.Omitted:
		return &engine.Answer{Status: l.Answer.Status, ContentType: l.Answer.ContentType, Body: l.Answer.Body}, nil
	case l.State == claim.StateInProgress:
		return nil, &engine.Error{Op: "claim", Kind: engine.KindInProgress, RetryAfter: time.Second}
	default:
		return nil, &engine.Error{Op: "claim", Kind: engine.KindClaimUnknown}
	}
}

// finishClaim records the outcome of a dispatched request. The caller does not
// wait for it, and a failed write is retried in the background.
func (s *activeRequest) finishClaim(ctx context.Context, l *claim.Claim, v *answer, err error) {
	var e *engine.Error
	if errors.As(err, &e) {
		switch e.Kind {
		case engine.KindNotStarted, engine.KindOverloaded, engine.KindRejected:
			l.NotStarted()
			s.releaseClaim(ctx, l)
			return
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err != nil {
		s.logClaimError(l.Finish(ctx, fescuelatch.OutcomeUnknown, nil))
		return
	}
	s.logClaimError(l.Finish(ctx, fescuelatch.OutcomeAnswered, &claim.Answer{
		Status: v.service.Status, ContentType: v.service.ContentType, Body: v.service.Body,
	}))
}

func (s *activeRequest) releaseClaim(ctx context.Context, l *claim.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	s.logClaimError(l.Release(ctx))
}

func (s *activeRequest) logClaimError(err error) {
	if err != nil {
		s.daemon.log.Warn("claim update not recorded yet", "request", s.call.Request.ID, "error", err.Error())
	}
}

// claimError converts a claim failure to an engine error. Nothing was sent for
// this arrival of the request, but a request with an expired key may have run
// before.
func claimError(err error) *engine.Error {
	e := &engine.Error{Op: "claim", Kind: engine.KindNotStarted, Err: err}
	var c *claim.Error
	if errors.As(err, &c) {
		e.RetryAfter = c.RetryAfter
		switch c.Kind {
		case claim.KindNotMade:
			e.Code = engine.CodePlatformUnavailable
		case claim.KindExpired:
			e.Kind = engine.KindClaimUnknown
		default:
			e.Kind, e.Code = engine.KindRejected, engine.CodeRejected
		}
	}
	return e
}
