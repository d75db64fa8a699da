package shared

import "time"

// This file defines the settings and constants of the gate.

// Settings tune a Gate. A zero field takes its default.
type Settings struct {
	// Domain is the failure domain of this daemon. Endpoints there are
	// preferred where the others are not expected to be sooner.
	Domain string
	// QueueLimit bounds the work that waits here.
	QueueLimit int
	// Eject is for how long an endpoint is left alone after it failed; it
	// doubles with each further time, up to EjectMost.
	Eject     time.Duration
	EjectMost time.Duration
}

// Defaults of Settings.
const (
	defaultQueueLimit = 256
	defaultEject      = time.Second
	defaultEjectMost  = 8 * time.Second
)

const (
	// coldUse is the part of the request rate of a cold endpoint that all daemons
	// together use; the rest is for daemons that do not know of each other.
	coldUse = 0.8
	// coldWindow is how long a turn at a cold endpoint lasts that is not
	// taken.
	coldWindow = 500 * time.Millisecond
	// connectionUse is the part of an endpoint's connections that all daemons
	// together use.
	connectionUse = 0.8
	// minConnections is the least number of connections of one daemon.
	minConnections = 2
	// overbooking is the number of requests for each slot that are sent to an
	// endpoint, which has a short queue of its own.
	overbooking = 1.25
	// waitShare is the part of the target latency that work waits here at
	// most. Beyond it a caller is told to come back rather than be kept.
	waitShare = 0.12
	// defaultWait bounds the wait of work without a target latency.
	defaultWait = 100 * time.Millisecond
	// minRetryAfter is the shortest time to come back that a refusal names.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest.
	maxRetryAfter = 2 * time.Second
	// retrySpread spreads the times to come back over callers.
	retrySpread = 0.5
	// crossDomainCost stands for the way to another failure domain.
	crossDomainCost = 20 * time.Millisecond
	// reportHalfLife is the age at which a reported load counts for half.
	reportHalfLife = 500 * time.Millisecond
	// probeInterval is the time between connections that try whether an
	// endpoint, or one of a failure domain, can be reached again.
	probeInterval = 500 * time.Millisecond
	// maxEjected is the part of the endpoints of a version that is left
	// alone at most: the others must carry their load.
	maxEjected = 0.5
	// failureMemory weighs the outcomes of the last attempts at an endpoint.
	failureMemory = 0.25
	// failureLimit is the weighted share of failures at which an endpoint is
	// left alone.
	failureLimit = 0.6
	// slowLimit is the ratio of the time to the first output to the expected
	// one at which an endpoint counts as slow.
	slowLimit = 4.0
	// silentFactor is how many times the usual time to the first output an
	// endpoint may be silent, and silentLeast is a time that it may be in any
	// case.
	silentFactor = 4
	silentLeast  = 400 * time.Millisecond
	// defaultTokenTime is the time to read a prompt token before any has been
	// measured; a mid-sized model reads some ten thousand a second.
	defaultTokenTime = 20 * time.Microsecond
	// baseTokens stands for the part of the time to the first output that
	// does not depend on the prompt.
	baseTokens = 2000
	// defaultTotal is the time of an attempt before any has been measured.
	defaultTotal = 200 * time.Millisecond
	// maxCacheParts bounds the prompt parts that are remembered for an
	// endpoint.
	maxCacheParts = 4096
)

func (s Settings) withDefaults() Settings {
	if s.QueueLimit == 0 {
		s.QueueLimit = defaultQueueLimit
	}
	if s.Eject == 0 {
		s.Eject = defaultEject
	}
	if s.EjectMost == 0 {
		s.EjectMost = defaultEjectMost
	}
	return s
}
