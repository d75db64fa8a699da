package direct_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests that daemons together do not crash endpoints that can turn away few
// requests.

// TestBrittleEndpointsCrash guards against daemons that together have more requests turned
// away than endpoints bear.
func TestBrittleEndpointsCrash(t *testing.T) {
	const (
		// allowedFalls and allowedShare are those of the users' rule.
		allowedFalls = 2
		allowedShare = 0.1
		// minUsed is the part of the capacity that is used under overload.
		minUsed = 0.5
		during  = 8 * time.Second
	)
	tests := []struct {
		name               string
		daemons, endpoints int
		capacity           fakeplatform.Brittle
		load               float64 // relative to the capacity
	}{
		{"half of the load", 6, 3, fakeplatform.Brittle{Slots: 8, Queue: 1, Work: 400 * time.Millisecond, MaxRejected: 3}, 0.5},
		{"overload", 6, 3, fakeplatform.Brittle{Slots: 8, Queue: 1, Work: 400 * time.Millisecond, MaxRejected: 3}, 1.5},
		{"overload, no queue", 8, 4, fakeplatform.Brittle{Slots: 8, Work: 500 * time.Millisecond, MaxRejected: 2}, 1.5},
		{"more daemons than slots", 20, 3, fakeplatform.Brittle{Slots: 8, Queue: 2, Work: 400 * time.Millisecond, MaxRejected: 4}, 1.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, "lm", test.daemons, 1)
			var all []*fakeplatform.Supervised
			for n := range test.endpoints {
				e := fakeplatform.NewSupervised(f.store, string(rune('p'+n)), "lm", 2*restartAfter, test.capacity.Supervised)
				t.Cleanup(e.Close)
				all = append(all, e)
			}
			f.store.Delete(f.endpoints[0].Key())
			time.Sleep(time.Second)
			perSecond := float64(test.endpoints*test.capacity.Slots) / test.capacity.Work.Seconds()
			f.play(prompts(perSecond/4, "b0"), learningTime)
			began := time.Now()
			sent, answered := f.play(prompts(test.load*perSecond, "b0"), during)
			falls := 0
			for _, at := range crashTimes(all) {
				if at.After(began) {
					falls++
				}
			}
			rejected := 0
			for _, e := range all {
				for _, r := range e.Requests() {
					if r.Arrived.After(began) {
						rejected++
					}
				}
			}
			f.Logf("%d falls; %d of %d answered, %d arrived; capacity %.0f", falls, answered, sent, rejected, perSecond*during.Seconds())
			f.Check(float64(falls) <= allowedFalls+allowedShare*float64(test.endpoints), qt.IsTrue, qt.Commentf("%d falls", falls))
			want := min(float64(sent)*0.9, minUsed*perSecond*during.Seconds())
			f.Check(float64(answered) >= want, qt.IsTrue, qt.Commentf("%d of %d answered", answered, sent))
		})
	}
}
