package fescuelatch

import "time"

// This file defines requests, attempts, their results and bills.

// Priority orders requests that are queued for the same endpoint.
type Priority int

// Priorities of a request. The zero value is the default.
const (
	PriorityNormal Priority = 0
	PriorityLow    Priority = -1
	PriorityHigh   Priority = 1
)

// Outcome is the result of a request that is reported to its caller.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered means that the caller received the complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no endpoint has executed or will execute the
	// request. It is reported only if this is certain.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Request is the part of a caller's request that decisions depend on. It is
// immutable once passed to the decision core.
type Request struct {
	ID      RequestID `json:"id"`
	Account AccountID `json:"account"`
	// Model and Version select model engines; Version pins one version.
	Model   ModelID   `json:"model,omitempty"`
	Version VersionID `json:"version,omitempty"`
	// Service and Operation select a plain service.
	Service   ServiceID   `json:"service,omitempty"`
	Operation OperationID `json:"operation,omitempty"`
	// Quality is the minimum expected share of good answers, from 0 to 1.
	Quality  float64   `json:"quality,omitempty"`
	Priority Priority  `json:"priority,omitempty"`
	Arrived  time.Time `json:"arrived"`
	Deadline time.Time `json:"deadline"`
	// Session is the version that the session is bound to, if any.
	Session VersionID `json:"session-version,omitempty"`
	// Idempotent reports that the request may be repeated.
	Idempotent bool `json:"idempotent"`
	Streamed   bool `json:"streamed,omitempty"`
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int `json:"prompt-tokens,omitempty"`
	OutputTokens int `json:"output-tokens,omitempty"`
	// BodyBytes is the length of an opaque request's body.
	BodyBytes int `json:"body-bytes,omitempty"`
	// Prefix is a hash of the prompt's leading part, for cache affinity.
	Prefix uint64 `json:"prefix,omitempty"`
	// Forwarded reports that another daemon accepted the request and asks
	// for an attempt at an endpoint that this daemon owns.
	Forwarded bool `json:"forwarded,omitempty"`
	// Delegated reports that another daemon, which reaches no endpoint, has passed
	// the request on. It is planned here, and not passed on again.
	Delegated bool `json:"delegated,omitempty"`

	// Route is the route of an opaque request, and Ladder the models that it
	// may run on, cheapest first; Model is then empty.
	Route  RouteID   `json:"route,omitempty"`
	Ladder []ModelID `json:"ladder,omitempty"`
	// Resumable reports that an endpoint can continue a stream that another
	// one began.
	Resumable bool `json:"resumable,omitempty"`
	// MaxAttempts limits the endpoints that the request is sent to; zero
	// selects the limit of the decision core.
	MaxAttempts int `json:"max-attempts,omitempty"`
	// Rank orders opaque requests under load; 0 is the most urgent.
	Rank int `json:"rank,omitempty"`
	// TargetLatency is the target time to the first output; zero means no
	// target.
	TargetLatency time.Duration `json:"target-latency,omitempty"`
	// TargetGap is the target time between two outputs.
	TargetGap time.Duration `json:"target-gap,omitempty"`
	// Parts are the leading parts of the prompt, in order.
	Parts []PromptPart `json:"parts,omitempty"`
	// Fingerprint is equal in requests that ask for the same: a hash of the method,
	// path, client account and body of an opaque request.
	Fingerprint string `json:"fingerprint,omitempty"`
	// QuerylessFingerprint is equal in requests that differ in the query only. It is empty
	// for requests without a query, and for those without a body, which would share it with
	// too many others.
	QuerylessFingerprint string `json:"queryless-fingerprint,omitempty"`
	// SessionKey identifies the session of an opaque request.
	SessionKey string `json:"session-key,omitempty"`
}

// IsService reports whether r addresses a plain service.
func (r *Request) IsService() bool { return r.Service != "" }

// AttemptStatus is the final status of an attempt.
type AttemptStatus string

