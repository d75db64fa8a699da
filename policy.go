package fescuelatch

import "time"

// This file defines the interfaces of the choices that the decision core
// makes. Implementations are single-threaded, do no input or output and read
// no clock: the caller serialises calls and passes the time, which never
// decreases between calls.

// Estimate is what is known of a version's quality: the mean share of good
// answers and a confidence interval for it, all from 0 to 1.
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

// Evidence is what one daemon has seen of one version since Since. Daemons
// exchange their evidence; the one with the higher Updated replaces the
// other of the same origin and version.
type Evidence struct {
	Origin   Incarnation `json:"origin"`
	Version  VersionID   `json:"version"`
	Since    time.Time   `json:"since"`
	Updated  time.Time   `json:"updated"`
	Rated    float64     `json:"rated"`
	Good     float64     `json:"good"`
	Attempts float64     `json:"attempts"`
	Failed   float64     `json:"failed"`
	// Alarm is the statistic of the change detector over what this daemon has
	// seen itself.
	Alarm float64 `json:"alarm"`
	// LogRatio is the sum of the log-likelihood ratios of all ratings since
	// Since, without decay; its growth tells others what is new.
	LogRatio float64 `json:"log-ratio"`
	// Pooled is the statistic over the ratings of all daemons while the
	// version is quarantined, otherwise 0. Daemons that start begin with it.
	Pooled float64 `json:"pooled,omitempty"`
}

// QualityModel learns the quality and health of versions.
type QualityModel interface {
	// Configure replaces the set of versions and their prior quality.
	// Evidence of versions that remain is kept.
	Configure(now time.Time, versions []Version)
	// ObserveRating records that an answer of v was rated score, 0 to 1.
	ObserveRating(now time.Time, v VersionID, score float64)
	// ObserveAttempt records the end of an attempt. Attempts that were not
	// started or were cancelled say nothing of the version.
	ObserveAttempt(now time.Time, r AttemptResult)
	// Estimate returns the estimate of v; an unknown version has a Low of 0.
	Estimate(now time.Time, v VersionID) Estimate
	// Health returns the verdict on v.
	Health(now time.Time, v VersionID) Health
	// Doubt returns how far the evidence against v has come towards a
	// suspicion, from 0 to 1.
	Doubt(now time.Time, v VersionID) float64
	// Evidence returns this daemon's own evidence, ordered by version.
	Evidence(now time.Time) []Evidence
	// Merge takes in the evidence of other daemons. It is idempotent, and
	// estimates do not depend on the order of evidence.
	Merge(now time.Time, e []Evidence)
}

// Knowledge is what is known of a version when one of its answers could be
// rated.
type Knowledge struct {
	Estimate Estimate
	Health   Health
	Doubt    float64
}

// Exposure counts the answers of a version to requests that callers sent to
// one daemon, since the daemon began.
type Exposure struct {
	Answers int64 `json:"answers"`
	// Suspect and Quarantined count the answers among them that were
	// accepted while the version was.
	Suspect     int64 `json:"suspect"`
	Quarantined int64 `json:"quarantined"`
	// Rated counts first answers that were rated, whether or not they were
	// accepted, and RatedLow those that were rated too low.
	Rated    int64 `json:"rated"`
	RatedLow int64 `json:"rated-low"`
}

// Sampler decides which answers are rated for learning. Ratings cost, so it
// keeps to a budget.
type Sampler interface {
	// Sample reports whether an answer is rated, given what is known of its
	// version. u is uniform in [0, 1). It must not depend on the answer.
	Sample(now time.Time, k Knowledge, u float64) bool
	// Spend records a rating that a plan needs, which is made in any case.
	Spend(now time.Time)
}

// Candidate is a version that a request may run on, with what is known.
type Candidate struct {
	Version  Version
	Estimate Estimate
	Health   Health
	// Spare is the number of further requests that can start at once in
	// reach of this daemon; it is negative when requests wait.
	Spare int
	// Latency is the expected time to the end of the answer.
	Latency time.Duration
}

// VersionPolicy orders candidates.
type VersionPolicy interface {
	// Plan returns the versions to try: the first at once, each later one
	// when the answer before it was rated too low or its attempt could not
	// be made. Candidates are all allowed, not withdrawn and not
	// quarantined. The plan is empty when no candidate qualifies.
	// u is uniform in [0, 1) and decides all random choices.
	Plan(now time.Time, r *Request, candidates []Candidate, u float64) []VersionID
}

// EscalationPolicy decides whether an answer that an endpoint has begun is
// given up for one of the next version of a plan.
type EscalationPolicy interface {
	// Escalate reports whether the answer is given up.
	Escalate(now time.Time, r *Request, e Escalation) bool
}

// Escalation is what is known when an answer could be given up for another.
type Escalation struct {
	From, To VersionID
	// Confidence is the endpoint's own in its answer, from 0 to 1.
	Confidence float64
	// Latency is the expected time to the first output of To; zero when it
	// is not known.
	Latency time.Duration
	// Budget is the part of the retry budget for escalations that is left.
	Budget float64
}

