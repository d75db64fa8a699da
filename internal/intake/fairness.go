package intake

import (
	"time"

	"fescuelatch"
)

// This file defines what one account may hold while others need memory, and when those that were
// refused may expect some.

const (
	// contendedShare is the share of the memory for large bodies that one account may hold,
	// with bodies of any size, while others need some: those that were refused within needTime.
	contendedShare = 0.5
	needTime       = 5 * time.Second
	// minReturn and maxReturn bound the time after which a refused caller is told to come back.
	minReturn = 200 * time.Millisecond
	maxReturn = 2 * time.Second
	// holdWeight is the weight of the latest body in the mean time for which bodies are held.
	holdWeight = 1.0 / 16
)

// fairness is the part of a budget that tells accounts apart. The budget's lock guards it.
type fairness struct {
	// wants holds the accounts of which bodies were refused within needTime.
	wants map[fescuelatch.AccountID]*want
	// held is the mean time for which whole bodies were held, or zero.
	held time.Duration
}

// want is what an account was refused.
type want struct {
	// neededAt is when there was last no memory for a body, though the account was within its
	// share.
	neededAt time.Time
	// bytes is the size of the bodies that were refused and have not had memory since, as of at.
	bytes float64
	at    time.Time
}

func newFairness() fairness { return fairness{wants: make(map[fescuelatch.AccountID]*want)} }

// othersNeed reports whether an account other than a was refused recently.
func (f *fairness) othersNeed(now time.Time, a fescuelatch.AccountID) bool {
	needed := false
	for o, w := range f.wants {
		switch {
		case now.Sub(w.at) >= needTime:
			delete(f.wants, o)
		case o != a && now.Sub(w.neededAt) < needTime:
			needed = true
		}
	}
	return needed
}

// observe records for how long a whole body was held.
func (f *fairness) observe(held time.Duration) {
	if f.held == 0 {
		f.held = held
		return
	}
	f.held += time.Duration(holdWeight * float64(held-f.held))
}

// refuse records that a body of a size is refused. It returns when there will be memory for it,
// behind the others of its account that were refused before, if used bytes are released at the
// usual pace.
func (f *fairness) refuse(now time.Time, a fescuelatch.AccountID, r Reason, bytes, used int64) time.Duration {
	w := f.wants[a]
	if w == nil {
		w = new(want)
		f.wants[a] = w
	}
	after, pace := 0.0, 0.0
	if f.held > 0 && used > 0 {
		pace = float64(used) / f.held.Seconds()
	}
	w.bytes = max(w.bytes-pace*now.Sub(w.at).Seconds(), 0) + float64(bytes)
	w.at = now
	if r == ReasonFull {
		w.neededAt = now
	}
	if pace > 0 {
		after = min(w.bytes/pace, maxReturn.Seconds())
	}
	return max(time.Duration(after*float64(time.Second)), minReturn)
}

// exceedsShare reports whether more memory for a body would be more than the share of its account,
// while others need some. An account's only body may use all.
func (b *Budget) exceedsShare(now time.Time, h *holding, bytes int64) bool {
	_, limit := b.limits()
	held := b.accounts[h.account]
	return h.kind == KindBody && held > h.bytes && held+bytes > int64(contendedShare*(1-smallShare)*float64(limit)) && b.fairness.othersNeed(now, h.account)
}

// evictStalledOf evicts the arrival of an account other than h that has not grown for longest, if
// that is long.
func (b *Budget) evictStalledOf(now time.Time, h *holding) bool {
	for e := b.arriving.Front(); e != nil; e = e.Next() {
		o := e.Value.(*holding)
		if now.Sub(o.grownAt) < stallTime {
			return false
		}
		if o != h && o.kind == KindBody && o.account == h.account && o.bytes > 0 {
			b.refuse(o, ReasonStalled)
			return true
		}
	}
	return false
}
