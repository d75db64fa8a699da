package admission

import (
	"time"

	"fescuelatch/usage"
)

// This file defines the constants of admission.

const (
	// waitShare is the share of the target latency that work waits without evidence of
	// when its turn comes, and after which its turn is foreseen again.
	waitShare = 0.12
	// pollInterval is the interval at which waiting work is checked, by which it may be
	// refused too late.
	pollInterval = 40 * time.Millisecond
	// defaultWait is the same for work without a target latency.
	defaultWait = 100 * time.Millisecond
	// holdShare is the maximum share of the target latency after which waiting work is
	// expected to have started.
	holdShare = 0.5
	// lastHoldShare is the share of the target latency at which waiting work is refused
	// although its turn was foreseen.
	lastHoldShare = 0.75
	// certainShare is the share of the rest of the longest wait within which the turn must be
	// expected for work to wait on after its first check: it depends on what arrives later.
	certainShare = 0.4

	// evidenceTime is the mean age of what has been observed while work waited.
	evidenceTime = 4 * time.Second
	// minEvidence is the time with waiting work after which the observed rate counts
	// for more than the equal share of the daemon.
	minEvidence = 500 * time.Millisecond
	// startTime is the mean age of the starts by which the part of more urgent work is
	// estimated.
	startTime = 2 * time.Second
	// lostShare is the share of the slots whose loss has all turns foreseen again.
	lostShare = 0.25

	// recentTime and usualTime are the mean ages of the recent and the usual work of an
	// account.
	recentTime = usage.RecentTime
	usualTime  = usage.UsualTime
	// certainWork is the work, in mean requests, that an account may have had by chance.
	certainWork = 2
	// overShare is the ratio of an account's growth to that of all accounts from which
	// on it is over its share.
	overShare = 1.5
	// maxAccounts bounds the accounts of a model whose work is counted. Others count
	// together.
	maxAccounts = 1024
	// activeTime is how long after its last work a model is told of to other daemons.
	activeTime = 10 * time.Second
	// findingTime is the time after which an account that is still over its share by the
	// work at all daemons is returned as a finding again.
	findingTime = 10 * time.Second
	// outputCost is the cost of an output token in prompt tokens, and costUnit that of a
	// request without tokens.
	outputCost = 10
	costUnit   = 1000
	// maxCost bounds the cost of a request, whose tokens its caller states.
	maxCost = 1000

	// endpointQueue is the number of requests per slot that an endpoint may get for the
	// most urgent work: it has a short queue.
	endpointQueue = 1.25
	// ranks bounds the ranks that are told apart, and rankTime is how long a rank counts
	// as present after its last work.
	ranks    = 10
	rankTime = 10 * time.Second

	// promisedShare is the share of the places expected that is promised to refused
	// callers; the rest is for new ones.
	promisedShare = 0.5
	// minRetryAfter and maxRetryAfter bound the delay of refused callers, who do not
	// wait longer than usableShare of the time that they have left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 6 * time.Second
	usableShare   = 1.0 / 3
	// noDeadline is the time of work without a deadline.
	noDeadline = time.Hour
	// minRate bounds the rates that times are divided by, in places a second.
	minRate = 0.01
	// maxSkipped bounds the waiting work that is tried after some that may not use all
	// endpoints found no place.
	maxSkipped = 4
)
