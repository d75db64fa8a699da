package direct

import (
	"math"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"fescuelatch"
	"fescuelatch/decision"
	"fescuelatch/gate/shared"
	"fescuelatch/servicetime"
)

// This file defines the metrics of a daemon. To bound their number, label values
// come only from the deployment: routes, versions and kinds.

type metrics struct {
	scope       tally.Scope
	connections tally.Counter
	generation  tally.Gauge
	endpoints   tally.Gauge
	members     tally.Gauge
	storeAge    tally.Gauge
	limited     tally.Gauge
	// brittle is the number of endpoints that must not be filled beyond their slots.
	brittle tally.Gauge
	// waiting is the number of requests that wait for an endpoint.
	waiting tally.Gauge
	// delegates is the number of daemons to which requests are passed on.
	delegates tally.Gauge
	// olderDelegates counts how often requests were no longer passed on to a daemon as its
	// state was older.
	olderDelegates tally.Counter
	// blockedParts and blockedRequests are the numbers of prompt parts and of whole
	// requests that crash endpoints.
	blockedParts, blockedRequests tally.Gauge
	// allocatorFailures counts requests for permits that had no reply.
	allocatorFailures tally.Counter
	// usageDaemons is the number of other daemons whose usage is known, usageReports that
	// of daemons whose usage is summed here, and usageFailures counts reports without reply.
	usageDaemons, usageReports tally.Gauge
	usageFailures              tally.Counter
	// abortedCallers counts connections that were aborted because their callers did not
	// read.
	abortedCallers tally.Counter
	// decisionWait is how long decisions waited for the ones before, and tickDelay how
	// late the process came to run.
	decisionWait, tickDelay tally.Histogram
	// serviceTime and load are the estimates for the endpoints that were chosen.
	serviceTime, load tally.Histogram
}

// latencyBuckets spans 1 ms to about half a minute.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// serviceTimeBuckets and loadBuckets span what is possible, relative to the usual service time
// and to the slots.
var (
	serviceTimeBuckets = tally.MustMakeExponentialValueBuckets(1/servicetime.MaxFactor, math.Sqrt2, 9)
	loadBuckets        = tally.MustMakeLinearValueBuckets(0, 0.125, 17)
)

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		scope:       s,
		connections: s.Counter("endpoint_connections"),
		generation:  s.Gauge("generation"),
		endpoints:   s.Gauge("endpoints"),
		members:     s.Gauge("daemons"),
		storeAge:    s.Gauge("store_age_seconds"),
		limited:     s.Gauge("limited_endpoints"),

		brittle:           s.Gauge("brittle_endpoints"),
		waiting:           s.Gauge("waiting_requests"),
		delegates:         s.Gauge("delegates"),
		olderDelegates:    s.Counter("older_delegates"),
		blockedParts:      s.Gauge("blocked_prompt_parts"),
		blockedRequests:   s.Gauge("blocked_requests"),
		allocatorFailures: s.Counter("allocator_failures"),
		usageDaemons:      s.Gauge("usage_daemons"),
		usageReports:      s.Gauge("usage_reports"),
		usageFailures:     s.Counter("usage_failures"),
		abortedCallers:    s.Counter("aborted_callers"),
		decisionWait:      s.Histogram("decision_wait", latencyBuckets),
		tickDelay:         s.Histogram("tick_delay", latencyBuckets),
		serviceTime:       s.Histogram("chosen_endpoint_service_time", serviceTimeBuckets),
		load:              s.Histogram("chosen_endpoint_load", loadBuckets),
	}
}

// showRetryBudget shows the share of the retry budget of all daemons that is left.
func (m *metrics) showRetryBudget(unused map[fescuelatch.ModelID]float64) {
	for model, left := range unused {
		m.scope.Tagged(map[string]string{"model": string(model)}).Gauge("retry_budget_unused").Update(left)
	}
}

// countRequest counts a request by route, outcome and reason.
func (m *metrics) countRequest(route fescuelatch.RouteID, o fescuelatch.Outcome, reason string, took time.Duration) {
	t := m.scope.Tagged(map[string]string{"route": string(route), "outcome": string(o), "reason": reason})
	t.Counter("requests").Inc(1)
	t.Histogram("request_duration", latencyBuckets).RecordDuration(took)
}

// countAttempt counts an attempt by version and status.
func (m *metrics) countAttempt(r fescuelatch.AttemptResult) {
	t := m.scope.Tagged(map[string]string{"version": string(r.Version), "status": string(r.Status)})
	t.Counter("attempts").Inc(1)
	if r.FirstToken > 0 {
		t.Histogram("first_output", latencyBuckets).RecordDuration(r.FirstToken)
	}
}

// recordEstimates records the estimates by which an endpoint was chosen.
func (m *metrics) recordEstimates(e shared.Estimates) {
	m.serviceTime.RecordValue(e.ServiceTime)
	m.load.RecordValue(e.Load)
}

