package fescuelatch

import "time"

// This file defines the policy interfaces of the decision core.
// Implementations are single-threaded, perform no I/O and read no clock: the
// caller serialises calls and passes the time, which never decreases.

// Estimate is the estimated quality of a version: the mean share of good
// answers and its confidence interval, all from 0 to 1.
type Estimate struct {
	Mean    float64 `json:"mean"`
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	Samples float64 `json:"samples"`
}

// Health is the verdict on a version.
type Health string

// Verdicts on a version.
const (
	HealthGood        Health = "good"
	HealthSuspect     Health = "suspect"
	HealthQuarantined Health = "quarantined"
)

// Evidence holds the observations of one daemon on one version since Since.
// Daemons exchange evidence; for the same origin and version, the evidence
// with the later Updated replaces the other.
type Evidence struct {
	Origin   Incarnation `json:"origin"`
	Version  VersionID   `json:"version"`
	Since    time.Time   `json:"since"`
	Updated  time.Time   `json:"updated"`
	Rated    float64     `json:"rated"`
	Good     float64     `json:"good"`
	Attempts float64     `json:"attempts"`
	Failed   float64     `json:"failed"`
	// Alarm is the change detector's statistic over the daemon's own
	// observations.
	Alarm float64 `json:"alarm"`
	// LogRatio is the sum of the log-likelihood ratios of all ratings since
	// Since, without decay; peers derive new ratings from its growth.
	LogRatio float64 `json:"log-ratio"`
	// Pooled is the statistic over the ratings of all daemons while the
	// version is quarantined, otherwise 0. It initializes starting daemons.
	Pooled float64 `json:"pooled,omitempty"`
}

// QualityModel learns the quality and health of versions.
type QualityModel interface {
	// Configure replaces the set of versions and their prior quality.
	// Evidence on versions that remain is kept.
	Configure(now time.Time, versions []Version)
	// ObserveRating records that an answer of v was rated score, 0 to 1.
	ObserveRating(now time.Time, v VersionID, score float64)
	// ObserveAttempt records the end of an attempt. Attempts that were not
	// started or were cancelled are not evidence on the version.
	ObserveAttempt(now time.Time, r AttemptResult)
	// Estimate returns the estimate of v; an unknown version has a Low of 0.
	Estimate(now time.Time, v VersionID) Estimate
	// Health returns the verdict on v.
	Health(now time.Time, v VersionID) Health
	// Doubt returns the evidence against v as a fraction of the threshold for
	// a suspicion, from 0 to 1.
	Doubt(now time.Time, v VersionID) float64
	// Evidence returns this daemon's own evidence, ordered by version.
	Evidence(now time.Time) []Evidence
	// Merge merges the evidence of other daemons. It is idempotent, and
	// estimates do not depend on the order of evidence.
	Merge(now time.Time, e []Evidence)
}

// VersionEvidence is the state of a version when a Sampler decides whether to rate
// one of its answers.
type VersionEvidence struct {
	Estimate Estimate
	Health   Health
	Doubt    float64
}

// Exposure counts a version's answers to requests that callers sent to one
// daemon, since the daemon started.
type Exposure struct {
	Answers int64 `json:"answers"`
	// Suspect and Quarantined count the answers accepted while the version
	// was suspect or quarantined.
	Suspect     int64 `json:"suspect"`
	Quarantined int64 `json:"quarantined"`
	// Rated counts rated first answers, accepted or not, and RatedLow those
	// rated too low.
	Rated    int64 `json:"rated"`
	RatedLow int64 `json:"rated-low"`
}

// Sampler decides which answers are rated for learning, within a budget,
// since ratings have a cost.
type Sampler interface {
	// Sample reports whether to rate an answer, given the state of its
	// version. u is uniform in [0, 1) and must not depend on the answer.
	Sample(now time.Time, k VersionEvidence, u float64) bool
	// Spend records a rating that a plan requires, regardless of the budget.
	Spend(now time.Time)
}

