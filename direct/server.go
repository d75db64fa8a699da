package direct

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/internal/graceful"
	"fescuelatch/internal/intake"
)

// This file defines the servers of a daemon and the validation of callers'
// requests.

// Connection limits where the deployment states none.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// largestHeaderBytes is the largest limit on heads that a deployment can state. The memory
	// of heads is bounded besides.
	largestHeaderBytes = 16 << 20
	// defaultMaxBodyBytes bounds a body if the deployment sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// callerKeepAlive is the interval of the probes that detect callers gone
	// without closing their connection.
	callerKeepAlive = 2 * time.Second
	// unreadyRetryAfter is sent to callers while the daemon has no
	// configuration yet.
	unreadyRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is sent to callers of a stopping daemon. Other daemons
	// accept their next connections.
	stoppingRetryAfter = 100 * time.Millisecond
	// refusedBodyTimeout is how long the rest of the body of a request that was refused is
	// awaited, as some callers send it before they read the answer, and unreadBodyTimeout
	// the same while memory is short.
	refusedBodyTimeout = 2 * time.Second
	unreadBodyTimeout  = 250 * time.Millisecond
)

// startServers starts the servers. The returned function shuts down the server
// for callers: it waits for their requests until its context ends.
func (d *Daemon) startServers(ctx context.Context, g *errgroup.Group) (func(context.Context), error) {
	connections := new(graceful.Connections)
	callers, err := d.serve(ctx, g, "callers", d.options.Callers, d.closing.Handler(http.HandlerFunc(d.serveCall)), intake.CallerShare, connections)
	if err != nil {
		return nil, err
	}
	others := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		share   float64
	}{
		{"readiness", d.options.Readiness, http.HandlerFunc(d.serveReadiness), intake.OtherShare},
		{"control", d.options.Control, d.controlHandler(), intake.DaemonShare},
		{"metrics", d.options.Metrics, d.options.Scrape, intake.OtherShare},
	}
	for _, o := range others {
		if !o.address.IsValid() {
			continue
		}
		if _, err := d.serve(ctx, g, o.name, o.address, o.handler, o.share, nil); err != nil {
			return nil, err
		}
	}
	return func(stop context.Context) {
		connections.CloseIdle(stop)
		if err := callers.Shutdown(stop); err != nil {
			d.log.Warn("requests still open when the stop grace ended", "error", err.Error())
			d.abortRequests()
			answered, cancel := context.WithTimeout(context.WithoutCancel(stop), abortTime)
			defer cancel()
			// Those that cannot be answered are closed.
			_ = callers.Shutdown(answered)
		}
		_ = callers.Close()
	}, nil
}

// serve starts a server on an address, with a share of the descriptors. Unless cs is nil, it
// tracks the connections.
func (d *Daemon) serve(ctx context.Context, g *errgroup.Group, name string, address netip.AddrPort, h http.Handler, share float64, cs *graceful.Connections) (*http.Server, error) {
	c := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: callerKeepAlive, Interval: callerKeepAlive, Count: 2,
	}}
	l, err := c.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, &Error{"listen for " + name, KindListen, err}
	}
	if t, ok := l.(*net.TCPListener); ok {
		l = &graceful.Listener{TCPListener: t}
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	var next func(net.Conn, http.ConnState)
	if cs != nil {
		l, next = cs.Listener(l), cs.ConnState
	}
	bounded := d.intake.NewConnections(share, next)
	switch share {
	case intake.DaemonShare:
		bounded.BoundLinks(d.minLinks)
	case intake.CallerShare:
		s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = 0, 0, largestHeaderBytes
		bounded.SetLimits(d.callerLimits)
		g.Go(func() error {
			bounded.KeepTimes(ctx)
			return nil
		})
	}
	l, s.ConnState = bounded.Listener(l), bounded.ConnState
	g.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return &Error{"serve " + name, KindListen, err}
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		_ = s.Close()
		return nil
	})
	d.log.Info("listening", "front", name, "address", address.String())
	return s, nil
}