// countHedge counts an attempt beside another one by its reason.
func (m *metrics) countHedge(why decision.HedgeReason) {
	m.scope.Tagged(map[string]string{"reason": string(why)}).Counter("hedges").Inc(1)
}

// countStart records how long a request waited before its first attempt.
func (m *metrics) countStart(route fescuelatch.RouteID, waited time.Duration) {
	m.scope.Tagged(map[string]string{"route": string(route)}).Histogram("start_wait", latencyBuckets).RecordDuration(waited)
}

// countRefusal counts a request that was refused because room was short.
func (m *metrics) countRefusal(route fescuelatch.RouteID, why fescuelatch.RefusalCause) {
	m.scope.Tagged(map[string]string{"route": string(route), "cause": string(why)}).Counter("shortage_refusals").Inc(1)
}

// countFinding counts an account that was found over its share by the work at all daemons.
func (m *metrics) countFinding(model fescuelatch.ModelID) {
	m.scope.Tagged(map[string]string{"model": string(model)}).Counter("accounts_over_share").Inc(1)
}

// countLimitedAttempt counts an attempt at an endpoint that limits its rate, by whether
// it is the first of its request.
func (m *metrics) countLimitedAttempt(repeated bool) {
	m.scope.Tagged(map[string]string{"repeated": strconv.FormatBool(repeated)}).Counter("limited_attempts").Inc(1)
}

// countDelegated counts an attempt through another daemon by its status.
func (m *metrics) countDelegated(r fescuelatch.AttemptResult) {
	m.scope.Tagged(map[string]string{"status": string(r.Status)}).Counter("delegated_attempts").Inc(1)
}

// countCrossing counts an attempt in another failure domain, and its bytes.
func (m *metrics) countCrossing(to fescuelatch.DomainID, bytes int) {
	t := m.scope.Tagged(map[string]string{"to": string(to)})
	t.Counter("attempts_between_domains").Inc(1)
	t.Counter("bytes_between_domains").Inc(int64(bytes))
}

// updateDeparture updates the shares of a version's work that are surplus at home. A failure
// domain that had one before, and has none now, has a share of zero.
func (m *metrics) updateDeparture(now, previous shared.Departure) {
	shares := make(map[fescuelatch.DomainID]float64)
	for _, p := range previous.Parts {
		shares[p.Domain] = 0
	}
	for _, p := range now.Parts {
		shares[p.Domain] = p.Share
	}
	for domain, share := range shares {
		m.scope.Tagged(map[string]string{"version": string(now.Version), "to": string(domain)}).Gauge("surplus_share").Update(share)
	}
}

// countCrash counts an attempt that ended with its endpoint, by whether its answer had
// begun.
func (m *metrics) countCrash(begun bool) {
	m.scope.Tagged(map[string]string{"begun": strconv.FormatBool(begun)}).Counter("crashed_attempts").Inc(1)
}

// countPermits counts the permits of an allocator's replies.
func (m *metrics) countPermits(wanted, granted int) {
	m.scope.Counter("permits_wanted").Inc(int64(wanted))
	m.scope.Counter("permits_granted").Inc(int64(granted))
}

// countSlots counts the slots of an allocator's replies.
func (m *metrics) countSlots(wanted, granted int) {
	m.scope.Counter("slots_wanted").Inc(int64(wanted))
	m.scope.Counter("slots_granted").Inc(int64(granted))
}

// countRelayed counts the bytes sent to a follower, by whether they are a full copy.
func (m *metrics) countRelayed(full bool, bytes int) {
	t := m.scope.Tagged(map[string]string{"full": strconv.FormatBool(full)})
	t.Counter("relayed_replies").Inc(1)
	t.Counter("relayed_bytes").Inc(int64(bytes))
}

// countReceived counts the bytes received from a source, by whether they are a full
// copy, and records the duration of the call, with the wait for a change.
func (m *metrics) countReceived(full bool, took time.Duration, bytes int) {
	t := m.scope.Tagged(map[string]string{"full": strconv.FormatBool(full)})
	t.Counter("received_replies").Inc(1)
	t.Counter("received_bytes").Inc(int64(bytes))
	t.Histogram("source_call_duration", latencyBuckets).RecordDuration(took)
}

// StoreCalls returns a function that counts the calls to the store.
func StoreCalls(scope tally.Scope) func(name string, took time.Duration, err error) {
	return func(name string, took time.Duration, err error) {
		outcome := "ok"
		if err != nil {
			outcome = "failed"
		}
		t := scope.Tagged(map[string]string{"call": name, "outcome": outcome})
		t.Counter("store_calls").Inc(1)
		t.Histogram("store_call_duration", latencyBuckets).RecordDuration(took)
	}
}
