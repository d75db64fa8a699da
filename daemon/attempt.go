package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/engine"
	"fescuelatch/openai"
	"fescuelatch/peer"
)

// This file defines how attempts are made.

// start makes an attempt at an endpoint owned by this daemon.
func (s *activeRequest) start(ctx context.Context, a decision.Start, decided time.Time) {
	r := fescuelatch.AttemptResult{Attempt: a.Attempt, Endpoint: a.Endpoint, Version: a.Version}
	v := s.daemon.holder.View()
	e, ok := v.Endpoint(a.Endpoint)
	if !ok {
		s.notStarted(r, errors.New("endpoint is no longer in the configuration"))
		return
	}
	defer s.daemon.beginAttempt(ctx, e.ID)()
	t := engine.Target{URL: "http://" + e.Address.String(), Resumable: true}
	if s.call.Request.Idempotent {
		s.attempt(ctx, t, r, decided)
		return
	}
	s.attemptWithClaim(ctx, t, r, decided)
}

// forward makes an attempt through the daemon that owns the endpoints.
func (s *activeRequest) forward(ctx context.Context, a decision.Forward) {
	r := fescuelatch.AttemptResult{Attempt: a.Attempt, Version: a.Version}
	s.daemon.awaitRefresh(ctx)
	vm, ok := s.daemon.holder.View().VM(a.VM)
	if !ok {
		s.notStarted(r, errors.New("VM is no longer in the configuration"))
		return
	}
	now := time.Now()
	h, err := peer.ForwardHeader(s.daemon.options.FleetKeys, s.call, a.Version, now)
	if err != nil {
		s.notStarted(r, err)
		return
	}
	scheme := "http://"
	if s.daemon.options.Dialer.TLS != nil {
		scheme = "https://"
	}
	s.daemon.metrics.forwards.Inc(1)
	ctx, end := s.daemon.beginForward(ctx, a.VM, a.Attempt)
	defer end()
	s.attempt(ctx, engine.Target{URL: scheme + vm.Peer.String() + peer.ForwardPath, Header: h}, r, now)
}

// attempt sends the request to t and reports the result to the core.
func (s *activeRequest) attempt(ctx context.Context, t engine.Target, r fescuelatch.AttemptResult, decided time.Time) {
	if !s.mayStart(ctx, r, decided) {
		s.notStarted(r, errors.New("dispatch delayed for too long after the decision"))
		return
	}
	v, err := s.send(ctx, t, &r)
	s.conclude(r, v, err)
}

// send makes an attempt and fills in its result.
func (s *activeRequest) send(ctx context.Context, t engine.Target, r *fescuelatch.AttemptResult) (*answer, error) {
	sent := time.Now()
	v := &answer{}
	var err error
	if s.call.Chat != nil {
		err = s.chat(ctx, t, r, v, sent)
	} else {
		err = s.service(ctx, t, r, v)
	}
	r.Total = time.Since(sent)
	return v, err
}

// conclude reports the end of an attempt to the core.
func (s *activeRequest) conclude(r fescuelatch.AttemptResult, v *answer, err error) {
	s.setStatus(&r, err)
	s.daemon.attemptEnded(r)
	v.result = r
	s.answers[r.Attempt] = v
	s.daemon.decide(decision.Ended{Request: s.call.Request.ID, Result: r})
}

