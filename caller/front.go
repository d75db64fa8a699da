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
	"fescuelatch/openai"
)

// This file defines the HTTP handlers.

const (
	maxBodyBytes = 4 << 20
	// prefixBytes is the length of the leading part of a prompt that stands
	// for it in cache affinity.
	prefixBytes = 256
	// bytesPerToken estimates the tokens of a prompt.
	bytesPerToken = 4
	// defaultOutputTokens is the expected length of an answer that is not
	// bounded by the caller.
	defaultOutputTokens = 256
	// ownKeyPrefix begins the claim keys of requests without an idempotency
	// key. It holds a character that no header value may have.
	ownKeyPrefix = "request\x00"
	// modelAuto asks for any model that the account may use.
	modelAuto = "auto"
)

// Call is one request of a caller, checked, with what is needed to run it.
type Call struct {
	Request *fescuelatch.Request
	Share   float64
	// Attempt is set when another daemon forwards the request.
	Attempt fescuelatch.AttemptID
	// Chat is set for chat completions. Body is what the caller sent.
	Chat *openai.ChatRequest
	Body []byte
	// Key is the caller's idempotency key, or empty.
	Key string
	// ClaimKey identifies a request that must not be repeated: the
	// idempotency key, or one of the request's own.
	ClaimKey string
	// Session is the session header: a token or a bare identifier.
	// SessionMove reports that the session may go on with another version
	// when its own has been withdrawn.
	Session     string
	SessionMove bool
}

// Backend runs requests.
type Backend interface {
	// View returns the configuration in force, or nil.
	View() *fescuelatch.View
	// Serve runs a request and writes exactly one answer to r. It returns
	// when the answer has been written or ctx has ended.
	Serve(ctx context.Context, c *Call, r *Reply)
}

// Options configure a front.
type Options struct {
	Backend Backend
	// Now is the clock.
	Now func() time.Time
	// NewID returns a new unique request identifier.
	NewID func() fescuelatch.RequestID
}

// NewHandler returns the callers' front.
func NewHandler(o Options) http.Handler {
	f := &front{Options: o}
	m := mux.NewRouter()
	m.Methods(http.MethodPost).Path("/v1/chat/completions").HandlerFunc(f.chat)
	m.Methods(http.MethodPost).Path("/v1/services/{service}/{operation}").HandlerFunc(f.service)
	m.Methods(http.MethodGet).Path("/v1/models").HandlerFunc(f.models)
	m.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.fail(w, "", &Error{"route", KindNotFound, errors.Errorf("%s %s is not served here", r.Method, r.URL.Path)})
	})
	return m
}

type front struct{ Options }

// begin authenticates a request and reads its headers and body. It writes
// the error answer itself when it returns false.
func (f *front) begin(w http.ResponseWriter, r *http.Request) (*arrival, bool) {
	a := &arrival{id: f.NewID(), at: f.Now(), view: f.Backend.View()}
	if err := f.read(w, r, a); err != nil {
		f.fail(w, a.id, err)
		return nil, false
	}
	return a, true
}

// arrival is a request whose sender, headers and size have been checked.
type arrival struct {
	id      fescuelatch.RequestID
	at      time.Time
	view    *fescuelatch.View
	account *fescuelatch.Account
	options options
	body    []byte
}

func (f *front) read(w http.ResponseWriter, r *http.Request, a *arrival) error {
	if a.view == nil {
		return &Error{"read request", KindUnavailable, errors.New("no configuration is in force here")}
	}
	account, ok := a.view.AccountByKey(bearer(r.Header))
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
	if err != nil {
		return &Error{"read request", KindInvalid, errors.Wrap(err, "read body")}
	}
	return nil
}

func (a *arrival) request() *fescuelatch.Request {
	return &fescuelatch.Request{
		ID: a.id, Account: a.account.ID, Quality: a.options.quality, Priority: a.options.priority,
		Arrived: a.at, Deadline: a.at.Add(a.options.timeout),
	}
}

func (f *front) chat(w http.ResponseWriter, r *http.Request) {
	a, ok := f.begin(w, r)
	if !ok {
		return
	}
	chat := new(openai.ChatRequest)
	if err := json.Unmarshal(a.body, chat); err != nil {
		f.fail(w, a.id, &Error{"decode chat request", KindInvalid, err})
		return
	}
	q := a.request()
	if err := selectModel(a, chat.Model, q); err != nil {
		f.fail(w, a.id, err)
		return
	}
	describe(q, chat)
	c := &Call{
		Request: q, Share: a.account.Share, Chat: chat, Body: a.body, Key: a.options.key,
		Session: a.options.session, SessionMove: a.options.move,
	}
	f.Backend.Serve(r.Context(), c, NewReply(w, string(a.id)))
}

// describe fills in what decisions need to know of a chat request.
func describe(q *fescuelatch.Request, chat *openai.ChatRequest) {
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

// selectModel sets the model or version that name stands for.
func selectModel(a *arrival, name string, q *fescuelatch.Request) error {
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

func (f *front) service(w http.ResponseWriter, r *http.Request) {
	a, ok := f.begin(w, r)
	if !ok {
		return
	}
	const op = "select service"
	vars := mux.Vars(r)
	service := fescuelatch.ServiceID(vars["service"])
	operation, ok := a.view.Operation(service, fescuelatch.OperationID(vars["operation"]))
	if !ok {
		f.fail(w, a.id, &Error{op, KindNotFound, errors.Errorf("unknown operation %s/%s", vars["service"], vars["operation"])})
		return
	}
	if !a.view.AllowedService(a.account, service) {
		f.fail(w, a.id, &Error{op, KindForbidden, errors.Errorf("the account may not use %q", service)})
		return
	}
	if len(a.body) > 0 && !json.Valid(a.body) {
		f.fail(w, a.id, &Error{op, KindInvalid, errors.New("the body is not JSON")})
		return
	}
	q := a.request()
	q.Service = service
	q.Operation = operation.ID
	q.Idempotent = operation.Idempotent
	c := &Call{Request: q, Share: a.account.Share, Body: a.body, Key: a.options.key, ClaimKey: a.options.key}
	if c.ClaimKey == "" {
		c.ClaimKey = ownKeyPrefix + string(a.id)
	}
	f.Backend.Serve(r.Context(), c, NewReply(w, string(a.id)))
}

func (f *front) models(w http.ResponseWriter, r *http.Request) {
	a, ok := f.begin(w, r)
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
	_ = NewReply(w, "").json(http.StatusOK, list)
}

// fail answers a request that was not accepted. Nothing has run.
func (f *front) fail(w http.ResponseWriter, id fescuelatch.RequestID, err error) {
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
