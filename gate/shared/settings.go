package shared

import (
	"time"

	"fescuelatch/egress"
	"fescuelatch/internal/stall"
)

// This file defines the settings and constants of the gate.

// Settings tune a Gate. A zero field takes its default.
type Settings struct {
	// Domain is the failure domain of this daemon. Its endpoints are
	// preferred unless another one is expected to answer sooner.
	Domain string
	// Prices are those of leaving the failure domain. Without them crossDomainCost
	// applies.
	Prices *egress.Prices
	// Contended reports that demand may exceed the capacity of the endpoints for a
	// while, so that their room is shared out by value and account.
	Contended bool
	// QueueLimit bounds the queued work.
	QueueLimit int
	// Eject is how long a failing endpoint is ejected; it doubles with each
	// consecutive ejection, up to MaxEject.
	Eject    time.Duration
	MaxEject time.Duration
	// Stalls are the times in which this daemon did not run; nil if there are none. They
	// say nothing about endpoints.
	Stalls *stall.Log
}

// Defaults of Settings.
const (
	defaultQueueLimit = 256
	defaultEject      = time.Second
	defaultMaxEject   = 8 * time.Second
)

const (
	// coldRateShare is the share of a cold endpoint's request rate that all daemons
	// together use; the rest is for daemons that do not yet track each other.
	coldRateShare = 0.8
	// coldWindow is how long an unused start slot at a cold endpoint stays
	// valid.
	coldWindow = 500 * time.Millisecond
	// connectionShare is the share of an endpoint's connections that all daemons
	// together use.
	connectionShare = 0.8
	// minConnections is the minimum number of connections of one daemon.
	minConnections = 2
	// overbooking is the number of requests per slot sent to an endpoint,
	// which has a short queue of its own.
	overbooking = 1.25
	// waitShare is the maximum share of the target latency that work is
	// queued; after it the caller is asked to retry later.
	waitShare = 0.12
	// defaultMaxWait bounds the queue time of work without a target latency.
	defaultMaxWait = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retrySpread is the random spread of RetryAfter over callers.
	retrySpread = 0.5
	// crossDomainCost is the cost of reaching another failure domain without prices.
	crossDomainCost = 20 * time.Millisecond
	// reportHalfLife is the age at which a reported load counts for half.
	reportHalfLife = 500 * time.Millisecond
	// typicalHalfLife is the age at which a reported load counts for half in what is
	// typical of the endpoints of a model.
	typicalHalfLife = time.Second
	// probeInterval is the time between connections that probe an unreachable
	// endpoint or failure domain.
	probeInterval = 500 * time.Millisecond
	// maxEjected is the maximum share of a version's endpoints that is
	// excluded: the others must carry their load.
	maxEjected = 0.5
	// failureWeight is the weight of the latest outcome in an endpoint's averages.
	failureWeight = 0.25
	// failureLimit is the weighted share of failures at which an endpoint is
	// ejected.
	failureLimit = 0.6
	// slowLimit is the ratio of the actual to the expected time to the first
	// output at which an endpoint counts as slow.
	slowLimit = 4.0
	// unresponsiveFactor times the usual time to the first output, and at least
	// minUnresponsive, must pass without output before an endpoint counts as
	// unresponsive.
	unresponsiveFactor = 4
	minUnresponsive    = 400 * time.Millisecond
	// minHidingStall is the shortest stall of this daemon that can hide an answer for a
	// considerable part of these times.
	minHidingStall = minUnresponsive / 4
	// minRanShare is the share of an attempt's time in which this daemon must have run
	// for the time to count as that of its caller.
	minRanShare = 0.75
	// defaultTokenTime is the time per prompt token before any has been
	// measured; a mid-sized model processes some ten thousand a second.
	defaultTokenTime = 20 * time.Microsecond
	// baseTokens expresses, in tokens, the part of the time to the first
	// output that does not depend on the prompt.
	baseTokens = 2000
	// defaultTotal is the duration of an attempt before any has been measured.
	defaultTotal = 200 * time.Millisecond
	// maxCacheParts bounds the prompt parts tracked for an endpoint.
	maxCacheParts = 4096
)

func (s Settings) withDefaults() Settings {
	if s.QueueLimit == 0 {
		s.QueueLimit = defaultQueueLimit
	}
	if s.Eject == 0 {
		s.Eject = defaultEject
	}
	if s.MaxEject == 0 {
		s.MaxEject = defaultMaxEject
	}
	return s
}
