package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/intake"
	"fescuelatch/openai"
)

// This file defines the HTTP handlers.

const (
	maxBodyBytes = 4 << 20
	// prefixBytes is the length of the prompt prefix that is hashed for cache
	// affinity.
	prefixBytes = 256
	// bytesPerToken is for estimating the tokens of a prompt.
	bytesPerToken = 4
	// defaultOutputTokens is the expected answer length when the caller sets
	// no max_tokens.
	defaultOutputTokens = 256
	// generatedKeyPrefix starts the claim keys of requests without an
	// idempotency key. Its NUL byte is invalid in header values.
	generatedKeyPrefix = "request\x00"
	// modelAuto selects any model that the account may use.
	modelAuto = "auto"
)

// Call is a validated request with the data needed to run it.
type Call struct {
	Request *fescuelatch.Request
	Share   float64
	// Attempt is set when another daemon forwards the request.
	Attempt fescuelatch.AttemptID
	// Chat is set for chat completions. Body is the raw request body.
	Chat *openai.ChatRequest
	Body []byte
	// Key is the caller's idempotency key, or empty.
	Key string
	// ClaimKey identifies a request that must not be repeated: the idempotency
	// key, or a key generated from the request ID.
	ClaimKey string
	// Session is the session header: a token or a bare identifier.
	// SessionPolicy allows the session to continue on another version after
	// its own has been withdrawn.
	Session     string
	SessionMove bool
}

// Backend runs requests.
type Backend interface {
	// View returns the active configuration, or nil.
	View() *fescuelatch.View
	// Serve runs a request and writes exactly one answer to r. It returns
	// when the answer has been written or ctx is done.
	Serve(ctx context.Context, c *Call, r *Reply)
}

// Options configures the handler.
type Options struct {
	Backend Backend
	// Now returns the current time.
	Now func() time.Time
	// NewID returns a new unique request identifier.
	NewID func() fescuelatch.RequestID
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(o Options) http.Handler {
	s := &server{Options: o}
	m := mux.NewRouter()
	m.Methods(http.MethodPost).Path("/v1/chat/completions").HandlerFunc(s.chat)
	m.Methods(http.MethodPost).Path("/v1/services/{service}/{operation}").HandlerFunc(s.service)
	m.Methods(http.MethodGet).Path("/v1/models").HandlerFunc(s.models)
	m.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, "", &Error{"route", KindNotFound, errors.Errorf("%s %s is not served here", r.Method, r.URL.Path)})
	})
	return m
}

type server struct{ Options }

// begin authenticates a request and reads its headers and body. On failure it
// writes the error answer and returns false.
func (s *server) begin(w http.ResponseWriter, r *http.Request) (*incomingRequest, bool) {
	a := &incomingRequest{id: s.NewID(), at: s.Now(), view: s.Backend.View()}
	if err := s.read(w, r, a); err != nil {
		s.fail(w, a.id, err)
		return nil, false
	}
	return a, true
}

// incomingRequest is an authenticated request with validated headers and size.
type incomingRequest struct {
	id      fescuelatch.RequestID
	at      time.Time
	view    *fescuelatch.View
	account *fescuelatch.Account
	options options
	body    []byte
}

func (s *server) read(w http.ResponseWriter, r *http.Request, a *incomingRequest) error {
	if a.view == nil {
		return &Error{"read request", KindUnavailable, errors.New("no configuration is in force here")}
	}
	account, ok := a.view.AccountByKey(bearerToken(r.Header))
	if !ok {
		return &Error{"read request", KindUnauthenticated, errors.New("the bearer key belongs to no client account")}
	}
	a.account = account
	o, err := parseOptions(r.Header)
	if err != nil {
		return err
	}
	if o.quality < 0 {
		o.quality = account.DefaultQuality
	}
	a.options = o
	if r.Method == http.MethodGet {
		return nil
	}
	a.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &Error{"read request", KindTooLarge, errors.Errorf("the body is larger than %d bytes", maxBodyBytes)}
	}
	if intake.Refused(err) {
		return &Error{"read request", KindUnavailable, err}
	}
	if err != nil {
		return &Error{"read request", KindInvalid, errors.Wrap(err, "read body")}
	}
	return nil
}

func (a *incomingRequest) request() *fescuelatch.Request {
	return &fescuelatch.Request{
		ID: a.id, Account: a.account.ID, Quality: a.options.quality, Priority: a.options.priority,
		Arrived: a.at, Deadline: a.at.Add(a.options.timeout),
	}
}

func (s *server) chat(w http.ResponseWriter, r *http.Request) {
	a, ok := s.begin(w, r)
	if !ok {
		return
	}
	chat := new(openai.ChatRequest)
	if err := json.Unmarshal(a.body, chat); err != nil {
		s.fail(w, a.id, &Error{"decode chat request", KindInvalid, err})
		return
	}
	q := a.request()
	if err := selectModel(a, chat.Model, q); err != nil {
		s.fail(w, a.id, err)
		return
	}
	setChatFields(q, chat)
	c := &Call{
		Request: q, Share: a.account.Share, Chat: chat, Body: a.body, Key: a.options.key,
		Session: a.options.session, SessionMove: a.options.allowSessionMove,
	}
	s.Backend.Serve(r.Context(), c, NewReply(w, string(a.id)))
}

