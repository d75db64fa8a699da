package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// This file tests when an isolated daemon leaves the rotation.

// TestIsolation checks the detection for combinations of unreachable failure
// domains and probe results.
func TestIsolation(t *testing.T) {
	tests := []struct {
		name               string
		unreachable, total int
		reached            bool // a daemon of an unreachable failure domain
		out                bool
	}{
		{"all failure domains are reachable", 0, 4, false, false},
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
			if i.observe(epoch, test.unreachable, test.total) {
				c.Check(i.outOfRotation(epoch), qt.IsFalse, qt.Commentf("no daemon was probed yet"))
				i.recordProbe(epoch, test.reached)
			}
			c.Check(i.outOfRotation(epoch), qt.Equals, test.out)
			c.Check(i.observe(epoch.Add(time.Second), 0, test.total), qt.IsFalse)
			c.Check(i.outOfRotation(epoch.Add(time.Second)), qt.IsFalse, qt.Commentf("the other failure domains are reachable again"))
			i.recordProbe(epoch.Add(time.Second), false)
			c.Check(i.outOfRotation(epoch.Add(time.Second)), qt.IsFalse, qt.Commentf("a late probe result"))
		})
	}
}

// TestLongIsolation checks that an isolated daemon regularly takes callers again.
// Otherwise no daemon would take any if all failure domains were cut off from each
// other.
func TestLongIsolation(t *testing.T) {
	c := qt.New(t)
	var i isolation
	out, longest := time.Duration(0), time.Duration(0)
	const step = 100 * time.Millisecond
	for now := epoch; now.Before(epoch.Add(5 * time.Minute)); now = now.Add(step) {
		if i.observe(now, 3, 4) {
			i.recordProbe(now, false)
		}
		if out += step; !i.outOfRotation(now) {
			out = 0
		}
		longest = max(longest, out)
	}
	c.Check(longest <= maxOutOfRotation, qt.IsTrue, qt.Commentf("out of rotation for %s", longest))
}

// TestCallersOfAnIsolatedDomain simulates callers of a failure domain that is
// isolated for six seconds without any endpoint of its own. The load balancer
// checks each second and removes a daemon after two failed checks; callers retry
// once. The test checks how many are served, and that no retry comes before another
// domain would serve it.
func TestCallersOfAnIsolatedDomain(t *testing.T) {
	const (
		duration      = 6 * time.Second
		step          = 10 * time.Millisecond // between callers
		checkInterval = time.Second
		failedChecks  = 2
	)
	c := qt.New(t)
	var i isolation
	callers, served, early := 0, 0, 0
	failures := 0
	inRotation := func() bool { return failures < failedChecks }
	retries := map[time.Duration]int{} // by the time of the retry
	for at := time.Duration(0); at < duration; at += step {
		now := epoch.Add(at)
		if i.observe(now, 4, 4) {
			i.recordProbe(now, false)
		}
		if at%checkInterval == 0 {
			if failures++; !i.outOfRotation(now) {
				failures = 0
			}
		}
		callers++
		if !inRotation() {
			served++
		} else if wait, ok := i.redirectDelay(now); ok {
			retries[(at+wait).Truncate(step)]++
		}
		if !inRotation() {
			served += retries[at]
		} else {
			early += retries[at]
		}
	}
	c.Check(early, qt.Equals, 0, qt.Commentf("callers retried too early"))
	c.Check(served >= callers*9/10, qt.IsTrue, qt.Commentf("%d of %d callers were served", served, callers))
}
