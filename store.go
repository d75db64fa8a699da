package fescuelatch

import (
	"context"
	"net/http"
	"time"
)

// This file defines the interfaces to a platform that keeps the deployment,
// the endpoint registrations and the rollout records in one store, and that
// has its own headers.

// Store is a platform's store. It is safe for concurrent use. A write whose
// error kind is an unknown outcome may have taken effect, or may do so later.
type Store interface {
	// Scan returns the complete content of the store. Changes continues from
	// the revision of the result.
	Scan(ctx context.Context) (Changes, error)
	// Changes waits up to wait for changes after a revision. ErrCompacted
	// and ErrExcessive mean that a Scan is needed.
	Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Txn runs a transaction of puts and deletes without an Else.
	Txn(ctx context.Context, t KVTxn) (KVTxnResult, error)
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns the time left, or zero if it has
	// expired.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Reconnect has further calls made on new connections: those in use may be broken.
	Reconnect()
}

// Changes are changed keys of the store as of a revision.
type Changes struct {
	Revision int64
	// Era counts how often the store was restored from a backup: writes
	// acknowledged after the backup are then lost, and revisions are reused.
	// Zero means that the store does not report it.
	Era   int64
	Items []StoredItem
}

// StoredItem is a key-value pair of the store, or the removal of a key.
type StoredItem struct {
	KeyValue
	Removed bool
}

// Subject is the object that a key of the store describes.
type Subject struct {
	Kind SubjectKind
	// ID names the endpoint, service, failure domain or record.
	ID string
}

// SubjectKind is the kind of a Subject.
type SubjectKind string

// Kinds of subjects.
const (
	SubjectOther      SubjectKind = "other"
	SubjectDeployment SubjectKind = "deployment"
	SubjectEndpoint   SubjectKind = "endpoint"
	SubjectRollout    SubjectKind = "rollout"
	SubjectStatus     SubjectKind = "rollout-status"
	SubjectDomainOut  SubjectKind = "failure-domain-out"
	// SubjectRecord is a record that the daemons keep for themselves.
	SubjectRecord SubjectKind = "record"
)

// StoreCodec decodes and encodes the keys and values of a platform's store.
type StoreCodec interface {
	// Subject returns the object that a key describes.
	Subject(key string) Subject
	// Deployment, Registration, RolloutOrder and RolloutStatus decode the
	// values of subjects of their kinds.
	Deployment(value []byte) (*Deployment, error)
	Registration(id string, value []byte) (Registration, error)
	RolloutOrder(kv KeyValue) (RolloutOrder, error)
	RolloutStatus(kv KeyValue) (RolloutStatus, error)
	// EncodeStatus returns the key and value of a status.
	EncodeStatus(s RolloutStatus) (key string, value []byte, err error)
	// RecordKey returns the key of a SubjectRecord.
	RecordKey(id string) string
}

// CallHeaders are the decoded headers of an opaque request.
type CallHeaders struct {
	// Call is the caller's identifier of this attempt at its request.
	Call string
	// Deadline is how long the caller waits; zero if unspecified.
	Deadline time.Duration
	// Key is the client account's key.
	Key string
	// Model is the requested model.
	Model        string
	PromptTokens int
	OutputTokens int
	Parts        []PromptPart
	Session      string
	// LastEvent is the last event of a stream that the caller received.
	LastEvent string
	// Delegated reports that another daemon, which reaches no endpoint, has passed the
	// request on, of whose attempts a number was made by it or is kept for others.
	Delegated bool
	Attempts  int
	// State is what that daemon knows, and what must be known to handle the request. It
	// is zero if the daemon is of an earlier build.
	State StateVersion
}

// DelegatedHeaders are the header values that a daemon sends with a request that it
// passes on to another one.
type DelegatedHeaders struct {
	// TimeLeft is the time left until the request's deadline.
	TimeLeft time.Duration
	// LastEvent, if set, replaces the caller's last event.
	LastEvent string
	// Attempts is the number of attempts of the route that are not that daemon's to make:
	// they have been made, or are kept for others.
	Attempts int
	// State is what must be known to handle the request.
	State StateVersion
}

// AttemptHeaders are the header values that an attempt sends to its endpoint.
type AttemptHeaders struct {
	Endpoint EndpointID
	Account  AccountID
	// TimeLeft is the time left until the request's deadline.
	TimeLeft time.Duration
	// Model, if set, replaces the caller's model.
	Model string
	// LastEvent, if set, replaces the caller's last event.
	LastEvent string
	Rank      int
}

// AnswerHeaders are the decoded headers of an endpoint's answer.
type AnswerHeaders struct {
	// Call is the identifier of the answered request.
	Call string
	// ServedBy is the endpoint that answered, in the answer of another daemon.
	ServedBy EndpointID
	// State is what a daemon knows that has refused a request for that, or zero.
	State StateVersion
	// NotRun reports that the endpoint has not run the request and will not.
	NotRun bool
	// Signed reports that an endpoint has signed the answer, as endpoints do with each success.
	Signed bool
	// Confidence is the endpoint's confidence in the answer, from 0 to 1;
	// Rated reports whether it is present.
	Confidence float64
	Rated      bool
	// Load is the endpoint's load; Reported reports whether it is present.
	Load     LoadReport
	Reported bool
	// IdleTimeout is how long the endpoint keeps an idle connection; zero if
	// unspecified.
	IdleTimeout time.Duration
	// RetryAfter is how long the endpoint accepts no further work.
	RetryAfter time.Duration
	// Leaving reports that the endpoint is shutting down.
	Leaving bool
	// Limit is the rate of requests that the endpoint accepts for now, or nil if
	// the header cannot be read.
	Limit *RateLimit
	// Brittle reports that the endpoint crashes if it has to turn away more than
	// MaxRejected requests in a second for want of room.
	Brittle     bool
	MaxRejected int
}

// HeaderCodec decodes and encodes the headers of a platform.
type HeaderCodec interface {
	// ReadCall decodes the headers of a caller's request.
	ReadCall(h http.Header) (CallHeaders, error)
	// WriteAttempt returns the headers of an attempt: the caller's headers
	// that concern the endpoint, and those of a.
	WriteAttempt(caller http.Header, a AttemptHeaders) http.Header
	// ReadAnswer decodes the headers of an endpoint's answer.
	ReadAnswer(h http.Header) AnswerHeaders
	// WriteAnswer copies the headers of an endpoint's answer that concern the
	// caller. If plain is set, it omits those that prove the endpoint's
	// authorship, for an answer with a different status.
	WriteAnswer(to, from http.Header, plain bool)
	// WriteDelegated returns the headers of a request that is passed on to another
	// daemon: the caller's headers, and those of d.
	WriteDelegated(caller http.Header, d DelegatedHeaders) http.Header
	// WriteState tells the daemon that has passed a request on what this one knows.
	WriteState(to http.Header, v StateVersion)
	// WriteServedBy names the endpoint to the daemon that has passed a request on.
	WriteServedBy(to http.Header, e EndpointID)
	// WriteRefusal writes the delay before a retry.
	WriteRefusal(to http.Header, after time.Duration)
}
