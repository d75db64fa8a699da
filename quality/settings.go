package quality

import "time"

// This file defines the settings of a Model and their defaults.

// Settings tune a Model. A zero field takes its default.
type Settings struct {
	// PriorWeight is the number of ratings that a version's configured
	// quality counts as. The default is 50.
	PriorWeight float64
	// HalfLife is the time in which evidence loses half its weight in
	// estimates. The default is one hour.
	HalfLife time.Duration
	// Expiry is the age at which another daemon's evidence is dropped. The
	// default is four hours.
	Expiry time.Duration
	// MaxSkew is how far another daemon's evidence may be dated ahead of the
	// local clock. Later evidence is ignored. The default is one minute.
	MaxSkew time.Duration
	// MaxOrigins limits the other daemons whose evidence on a version is
	// kept. The default is 2048.
	MaxOrigins int
	// Confidence is the probability mass of the interval of an estimate.
	// The default is 0.9.
	Confidence float64
	// Tolerance is how far below its configured quality a version may be
	// without counting as bad. The default is 0.03.
	Tolerance float64
	// OddsRatio is the factor by which the odds of a good answer fall in the
	// change that the detector is tuned to. The default is 4.
	OddsRatio float64
	// FailureShare is the tolerated share of broken attempts. The default is
	// 0.05.
	FailureShare float64
	// QuarantineRate bounds the probability, for each observation in the
	// fleet, that a version which is not bad is quarantined. The default is
	// 1e-4.
	QuarantineRate float64
	// SuspectRate is the same bound for a suspicion. The default is 1e-2.
	SuspectRate float64
	// ProbationRate is the same bound for a version on probation. The
	// default is 1e-2.
	ProbationRate float64
	// MissRate bounds the probability, at one evaluation, that a version
	// which is still bad passes its probation. The default is 1e-2.
	MissRate float64
	// Quarantine is the length of the first quarantine. Each relapse doubles
	// it up to MaxQuarantine. The defaults are 10 minutes and 2 hours.
	Quarantine    time.Duration
	MaxQuarantine time.Duration
}

// Defaults of Settings.
const (
	defaultPriorWeight    = 50
	defaultHalfLife       = time.Hour
	defaultExpiry         = 4 * time.Hour
	defaultMaxSkew        = time.Minute
	defaultMaxOrigins     = 2048
	defaultConfidence     = 0.9
	defaultTolerance      = 0.03
	defaultOddsRatio      = 4
	defaultFailureShare   = 0.05
	defaultQuarantineRate = 1e-4
	defaultSuspectRate    = 1e-2
	defaultProbationRate  = 1e-2
	defaultMissRate       = 1e-2
	defaultQuarantine     = 10 * time.Minute
	defaultMaxQuarantine  = 2 * time.Hour
)

// withDefaults returns s with zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	fill(&s.PriorWeight, defaultPriorWeight)
	fill(&s.HalfLife, defaultHalfLife)
	fill(&s.Expiry, defaultExpiry)
	fill(&s.MaxSkew, defaultMaxSkew)
	fill(&s.MaxOrigins, defaultMaxOrigins)
	fill(&s.Confidence, defaultConfidence)
	fill(&s.Tolerance, defaultTolerance)
	fill(&s.OddsRatio, defaultOddsRatio)
	fill(&s.FailureShare, defaultFailureShare)
	fill(&s.QuarantineRate, defaultQuarantineRate)
	fill(&s.SuspectRate, defaultSuspectRate)
	fill(&s.ProbationRate, defaultProbationRate)
	fill(&s.MissRate, defaultMissRate)
	fill(&s.Quarantine, defaultQuarantine)
	fill(&s.MaxQuarantine, defaultMaxQuarantine)
	return s
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
