package direct_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests that daemons together keep the rate limits that endpoints name.

// busiestWindow returns the most requests that an endpoint got within a window that
// begins after a time.
func busiestWindow(e *fakeplatform.Endpoint, after time.Time, window time.Duration) int {
	most, first := 0, 0
	rs := e.Requests()
	for i, r := range rs {
		for rs[first].Arrived.Before(after) && first < i || r.Arrived.Sub(rs[first].Arrived) >= window {
			first++
		}
		if !r.Arrived.Before(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

const (
	// limitWindow and the allowance are those of the users' rule: in any four
	// seconds one and a half times the limit, and five requests.
	limitWindow = 4 * time.Second
	// limitGrace is how long after an endpoint has named a limit to a daemon its
	// requests may still come.
	limitGrace = 500 * time.Millisecond
)

func allowedInWindow(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// TestDaemonsTogetherExceedRateLimit guards against daemons that each keep, or
// ignore, a limit that an endpoint names for all of them.
func TestDaemonsTogetherExceedRateLimit(t *testing.T) {
	tests := []struct {
		name      string
		daemons   int
		perSecond float64
		load      load
	}{
		{"below one a second", 8, 0.3, lookups(60, 0)},
		{"one a second", 8, 1, lookups(60, 0)},
		{"one busy daemon", 6, 1.6, lookups(60, 0.7)},
		{"many a second", 6, 15, lookups(180, 0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "desk", test.daemons, 3)
			f.play(lookups(40, 0), time.Second)
			limited := f.endpoints[0]
			limited.SetBehaviour(fakeplatform.Limited(test.perSecond, fakeplatform.Status(http.StatusOK)))
			began := time.Now()
			sent, answered := f.play(test.load, 6*time.Second)
			f.Check(answered >= sent*95/100, qt.IsTrue, qt.Commentf("%d of %d answered, though two endpoints have no limit", answered, sent))
			got := busiestWindow(limited, began.Add(2*limitGrace), limitWindow)
			f.Check(got <= allowedInWindow(test.perSecond), qt.IsTrue,
				qt.Commentf("%d requests in %s, allowed %d", got, limitWindow, allowedInWindow(test.perSecond)))
		})
	}
}

// TestRateLimitUnused guards against limits divided in equal parts: of a service whose
// endpoints are all limited, most is used though one daemon gets most of the calls.
func TestRateLimitUnused(t *testing.T) {
	t.Parallel()
	const (
		perSecond = 8
		during    = 6 * time.Second
		// minUsed is of what all endpoints accept; the demand exceeds that.
		minUsed = 0.6
	)
	f := newFleet(t, "desk", 6, 3)
	for _, e := range f.endpoints {
		e.SetBehaviour(fakeplatform.Limited(perSecond, fakeplatform.Status(http.StatusOK)))
	}
	f.play(lookups(60, 0), time.Second)
	began := time.Now()
	sent, answered := f.play(lookups(50, 0.7), during)
	f.Check(float64(answered) >= minUsed*perSecond*3*during.Seconds(), qt.IsTrue, qt.Commentf("%d of %d answered", answered, sent))
	for _, e := range f.endpoints {
		got := busiestWindow(e, began.Add(limitGrace), limitWindow)
		f.Check(got <= allowedInWindow(perSecond), qt.IsTrue, qt.Commentf("%d requests in %s", got, limitWindow))
	}
}

// TestRateLimitOutlivesItsStatement guards against daemons that keep a limit for good
// because they send too little to hear of its end.
func TestRateLimitOutlivesItsStatement(t *testing.T) {
	t.Parallel()
	f := newFleet(t, "desk", 4, 2)
	limited := f.endpoints[0]
	limited.SetBehaviour(fakeplatform.Limited(0.5, fakeplatform.Status(http.StatusOK)))
	f.play(lookups(40, 0), 2*time.Second)
	limited.SetBehaviour(nil)
	f.play(lookups(40, 0), 6*time.Second)
	before := len(limited.Requests())
	sent, _ := f.play(lookups(40, 0), 2*time.Second)
	got := len(limited.Requests()) - before
	f.Check(got >= sent/4, qt.IsTrue, qt.Commentf("%d of %d requests went to the endpoint, one of two", got, sent))
}

// TestRateLimitWithoutAllocator checks that a limit holds while the daemons that hand
// out its permits stop one after the other, and that the endpoint goes on to be used.
func TestRateLimitWithoutAllocator(t *testing.T) {
	t.Parallel()
	const perSecond = 3
	f := newFleet(t, "desk", 4, 2)
	limited := f.endpoints[0]
	limited.SetBehaviour(fakeplatform.Limited(perSecond, fakeplatform.Status(http.StatusOK)))
	f.play(lookups(60, 0), time.Second)
	began := time.Now()
	for len(f.stops) > 1 {
		f.play(lookups(40, 0), 2*time.Second)
		f.stops[0]()
		f.stops, f.callers = f.stops[1:], f.callers[1:]
	}
	before := len(limited.Requests())
	f.play(lookups(40, 0), 4*time.Second)
	f.Check(len(limited.Requests()) > before, qt.IsTrue)
	got := busiestWindow(limited, began.Add(limitGrace), limitWindow)
	f.Check(got <= allowedInWindow(perSecond), qt.IsTrue, qt.Commentf("%d requests in %s", got, limitWindow))
}
