package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// This file defines the series of faults that may overlap the general ones. Each draws from
// a sequence of its own, so that a seed gives the same faults with and without the others.

// Series is the name of a series of faults.
type Series string

// Names of series.
const (
	SeriesReplacement Series = "replacement" // daemons are replaced by those of another build, and back
	SeriesRequest     Series = "request"     // requests crash each endpoint that begins to run them
	// SeriesConfiguration has configurations that grow and shrink, and daemons that get
	// little processor time.
	SeriesConfiguration Series = "configuration"
	SeriesStream        Series = "stream"       // streams break off and are continued by no stream
	SeriesRefusal       Series = "refusal"      // endpoints write refusals once more
	SeriesRegistration  Series = "registration" // another writer makes odd registrations while daemons start
	SeriesShortage      Series = "shortage"     // calls exceed the room of uneven endpoints
)

// AllSeries returns the names of all series.
func AllSeries() []Series {
	return []Series{SeriesReplacement, SeriesRequest, SeriesConfiguration, SeriesStream, SeriesRefusal, SeriesRegistration, SeriesShortage}
}

// ParseSeries returns the series of a list of names separated by commas, "all" or "none".
func ParseSeries(list string) ([]Series, error) {
	switch list {
	case "all":
		return AllSeries(), nil
	case "none":
		return nil, nil
	}
	var all []Series
	for name := range strings.SplitSeq(list, ",") {
		if !slices.Contains(AllSeries(), Series(name)) {
			return nil, errors.Errorf("there is no series %q; there are %q", name, AllSeries())
		}
		all = append(all, Series(name))
	}
	return all, nil
}

// slowdowns are the factors, one for each seed, by which the time between general faults is
// longer beside series. Some checks of series need times without faults of the store.
var slowdowns = []time.Duration{1, 3, 8}

// slowdownStream is the random stream of the factor.
const slowdownStream = 4

// slowed returns draw with the waits of the soak.
func (s *soak) slowed(draw func() drawnFault) func() drawnFault {
	if len(s.Series) == 0 {
		return draw
	}
	factor := slowdowns[rand.New(rand.NewPCG(s.Seed, slowdownStream)).IntN(len(slowdowns))]
	return func() drawnFault {
		f := draw()
		f.wait *= factor
		return f
	}
}

// prepare changes the settings of a daemon as the series need it.
func (s *soak) prepare(d *daemon) {
	if slices.Contains(s.Series, SeriesConfiguration) {
		d.env = oneProcessor
	}
	if slices.Contains(s.Series, SeriesShortage) {
		d.Terms = []string{shortPressure}
	}
}

// firstSeriesStream is the random stream of the first series.
const firstSeriesStream = 100

// runSeries runs a series until ctx ends.
func (s *soak) runSeries(ctx context.Context, name Series) {
	random := rand.New(rand.NewPCG(s.Seed, firstSeriesStream+uint64(slices.Index(AllSeries(), name))))
	map[Series]func(context.Context, *rand.Rand){
		SeriesReplacement:   s.replaceDaemons,
		SeriesRequest:       s.repeatRequests,
		SeriesConfiguration: s.changeConfigurations,
		SeriesStream:        s.breakStreams,
		SeriesRefusal:       s.repeatRefusals,
		SeriesRegistration:  s.writeOddRegistrations,
		SeriesShortage:      s.exceedRoom,
	}[name](ctx, random)
}