// Statuses of an attempt.
const (
	// AttemptAnswered means that the complete answer arrived.
	AttemptAnswered AttemptStatus = "answered"
	// AttemptNotStarted means that no byte of the request reached the
	// endpoint, or the endpoint reported that it did not run it.
	AttemptNotStarted AttemptStatus = "not-started"
	// AttemptBroken means that the request may have run, wholly or in part.
	AttemptBroken AttemptStatus = "broken"
	// AttemptExpired means that the request's deadline passed during the
	// attempt. The request may have run.
	AttemptExpired AttemptStatus = "expired"
	// AttemptCancelled means that the caller disconnected, or that another
	// attempt has taken over.
	AttemptCancelled AttemptStatus = "cancelled"
	// AttemptFailed means that the endpoint ran the request and answered with
	// an error of its own.
	AttemptFailed AttemptStatus = "failed"
)

// AttemptResult describes a finished attempt.
type AttemptResult struct {
	Attempt      AttemptID     `json:"attempt"`
	Endpoint     EndpointID    `json:"endpoint"`
	Version      VersionID     `json:"version,omitempty"`
	Status       AttemptStatus `json:"status"`
	PromptTokens int           `json:"prompt-tokens"`
	OutputTokens int           `json:"output-tokens"`
	// FirstToken and Total are the times from dispatch to the first token and
	// to the end.
	FirstToken time.Duration `json:"first-token"`
	Total      time.Duration `json:"total"`
	// RetryAfter is the delay advised by the endpoint or owner that did not
	// start the attempt.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	// Overloaded reports that the endpoint, or its owner's gate, refused the
	// attempt for lack of capacity.
	Overloaded bool `json:"overloaded,omitempty"`
	// PlatformUnavailable reports that the attempt was not made because it needs a
	// claim and the platform is unavailable.
	PlatformUnavailable bool `json:"platform-away,omitempty"`
	// Final reports that further attempts would not be started either, or could not
	// continue what the caller has received.
	Final bool `json:"final,omitempty"`
	// Relayed reports that the caller has received all of the answer of a failed attempt.
	Relayed bool `json:"relayed,omitempty"`
	// Unsent reports that the attempt ended before anything was sent to the
	// endpoint, and so is no evidence on it.
	Unsent bool `json:"unsent,omitempty"`
	// Unreachable reports that connecting to the endpoint failed, or that it
	// became unresponsive.
	Unreachable bool `json:"unreachable,omitempty"`
	// WrongEndpoint reports that another endpoint answered at its address.
	WrongEndpoint bool `json:"misplaced,omitempty"`
	// Replaced reports that the endpoint was unresponsive, which its gate knows, and that
	// another attempt has taken over.
	Replaced bool `json:"replaced,omitempty"`
	// EndpointGone reports that the endpoint terminated, or was disconnected, during
	// the attempt, which then shows nothing of its version.
	EndpointGone bool `json:"gone,omitempty"`
	// EndpointEnded reports that the endpoint terminated during the attempt, which then
	// does not count against MaxAttempts. An endpoint that cannot be reached may still
	// run the attempt.
	EndpointEnded bool `json:"ended,omitempty"`
	// Crashed reports that the endpoint's process ended before the answer was under
	// way.
	Crashed bool `json:"crashed,omitempty"`
	// Lasted reports that the answer had lasted at this endpoint, so that the request is no
	// cause of its end.
	Lasted bool `json:"lasted,omitempty"`
}

// Bill is the record of one answered request.
type Bill struct {
	Request      RequestID   `json:"request"`
	Account      AccountID   `json:"account"`
	Version      VersionID   `json:"version,omitempty"`
	Service      ServiceID   `json:"service,omitempty"`
	Operation    OperationID `json:"operation,omitempty"`
	PromptTokens int         `json:"prompt-tokens"`
	OutputTokens int         `json:"output-tokens"`
	// Cost is the total of all attempts, in millionths of the billing
	// currency.
	Cost     int64     `json:"cost"`
	Attempts int       `json:"attempts"`
	Ended    time.Time `json:"ended"`
	// Key is the caller's idempotency key, if any: all repeats of the request
	// share one bill.
	Key string `json:"key,omitempty"`
}
