package shared

import "time"

// This file defines the measured latency of a version.

// latencyWeight is the weight of a new observation in a moving average.
const latencyWeight = 0.1

// versionLatency is the measured latency of a version over all endpoints.
type versionLatency struct {
	// perToken is the time per uncached prompt token, with baseTokens added to
	// each prompt.
	perToken    time.Duration
	total       time.Duration
	firstOutput time.Duration
	// perOutputToken is the time per output token after the first output, and load the
	// load factor of the endpoints at which times were observed. Both are kept for
	// contended versions only.
	perOutputToken time.Duration
	load           float64
}

func (p *versionLatency) observeFirst(took time.Duration, uncached int) {
	p.perToken = movingAverage(p.perToken, took/time.Duration(uncached+baseTokens))
	p.firstOutput = movingAverage(p.firstOutput, took)
}

func (p *versionLatency) observeTotal(took time.Duration) { p.total = movingAverage(p.total, took) }

// expectedFirst returns the expected time to the first output of a prompt with the
// given number of uncached tokens at an idle endpoint.
func (p *versionLatency) expectedFirst(uncached int) time.Duration {
	token := p.perToken
	if token == 0 {
		token = defaultTokenTime
	}
	return token * time.Duration(uncached+baseTokens)
}

// meanFirst returns the mean time to the first output, or zero without observations.
func (p *versionLatency) meanFirst() time.Duration { return p.firstOutput }

func (p *versionLatency) meanTotal() time.Duration {
	if p.total == 0 {
		return defaultTotal
	}
	return p.total
}

// movingAverage updates an exponentially weighted mean with an observation. The
// first observation becomes the mean.
func movingAverage(mean, observed time.Duration) time.Duration {
	if mean == 0 {
		return observed
	}
	return mean + time.Duration(latencyWeight*float64(observed-mean))
}
