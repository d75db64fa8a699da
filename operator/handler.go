package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/intake"
)

// This file defines the HTTP handlers of the operator API.

const (
	maxChangeBytes      = 4 << 20
	defaultTimeout      = 15 * time.Second
	defaultRetryAfter   = 2 * time.Second
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
	bearerPrefix        = "Bearer "
)

// Options configures a handler. Key and Backend are required. Timeout bounds
// the handling of one request; zero means 15 seconds. Log may be nil.
type Options struct {
	Key     string
	Backend Backend
	Timeout time.Duration
	Log     *slog.Logger
}

type handler struct {
	keyHash [sha256.Size]byte
	backend Backend
	timeout time.Duration
	log     *slog.Logger
}

// NewHandler returns the handler of the operator API. With an empty key it
// rejects all requests except /health and /ready.
func NewHandler(o Options) http.Handler {
	h := &handler{keyHash: sha256.Sum256([]byte(o.Key)), backend: o.Backend, timeout: o.Timeout, log: o.Log}
	if h.timeout <= 0 {
		h.timeout = defaultTimeout
	}
	if h.log == nil {
		h.log = slog.New(slog.DiscardHandler)
	}
	r := mux.NewRouter()
	r.HandleFunc("/health", h.health).Methods(http.MethodGet)
	r.HandleFunc("/ready", h.ready).Methods(http.MethodGet)
	guarded := r.NewRoute().Subrouter()
	guarded.Use(h.authorize(o.Key != ""))
	guarded.HandleFunc("/v1/configuration", h.configuration).Methods(http.MethodGet)
	guarded.HandleFunc("/v1/changes", h.propose).Methods(http.MethodPost)
	guarded.HandleFunc("/v1/changes", h.history).Methods(http.MethodGet)
	guarded.HandleFunc("/v1/status", h.status).Methods(http.MethodGet)
	guarded.HandleFunc("/v1/state", h.state).Methods(http.MethodGet)
	guarded.Handle("/metrics", o.Backend.Metrics()).Methods(http.MethodGet)
	return r
}

// authorize rejects requests without the operator key. It compares hashes of
// equal length in constant time, so that timing reveals nothing about the key.
func (h *handler) authorize(enabled bool) mux.MiddlewareFunc {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
			sum := sha256.Sum256([]byte(key))
			equal := subtle.ConstantTimeCompare(sum[:], h.keyHash[:]) == 1
			if !enabled || !ok || !equal {
				w.Header().Set("WWW-Authenticate", "Bearer")
				h.fail(w, &Error{Op: "authorize", Kind: KindUnauthorized})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.backend.Ready(); err != nil {
		h.fail(w, &Error{Op: "ready", Kind: KindUnavailable, Err: err})
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *handler) configuration(w http.ResponseWriter, _ *http.Request) {
	c := h.backend.Configuration()
	if c == nil {
		h.fail(w, &Error{Op: "get configuration", Kind: KindUnavailable, Err: errors.New("this daemon has none yet")})
		return
	}
	h.reply(w, http.StatusOK, c)
}

func (h *handler) propose(w http.ResponseWriter, r *http.Request) {
	const op = "propose change"
	var change fescuelatch.Change
	if err := decodeStrict(http.MaxBytesReader(w, r.Body, maxChangeBytes), &change); err != nil {
		kind := KindInvalid
		if intake.Refused(err) {
			kind = KindUnavailable
		}
		h.fail(w, &Error{Op: op, Kind: kind, Err: err})
		return
	}
	if change.ID == "" || change.Digest == "" {
		h.fail(w, &Error{Op: op, Kind: KindInvalid, Err: errors.New("the change lacks its id or digest")})
		return
	}
	// The proposal continues when the operator's connection breaks: canceling
	// it would only leave its outcome unknown.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), h.timeout)
	defer cancel()
	result, err := h.backend.Propose(ctx, &change)
	if err != nil {
		h.fail(w, asError(op, KindUnknown, err))
		return
	}
	h.reply(w, http.StatusOK, result)
}

func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	const op = "list changes"
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			h.fail(w, &Error{Op: op, Kind: KindInvalid, Err: errors.Errorf("limit %q is not within 1 to %d", text, maxHistoryLimit)})
			return
		}
		limit = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout)
	defer cancel()
	changes, err := h.backend.History(ctx, limit)
	if err != nil {
		h.fail(w, asError(op, KindUnavailable, err))
		return
	}
	h.reply(w, http.StatusOK, historyBody{Changes: changes})
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout)
	defer cancel()
	s, err := h.backend.Status(ctx)
	if err != nil {
		h.fail(w, asError("get status", KindUnavailable, err))
		return
	}
	h.reply(w, http.StatusOK, s)
}

func (h *handler) state(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout)
	defer cancel()
	d, err := h.backend.Dump(ctx)
	if err != nil {
		h.fail(w, asError("dump state", KindUnavailable, err))
		return
	}
	h.reply(w, http.StatusOK, d)
}

// reply encodes body before it writes, so that a failure yields an error answer.
func (h *handler) reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		h.fail(w, &Error{Op: "encode answer", Kind: KindInternal, Err: err})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(append(b, '\n')); err != nil {
		h.log.Debug("writing the answer to the operator failed", "error", err)
	}
}

// fail writes the status and body for the kind of e.
func (h *handler) fail(w http.ResponseWriter, e *Error) {
	h.log.Info("operator request failed", "op", e.Op, "kind", e.Kind, "error", e.Err)
	if e.Kind == KindConflict && e.Winner != nil {
		h.reply(w, http.StatusConflict, e.Winner)
		return
	}
	if e.Kind == KindUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	body := failureBody{Kind: e.Kind, Faults: e.Faults}
	if e.Err != nil {
		body.Message = e.Err.Error()
	}
	h.reply(w, statusOf(e.Kind), body)
}

func statusOf(k ErrorKind) int {
	switch k {
	case KindInvalid:
		return http.StatusBadRequest
	case KindUnauthorized:
		return http.StatusUnauthorized
	case KindConflict:
		return http.StatusConflict
	case KindFaults:
		return http.StatusUnprocessableEntity
	case KindUnavailable:
		return http.StatusServiceUnavailable
	case KindUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// asError returns err as an *Error, with kind k if it is of another type.
func asError(op string, k ErrorKind, err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Op: op, Kind: k, Err: err}
}

// decodeStrict decodes one JSON value and rejects unknown fields and trailing
// data.
func decodeStrict(r io.Reader, v any) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return errors.WithStack(err)
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.WithStack(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text after the JSON value")
	}
	return nil
}