// Candidate is a version that a request may run on, with its current state.
type Candidate struct {
	Version  Version
	Estimate Estimate
	Health   Health
	// Spare is the number of further requests that can start immediately
	// within reach of this daemon; it is negative when requests wait.
	Spare int
	// Latency is the expected time to the end of the answer.
	Latency time.Duration
}

// VersionPolicy orders candidates.
type VersionPolicy interface {
	// Plan returns the versions to try in order: each later one is tried if
	// the previous answer was rated too low or its attempt could not be made.
	// Candidates are all allowed, not withdrawn and not
	// quarantined. The plan is empty when no candidate qualifies.
	// u is uniform in [0, 1) and decides all random choices.
	Plan(now time.Time, r *Request, candidates []Candidate, u float64) []VersionID
}

// EscalationPolicy decides whether to abandon an answer that an endpoint has
// begun in favour of the next version of the plan.
type EscalationPolicy interface {
	// Escalate reports whether to abandon the answer.
	Escalate(now time.Time, r *Request, e Escalation) bool
}

// Escalation describes a possible escalation.
type Escalation struct {
	From, To VersionID
	// Confidence is the endpoint's confidence in its answer, from 0 to 1.
	Confidence float64
	// Latency is the expected time to the first output of To; zero if
	// unknown.
	Latency time.Duration
	// Budget is the remaining fraction of the retry budget for escalations.
	Budget float64
}

// RetryBudget bounds the load that repeated requests add to a service.
type RetryBudget interface {
	// Earn credits a request to the models of its ladder.
	Earn(now time.Time, r *Request)
	// Allows reports whether a request may be sent again for a reason.
	Allows(now time.Time, r *Request, why RetryReason) bool
	// Spend debits a request that is sent again and reports whether the budget
	// allows it.
	Spend(now time.Time, r *Request, why RetryReason) bool
	// Remaining returns the remaining fraction of the budget for a reason, from 0
	// to 1.
	Remaining(now time.Time, r *Request, why RetryReason) float64
}

// CrashGuard decides which requests may reach endpoints, so that none crashes one endpoint
// after the other.
type CrashGuard interface {
	// Blocked reports whether the request, or a part of its prompt, crashes endpoints,
	// and the time until it may be tried again.
	Blocked(now time.Time, r *Request) (time.Duration, bool)
	// MayRepeat reports whether a request may be sent again after an endpoint has
	// crashed during an attempt at it.
	MayRepeat(now time.Time, r *Request) bool
}

// RetryReason is the reason for sending a request again.
type RetryReason string

// Reasons to send a request again.
const (
	// RetryFailure follows a failed attempt. Without the retry the caller
	// gets no answer.
	RetryFailure RetryReason = "failure"
	// RetryEscalation replaces an answer by one of a better version. Without
	// the retry the caller still gets an answer.
	RetryEscalation RetryReason = "escalation"
)

// Target is a placement target for an attempt: this daemon (Own is set), whose
// gate chooses among its endpoints unless Endpoint is set, or another daemon
// that owns endpoints.
type Target struct {
	VM       VMID
	Domain   DomainID
	Endpoint EndpointID
	Own      bool
	// Local reports that the target is in this daemon's failure domain.
	Local bool
	Spare int
	// ReportedAt is the time of the Spare report; Sent counts attempts sent since.
	ReportedAt time.Time
	Sent       int
}

// PlacementPolicy chooses among targets.
type PlacementPolicy interface {
	// Choose returns the index of the chosen target, or -1 for none.
	// u is uniform in [0, 1) and decides all random choices.
	Choose(now time.Time, r *Request, targets []Target, u float64) int
}

// OwnedEndpoint is an endpoint that this daemon owns.
type OwnedEndpoint struct {
	Endpoint Endpoint
	Pool     Pool
	// Share is the fraction of a cold endpoint's slots that this daemon may
	// use, from 0 to 1. It is below 1 while another daemon might own the
	// endpoint too.
	Share float64
	// After is the earliest time of the first dispatch; a new owner waits
	// until load reports include what the former owner may still have sent.
	After time.Time
	// Out reports that the endpoint gets no new work.
	Out bool

	// The fields below are set if several daemons send to the endpoint.

	// Process distinguishes successive processes at the endpoint.
	Process int64
	// ColdUntil is the end of a cold start. ColdRate is the number of requests
	// per second that the endpoint tolerates from all daemons until then; zero
	// means unlimited.
	ColdUntil time.Time
	ColdRate  float64
	// Connections is the limit over all daemons; zero means unlimited.
	Connections int
	// CacheTokens is the size of the prompt cache.
	CacheTokens int
}

