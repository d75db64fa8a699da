package direct

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/endpoint"
	"fescuelatch/rollout"
	"fescuelatch/sse"
)

// This file defines an attempt at an endpoint.

const (
	// maxBufferedBytes bounds an answer that is buffered before it is relayed.
	// A larger one is relayed as it arrives.
	maxBufferedBytes = 1 << 20
	// minBufferBytes is the size of the smallest buffer.
	minBufferBytes = 4 << 10
	// maxRefusalBytes and refusalTimeout bound how much of a refusal's body is
	// read. Its content is not used.
	maxRefusalBytes = 16 << 10
	refusalTimeout  = 50 * time.Millisecond
	// startTimeout bounds the time between the decision to start an attempt
	// and its dispatch. A process that was paused in between decides again.
	startTimeout = 250 * time.Millisecond
	// endCheckTimeout bounds the question that shows whether an answer that ended with its
	// connection is whole, and endCheckInterval is the time between two tries.
	endCheckTimeout  = 500 * time.Millisecond
	endCheckInterval = 20 * time.Millisecond
	// finalWriteTimeout is how long a write to a caller may continue after its
	// request has ended. It is checked at half of this time and at its end.
	finalWriteTimeout = 150 * time.Millisecond
)

// attempt is one attempt. Its goroutine reads the endpoint's answer and relays
// it once the core permits it. Until then it does not use the request's output, to
// which another attempt may be writing.
type attempt struct {
	request *activeRequest
	start   decision.Start
	// from is what the caller had received when the attempt was made.
	from received
	// fresh requires a new or recently used connection.
	fresh bool
	// delegate is the daemon through which the attempt is made, or empty for one at
	// an endpoint; it may send the request to a number of allowed endpoints. servedBy is
	// the endpoint that it names in its answer.
	delegate fescuelatch.VMID
	allowed  int
	servedBy fescuelatch.EndpointID
	// process is the endpoint's process, or empty if it was not known at the start.
	process fescuelatch.EndpointProcess
	// address is where the attempt was sent, and number its place among those of this daemon.
	address  netip.AddrPort
	number   int
	decided  time.Time
	ctx      context.Context //nolint:containedctx // It ends with the attempt.
	cancel   context.CancelFunc
	mayRelay chan struct{}
	done     chan struct{}
	// relays reports that the attempt was permitted to relay the answer.
	relays bool
	// contested reports that the attempt was unresponsive, so that a hedge may have
	// replaced it.
	contested bool
	// replaced is set before the attempt is stopped if its hedge has answered.
	replaced bool
	// confidence and failure are, for the log, the confidence that the endpoint
	// reported and the error if its status is a failure.
	confidence float64
	failure    error
	// ended reports that the request has taken note of the attempt's end. err, why the attempt
	// has not succeeded, is set when it ends.
	ended bool
	err   error
	// resumes reports that the caller has received a part of an earlier answer.
	resumes bool
	// observed reports that the answer has counted as evidence on its release.
	observed bool
	// maybeCut reports that the answer is perhaps not whole: it ended with its connection and
	// had no body, or it is not known whether the endpoint still runs.
	maybeCut bool
	// endpointEnd is what was found when the endpoint's process had ended.
	endpointEnd endpointEnd
	// reported reports that the request was reported as a suspect in a crash. It is guarded
	// by the lock of the daemon.
	reported bool
	status   int // of the answer
	// transferred is the traffic with the endpoint, in bytes.
	transferred int
	pace        paceMeter
	progress    answerProgress
}

func newAttempt(ctx context.Context, s *activeRequest, a decision.Start, from received) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	return &attempt{
		request: s, start: a, from: from, fresh: !s.details.Idempotent || s.sent > 1, number: s.sent + 1,
		decided: time.Now(), ctx: ctx, cancel: cancel,
		mayRelay: make(chan struct{}), done: make(chan struct{}),
	}
}

// relay permits the attempt to relay the answer.
func (t *attempt) relay() { close(t.mayRelay) }

