package claim_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/claim"
	"fescuelatch/keyvalue/memory"
)

// This file tests that a dated key is rejected before its claim can have
// expired, whatever a daemon's own clock shows.

// accepts reports whether a daemon would dispatch a request with the key when
// no claim is stored. The daemon's own clock is off by step.
func accepts(c *qt.C, key string, at time.Time, step time.Duration) bool {
	r := newClaimer(new(memory.KV), &clock{now: at.Add(step)})
	r.CommonTime = func() time.Time { return at }
	q := request("any")
	q.Key = key
	l, err := r.Claim(context.Background(), q)
	if kind := claim.KindOf(err); kind == claim.KindExpired || kind == claim.KindPremature {
		return false
	}
	c.Assert(err, qt.IsNil)
	return l.Dispatch()
}

func TestDatedKeyExpiresBeforeItsClaim(t *testing.T) {
	const uuidOfStart = "01a229bf-fa00-7000-8000-000000000000" // 2026-11-30 14:27:15
	for _, key := range []string{"2026-11-30/ban-1", uuidOfStart} {
		for _, step := range []time.Duration{0, 5 * time.Hour, -5 * time.Hour, -200 * time.Hour} {
			t.Run(fmt.Sprint(key, " clock ", step), func(t *testing.T) {
				c := qt.New(t)
				accepted := 0
				for first := -72 * time.Hour; first < 9*24*time.Hour; first += 30 * time.Minute {
					at := start.Add(first)
					if !accepts(c, key, at, 0) {
						continue
					}
					accepted++
					c.Check(accepts(c, key, at.Add(claim.DefaultRetention+time.Second), step), qt.IsFalse, qt.Commentf("first %s", at))
				}
				// Repeats are accepted for at least five of the seven days.
				c.Check(accepted > 5*48, qt.IsTrue, qt.Commentf("accepted in %d half hours", accepted))
				c.Check(accepts(c, key, start.Add(2*time.Hour+30*time.Minute), step), qt.IsTrue)
			})
		}
	}
}

// TestSteppedClocksKeepClaims has two daemons whose clocks differ by hours claim
// one key. The second daemon's result must not depend on its clock.
func TestSteppedClocksKeepClaims(t *testing.T) {
	steps := []time.Duration{0, 9 * time.Hour, -9 * time.Hour, 400 * time.Hour, -400 * time.Hour}
	for _, one := range steps {
		for _, two := range steps {
			t.Run(fmt.Sprint(one, " and ", two), func(t *testing.T) {
				c := qt.New(t)
				kv := new(memory.KV)
				common := &clock{now: start}
				daemon := func(step time.Duration) *claim.Claimer {
					r := newClaimer(kv, &clock{now: start.Add(step)})
					r.CommonTime = common.Now
					return r
				}
				q := request("first")
				q.Deadline = start.Add(one).Add(time.Minute)
				l, err := daemon(one).Claim(context.Background(), q)
				c.Assert(err, qt.IsNil)
				c.Assert(l.Dispatch(), qt.IsTrue)
				repeat := func() claim.State {
					l, err := daemon(two).Claim(context.Background(), request("second"))
					c.Assert(err, qt.IsNil)
					c.Check(l.Dispatch(), qt.IsFalse)
					return l.State
				}
				c.Check(repeat(), qt.Equals, claim.StateInProgress)
				common.now = start.Add(time.Hour)
				c.Check(repeat(), qt.Equals, claim.StateUnknown)
			})
		}
	}
}
