package direct

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/endpoint"
	"fescuelatch/rollout"
	"fescuelatch/sse"
)

// This file defines one attempt at an endpoint.

const (
	// wholeBytes bounds an answer that is read as a whole before it is passed
	// on. A larger one is passed on as it comes.
	wholeBytes = 1 << 20
	// refusalBytes and refusalPatience bound what is read of the body of a
	// refusal, on which nothing depends.
	refusalBytes    = 16 << 10
	refusalPatience = 50 * time.Millisecond
	// startWithin bounds the time between the decision to start an attempt
	// and its dispatch. A process that was paused in between decides anew.
	startWithin = 250 * time.Millisecond
	// unreadWithin is how long a write to a caller may go on after the end of
	// its request.
	unreadWithin = 150 * time.Millisecond
)

// attempt is one attempt. Its goroutine reads the endpoint's answer and, once
// the core has said so, passes it on to the caller.
type attempt struct {
	serving *serving
	start   decision.Start
	decided time.Time
	ctx     context.Context //nolint:containedctx // It ends with the attempt.
	cancel  context.CancelFunc
	relays  chan struct{}
	done    chan struct{}
	// confidence is the endpoint's own, and failure says that its answer is
	// one, for the log.
	confidence float64
	failure    error
}

func newAttempt(ctx context.Context, s *serving, a decision.Start) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	return &attempt{
		serving: s, start: a, decided: time.Now(), ctx: ctx, cancel: cancel,
		relays: make(chan struct{}), done: make(chan struct{}),
	}
}

// relay lets the answer be passed on.
func (t *attempt) relay() { close(t.relays) }

// stop cancels the attempt and waits until it no longer writes to the caller. A
// caller that does not read would hold it for ever, so its connection is given
// up after a while.
func (t *attempt) stop() {
	t.cancel()
	select {
	case <-t.done:
		return
	case <-time.After(unreadWithin):
	}
	// A deadline that cannot be set means that the connection is gone.
	_ = http.NewResponseController(t.serving.writer).SetWriteDeadline(time.Now())
	t.serving.output.cut = true
	<-t.done
}

// run makes the attempt and tells the core how it ended.
func (t *attempt) run() {
	r := fescuelatch.AttemptResult{Attempt: t.start.Attempt, Endpoint: t.start.Endpoint, Version: t.start.Version}
	began := time.Now()
	err := t.exchange(&r)
	r.Total = time.Since(began)
	if err != nil {
		t.classify(&r, err)
	}
	if r.Status == fescuelatch.AttemptBroken && !t.reachable() {
		r.Gone, r.Unreachable = true, true
	}
	if r.Status != fescuelatch.AttemptNotStarted {
		t.serving.ran.Store(true)
	}
	if err == nil {
		err = t.failure
	}
	t.serving.lastError = err
	t.serving.daemon.metrics.attempted(r)
	close(t.done)
	t.cancel()
	t.serving.daemon.decide(decision.Ended{Request: t.serving.details.ID, Result: r})
}

// moveOn reports whether another attempt takes the place of this one, whose
// endpoint is silent.
func (t *attempt) moveOn() bool {
	d := t.serving.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	moves := d.core.MoveOn(time.Now(), t.serving.details.ID)
	if !moves {
		t.serving.log("endpoint is silent, but no other one may go on", "endpoint", t.start.Endpoint)
	}
	return moves
}

// errRefused is that of an attempt which the endpoint did not run.
var errRefused = errors.New("the endpoint did not run the request")

// errPartialEvent is that of a stream which ends within an event.
var errPartialEvent = errors.New("the stream ends within an event")