// stop cancels the attempt and waits until it no longer writes to the caller. A caller
// that does not read would block it indefinitely, so its connection is aborted. A hedge
// writes nothing: a write in progress is that of the current attempt.
func (t *attempt) stop(hedge bool) {
	began := time.Now()
	t.cancel()
	if hedge {
		<-t.done
		return
	}
	if !t.request.writer.awaitBlocked(t.done, finalWriteTimeout/2) {
		return
	}
	t.request.writer.abort()
	t.request.output.truncated = true
	<-t.done
	t.request.warn("connection to a caller that does not read is aborted", "attempt", t.start.Attempt, "waited", time.Since(began).String())
	t.request.daemon.metrics.abortedCallers.Inc(1)
}

// run makes the attempt and reports its result to the core.
func (t *attempt) run() {
	r := fescuelatch.AttemptResult{Attempt: t.start.Attempt, Endpoint: t.start.Endpoint, Version: t.start.Version}
	began := time.Now()
	t.findProcess()
	err := t.exchange(&r)
	r.Total = time.Since(began)
	if err != nil {
		t.classify(&r, err)
	}
	if r.Status == fescuelatch.AttemptBroken && t.delegate == "" && !r.Replaced {
		t.examineBreak(&r, err)
	}
	r.Final = !t.received().continuable()
	if r.Status != fescuelatch.AttemptNotStarted {
		t.request.ran.Store(true)
	}
	t.observeEnd(r, began)
	if t.completed(&r) {
		t.progress.shown = answerLasts
		t.answered()
	}
	t.recordEnd(&r, err)
	if err == nil {
		err = t.failure
	}
	t.err = err
	if t.delegate == "" {
		t.request.daemon.metrics.countAttempt(r)
	} else {
		t.request.daemon.metrics.countDelegated(r)
	}
	close(t.done)
	t.cancel()
	t.recordTraffic(r)
	t.request.daemon.decide(decision.Ended{Request: t.request.details.ID, Result: r})
}

// findProcess sets the process of the endpoint.
func (t *attempt) findProcess() {
	if t.delegate != "" {
		return
	}
	d := t.request.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	t.process, _ = d.storeView.registeredProcess(t.start.Endpoint)
}

// connected records that the endpoint is about to get the request. If its process refuses
// connections later, it may be what ended it.
func (t *attempt) connected() {
	if t.process.Endpoint == "" {
		return
	}
	d := t.request.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running.add(t)
}

// completed reports whether an attempt ended with an answer, that of an endpoint itself, which
// was not reported to have lasted and cannot have been cut off.
func (t *attempt) completed(r *fescuelatch.AttemptResult) bool {
	answered := r.Status == fescuelatch.AttemptAnswered || r.Status == fescuelatch.AttemptFailed && t.status >= http.StatusInternalServerError
	return answered && t.delegate == "" && !t.maybeCut && t.progress.shown < answerLasts
}

// errRefused means that the endpoint did not run the attempt.
var errRefused = errors.New("the endpoint did not run the request")

// errContradicted means that an endpoint has written more than the refusal of the attempt,
// which therefore may have run.
var errContradicted = errors.New("the endpoint has written more than its refusal")

// errForeign means that an answer is not that of an endpoint, which may have run the request.
var errForeign = errors.New("the answer has no signature of an endpoint")

// errPartialEvent means that a stream ended within an event.
var errPartialEvent = errors.New("the stream ends within an event")

// errNoEvent means that a stream ended before its first event. If its body has no length,
// that is how the crash of the endpoint appears, also of one that resumes a stream.
var errNoEvent = errors.New("the stream ends before its first event")

