package direct

import "time"

// This file defines how a daemon that could not reach the store tells, by the
// growth of the store's revision, whether the store was available to others.

// writeRate tracks how fast the store's revision grows while the store is
// available. Endpoints write their entries at regular intervals.
type writeRate struct {
	perSecond float64
	revision  int64
	at        time.Time
}

const (
	// minRateInterval is the shortest time over which the rate is measured.
	minRateInterval = time.Second
	// rateSmoothing is the weight of the latest measurement in the moving average.
	rateSmoothing = 0.3
	// minWriteShare is the fraction of the expected writes which shows that the
	// store was available for nearly the whole time.
	minWriteShare = 0.7
	// minExpectedWrites is the number of expected writes below which a time is too
	// short to judge.
	minExpectedWrites = 10
)

// observe updates the rate with the revision at a time.
func (w *writeRate) observe(now time.Time, revision int64) {
	elapsed := now.Sub(w.at)
	if elapsed < minRateInterval {
		return
	}
	if !w.at.IsZero() && revision >= w.revision {
		measured := float64(revision-w.revision) / elapsed.Seconds()
		if w.perSecond == 0 {
			w.perSecond = measured
		}
		w.perSecond += rateSmoothing * (measured - w.perSecond)
	}
	w.reset(now, revision)
}

// reset excludes the time up to now from the measurement.
func (w *writeRate) reset(now time.Time, revision int64) { w.revision, w.at = revision, now }

// wasAvailable reports whether the store was available since the last observation.
func (w *writeRate) wasAvailable(now time.Time, revision int64) bool {
	expected := w.perSecond * now.Sub(w.at).Seconds()
	return expected >= minExpectedWrites && float64(revision-w.revision) >= minWriteShare*expected
}