// setChatFields sets the fields of q that routing needs from a chat request.
func setChatFields(q *fescuelatch.Request, chat *openai.ChatRequest) {
	prompt := chat.Prompt()
	q.Idempotent = true
	q.Streamed = chat.Stream
	q.PromptTokens = len(prompt)/bytesPerToken + 1
	q.OutputTokens = defaultOutputTokens
	if chat.MaxTokens > 0 {
		q.OutputTokens = chat.MaxTokens
	}
	q.Prefix = xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// selectModel sets the model or version of q from the requested name.
func selectModel(a *incomingRequest, name string, q *fescuelatch.Request) error {
	const op = "select model"
	if name == modelAuto {
		return nil
	}
	if v, ok := a.view.Version(fescuelatch.VersionID(name)); ok {
		if !a.view.Allowed(a.account, v) {
			return &Error{op, KindForbidden, errors.Errorf("the account may not use %q", name)}
		}
		q.Model = v.Model
		q.Version = v.ID
		return nil
	}
	versions := a.view.VersionsOf(fescuelatch.ModelID(name))
	if name == "" || len(versions) == 0 {
		return &Error{op, KindNotFound, errors.Errorf("unknown model %q", name)}
	}
	for _, v := range versions {
		if a.view.Allowed(a.account, v) {
			q.Model = v.Model
			return nil
		}
	}
	return &Error{op, KindForbidden, errors.Errorf("the account may not use %q", name)}
}

func (s *server) service(w http.ResponseWriter, r *http.Request) {
	a, ok := s.begin(w, r)
	if !ok {
		return
	}
	const op = "select service"
	vars := mux.Vars(r)
	service := fescuelatch.ServiceID(vars["service"])
	operation, ok := a.view.Operation(service, fescuelatch.OperationID(vars["operation"]))
	if !ok {
		s.fail(w, a.id, &Error{op, KindNotFound, errors.Errorf("unknown operation %s/%s", vars["service"], vars["operation"])})
		return
	}
	if !a.view.AllowedService(a.account, service) {
		s.fail(w, a.id, &Error{op, KindForbidden, errors.Errorf("the account may not use %q", service)})
		return
	}
	if len(a.body) > 0 && !json.Valid(a.body) {
		s.fail(w, a.id, &Error{op, KindInvalid, errors.New("the body is not JSON")})
		return
	}
	q := a.request()
	q.Service = service
	q.Operation = operation.ID
	q.Idempotent = operation.Idempotent
	c := &Call{Request: q, Share: a.account.Share, Body: a.body, Key: a.options.key, ClaimKey: a.options.key}
	if c.ClaimKey == "" {
		c.ClaimKey = generatedKeyPrefix + string(a.id)
	}
	s.Backend.Serve(r.Context(), c, NewReply(w, string(a.id)))
}

func (s *server) models(w http.ResponseWriter, r *http.Request) {
	a, ok := s.begin(w, r)
	if !ok {
		return
	}
	list := &openai.ModelList{Object: "list", Data: []openai.Model{{ID: modelAuto, Object: "model", OwnedBy: "fescuelatch"}}}
	seen := make(map[fescuelatch.ModelID]bool)
	for _, v := range a.view.VersionsOf("") {
		if !a.view.Allowed(a.account, v) || a.view.Withdrawn(v.ID) {
			continue
		}
		if !seen[v.Model] {
			seen[v.Model] = true
			list.Data = append(list.Data, openai.Model{ID: string(v.Model), Object: "model", OwnedBy: "fescuelatch"})
		}
		list.Data = append(list.Data, openai.Model{ID: string(v.ID), Object: "model", OwnedBy: "fescuelatch"})
	}
	_ = NewReply(w, "").writeJSON(http.StatusOK, list)
}

// fail writes the error answer of a rejected request, which has not run.
func (s *server) fail(w http.ResponseWriter, id fescuelatch.RequestID, err error) {
	var e *Error
	failure := Failure{Status: http.StatusBadRequest, Code: string(KindInvalid), Message: err.Error(), Outcome: fescuelatch.OutcomeNotRun}
	if errors.As(err, &e) {
		failure.Code = string(e.Kind)
		failure.Status, failure.RetryAfter = statusOf(e.Kind)
	}
	_ = NewReply(w, "").Fail(Meta{Request: id}, failure)
}

const unavailableRetryAfter = time.Second

func statusOf(k Kind) (int, time.Duration) {
	switch k {
	case KindUnauthenticated:
		return http.StatusUnauthorized, 0
	case KindForbidden:
		return http.StatusForbidden, 0
	case KindNotFound:
		return http.StatusNotFound, 0
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge, 0
	case KindUnavailable:
		return http.StatusServiceUnavailable, unavailableRetryAfter
	default:
		return http.StatusBadRequest, 0
	}
}