// mayStart reports whether an attempt may still be sent. Since the decision,
// the process may have been paused, a claim may have been slow, or a
// configuration may have become active.
func (s *activeRequest) mayStart(ctx context.Context, r fescuelatch.AttemptResult, decided time.Time) bool {
	d := s.daemon
	d.awaitRefresh(ctx)
	v := d.holder.View()
	if !v.MayRun(s.call.Request, r.Version) {
		return false
	}
	now := time.Now()
	late := now.Sub(decided) > maxStartDelay
	if r.Endpoint == "" {
		return !late
	}
	e, ok := v.Endpoint(r.Endpoint)
	if !ok || v.EndpointOut(e) {
		return false
	}
	if !late {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.table.Owned(now) {
		if o.Endpoint.ID == r.Endpoint {
			return !d.leavingVMs[string(e.ID)]
		}
	}
	return false
}

func (s *activeRequest) chat(ctx context.Context, t engine.Target, r *fescuelatch.AttemptResult, v *answer, sent time.Time) error {
	q := *s.call.Chat
	q.Model = string(r.Version)
	q.Priority = int(s.call.Request.Priority)
	if q.Stream {
		q.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
		s.sink = s.newSink(r.Version)
	}
	k := s.sink
	first := func() {
		r.FirstToken = time.Since(sent)
		s.daemon.decide(decision.FirstToken{Request: s.call.Request.ID, Attempt: r.Attempt})
	}
	chunk := func(c *openai.Chunk) error { return k.chunk(c) }
	chat, err := s.daemon.engines.Chat(ctx, t, r.Attempt, &q, first, chunk)
	if err != nil {
		s.abandon(ctx, t, r, err)
		if k != nil && !s.reply.Started() {
			s.sink = nil
		}
		return err
	}
	v.chat = chat
	v.text = chat.Text()
	if k != nil {
		v.text = k.text.String()
	}
	r.PromptTokens = chat.Usage.PromptTokens
	r.OutputTokens = chat.Usage.CompletionTokens
	return nil
}

// abandonTimeout bounds the cancellation of an attempt whose answer was lost.
const abandonTimeout = time.Second

// abandon cancels an attempt that may still run at an endpoint, since a stream
// continues without its reader. The slot stays taken until then, so that an
// endpoint never gets more attempts than the gate counts.
func (s *activeRequest) abandon(ctx context.Context, t engine.Target, r *fescuelatch.AttemptResult, err error) {
	var e *engine.Error
	if r.Endpoint == "" || !errors.As(err, &e) {
		return
	}
	if e.Kind != engine.KindBroken && e.Kind != engine.KindExpired && e.Kind != engine.KindCancelled {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	if err := s.daemon.engines.Cancel(ctx, t, r.Attempt); err != nil {
		s.daemon.log.Debug("cannot cancel attempt at endpoint", "attempt", r.Attempt, "endpoint", r.Endpoint, "error", err.Error())
	}
}

func (s *activeRequest) service(ctx context.Context, t engine.Target, r *fescuelatch.AttemptResult, v *answer) error {
	q := s.call.Request
	a, err := s.daemon.services.Call(ctx, t, r.Attempt, q.Service, q.Operation, s.call.Key, s.call.Body)
	v.service = a
	return err
}

// setStatus converts the error of an attempt to its status.
func (s *activeRequest) setStatus(r *fescuelatch.AttemptResult, err error) {
	if err == nil {
		r.Status = fescuelatch.AttemptAnswered
		return
	}
	var e *engine.Error
	if !errors.As(err, &e) {
		e = &engine.Error{Op: "attempt", Kind: engine.KindBroken, Err: err}
	}
	s.last = e
	r.RetryAfter = e.RetryAfter
	r.PlatformUnavailable = e.Code == engine.CodePlatformUnavailable
	switch e.Kind {
	case engine.KindOverloaded:
		r.Overloaded = true
		r.Status = fescuelatch.AttemptNotStarted
	case engine.KindNotStarted, engine.KindRejected:
		r.Status = fescuelatch.AttemptNotStarted
		r.Final = e.Code == engine.CodeRejected
	case engine.KindExpired:
		r.Status = fescuelatch.AttemptExpired
		s.mayHaveRun = true
	case engine.KindCancelled:
		r.Status = fescuelatch.AttemptCancelled
		s.mayHaveRun = true
	default:
		r.Status = fescuelatch.AttemptBroken
		s.mayHaveRun = true
	}
	s.daemon.log.Debug("attempt failed", "request", s.call.Request.ID, "attempt", r.Attempt,
		"endpoint", r.Endpoint, "version", r.Version, "kind", e.Kind, "error", e.Error())
}

// notStarted reports to the core that nothing was sent.
func (s *activeRequest) notStarted(r fescuelatch.AttemptResult, err error) {
	r.Unsent = true
	s.conclude(r, &answer{}, &engine.Error{Op: "start", Kind: engine.KindNotStarted, Err: err})
}

// rateSample has an answer rated in the background and reports the score to the
// core.
func (d *Daemon) rateSample(v fescuelatch.VersionID, prompt, text string) {
	d.work.run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
		defer cancel()
		score, err := d.options.Rater.Rate(ctx, v, prompt, text)
		if err != nil {
			d.metrics.ratingErrors.Inc(1)
			return
		}
		d.decide(decision.Rated{Version: v, Score: score, Rated: true})
	})
}

// sampleTimeout bounds a rating that no request waits for.
const sampleTimeout = 5 * time.Second

// recordEnd logs and counts the end of a request.
func (d *Daemon) recordEnd(s *activeRequest, o fescuelatch.Outcome, detail string, err error) {
	d.metrics.outcome(o, time.Since(s.started))
	q := s.call.Request
	args := []any{
		"request", q.ID, "account", q.Account, "outcome", o, "detail", detail,
		"generation", d.holder.Generation(), "duration", time.Since(s.started).String(), "forwarded", q.Forwarded,
	}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	d.log.Info("request ended", args...)
}