// callerLimits returns the limits on the connections of callers.
func (d *Daemon) callerLimits() intake.Limits {
	l := intake.Limits{HeadBytes: maxHeaderBytes, HeadTime: readHeaderTimeout, IdleTime: idleTimeout}
	f := d.active.Load()
	if f == nil {
		return l
	}
	stated := f.deployment.Limits
	if stated.HeaderBytes > 0 {
		l.HeadBytes = stated.HeaderBytes
	}
	if stated.HeaderTimeout > 0 {
		l.HeadTime = stated.HeaderTimeout
	}
	if stated.IdleTimeout > 0 {
		l.IdleTime = stated.IdleTimeout
	}
	return l
}

func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Error codes of requests that are refused before a decision. The decision core
// defines the others.
const (
	codeNoRoute    = "no-route"
	codeNoKey      = "unknown-key"
	codeInvalid    = "invalid"
	codeTooLarge   = "too-large"
	codeNotReady   = "not-ready"
	codeSlowBody   = "body-too-slow"
	codeCallerLeft = "caller-left"
	codeStopping   = "stopping"
	codeNoMemory   = "no-memory"
	codeOlderState = "older-state"
)

// serveCall serves a caller's request.
func (d *Daemon) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	call, err := d.options.Dialect.ReadCall(r.Header)
	if call.Delegated && !d.coversState(w, r, call) {
		return
	}
	f := d.active.Load()
	if f == nil {
		d.reject(w, r, "", http.StatusServiceUnavailable, codeNotReady, unreadyRetryAfter)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := f.deployment.Match(r.Host, path)
	if route == nil {
		d.reject(w, r, "", http.StatusNotFound, codeNoRoute, 0)
		return
	}
	if err != nil || call.Call == "" || !strings.HasPrefix(path, "/") {
		d.reject(w, r, route.ID, http.StatusBadRequest, codeInvalid, 0)
		return
	}
	account := accountPublic
	if !route.Public {
		a, ok := f.view.AccountByKey(call.Key)
		if !ok {
			d.reject(w, r, route.ID, http.StatusUnauthorized, codeNoKey, 0)
			return
		}
		account = a.ID
	}
	timeout := timeoutOf(route, call)
	if !d.endsInTime(arrived, route, timeout) {
		d.reject(w, r, route.ID, http.StatusServiceUnavailable, codeStopping, stoppingRetryAfter)
		return
	}
	body, ok := d.readBody(w, r, f.deployment, route, account, arrived.Add(timeout))
	if !ok {
		return
	}
	defer body.Release()
	if now := time.Now(); !d.endsInTime(now, route, timeout-now.Sub(arrived)) {
		d.reject(w, r, route.ID, http.StatusServiceUnavailable, codeStopping, stoppingRetryAfter)
		return
	}
	s := newActiveRequest(d, f, route, call, account, arrived)
	s.writer, s.incoming, s.body = &callerWriter{ResponseWriter: w}, r, body
	parts := body.Segments()
	for _, p := range parts {
		s.details.BodyBytes += len(p)
	}
	s.details.Fingerprint, s.details.QuerylessFingerprint = fingerprint(account, r, parts...), querylessFingerprint(account, r, parts...)
	s.serve()
}

// coversState refuses a request of another daemon that this one would handle by an older state
// of the store. It reports whether the request can be handled.
func (d *Daemon) coversState(w http.ResponseWriter, r *http.Request, call fescuelatch.CallHeaders) bool {
	timeout := catchUpTimeout
	if call.Deadline > 0 {
		timeout = min(timeout, time.Duration(catchUpShare*float64(call.Deadline)))
	}
	if d.catchUp(r.Context(), call.State, timeout) {
		return true
	}
	d.mu.Lock()
	known := d.storeView.version()
	d.mu.Unlock()
	d.options.Dialect.WriteState(w.Header(), known)
	d.log.Info("request of another daemon needs a newer state", "request", call.Call, "required", call.State, "state", known)
	d.reject(w, r, "", http.StatusServiceUnavailable, codeOlderState, minRetryAfter)
	return false
}

