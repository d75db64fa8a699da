package cascade

import "time"

// This file defines the settings of a Policy and their defaults.

// Settings tune a Policy. A zero field takes its default.
type Settings struct {
	// Detection is the probability that a bad answer is rated too low. The
	// default is 0.9.
	Detection float64
	// FalseRejection is the probability that a good answer is rated too low.
	// The default is 0.05.
	FalseRejection float64
	// Correlation is the degree to which versions fail on the same requests, from 0
	// (independently) to 1 (a better version fails only where a worse one
	// does). The default is 0.5.
	Correlation float64
	// RatingTime is the time to rate an answer before the next version is
	// tried. The default is 200 ms.
	RatingTime time.Duration
	// LatencyMargin multiplies the expected latency of a plan before it is
	// compared with the time left. The default is 1.5.
	LatencyMargin float64
	// DirectShare is the share of cascades that skip to their last version.
	// Only the first answers of plans are representative, so that last
	// versions would otherwise not be rated. The default is 0.01.
	DirectShare float64
	// Caution lowers the assumed quality of a version by a part of the
	// distance from the mean to the low end of its estimate. The default is
	// 0.1.
	Caution float64
	// SuspectShare is the share of requests for which a suspect version is
	// considered besides the good ones. The default is 0.05.
	SuspectShare float64
	// SaturatedFactor multiplies the cost of a saturated version when plans
	// are compared. The default is 8.
	SaturatedFactor float64
	// WaitShare is the share of requests of normal priority that choose a
	// version without spare capacity at its normal cost, and wait. Each
	// request already waiting multiplies the share by WaitShare again. The
	// default is 0.5.
	WaitShare float64
}

// Defaults of Settings.
const (
	defaultDetection       = 0.9
	defaultFalseRejection  = 0.05
	defaultCorrelation     = 0.5
	defaultRatingTime      = 200 * time.Millisecond
	defaultLatencyMargin   = 1.5
	defaultDirectShare     = 0.01
	defaultCaution         = 0.1
	defaultSuspectShare    = 0.05
	defaultSaturatedFactor = 8
	defaultWaitShare       = 0.5
)

// Token counts assumed for a request without estimates.
const (
	defaultPromptTokens = 1000
	defaultOutputTokens = 250
)

// withDefaults returns s with defaults for its zero fields.
func (s Settings) withDefaults() Settings {
	fill(&s.Detection, defaultDetection)
	fill(&s.FalseRejection, defaultFalseRejection)
	fill(&s.Correlation, defaultCorrelation)
	fill(&s.RatingTime, defaultRatingTime)
	fill(&s.LatencyMargin, defaultLatencyMargin)
	fill(&s.DirectShare, defaultDirectShare)
	fill(&s.Caution, defaultCaution)
	fill(&s.SuspectShare, defaultSuspectShare)
	fill(&s.SaturatedFactor, defaultSaturatedFactor)
	fill(&s.WaitShare, defaultWaitShare)
	return s
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
