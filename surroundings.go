package fescuelatch

import (
	"context"
	"net/http"
	"time"
)

// This file defines the interfaces towards a platform that keeps the
// deployment, the registrations of endpoints and the records of roll-outs in
// one store, and that has headers of its own.

// Store is a platform's store as the daemons follow and use it. It is safe
// for concurrent use. When an error's kind says that the outcome is unknown,
// a write may have taken effect, or may yet.
type Store interface {
	// Scan returns everything in the store. Changes after the revision of
	// the result complete it.
	Scan(ctx context.Context) (Changes, error)
	// Changes waits until something has changed after a revision, at most
	// for wait. The error ErrHistoryGone says that Scan is needed.
	Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Txn runs a transaction. It takes puts and deletes without an Else.
	Txn(ctx context.Context, t KVTxn) (KVTxnResult, error)
	// Grant creates a lease that ends after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns the time left, or zero when it
	// has ended.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
}

// Changes are keys of the store as of a revision.
type Changes struct {
	Revision int64
	// Era counts how often the store has come back from a copy: what it had
	// acknowledged since the copy was made is gone then, and revisions are
	// given out again. Zero means that the store does not tell.
	Era   int64
	Items []StoredItem
}

// StoredItem is a key of the store, or its removal.
type StoredItem struct {
	KeyValue
	Removed bool
}

// Subject is what a key of the store is about.
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
	// SubjectRecord is a record of the daemons' own.
	SubjectRecord SubjectKind = "record"
)

// Notation decodes and encodes what a platform's store holds.
type Notation interface {
	// Subject says what a key is about.
	Subject(key string) Subject
	// Deployment, Registration, RolloutOrder and RolloutStatus decode the
	// values of subjects of their kinds.
	Deployment(value []byte) (*Deployment, error)
	Registration(id string, value []byte) (Registration, error)
	RolloutOrder(kv KeyValue) (RolloutOrder, error)
	RolloutStatus(kv KeyValue) (RolloutStatus, error)
	// EncodeStatus returns the key and value of a status.
	EncodeStatus(s RolloutStatus) (key string, value []byte, err error)
	// RecordKey returns the key of a record of the daemons' own.
	RecordKey(id string) string
}

// CallHeaders is what the headers of an opaque request say.
type CallHeaders struct {
	// Call is the caller's identifier of this try of its request.
	Call string
	// Deadline is how long the caller waits; zero when it does not say.
	Deadline time.Duration
	// Key is that of the client account.
	Key string
	// Model is the one that the caller asks for.
	Model        string
	PromptTokens int
	OutputTokens int
	Parts        []PromptPart
	Session      string
	// LastEvent is the last event of a stream that the caller has.
	LastEvent string
}

// AttemptHeaders is what an attempt tells its endpoint.
type AttemptHeaders struct {
	Endpoint EndpointID
	Account  AccountID
	// Left is the time that the request has left.
	Left time.Duration
	// Model replaces the caller's choice when it is set.
	Model string
	// LastEvent replaces the caller's when it is set.
	LastEvent string
	Rank      int
}

// AnswerHeaders is what the headers of an endpoint's answer say.
type AnswerHeaders struct {
	// Call is the identifier of the request that is answered.
	Call string
	// NotRun reports that the endpoint has not run the request and will not.
	NotRun bool
	// Confidence is the endpoint's own in the answer, from 0 to 1; Rated
	// reports that it tells one.
	Confidence float64
	Rated      bool
	// Load is the endpoint's load; Reported reports that it tells one.
	Load     LoadReport
	Reported bool
	// IdleTimeout is how long the endpoint keeps an idle connection; zero
	// when it does not say.
	IdleTimeout time.Duration
	// RetryAfter is the time for which the endpoint wants no further work.
	RetryAfter time.Duration
	// Leaving reports that the endpoint is leaving.
	Leaving bool
}

// Dialect reads and writes the headers of a platform.
type Dialect interface {
	// ReadCall reads the headers of a caller's request.
	ReadCall(h http.Header) (CallHeaders, error)
	// WriteAttempt returns the headers of an attempt: those of the caller
	// that concern the endpoint, and what the attempt tells it.
	WriteAttempt(caller http.Header, a AttemptHeaders) http.Header
	// ReadAnswer reads the headers of an endpoint's answer.
	ReadAnswer(h http.Header) AnswerHeaders
	// WriteAnswer copies the headers of an endpoint's answer that concern
	// the caller. Plain leaves out what proves the answer to be the
	// endpoint's, for one with another status.
	WriteAnswer(to, from http.Header, plain bool)
	// WriteRefusal says when to come back.
	WriteRefusal(to http.Header, after time.Duration)
}
