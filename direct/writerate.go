package direct

import "time"

// This file defines how a daemon that could not reach the store tells whether the
// store was there for others: by how far its revision has come meanwhile.

// writeRate is how fast the revision of the store grows while it can be reached:
// endpoints write their entries at a regular pace.
type writeRate struct {
	perSecond float64
	revision  int64
	at        time.Time
}

const (
	// rateInterval is the least time over which the rate is measured.
	rateInterval = time.Second
	// rateMemory weighs the last measurement against the earlier ones.
	rateMemory = 0.3
	// presentShare is the part of the usual writes that shows that the store was
	// there for nearly all of a time.
	presentShare = 0.7
	// presentWrites is the number of usual writes without which a time is too
	// short to tell.
	presentWrites = 10
)

// observe measures the rate at a revision.
func (w *writeRate) observe(now time.Time, revision int64) {
	elapsed := now.Sub(w.at)
	if elapsed < rateInterval {
		return
	}
	if !w.at.IsZero() && revision >= w.revision {
		seen := float64(revision-w.revision) / elapsed.Seconds()
		if w.perSecond == 0 {
			w.perSecond = seen
		}
		w.perSecond += rateMemory * (seen - w.perSecond)
	}
	w.skip(now, revision)
}

// skip leaves the time up to now out of the measurement.
func (w *writeRate) skip(now time.Time, revision int64) { w.revision, w.at = revision, now }

// present reports whether the store was there since the last observation.
func (w *writeRate) present(now time.Time, revision int64) bool {
	usual := w.perSecond * now.Sub(w.at).Seconds()
	return usual >= presentWrites && float64(revision-w.revision) >= presentShare*usual
}