// Work is an attempt that requests admission from a gate.
type Work struct {
	Attempt AttemptID
	Request *Request
	Version VersionID
	// Endpoint, when set, is the only acceptable endpoint.
	Endpoint EndpointID
	Share    float64 // the account's weight; zero counts as one
	// Avoid lists the endpoints that earlier attempts of the request used.
	Avoid []EndpointID
}

// Admission is a gate's decision on one attempt.
type Admission struct {
	Attempt AttemptID
	Verdict AdmissionVerdict
	// Endpoint is set with AdmissionStart.
	Endpoint EndpointID
	// RetryAfter is set with AdmissionRefuse, and Cause if room was short.
	RetryAfter time.Duration
	Cause      RefusalCause
}

// RefusalCause is why work was refused where room is short.
type RefusalCause string

// Causes of refusals.
const (
	// RefusalTurn means that the work's turn was not expected in time.
	RefusalTurn RefusalCause = "no-room-in-time"
	// RefusalShare is the same for work of an account that is over its share.
	RefusalShare RefusalCause = "account-over-share"
	// RefusalQueueFull means that too much work waits already.
	RefusalQueueFull RefusalCause = "queue-full"
	// RefusalNoEndpoint means that no endpoint may get the work.
	RefusalNoEndpoint RefusalCause = "no-endpoint"
	// RefusalTooLarge means that no endpoint has memory for the work even when it is idle.
	RefusalTooLarge RefusalCause = "larger-than-endpoints"
)

// AdmissionVerdict is the kind of an Admission.
type AdmissionVerdict string

// Verdicts of a gate.
const (
	// AdmissionStart starts the attempt immediately.
	AdmissionStart AdmissionVerdict = "start"
	// AdmissionQueue queues the attempt; a later Poll or End decides on it.
	AdmissionQueue AdmissionVerdict = "queue"
	// AdmissionRefuse refuses the attempt permanently. Nothing was sent.
	AdmissionRefuse AdmissionVerdict = "refuse"
)

// Spare is free capacity for one version or plain service.
type Spare struct {
	Version VersionID `json:"version,omitempty"`
	Service ServiceID `json:"service,omitempty"`
	// Free is the number of attempts that would start immediately, or shortly
	// if starts are paced.
	Free int `json:"free"`
	// Queued is the number of queued attempts.
	Queued int `json:"queued"`
	// Slots is the current limit over all owned endpoints.
	Slots int `json:"slots"`
}

// Gate admits attempts to the endpoints that this daemon owns. It limits this
// daemon's work at each of them, which is all of the endpoint's work while
// ownership is exclusive.
type Gate interface {
	// SetOwned replaces the set of owned endpoints. Attempts running at an endpoint
	// that is no longer owned are counted until End.
	SetOwned(now time.Time, owned []OwnedEndpoint)
	// Offer requests admission of an attempt.
	Offer(now time.Time, w Work) Admission
	// FirstToken records the first token of a started attempt.
	FirstToken(now time.Time, a AttemptID)
	// End records that a started attempt ended, or withdraws a queued one,
	// and returns the admission decisions that follow.
	End(now time.Time, r AttemptResult) []Admission
	// Report applies a load report and returns the decisions that follow.
	Report(now time.Time, r LoadReport) []Admission
	// Poll decides queued attempts that are due: expired deadlines, ended
	// waits of new owners and ramps.
	Poll(now time.Time) []Admission
	// Spare returns the free capacity for each version and service served
	// by owned endpoints, ordered by version, then service.
	Spare(now time.Time) []Spare
	// Latency returns the expected time from start to end on v, or 0.
	Latency(v VersionID) time.Duration
}