// classify sets the status of an attempt that ended with an error.
func (t *attempt) classify(r *fescuelatch.AttemptResult, err error) {
	if errors.Is(err, errRefused) {
		return
	}
	kind := endpoint.KindOf(err)
	r.Unreachable = kind == endpoint.KindUnreachable || kind == endpoint.KindSilent
	switch kind {
	case endpoint.KindUnsent, endpoint.KindUnreachable:
		r.Status = fescuelatch.AttemptNotStarted
		r.Unsent = true
		r.Unreachable = r.Unreachable && t.ctx.Err() == nil
		return
	case endpoint.KindCancelled, endpoint.KindExpired:
		r.Status = fescuelatch.AttemptCancelled
	default:
		r.Status = fescuelatch.AttemptBroken
	}
	if t.ctx.Err() != nil {
		r.Status = fescuelatch.AttemptCancelled
	}
}

// reachable reports whether the endpoint of a broken attempt still takes
// connections. It tells an endpoint that has ended from one that has lost an
// answer.
func (t *attempt) reachable() bool {
	to, ok := t.serving.daemon.inForce.Load().addresses[t.start.Endpoint]
	return ok && t.serving.daemon.endpoints.Reachable(t.ctx, to)
}

// exchange sends the request, and reads and passes on the answer.
func (t *attempt) exchange(r *fescuelatch.AttemptResult) error {
	s := t.serving
	d := s.daemon
	to, ok := d.inForce.Load().addresses[t.start.Endpoint]
	if !ok || time.Since(t.decided) > startWithin {
		return &endpoint.Error{Op: "start", Kind: endpoint.KindUnsent}
	}
	h := fescuelatch.AttemptHeaders{
		Endpoint: t.start.Endpoint, Left: time.Until(s.details.Deadline), LastEvent: s.output.last, Rank: s.details.Rank,
	}
	if s.details.Account != accountPublic {
		h.Account = s.details.Account
	}
	if s.route.Sized {
		h.Model = t.start.Version.Model().Name()
	}
	sent := time.Now()
	a, err := d.endpoints.Do(t.ctx, to, &endpoint.Request{
		Identifier: s.call.Call, Method: s.request.Method, Target: s.request.RequestURI, Host: s.request.Host,
		Header: d.options.Dialect.WriteAttempt(s.request.Header, h), Body: s.body,
		Fresh: !s.details.Idempotent || s.sent > 1, Patience: t.start.Patience.First,
		GivesUp: t.moveOn,
	})
	if err != nil {
		return err //nolint:wrapcheck // Its kind decides.
	}
	defer a.Close()
	said := a.Said
	t.report(said, sent)
	if said.NotRun || a.Status == http.StatusMisdirectedRequest {
		return t.refused(a, r, said)
	}
	t.confidence = said.Confidence
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") && a.Status < http.StatusMultipleChoices {
		return t.stream(a, r, said, sent)
	}
	return t.answer(a, r, said, sent)
}

// report tells the core what the endpoint says of itself.
func (t *attempt) report(said fescuelatch.AnswerHeaders, sent time.Time) {
	l := said.Load
	l.Endpoint, l.Generated = t.start.Endpoint, sent
	if said.Leaving {
		l.State = fescuelatch.EndpointLeaving
		t.serving.log("endpoint says that it is leaving", "endpoint", t.start.Endpoint)
	}
	if said.Reported || said.Leaving {
		t.serving.daemon.decide(decision.Reported{Report: l})
	}
}

// refused ends an attempt that the endpoint did not run.
func (t *attempt) refused(a *endpoint.Answer, r *fescuelatch.AttemptResult, said fescuelatch.AnswerHeaders) error {
	// The rest is read so that the connection can be used again, unless it is
	// long or slow. What cannot be read changes nothing.
	a.SetPatience(refusalPatience)
	_, _ = io.Copy(io.Discard, io.LimitReader(a, refusalBytes))
	r.Status = fescuelatch.AttemptNotStarted
	r.Misplaced = a.Status == http.StatusMisdirectedRequest
	r.Overloaded = overloaded(a.Status)
	r.RetryAfter = retryAfter(a.Status, said)
	return errors.Wrapf(errRefused, "status %d", a.Status)
}