// classify sets the status of an attempt that ended with an error.
func (t *attempt) classify(r *fescuelatch.AttemptResult, err error) {
	if errors.Is(err, errRefused) {
		return
	}
	if errors.Is(err, errReplaced) || t.ctx.Err() != nil && t.replaced {
		r.Status, r.Replaced, r.EndpointGone = fescuelatch.AttemptBroken, true, t.endpointEnd.gone
		return
	}
	kind := endpoint.KindOf(err)
	r.Unreachable = kind == endpoint.KindUnreachable || kind == endpoint.KindInactive
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

// exchange sends the request, and reads and relays the answer.
func (t *attempt) exchange(r *fescuelatch.AttemptResult) error {
	s := t.request
	to, ok := t.destination()
	if !ok || time.Since(t.decided) > startTimeout {
		return &endpoint.Error{Op: "start", Kind: endpoint.KindUnsent}
	}
	t.address = to.address
	sent := time.Now()
	a, err := to.client.Do(t.ctx, to.address, &endpoint.Request{
		Identifier: s.call.Call, Method: s.incoming.Method, Target: s.incoming.RequestURI, Host: s.incoming.Host,
		Header: to.header, Body: s.body.Segments(),
		Transferred: &t.transferred,
		Fresh:       t.fresh, InactivityTimeout: t.start.Timeouts.First,
		Connected: t.connected, Inactive: t.unresponsive,
	})
	if err != nil {
		return err //nolint:wrapcheck // classify needs its kind.
	}
	defer a.Close()
	headers := a.Decoded
	if t.delegate != "" {
		t.servedBy = headers.ServedBy
		headers.Rated = false // The other daemon has decided on this answer.
	}
	if t.foreign(a.Status, headers) {
		return errForeign
	}
	t.reportLoad(headers, sent)
	t.reportLimit(a.Status, headers, sent)
	t.reportBrittle(a.Status, headers, sent)
	if t.refused(a.Status, headers) {
		return t.finishRefused(a, r, headers)
	}
	t.confidence, t.status = headers.Confidence, a.Status
	t.progress.begun = true
	if t.resumes = t.from.started; t.resumes && !t.from.continues(a) {
		t.failContinuation(a, r, headers)
		return nil
	}
	if isStream(a) {
		return t.relayStream(a, r, headers, sent)
	}
	return t.readAnswer(a, r, headers, sent)
}

// destination is where an attempt is sent.
type destination struct {
	client  *endpoint.Client
	address netip.AddrPort
	header  http.Header
}

// destination returns where the attempt is sent, or false if that is no longer known.
func (t *attempt) destination() (destination, bool) {
	s := t.request
	d := s.daemon
	left := time.Until(s.details.Deadline)
	if t.delegate != "" {
		to, state, ok := d.delegateOf(t.delegate)
		h := fescuelatch.DelegatedHeaders{TimeLeft: left, LastEvent: t.from.lastEvent, Attempts: max(0, s.details.MaxAttempts-t.allowed), State: state}
		return destination{d.delegateFronts, to, d.options.Dialect.WriteDelegated(s.incoming.Header, h)}, ok
	}
	to, ok := d.active.Load().addresses[t.start.Endpoint]
	h := fescuelatch.AttemptHeaders{Endpoint: t.start.Endpoint, TimeLeft: left, LastEvent: t.from.lastEvent, Rank: s.details.Rank}
	if s.details.Account != accountPublic {
		h.Account = s.details.Account
	}
	if s.route.Sized {
		h.Model = t.start.Version.Model().Name()
	}
	return destination{d.endpoints, to, d.options.Dialect.WriteAttempt(s.incoming.Header, h)}, ok
}

// endpoint returns the endpoint that answers the attempt, or none if another daemon has
// not named it.
func (t *attempt) endpoint() fescuelatch.EndpointID {
	if t.delegate != "" {
		return t.servedBy
	}
	return t.start.Endpoint
}

// reportLoad passes the endpoint's reported load and state to the core.
func (t *attempt) reportLoad(headers fescuelatch.AnswerHeaders, sent time.Time) {
	l := headers.Load
	l.Endpoint, l.Generated = t.endpoint(), sent
	if headers.Leaving {
		l.State = fescuelatch.EndpointLeaving
		t.request.log("endpoint says that it is leaving", "endpoint", t.endpoint())
	}
	if headers.Reported || headers.Leaving {
		t.request.daemon.decide(decision.Reported{Report: l})
	}
}

// reportLimit passes the endpoint's statement on its request rate to the gate.
func (t *attempt) reportLimit(status int, headers fescuelatch.AnswerHeaders, sent time.Time) {
	if status == http.StatusMisdirectedRequest {
		return // Another endpoint has answered.
	}
	if headers.Limit == nil {
		t.request.warn("rate limit of an endpoint cannot be read", "endpoint", t.endpoint())
		return
	}
	d := t.request.daemon
	d.mu.Lock()
	changed := d.gate.SetLimit(time.Now(), sent, t.endpoint(), *headers.Limit)
	if changed {
		d.signalPermitsLocked()
	}
	d.mu.Unlock()
	if changed {
		t.request.log("endpoint has changed its rate limit", "endpoint", t.endpoint(),
			"limited", headers.Limit.Limited, "per-second", headers.Limit.PerSecond)
	}
}

// reportBrittle passes on whether the endpoint says that it is brittle.
func (t *attempt) reportBrittle(status int, headers fescuelatch.AnswerHeaders, sent time.Time) {
	if status == http.StatusMisdirectedRequest || t.endpoint() == "" {
		return
	}
	d := t.request.daemon
	d.mu.Lock()
	changed := d.gate.SetBrittle(sent, t.endpoint(), headers.Brittle)
	if changed {
		d.metrics.brittle.Update(float64(d.gate.BrittleEndpoints()))
	}
	d.signalPermitsLocked()
	d.mu.Unlock()
	if changed {
		t.request.log("endpoint says whether it is brittle", "endpoint", t.endpoint(), "brittle", headers.Brittle, "max-rejected", headers.MaxRejected)
	}
}

// finishRefused sets the result of an attempt that was not run.
func (t *attempt) finishRefused(a *endpoint.Answer, r *fescuelatch.AttemptResult, headers fescuelatch.AnswerHeaders) error {
	// The body is read for reuse of the connection, unless it is long or slow.
	// Read errors do not matter.
	_ = a.Discard(maxRefusalBytes, refusalTimeout)
	if a.Trailing() {
		return errContradicted
	}
	r.Status = fescuelatch.AttemptNotStarted
	if t.delegate != "" && !headers.State.IsZero() {
		// The request has reached no endpoint.
		r.Unsent = true
		t.request.daemon.refusedForState(t.delegate, headers.State)
		return errors.Wrapf(errRefused, "the request needs a newer state than %+v of the other daemon", headers.State)
	}
	r.WrongEndpoint = a.Status == http.StatusMisdirectedRequest
	r.Overloaded = overloaded(a.Status)
	r.RetryAfter = retryAfter(a.Status, headers)
	return errors.Wrapf(errRefused, "status %d", a.Status)
}

// retryAfter returns how long an endpoint asks to receive no requests. Only a
// refusal for lack of capacity carries this time.
func retryAfter(status int, headers fescuelatch.AnswerHeaders) time.Duration {
	if !overloaded(status) {
		return 0
	}
	return headers.RetryAfter
}

// overloaded reports whether a status refuses a request for lack of capacity.
func overloaded(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// readAnswer reads an answer that is not a stream of events.
func (t *attempt) readAnswer(a *endpoint.Answer, r *fescuelatch.AttemptResult, headers fescuelatch.AnswerHeaders, sent time.Time) error {
	b, whole, err := t.readBuffered(a)
	if err != nil {
		return err
	}
	r.FirstToken = time.Since(sent)
	failed := a.Status >= http.StatusInternalServerError || impliesNotRun(a.Status)
	if !whole {
		return t.readLarge(a, r, b, failed, sent)
	}
	t.maybeCut = len(b) == 0 && !a.Framed
	end := t.checkEnd(a)
	last := errors.Is(end, errLast)
	if end != nil && !last {
		return end
	}
	r.RetryAfter = retryAfter(a.Status, headers)
	t.observe(outcomeOf(failed), sent, r.FirstToken)
	t.request.storeAnswer(t.start.Attempt, &bufferedAnswer{status: a.Status, header: a.Header, body: b})
	if failed {
		r.Status, t.failure = fescuelatch.AttemptFailed, t.errFailed(a.Status)
		return nil
	}
	if last {
		r.Status, t.failure = fescuelatch.AttemptFailed, end
		return nil
	}
	if !t.awaitRelay(headers) {
		return t.ctx.Err()
	}
	r.Status = fescuelatch.AttemptAnswered
	return nil
}

// readBuffered reads an answer, and reports whether that is the whole one: a large one is read
// only in part, and all together are held only as far as there is memory for them.
func (t *attempt) readBuffered(a *endpoint.Answer) (b []byte, whole bool, err error) {
	b = make([]byte, 0, minBufferBytes)
	for {
		n, err := a.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b, true, nil
		case err != nil:
			return nil, false, err //nolint:wrapcheck // classify needs its kind.
		case len(b) < cap(b):
			continue
		}
		larger := min(2*cap(b), maxBufferedBytes)
		if larger == cap(b) {
			return b, false, nil
		}
		if !t.request.buffer.grow(cap(b), larger) {
			t.request.log("answers take too much memory; this one is passed on as it arrives", "attempt", t.start.Attempt, "endpoint", t.endpoint(), "bytes", len(b))
			return b, false, nil
		}
		b = append(make([]byte, 0, larger), b...)
	}
}

// readLarge reads the rest of an answer that is too large to buffer. A failure is dropped if other
// attempts may answer the request, or if the caller gets another status. Anything else is relayed.
func (t *attempt) readLarge(a *endpoint.Answer, r *fescuelatch.AttemptResult, head []byte, failed bool, sent time.Time) error {
	r.RetryAfter = retryAfter(a.Status, a.Decoded)
	t.observe(outcomeOf(failed), sent, r.FirstToken)
	if failed && (t.request.details.Idempotent || impliesNotRun(a.Status)) {
		t.request.storeAnswer(t.start.Attempt, &bufferedAnswer{status: http.StatusBadGateway})
		r.Status, t.failure = fescuelatch.AttemptFailed, t.errFailed(a.Status)
		return nil
	}
	if err := t.relayLarge(a, head); err != nil {
		return err
	}
	r.Status = fescuelatch.AttemptAnswered
	if failed {
		r.Status, r.Relayed, t.failure = fescuelatch.AttemptFailed, true, t.errFailed(a.Status)
	}
	return nil
}

// relayLarge relays an answer that is too large to buffer.
func (t *attempt) relayLarge(a *endpoint.Answer, head []byte) error {
	if !t.awaitRelay(fescuelatch.AnswerHeaders{}) {
		return t.ctx.Err()
	}
	s := t.request
	s.output.writeHeader(s.writer, s.daemon.options.Dialect, a)
	if _, err := s.writer.Write(head); err != nil { //nolint:gosec // The endpoint's answer is relayed unchanged.
		return err //nolint:wrapcheck // The caller has disconnected.
	}
	s.buffer.releaseAll()
	if _, err := io.Copy(s.writer, a); err != nil {
		return err //nolint:wrapcheck // classify needs its kind.
	}
	if err := t.checkEnd(a); !errors.Is(err, errLast) {
		return err
	}
	return nil
}

// errFailed returns the failure of an attempt that was answered with a status.
func (t *attempt) errFailed(status int) error {
	if t.delegate != "" {
		return errors.Errorf("the other daemon answered with status %d", status)
	}
	return errors.Errorf("the endpoint answered with status %d", status)
}

// outcomeOf returns what an answer shows of its release.
func outcomeOf(failed bool) rollout.Outcome {
	if failed {
		return rollout.OutcomeFailed
	}
	return rollout.OutcomeAnswered
}

// relayStream relays a stream of events, each as soon as it is complete.
func (t *attempt) relayStream(a *endpoint.Answer, r *fescuelatch.AttemptResult, headers fescuelatch.AnswerHeaders, sent time.Time) error {
	opened := time.Since(sent)
	s := t.request
	events := sse.NewScanner(a)
	events.Grow = s.buffer.grow
	timeout := t.start.Timeouts.First
	if t.start.Hedge != "" {
		a.SetInactivityTimeout(timeout)
		if err := t.awaitEvent(a, events); err != nil {
			return err
		}
	}
	if !t.awaitRelay(headers) {
		t.observe(rollout.OutcomeAnswered, sent, opened)
		return t.ctx.Err()
	}
	for {
		a.SetInactivityTimeout(timeout)
		e, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return err //nolint:wrapcheck // classify needs its kind.
		}
		if !t.resume() {
			return errReplaced
		}
		if err != nil {
			break
		}
		if t.resumes && !s.output.continuesAt(e) {
			return errForeignEvent
		}
		if t.progress.event(time.Now()) {
			t.answered()
		}
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(sent)
			t.observe(rollout.OutcomeAnswered, sent, r.FirstToken)
		}
		if t.pace.event(time.Now()) {
			t.reportPace()
		}
		timeout = t.start.Timeouts.Gap
		s.output.writeHeader(s.writer, s.daemon.options.Dialect, a)
		s.output.timing.record(time.Now(), s.arrived)
		if err := s.output.writeEvent(s.writer, e, !events.Buffered()); err != nil {
			t.cancel()
			return err
		}
	}
	if err := t.checkStreamEnd(a, events, s.output.lastEvent); err != nil {
		return err
	}
	if err := t.checkEndOfStream(a); err != nil {
		return err
	}
	s.output.writeHeader(s.writer, s.daemon.options.Dialect, a)
	r.Status = fescuelatch.AttemptAnswered
	return nil
}

