package admission

import (
	"math"
	"time"

	"fescuelatch"
)

// This file defines the description of a shortage, which explains a refusal afterwards.

// Shortage describes the room for a version as it is for one request.
type Shortage struct {
	Version fescuelatch.VersionID `json:"version"`
	// Waiting is the work that waits, and Ahead that of it which goes before the request.
	Waiting int `json:"waiting"`
	Ahead   int `json:"ahead"`
	// Rate is the places found in a second, and RateLeft those left for the request's rank
	// and account.
	Rate     float64 `json:"places-per-second"`
	RateLeft float64 `json:"left-per-second"`
	// Turn is when the request's turn would come, and Promised the callers that were told
	// to return and are not due yet.
	Turn     time.Duration `json:"turn-ns"`
	Promised float64       `json:"promised"`
	// Share is the part of recent work that was the account's, and Growth how much its work
	// has grown against that of all accounts.
	Share  float64 `json:"account-share"`
	Growth float64 `json:"account-growth"`
	// Observed reports that the rate was observed. It follows from the slots otherwise.
	Observed bool `json:"observed"`
}

// Shortage describes the room for a version as it is for a request.
func (q *Queue) Shortage(now time.Time, r *fescuelatch.Request, v fescuelatch.VersionID, room Room) Shortage {
	o := q.newWaiter(now, fescuelatch.Work{Request: r, Version: v})
	ahead := q.ahead(now, o, false)
	s := Shortage{
		Version: v, Waiting: o.flow.waiting, Ahead: ahead, Observed: o.flow.certain(now),
		Rate:     o.flow.rate(now, room),
		RateLeft: o.flow.rateFor(now, room, o.rank, o.level),
		Turn:     o.turn(now, room, ahead), Growth: o.shares.over(now, o.use),
	}
	for _, n := range o.flow.promises.due {
		s.Promised += n
	}
	if all := o.shares.all.recent.value(now, recentTime); all > 0 {
		s.Share = o.use.recent.value(now, recentTime) / all
	}
	s.Rate, s.RateLeft, s.Promised = rounded(s.Rate), rounded(s.RateLeft), rounded(s.Promised)
	s.Share, s.Growth = rounded(s.Share), rounded(s.Growth)
	return s
}

// rounded returns x with two decimals.
func rounded(x float64) float64 { return math.Round(100*x) / 100 }