// retryAfter returns the time for which an endpoint wants no work, which only a
// refusal for want of capacity tells.
func retryAfter(status int, said fescuelatch.AnswerHeaders) time.Duration {
	if !overloaded(status) {
		return 0
	}
	return said.RetryAfter
}

// overloaded reports whether a status refuses a request for want of capacity.
func overloaded(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// answer reads an answer that is no stream of events.
func (t *attempt) answer(a *endpoint.Answer, r *fescuelatch.AttemptResult, said fescuelatch.AnswerHeaders, sent time.Time) error {
	b, err := io.ReadAll(io.LimitReader(a, wholeBytes))
	if err != nil {
		return err //nolint:wrapcheck // Its kind decides.
	}
	r.FirstToken = time.Since(sent)
	if len(b) == wholeBytes {
		return t.pass(a, r, b)
	}
	failed := a.Status >= http.StatusInternalServerError || promisesNotRun(a.Status)
	r.RetryAfter = retryAfter(a.Status, said)
	t.observe(r, failed)
	t.serving.keep(t.start.Attempt, &wholeAnswer{status: a.Status, header: a.Header, body: b})
	if failed {
		r.Status = fescuelatch.AttemptFailed
		t.failure = errors.Errorf("the endpoint answered with status %d", a.Status)
		return nil
	}
	if !t.open(said) {
		return t.ctx.Err()
	}
	r.Status = fescuelatch.AttemptAnswered
	return nil
}

// pass passes on an answer that is too large to be held.
func (t *attempt) pass(a *endpoint.Answer, r *fescuelatch.AttemptResult, head []byte) error {
	if !t.open(fescuelatch.AnswerHeaders{}) {
		return t.ctx.Err()
	}
	s := t.serving
	s.output.begin(s.writer, s.daemon.options.Dialect, a)
	if _, err := s.writer.Write(head); err != nil { //nolint:gosec // The endpoint's answer passes unchanged.
		return err //nolint:wrapcheck // The caller has left.
	}
	if _, err := io.Copy(s.writer, a); err != nil {
		return err //nolint:wrapcheck // Its kind decides.
	}
	r.Status = fescuelatch.AttemptAnswered
	return nil
}

// stream passes on a stream of events, each as soon as it is whole.
func (t *attempt) stream(a *endpoint.Answer, r *fescuelatch.AttemptResult, said fescuelatch.AnswerHeaders, sent time.Time) error {
	if !t.open(said) {
		return t.ctx.Err()
	}
	s := t.serving
	events := sse.NewScanner(a)
	patience := t.start.Patience.First
	for {
		a.SetPatience(patience)
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err //nolint:wrapcheck // Its kind decides.
		}
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(sent)
			t.observe(r, false)
		}
		patience = t.start.Patience.Gap
		s.output.begin(s.writer, s.daemon.options.Dialect, a)
		s.output.pace.event(time.Now(), s.arrived)
		if err := s.output.event(s.writer, e, !events.Buffered()); err != nil {
			t.cancel()
			return err
		}
	}
	s.output.begin(s.writer, s.daemon.options.Dialect, a)
	if len(events.Rest()) > 0 {
		return errPartialEvent
	}
	r.Status = fescuelatch.AttemptAnswered
	return nil
}

// open tells the core that the answer has begun, and waits until it may be
// passed on. It reports false when the attempt was ended instead.
func (t *attempt) open(said fescuelatch.AnswerHeaders) bool {
	t.serving.daemon.decide(decision.Opened{
		Request: t.serving.details.ID, Attempt: t.start.Attempt, Confidence: said.Confidence, Rated: said.Rated,
	})
	select {
	case <-t.relays:
		return true
	case <-t.ctx.Done():
		return false
	}
}

func (t *attempt) observe(r *fescuelatch.AttemptResult, failed bool) {
	t.serving.daemon.observe(t.start.Version, rollout.Answer{
		Route: t.serving.route.ID, Failed: failed, Latency: r.FirstToken,
	})
}

// promisesNotRun reports whether a status would tell the caller that its
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