// bodyLimit returns the maximum length of a body.
func bodyLimit(f *fescuelatch.Deployment) int64 {
	if f.Limits.BodyBytes > 0 {
		return f.Limits.BodyBytes
	}
	return defaultMaxBodyBytes
}

// readBody reads the whole body, which may have to be sent more than once. A
// request whose body is incomplete at its deadline is not run, nor is one for whose body there
// is no memory.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request, f *fescuelatch.Deployment, route *fescuelatch.Route, account fescuelatch.AccountID, by time.Time) (*intake.Body, bool) {
	if r.Body == http.NoBody {
		return nil, true
	}
	c := http.NewResponseController(w)
	// If the deadline cannot be set, the read fails.
	_ = c.SetReadDeadline(by)
	b, err := d.intake.Read(intake.Incoming{
		Reader: r.Body, Announced: r.ContentLength, Limit: bodyLimit(f), Account: account,
		Interrupt: func() { _ = c.SetReadDeadline(time.Unix(1, 0)) },
	})
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
		return b, true
	}
	var e *intake.Error
	switch {
	case errors.As(err, &e) && e.Kind == intake.ErrTooLarge:
		d.rejectUnread(w, r, route.ID, http.StatusRequestEntityTooLarge, codeTooLarge, 0)
	case errors.As(err, &e) && e.Kind == intake.ErrRefused:
		d.rejectUnread(w, r, route.ID, http.StatusServiceUnavailable, codeNoMemory, spread(e.RetryAfter))
	case errors.Is(err, os.ErrDeadlineExceeded):
		d.rejectUnread(w, r, route.ID, http.StatusRequestTimeout, codeSlowBody, 0)
	case r.Context().Err() != nil:
		d.metrics.countRequest(route.ID, fescuelatch.OutcomeNotRun, codeCallerLeft, 0)
	default:
		d.rejectUnread(w, r, route.ID, http.StatusBadRequest, codeInvalid, 0)
	}
	return nil, false
}

// spread returns a random time of up to half as much again, so that callers do not return at once.
func spread(t time.Duration) time.Duration {
	t = max(t, minRetryAfter)
	return t + rand.N(t/2)
}

// rejectUnread refuses a request whose body has not been read to its end. Its connection is
// closed, but not before the caller had time to read the answer.
func (d *Daemon) rejectUnread(w http.ResponseWriter, r *http.Request, route fescuelatch.RouteID, status int, code string, after time.Duration) {
	w.Header().Set("Connection", "close")
	d.reject(w, r, route, status, code, after)
}

// reject refuses a request before it reaches the decision core.
func (d *Daemon) reject(w http.ResponseWriter, r *http.Request, route fescuelatch.RouteID, status int, code string, after time.Duration) {
	call, _ := d.options.Dialect.ReadCall(r.Header) // If the header is malformed, only the identifier is used.
	if r.Body != http.NoBody {
		wait := refusedBodyTimeout
		if code == codeNoMemory {
			wait = unreadBodyTimeout
		}
		// The server reads what is left of a short body.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(wait))
	}
	generation := fescuelatch.Generation(0)
	if f := d.active.Load(); f != nil {
		generation = f.deployment.Generation
	}
	d.log.Warn("request rejected", "request", call.Call, "route", route, "host", r.Host, "path", r.URL.Path,
		"status", status, "reason", code, "generation", generation, "store-age", d.store.age(time.Now()).String())
	d.metrics.countRequest(route, fescuelatch.OutcomeNotRun, code, 0)
	d.writeError(w, status, code, after)
}

// writeError writes an error answer from the daemon itself.
func (d *Daemon) writeError(w http.ResponseWriter, status int, code string, after time.Duration) {
	if after > 0 {
		d.options.Dialect.WriteRefusal(w.Header(), after)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": code})
}
