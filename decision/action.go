package decision

import (
	"time"

	"fescuelatch"
)

// This file defines the actions that the core returns.

// Action is an instruction concerning one request.
type Action interface {
	// Of returns the request that the action belongs to.
	Of() fescuelatch.RequestID
}

// Start starts an attempt at an endpoint that this daemon owns.
type Start struct {
	Request  fescuelatch.RequestID
	Attempt  fescuelatch.AttemptID
	Endpoint fescuelatch.EndpointID
	Version  fescuelatch.VersionID
	Timeouts InactivityTimeouts
	// Hedge, if set, is why this attempt is made beside the current one, which goes on.
	Hedge HedgeReason
}

// Forward starts an attempt through the daemon on VM, which owns an endpoint
// that serves Version, or reaches one while this daemon reaches none.
type Forward struct {
	Request  fescuelatch.RequestID
	Attempt  fescuelatch.AttemptID
	VM       fescuelatch.VMID
	Version  fescuelatch.VersionID
	Timeouts InactivityTimeouts
	// Attempts is the number of endpoints that the other daemon may send the request to.
	Attempts int
	// Hedge, if set, is why this attempt is made beside the current one, which goes on.
	Hedge HedgeReason
}

// KeptReason is the reason why an answer was not abandoned for a better version.
type KeptReason string

// Reasons for keeping an answer.
const (
	KeptLast       KeptReason = "last" // no better version, no confidence, or no escalation policy
	KeptConfidence KeptReason = "confidence"
	KeptAttempts   KeptReason = "attempts"
	KeptDeadline   KeptReason = "deadline"
	KeptBudget     KeptReason = "retry-budget"
	KeptCapacity   KeptReason = "no-capacity"
	KeptPrompt     KeptReason = "prompt"     // it may crash another endpoint
	KeptSent       KeptReason = "sent"       // the caller has part of an answer
	KeptSingleRun  KeptReason = "single-run" // the request may run once only
)

// Relay passes the answer of an attempt on to the caller as it arrives.
type Relay struct {
	Request fescuelatch.RequestID
	Attempt fescuelatch.AttemptID
	Kept    KeptReason
}

// Abandon cancels an attempt. If it is the current one, its hedge becomes current.
type Abandon struct {
	Request fescuelatch.RequestID
	Attempt fescuelatch.AttemptID
	// Replaced reports that the attempt was unresponsive, and has a hedge for that.
	Replaced bool
}

// Rate requests a rating of the answer of an attempt before it is accepted.
type Rate struct {
	Request fescuelatch.RequestID
	Attempt fescuelatch.AttemptID
	Version fescuelatch.VersionID
	// Timeout is the timeout of the rating.
	Timeout time.Duration
}

// Accept ends a request with the answer of an attempt. Sample requests a
// later rating, for learning only.
type Accept struct {
	Request  fescuelatch.RequestID
	Attempt  fescuelatch.AttemptID
	Version  fescuelatch.VersionID
	Attempts int
	Sample   bool
	// Health is that of Version; empty if forwarded or a service call.
	Health fescuelatch.Health
}

// Refuse ends a request that has not run.
type Refuse struct {
	Request    fescuelatch.RequestID
	Reason     Reason
	RetryAfter time.Duration
	// Cause is why the last attempt was refused, if room was short.
	Cause fescuelatch.RefusalCause
}

// Fail ends a request that may have run.
type Fail struct {
	Request fescuelatch.RequestID
	Reason  Reason
}

// Drop ends a canceled request without a response.
type Drop struct{ Request fescuelatch.RequestID }

// Reason is the reason why a request was not answered.
type Reason string

// Reasons for Refuse and Fail.
const (
	ReasonNoVersion  Reason = "no-version-allowed"
	ReasonQuality    Reason = "quality-not-available"
	ReasonWithdrawn  Reason = "version-withdrawn"
	ReasonNoCapacity Reason = "no-capacity"
	ReasonDeadline   Reason = "deadline"
	// ReasonPlatformUnavailable means that a required claim could not be made.
	ReasonPlatformUnavailable Reason = "platform-away"
	ReasonNoEndpoint          Reason = "no-endpoint"
	ReasonNotStarted          Reason = "not-started"
	ReasonStopping            Reason = "stopping"
	ReasonBroken              Reason = "broken"
	// ReasonBlocked means that the request, or a part of its prompt, crashes endpoints.
	ReasonBlocked  Reason = "blocked-prompt"
	ReasonNoConfig Reason = "no-configuration"
	// ReasonRejected means that no endpoint would start the request.
	ReasonRejected Reason = "rejected"
)

// Of implements Action.
func (a Start) Of() fescuelatch.RequestID { return a.Request }

// Of implements Action.
func (a Forward) Of() fescuelatch.RequestID { return a.Request }

// Of implements Action.
func (a Relay) Of() fescuelatch.RequestID { return a.Request }

// Of implements Action.
func (a Abandon) Of() fescuelatch.RequestID { return a.Request }

// Of implements Action.
func (a Rate) Of() fescuelatch.RequestID { return a.Request }

// Of implements Action.
func (a Accept) Of() fescuelatch.RequestID { return a.Request }

// Of implements Action.
func (a Refuse) Of() fescuelatch.RequestID { return a.Request }

// Of implements Action.
func (a Fail) Of() fescuelatch.RequestID { return a.Request }

// Of implements Action.
func (a Drop) Of() fescuelatch.RequestID { return a.Request }

var (
	_ Action = Start{}
	_ Action = Forward{}
	_ Action = Relay{}
	_ Action = Abandon{}
	_ Action = Rate{}
	_ Action = Accept{}
	_ Action = Refuse{}
	_ Action = Fail{}
	_ Action = Drop{}
)
