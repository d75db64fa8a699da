package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// This file tests when a daemon leaves the rotation because it is cut off.

// TestIsolation checks the judgement for what a daemon may see.
func TestIsolation(t *testing.T) {
	tests := []struct {
		name      string
		dark, all int
		reached   bool // a daemon of a dark failure domain
		leaves    bool
	}{
		{"all is well", 0, 4, false, false},
		{"another failure domain is cut off", 1, 4, false, false},
		{"half of the fleet is cut off from the other half", 2, 4, false, false},
		{"this failure domain is cut off", 3, 4, false, true},
		{"this VM is cut off", 4, 4, false, true},
		{"the endpoints of most failure domains have failed", 3, 4, true, false},
		{"one of two failure domains", 1, 2, false, false},
		{"two of three failure domains", 2, 3, false, true},
		{"no endpoints are known", 0, 0, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var i isolation
			if i.observe(epoch, test.dark, test.all) {
				c.Check(i.leaves(epoch), qt.IsFalse, qt.Commentf("nobody was tried yet"))
				i.tried(epoch, test.reached)
			}
			c.Check(i.leaves(epoch), qt.Equals, test.leaves)
			c.Check(i.observe(epoch.Add(time.Second), 0, test.all), qt.IsFalse)
			c.Check(i.leaves(epoch.Add(time.Second)), qt.IsFalse, qt.Commentf("the others are back"))
			i.tried(epoch.Add(time.Second), false)
			c.Check(i.leaves(epoch.Add(time.Second)), qt.IsFalse, qt.Commentf("a late result"))
		})
	}
}

// TestLongIsolation checks that a daemon takes callers again from time to time:
// were all failure domains cut off from each other, nobody would otherwise.
func TestLongIsolation(t *testing.T) {
	c := qt.New(t)
	var i isolation
	out, most := time.Duration(0), time.Duration(0)
	const step = 100 * time.Millisecond
	for now := epoch; now.Before(epoch.Add(5 * time.Minute)); now = now.Add(step) {
		if i.observe(now, 3, 4) {
			i.tried(now, false)
		}
		if out += step; !i.leaves(now) {
			out = 0
		}
		most = max(most, out)
	}
	c.Check(most <= isolationMost, qt.IsTrue, qt.Commentf("out for %s", most))
}

// TestCallersOfACutDomain plays the callers of a failure domain that is cut off
// for six seconds without any endpoint of its own. The balancer asks each second and
// needs two misses, callers come back once. It checks how many are served, and that
// none is told to come back before another domain would serve it.
func TestCallersOfACutDomain(t *testing.T) {
	const (
		cut   = 6 * time.Second
		step  = 10 * time.Millisecond // between callers
		asks  = time.Second
		needs = 2
	)
	c := qt.New(t)
	var i isolation
	callers, served, early := 0, 0, 0
	misses := 0
	rotated := func() bool { return misses < needs }
	returns := map[time.Duration]int{} // by the time at which they come back
	for at := time.Duration(0); at < cut; at += step {
		now := epoch.Add(at)
		if i.observe(now, 4, 4) {
			i.tried(now, false)
		}
		if at%asks == 0 {
			if misses++; !i.leaves(now) {
				misses = 0
			}
		}
		callers++
		if !rotated() {
			served++
		} else if wait, ok := i.elsewhere(now); ok {
			returns[(at+wait).Truncate(step)]++
		}
		if !rotated() {
			served += returns[at]
		} else {
			early += returns[at]
		}
	}
	c.Check(early, qt.Equals, 0, qt.Commentf("callers came back too early"))
	c.Check(served >= callers*9/10, qt.IsTrue, qt.Commentf("%d of %d callers were served", served, callers))
}
