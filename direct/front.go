package direct

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/internal/graceful"
)

// This file defines the listeners of a daemon and the checks on what callers
// send.

// Limits of connections. Deployments limit requests further; their callers
// keep to limits of a few seconds, so these only bound what is held for
// callers who are gone.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// defaultBodyBytes bounds a body where the deployment does not.
	defaultBodyBytes = 4 << 20
	// callerKeepAlive is the interval of the probes that find callers who
	// are gone without a word.
	callerKeepAlive = 2 * time.Second
	// unreadyRetryAfter is told to callers of a daemon that knows no
	// configuration yet.
	unreadyRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is told to callers of a daemon that is about to end. Other
	// daemons take their next connections.
	stoppingRetryAfter = 100 * time.Millisecond
)

// serveFronts opens the listeners. The returned function ends the service of
// callers: it waits for their requests until its context ends.
func (d *Daemon) serveFronts(ctx context.Context, g *errgroup.Group) (func(context.Context), error) {
	connections := new(graceful.Connections)
	callers, err := d.serve(ctx, g, "callers", d.options.Callers, d.closing.Handler(http.HandlerFunc(d.serveCall)), connections)
	if err != nil {
		return nil, err
	}
	others := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"readiness", d.options.Readiness, http.HandlerFunc(d.serveReadiness)},
		{"control", d.options.Control, d.controlHandler()},
		{"metrics", d.options.Metrics, d.options.Scrape},
	}
	for _, o := range others {
		if !o.address.IsValid() {
			continue
		}
		if _, err := d.serve(ctx, g, o.name, o.address, o.handler, nil); err != nil {
			return nil, err
		}
	}
	return func(stop context.Context) {
		connections.CloseIdle(stop)
		if err := callers.Shutdown(stop); err != nil {
			d.log.Warn("requests were still open at the end of the grace", "error", err.Error())
		}
		_ = callers.Close()
	}, nil
}

// serve opens a listener. Its connections are told to cs unless that is nil.
func (d *Daemon) serve(ctx context.Context, g *errgroup.Group, name string, address netip.AddrPort, h http.Handler, cs *graceful.Connections) (*http.Server, error) {
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
	if cs != nil {
		l, s.ConnState = cs.Listener(l), cs.Changed
	}
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

func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Refusals of requests that no route serves or that are not well formed. The
// others come from the decision core.
const (
	codeNoRoute    = "no-route"
	codeNoKey      = "unknown-key"
	codeInvalid    = "invalid"
	codeTooLarge   = "too-large"
	codeNotReady   = "not-ready"
	codeSlowBody   = "body-too-slow"
	codeCallerLeft = "caller-left"
	codeStopping   = "stopping"
)

// serveCall serves one request of a caller.
func (d *Daemon) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	f := d.inForce.Load()
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
	call, err := d.options.Dialect.ReadCall(r.Header)
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
	if end := d.stopEnd.Load(); end != nil && arrived.Add(timeOf(route, call)).After(*end) {
		d.reject(w, r, route.ID, http.StatusServiceUnavailable, codeStopping, stoppingRetryAfter)
		return
	}
	body, ok := d.readBody(w, r, f.deployment, route, arrived.Add(timeOf(route, call)))
	if !ok {
		return
	}
	s := newServing(d, f, route, call, account, arrived)
	s.writer, s.request, s.body = w, r, body
	s.serve()
}

// readBody reads the whole body, which may have to be sent more than once. What
// has not come by the end of the request's time does not run any more.
func (d *Daemon) readBody(w http.ResponseWriter, r *http.Request, f *fescuelatch.Deployment, route *fescuelatch.Route, by time.Time) ([]byte, bool) {
	limit := f.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.Body == http.NoBody {
		return nil, true
	}
	c := http.NewResponseController(w)
	// A deadline that cannot be set shows in the read.
	_ = c.SetReadDeadline(by)
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = c.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return b, true
	case errors.As(err, &large):
		d.reject(w, r, route.ID, http.StatusRequestEntityTooLarge, codeTooLarge, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		d.reject(w, r, route.ID, http.StatusRequestTimeout, codeSlowBody, 0)
	case r.Context().Err() != nil:
		d.metrics.ended(route.ID, fescuelatch.OutcomeNotRun, codeCallerLeft, 0)
	default:
		w.Header().Set("Connection", "close")
		d.reject(w, r, route.ID, http.StatusBadRequest, codeInvalid, 0)
	}
	return nil, false
}

// reject answers a request that is not run, before anything is decided on it.
func (d *Daemon) reject(w http.ResponseWriter, r *http.Request, route fescuelatch.RouteID, status int, code string, after time.Duration) {
	call, _ := d.options.Dialect.ReadCall(r.Header) // Of a faulty header only the identifier is used.
	generation := fescuelatch.Generation(0)
	if f := d.inForce.Load(); f != nil {
		generation = f.deployment.Generation
	}
	d.log.Warn("request rejected", "request", call.Call, "route", route, "host", r.Host, "path", r.URL.Path,
		"status", status, "reason", code, "generation", generation, "store-age", d.store.age(time.Now()).String())
	d.metrics.ended(route, fescuelatch.OutcomeNotRun, code, 0)
	d.writeError(w, status, code, after)
}

// writeError writes an answer of the daemon's own.
func (d *Daemon) writeError(w http.ResponseWriter, status int, code string, after time.Duration) {
	if after > 0 {
		d.options.Dialect.WriteRefusal(w.Header(), after)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": code})
}
