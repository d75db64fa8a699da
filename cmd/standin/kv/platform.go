package kv

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	"fescuelatch/cmd/standin/server"
	"fescuelatch/internal/pause"
)

// This file defines the HTTP server of the store.

const (
	// maxRequestBytes leaves room for a value in base64.
	maxRequestBytes = 4 << 20 // bytes
	expiryInterval  = 50 * time.Millisecond
)

// gRPC status codes.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeInternal          = 13
	codeUnavailable       = 14
)

// Settings configure the platform's stand-in.
type Settings struct {
	Listen    netip.AddrPort `arg:"--listen,required,env:STANDIN_LISTEN" help:"address to serve at"`
	WriteRate float64        `arg:"--write-rate,env:STANDIN_WRITE_RATE" help:"writes a second, 0 for no limit"`
	ReadRate  float64        `arg:"--read-rate,env:STANDIN_READ_RATE" help:"reads a second, 0 for no limit"`
}

// Run serves until ctx ends.
func (s *Settings) Run(ctx context.Context, log *slog.Logger) error {
	p := NewPlatform(Faults{WriteRate: s.WriteRate, ReadRate: s.ReadRate})
	go p.Maintain(ctx)
	return server.Run(ctx, log, s.Listen, p.Handler())
}

// Platform serves the key-value service.
type Platform struct {
	store   *store
	faults  server.Faults[Faults]
	counts  counts
	writes  server.Limiter
	reads   server.Limiter
	stopped chan struct{}
}

// NewPlatform returns an empty service with the given faults.
func NewPlatform(f Faults) *Platform {
	p := &Platform{store: newStore(), stopped: make(chan struct{})}
	p.faults.Set(f)
	return p
}

// Maintain removes expired leases until ctx ends, then ends all watches.
func (p *Platform) Maintain(ctx context.Context) {
	for pause.For(ctx, expiryInterval) {
		p.store.expire(time.Now())
	}
	close(p.stopped)
}

// Handler returns the HTTP handler.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	handle(p, r, "range", p.rangeKeys)
	handle(p, r, "put", p.put)
	handle(p, r, "deleterange", p.deleteRange)
	handle(p, r, "txn", p.txn)
	handle(p, r, "grant", p.grant)
	handle(p, r, "keepalive", p.keepAlive)
	handle(p, r, "revoke", p.revoke)
	r.HandleFunc("/v3/watch", p.watch).Methods(http.MethodPost)
	r.Handle("/faults", &p.faults).Methods(http.MethodGet, http.MethodPost)
	r.Handle("/counts", &p.counts).Methods(http.MethodGet)
	return r
}

// paths maps each kind of call to its path.
var paths = map[string]string{
	"range":       "/v3/kv/range",
	"put":         "/v3/kv/put",
	"deleterange": "/v3/kv/deleterange",
	"txn":         "/v3/kv/txn",
	"grant":       "/v3/lease/grant",
	"keepalive":   "/v3/lease/keepalive",
	"revoke":      "/v3/lease/revoke",
}

// handle routes a kind of call: it decodes the request, applies the faults
// around f and encodes the response.
func handle[Q any](p *Platform, r *mux.Router, kind string, f func(*Q) (any, error)) {
	h := func(w http.ResponseWriter, r *http.Request) {
		var q Q
		p.counts.add(kind)
		w.Header().Set("Date", time.Now().Add(p.faults.Get().ClockAhead).UTC().Format(http.TimeFormat))
		if !server.ReadJSON(w, r, maxRequestBytes, &q) {
			return
		}
		resp, err := p.serve(r.Context(), isWrite(kind, &q), func() (any, error) { return f(&q) })
		if err != nil {
			writeError(w, err)
			return
		}
		server.WriteJSON(w, http.StatusOK, resp)
	}
	r.HandleFunc(paths[kind], h).Methods(http.MethodPost)
}

// serve calls f with the faults applied.
func (p *Platform) serve(ctx context.Context, write bool, f func() (any, error)) (any, error) {
	if err := p.admit(ctx, write); err != nil {
		return nil, err
	}
	resp, err := f()
	if err != nil {
		return nil, err
	}
	if write {
		err = p.loseResponse(ctx)
	}
	return resp, err
}

// admit applies the faults that precede a call.
func (p *Platform) admit(ctx context.Context, write bool) error {
	if err := p.applyOutage(ctx); err != nil {
		return err
	}
	return p.applyRateLimit(write)
}

// isWrite reports whether a call counts against the write rate.
func isWrite(kind string, q any) bool {
	if t, ok := q.(*txnRequest); ok {
		return !t.readOnly()
	}
	return kind != "range"
}

func (p *Platform) rangeKeys(r *rangeRequest) (any, error) {
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := s.rangeKeys(r)
	resp.Header = s.header()
	return resp, nil
}

func (p *Platform) put(r *putRequest) (any, error) {
	t, err := p.store.txn(&txnRequest{Success: []requestOp{{Put: r}}})
	if err != nil {
		return nil, err
	}
	return &putResponse{Header: t.Header}, nil
}

func (p *Platform) deleteRange(r *deleteRequest) (any, error) {
	t, err := p.store.txn(&txnRequest{Success: []requestOp{{Delete: r}}})
	if err != nil {
		return nil, err
	}
	return &deleteResponse{Header: t.Header, Deleted: t.Responses[0].Delete.Deleted}, nil
}

func (p *Platform) txn(r *txnRequest) (any, error) { return p.store.txn(r) }

func (p *Platform) grant(r *grantRequest) (any, error) { return p.store.grant(r, time.Now()) }

func (p *Platform) revoke(r *leaseRequest) (any, error) { return p.store.revoke(r.ID) }

func (p *Platform) keepAlive(r *leaseRequest) (any, error) {
	return result{p.store.keepAlive(r.ID, time.Now())}, nil
}

func writeError(w http.ResponseWriter, err error) {
	status, code := http.StatusInternalServerError, codeInternal
	var e *Error
	if errors.As(err, &e) {
		status, code = statusOf(e.Kind)
	}
	server.WriteJSON(w, status, errorBody{Error: err.Error(), Message: err.Error(), Code: code})
}

// statusOf returns the HTTP status and the gRPC code of an error kind.
func statusOf(k Kind) (status, code int) {
	switch k {
	case KindNotFound:
		return http.StatusNotFound, codeNotFound
	case KindRateLimited:
		return http.StatusTooManyRequests, codeResourceExhausted
	case KindUnavailable:
		return http.StatusServiceUnavailable, codeUnavailable
	default:
		return http.StatusBadRequest, codeInvalidArgument
	}
}