// RetryBudget bounds how much requests that are sent again add to the load
// of a service.
type RetryBudget interface {
	// Earn counts a request for the models of a ladder.
	Earn(now time.Time, r *Request)
	// Allows reports whether a request may be sent once more for a reason.
	Allows(now time.Time, r *Request, why RetryReason) bool
	// Take counts a request that is sent once more, if that is allowed.
	Take(now time.Time, r *Request, why RetryReason) bool
	// Left returns the part of what may be taken for a reason that is left,
	// from 0 to 1.
	Left(now time.Time, r *Request, why RetryReason) float64
}

// RetryReason is why a request is sent once more.
type RetryReason string

// Reasons to send a request once more.
const (
	// RetryFailure follows an attempt that failed. Without it the caller
	// gets nothing.
	RetryFailure RetryReason = "failure"
	// RetryEscalation replaces an answer by one of a better version. Without
	// it the caller still gets an answer.
	RetryEscalation RetryReason = "escalation"
)

// Spot is a place where an attempt can be made: this daemon (Own set), whose
// gate chooses among its endpoints unless Endpoint is set, or another daemon
// that owns endpoints.
type Spot struct {
	VM       VMID
	Domain   DomainID
	Endpoint EndpointID
	Own      bool
	// Local reports that the spot lies in this daemon's failure domain.
	Local bool
	Spare int
	// Seen is when Spare was true; Sent counts attempts sent there since.
	Seen time.Time
	Sent int
}

// PlacementPolicy chooses among spots.
type PlacementPolicy interface {
	// Choose returns the index of the spot to use, or -1 for none.
	// u is uniform in [0, 1) and decides all random choices.
	Choose(now time.Time, r *Request, spots []Spot, u float64) int
}

// OwnedEndpoint is an endpoint that this daemon owns.
type OwnedEndpoint struct {
	Endpoint Endpoint
	Pool     Pool
	// Share is the part of a cold endpoint's slots that this daemon may use,
	// from 0 to 1. It is below 1 while another daemon might own it too.
	Share float64
	// After is the earliest time of the first dispatch; a new owner waits
	// for what a former owner may still have sent to show in reports.
	After time.Time
	// Out reports that the endpoint gets no new work.
	Out bool

	// The fields below are set where many daemons send to the endpoint.

	// Process tells apart successive processes at the endpoint.
	Process int64
	// ColdUntil is the end of a cold start, and ColdRate the requests a
	// second that the endpoint tolerates from all daemons until then; zero means
	// no bound.
	ColdUntil time.Time
	ColdRate  float64
	// Connections bounds those from all daemons; zero means no bound.
	Connections int
	// CacheTokens is the size of the prompt cache.
	CacheTokens int
}

// Work is one attempt that asks a gate for admission.
type Work struct {
	Attempt AttemptID
	Request *Request
	Version VersionID
	// Endpoint, when set, is the only endpoint that will do.
	Endpoint EndpointID
	Share    float64 // the account's weight; zero counts as one
	// Avoid lists the endpoints that the request was sent to before.
	Avoid []EndpointID
}

// Admission is a gate's decision on one attempt.
type Admission struct {
	Attempt AttemptID
	Verdict AdmissionVerdict
	// Endpoint is set with AdmissionStart.
	Endpoint EndpointID
	// RetryAfter is set with AdmissionRefuse.
	RetryAfter time.Duration
}

// AdmissionVerdict is the kind of an Admission.
type AdmissionVerdict string

// Verdicts of a gate.
const (
	// AdmissionStart lets the attempt start at once.
	AdmissionStart AdmissionVerdict = "start"
	// AdmissionQueue keeps the attempt; a later Poll or End decides on it.
	AdmissionQueue AdmissionVerdict = "queue"
	// AdmissionRefuse refuses the attempt for good. Nothing was sent.
	AdmissionRefuse AdmissionVerdict = "refuse"
)

// Spare is free capacity for one version or plain service.
type Spare struct {
	Version VersionID `json:"version,omitempty"`
	Service ServiceID `json:"service,omitempty"`
	// Free is the number of attempts that would start at once, or within
	// moments while starts are spaced out.
	Free int `json:"free"`
	// Queued is the number of attempts that wait.
	Queued int `json:"queued"`
	// Slots is the present limit over all owned endpoints.
	Slots int `json:"slots"`
}

// Gate admits attempts to the endpoints that this daemon owns. It bounds the
// work at each endpoint, which is the whole of it while ownership is
// exclusive.
type Gate interface {
	// Own replaces the set of owned endpoints. Attempts that run at an
	// endpoint no longer owned stay counted until End.
	Own(now time.Time, owned []OwnedEndpoint)
	// Offer asks for admission of one attempt.
	Offer(now time.Time, w Work) Admission
	// First records the first token of a started attempt.
	First(now time.Time, a AttemptID)
	// End records that a started attempt ended, or withdraws a queued one,
	// and returns the decisions that this makes possible.
	End(now time.Time, r AttemptResult) []Admission
	// Report takes in a load report.
	Report(now time.Time, r LoadReport) []Admission
	// Poll decides queued attempts whose time has come: deadlines, owners'
	// waits and ramps.
	Poll(now time.Time) []Admission
	// Spare returns the free capacity for each version and service served
	// by owned endpoints, ordered by version, then service.
	Spare(now time.Time) []Spare
	// Latency returns the expected time from start to end on v, or 0.
	Latency(v VersionID) time.Duration
}
