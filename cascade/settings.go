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
	// Correlation says how far versions fail on the same requests, from 0
	// (independently) to 1 (a better version fails only where a worse one
	// does). The default is 0.5.
	Correlation float64
	// RatingTime is the time that the rating of an answer takes before the
	// next version is tried. The default is 200 ms.
	RatingTime time.Duration
	// SuspectShare is the share of requests for which a suspect version is
	// considered although a good one is there. The default is 0.05.
	SuspectShare float64
	// SaturatedFactor multiplies the cost of a version without spare
	// capacity when plans are compared: once for a request of normal
	// priority, twice for high and not for low priority. The default is 2.
	SaturatedFactor float64
}

// Defaults of Settings.
const (
	defaultDetection       = 0.9
	defaultFalseRejection  = 0.05
	defaultCorrelation     = 0.5
	defaultRatingTime      = 200 * time.Millisecond
	defaultSuspectShare    = 0.05
	defaultSaturatedFactor = 2
)

// Tokens assumed for a request that does not estimate them.
const (
	defaultPromptTokens = 1000
	defaultOutputTokens = 250
)

// withDefaults returns s with its zero fields filled in.
func (s Settings) withDefaults() Settings {
	fill(&s.Detection, defaultDetection)
	fill(&s.FalseRejection, defaultFalseRejection)
	fill(&s.Correlation, defaultCorrelation)
	fill(&s.RatingTime, defaultRatingTime)
	fill(&s.SuspectShare, defaultSuspectShare)
	fill(&s.SaturatedFactor, defaultSaturatedFactor)
	return s
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