// awaitEvent waits until an event has arrived that the caller can use, or the stream has ended as
// it should. No attempt is given up for a head alone: the endpoint may send nothing more.
func (t *attempt) awaitEvent(a *endpoint.Answer, events *sse.Scanner) error {
	e, err := events.Peek()
	switch {
	case errors.Is(err, io.EOF):
		return t.checkStreamEnd(a, events, t.from.lastEvent)
	case err != nil:
		return err //nolint:wrapcheck // classify needs its kind.
	case t.resumes && !t.from.continuesAt(e):
		return errForeignEvent
	}
	return nil
}

// checkStreamEnd returns why a stream that has ended after its last whole event is not complete,
// or nil. last is the last event that the caller has received.
func (t *attempt) checkStreamEnd(a *endpoint.Answer, events *sse.Scanner, last string) error {
	switch {
	case len(events.Remainder()) > 0:
		return errPartialEvent
	case t.progress.events == 0 && (last == "" || !a.Framed):
		return errNoEvent
	}
	return nil
}

// awaitRelay reports to the core that the answer has begun, and waits for
// permission to relay it. It returns false if the attempt was ended instead.
func (t *attempt) awaitRelay(headers fescuelatch.AnswerHeaders) bool {
	t.request.daemon.decide(decision.Opened{
		Request: t.request.details.ID, Attempt: t.start.Attempt, Confidence: headers.Confidence, HasConfidence: headers.Rated,
	})
	select {
	case <-t.mayRelay:
		t.relays, t.contested = true, false
		return true
	case <-t.ctx.Done():
		return false
	}
}

// foreign reports whether an answer comes from another program than an endpoint: a success that is
// not signed, or an answer that is neither signed nor identified. Failures of other daemons are
// their own.
func (t *attempt) foreign(status int, h fescuelatch.AnswerHeaders) bool {
	switch {
	case h.Signed || h.NotRun:
		return false
	case status < http.StatusMultipleChoices:
		return true
	}
	return t.delegate == "" && h.Call == "" && t.request.call.Call != ""
}

// refused reports whether an answer states that the request was not run. A status alone states it
// if it is the own one of another daemon: a signed one is that of an endpoint.
func (t *attempt) refused(status int, h fescuelatch.AnswerHeaders) bool {
	return h.NotRun || status == http.StatusMisdirectedRequest || t.delegate != "" && impliesNotRun(status) && !h.Signed
}

// impliesNotRun reports whether a status implies that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
