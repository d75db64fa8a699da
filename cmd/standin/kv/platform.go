package kv

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	"fescuelatch/cmd/standin/server"
)

// This file defines the HTTP front of the store.

const (
	// requestLimit leaves room for a value in base64.
	requestLimit = 4 << 20 // bytes
	expiryPeriod = 50 * time.Millisecond
)

// Settings are the settings of the platform's stand-in.
type Settings struct {
	Listen    netip.AddrPort `arg:"--listen,required,env:STANDIN_LISTEN" help:"address to serve at"`
	WriteRate float64        `arg:"--write-rate,env:STANDIN_WRITE_RATE" help:"writes a second, 0 for no limit"`
	ReadRate  float64        `arg:"--read-rate,env:STANDIN_READ_RATE" help:"reads a second, 0 for no limit"`
}

// Run serves until ctx ends.
func (s *Settings) Run(ctx context.Context, log *slog.Logger) error {
	p := NewPlatform(Faults{WriteRate: s.WriteRate, ReadRate: s.ReadRate})
	go p.Expire(ctx)
	return server.Run(ctx, log, s.Listen, p.Handler())
}

// Platform serves the key-value service.
type Platform struct {
	store  *store
	faults server.Faults[Faults]
	counts counts
	writes server.Limiter
	reads  server.Limiter
}

// NewPlatform returns an empty service with the given faults.
func NewPlatform(f Faults) *Platform {
	p := &Platform{store: newStore()}
	p.faults.Set(f)
	return p
}

// Expire ends leases that expire until ctx ends.
func (p *Platform) Expire(ctx context.Context) {
	for server.Sleep(ctx, expiryPeriod) {
		p.store.expire(time.Now())
	}
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

// paths holds the path of each kind of call.
var paths = map[string]string{
	"range":       "/v3/kv/range",
	"put":         "/v3/kv/put",
	"deleterange": "/v3/kv/deleterange",
	"txn":         "/v3/kv/txn",
	"grant":       "/v3/lease/grant",
	"keepalive":   "/v3/lease/keepalive",
	"revoke":      "/v3/lease/revoke",
}

// handle routes one kind of call: it decodes the request, applies the faults
// around f and encodes the answer.
func handle[Q any](p *Platform, r *mux.Router, kind string, f func(*Q) (any, error)) {
	h := func(w http.ResponseWriter, r *http.Request) {
		var q Q
		p.counts.add(kind)
		if !server.ReadJSON(w, r, requestLimit, &q) {
			return
		}
		p.delay(r.Context())
		write := isWrite(kind, &q)
		if err := p.limit(write); err != nil {
			writeError(w, err)
			return
		}
		resp, err := f(&q)
		if write && err == nil && p.loses(r.Context()) {
			server.Abort()
		}
		if err != nil {
			writeError(w, err)
			return
		}
		server.WriteJSON(w, http.StatusOK, resp)
	}
	r.HandleFunc(paths[kind], h).Methods(http.MethodPost)
}

// isWrite reports whether a call counts against the rate of writes.
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
	status, code := http.StatusInternalServerError, 13
	var e *Error
	if errors.As(err, &e) {
		status, code = statusOf(e.Kind)
	}
	server.WriteJSON(w, status, errorBody{Error: err.Error(), Message: err.Error(), Code: code})
}

// statusOf returns the HTTP status and the gRPC code of a kind of error.
func statusOf(k Kind) (status, code int) {
	switch k {
	case KindNotFound:
		return http.StatusNotFound, 5
	case KindRateLimited:
		return http.StatusTooManyRequests, 8
	default:
		return http.StatusBadRequest, 3
	}
}

// watch streams the changes of a range of keys.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.counts.add("watch")
	var q watchRequest
	if !server.ReadJSON(w, r, requestLimit, &q) {
		return
	}
	p.delay(r.Context())
	if err := p.limit(false); err != nil {
		writeError(w, err)
		return
	}
	next := int64(q.Create.StartRevision)
	if next == 0 {
		next = p.store.currentRevision() + 1
	}
	w.Header().Set("Content-Type", "application/json")
	out := watchStream{json.NewEncoder(w), http.NewResponseController(w)}
	out.send(&watchResponse{Header: header{number(p.store.currentRevision())}, Created: true})
	p.follow(r.Context(), out, span{q.Create.Key, q.Create.RangeEnd}, next)
}

// follow sends events from revision next on until ctx ends.
func (p *Platform) follow(ctx context.Context, out watchStream, s span, next int64) {
	for {
		faulty := p.faults.Changed()
		p.delay(ctx)
		b := p.store.eventsFrom(s, next)
		h := header{number(b.next - 1)}
		if b.compacted {
			out.send(&watchResponse{Header: h, Canceled: true, CompactRevision: number(b.next)})
			return
		}
		if events := p.gaps(b.events); len(events) > 0 {
			out.send(&watchResponse{Header: h, Events: events})
		}
		next = b.next
		select {
		case <-b.changed:
		case <-faulty:
		case <-ctx.Done():
			return
		}
	}
}

type watchStream struct {
	enc  *json.Encoder
	ctrl *http.ResponseController
}

// send writes one response. A client that is gone ends the watch's context.
func (s watchStream) send(r *watchResponse) {
	_ = s.enc.Encode(result{r})
	_ = s.ctrl.Flush()
}
