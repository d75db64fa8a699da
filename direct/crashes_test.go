package direct_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests which requests daemons send when prompts crash endpoints, or
// endpoints crash for other reasons.

const (
	crashingPart = "dead"
	// learningTime and allowedLater are those of the users' rule: later than this after
	// the fifth crash, so many requests with the part may reach endpoints.
	learningTime = 3 * time.Second
	allowedLater = 3
	// restartAfter is how long a crashed endpoint is away.
	restartAfter = 1500 * time.Millisecond
)

// prompts returns a load of streams. Their prompts have a part of the route, one of the
// given parts, one of eight documents, and a part of their own.
func prompts(perSecond float64, second ...string) load {
	return load{
		perSecond: perSecond, method: http.MethodPost, host: "lm.example", path: "/write/",
		header: func() []string {
			return []string{"Fescuelatch-Prefix-Hash", fmt.Sprintf("a0:40,%s:30,d%d:20,%x:10", second[rand.IntN(len(second))], rand.IntN(8), rand.Uint64())}
		},
	}
}

// newSupervisedFleet starts daemons, and endpoints that are started again after a crash.
func newSupervisedFleet(t *testing.T, service string, daemons, endpoints int, b func(*fakeplatform.Supervised) fakeplatform.Behaviour) (*fleet, []*fakeplatform.Supervised) {
	f := newFleet(t, service, daemons, 1)
	var all []*fakeplatform.Supervised
	for n := range endpoints {
		e := fakeplatform.NewSupervised(f.store, fmt.Sprintf("s-%d", n), service, restartAfter, b)
		t.Cleanup(e.Close)
		all = append(all, e)
	}
	f.store.Delete(f.endpoints[0].Key())
	time.Sleep(time.Second) // The daemons read the registrations.
	return f, all
}

// crashTimes returns the times of all crashes in order.
func crashTimes(all []*fakeplatform.Supervised) []time.Time {
	var times []time.Time
	for _, e := range all {
		times = append(times, e.Crashes()...)
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	return times
}

// arrivalsWithPart returns the number of requests with a part that reached endpoints
// after a time.
func arrivalsWithPart(all []*fakeplatform.Supervised, part string, after time.Time) int {
	n := 0
	for _, e := range all {
		for _, r := range e.Requests() {
			if r.HasPart(part) && r.Arrived.After(after) {
				n++
			}
		}
	}
	return n
}

var shortStream = fakeplatform.Stream(6, 0, "", 40*time.Millisecond)

// TestCrashingPartIsSentAgain guards against daemons that send requests with a part that
// crashes endpoints to one endpoint after the other.
func TestCrashingPartIsSentAgain(t *testing.T) {
	tests := []struct {
		name      string
		daemons   int
		perSecond float64 // requests with the part
		during    time.Duration
	}{
		{"many", 6, 5, 16 * time.Second},
		{"few", 6, 0.7, 20 * time.Second},
		{"two daemons", 2, 3, 14 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, all := newSupervisedFleet(t, "lm", test.daemons, 8, fakeplatform.CrashOnPart(crashingPart, shortStream))
			f.play(prompts(40, "b0", "b1"), time.Second)
			var plays sync.WaitGroup
			plays.Go(func() { f.play(prompts(test.perSecond, crashingPart), test.during) })
			f.play(prompts(40, "b0", "b1"), test.during*2/3)
			sent, answered := f.play(prompts(40, "b0", "b1"), test.during/3)
			plays.Wait()
			crashes := crashTimes(all)
			f.Check(answered >= sent*95/100, qt.IsTrue, qt.Commentf("%d of %d others answered", answered, sent))
			f.Logf("%d crashes, %d of %d others answered in the last third", len(crashes), answered, sent)
			if len(crashes) >= 5 {
				got := arrivalsWithPart(all, crashingPart, crashes[4].Add(learningTime))
				f.Logf("%d requests with the part later than %s after the fifth crash", got, learningTime)
				f.Check(got <= allowedLater, qt.IsTrue, qt.Commentf("%d requests with the part later than %s after the fifth of %d crashes", got, learningTime, len(crashes)))
			}
		})
	}
}

// TestSharedPartIsRefusedForCause guards against sound requests that are refused as they share a
// part with requests that crash endpoints, while no answer to either is known.
func TestSharedPartIsRefusedForCause(t *testing.T) {
	const (
		during = 12 * time.Second
		// settled is the time after the fifth crash, or the last if there are fewer, from
		// which on sound requests are looked at.
		settled = 6 * time.Second
	)
	tests := []struct {
		name, cause, sound string
		alike              bool // but for the prompt
	}{
		{"behind the cause", crashingPart + ":20,b0:30", "%[1]s:20,b0:30", false},
		{"around the cause", "a0:40," + crashingPart + ":20,b0:30", "a0:40,%[1]s:20,b0:30", false},
		{"before the cause", "b0:30," + crashingPart + ":20", "b0:30,%[1]s:20", false},
		{"behind the cause, the same body", crashingPart + ":20,b0:30", "%[1]s:20,b0:30", true},
		{"before the cause, the same body", "b0:30," + crashingPart + ":20", "b0:30,%[1]s:20", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, all := newSupervisedFleet(t, "lm", 3, 3, fakeplatform.CrashOnPart(crashingPart, slowly(1200*time.Millisecond, shortStream)))
			stream := func(perSecond float64, parts func() string) load {
				return load{perSecond: perSecond, method: http.MethodPost, host: "lm.example", path: "/write/", unlike: !test.alike, header: func() []string {
					return []string{"Fescuelatch-Prefix-Hash", fmt.Sprintf("%s,%x:10", parts(), rand.Uint64())}
				}}
			}
			sound := stream(6, func() string { return fmt.Sprintf(test.sound, fmt.Sprintf("%x", rand.Uint32())) })
			var plays sync.WaitGroup
			plays.Go(func() { f.play(stream(5, func() string { return test.cause }), during) })
			began := time.Now()
			f.play(sound, settled)
			crashes := crashTimes(all)
			f.Assert(len(crashes) > 0, qt.IsTrue)
			from := crashes[min(len(crashes), 5)-1].Add(settled)
			f.play(sound, time.Until(from))
			sent, answered := f.play(sound, during-time.Since(began))
			plays.Wait()
			f.Logf("%d of %d answered, %d crashes", answered, sent, len(crashTimes(all)))
			f.Check(2*answered >= sent, qt.IsTrue, qt.Commentf("%d of %d answered", answered, sent))
		})
	}
}

// TestNewDaemonSendsCrashingPart guards against a daemon that starts after the crashes
// and has met none of them.
func TestNewDaemonSendsCrashingPart(t *testing.T) {
	t.Parallel()
	f, all := newSupervisedFleet(t, "lm", 3, 6, fakeplatform.CrashOnPart(crashingPart, shortStream))
	var plays sync.WaitGroup
	plays.Go(func() { f.play(prompts(5, crashingPart), 6*time.Second) })
	f.play(prompts(40, "b0", "b1"), 6*time.Second)
	plays.Wait()
	f.startDaemon(t, "vm-late")
	f.awaitReady()
	f.useLast()
	began := time.Now()
	f.play(prompts(5, crashingPart), 2*time.Second)
	got := arrivalsWithPart(all, crashingPart, began)
	f.Check(got, qt.Equals, 0)
	sent, answered := f.play(prompts(40, "b0", "b1"), 2*time.Second)
	f.Check(answered >= sent*95/100, qt.IsTrue, qt.Commentf("%d of %d others answered", answered, sent))
}

// TestCrashesWithoutPromptBlockPart guards against parts that are held responsible for
// crashes which no prompt has caused.
func TestCrashesWithoutPromptBlockPart(t *testing.T) {
	const crashes = 11
	tests := []struct {
		name  string
		crash func(all []*fakeplatform.Supervised)
		pause time.Duration
	}{
		{"one at a time", func(all []*fakeplatform.Supervised) { all[rand.IntN(len(all))].Crash() }, 1200 * time.Millisecond},
		{"all at once", func(all []*fakeplatform.Supervised) {
			for _, e := range all {
				e.Crash()
			}
		}, 4 * time.Second},
		{"half at once", func(all []*fakeplatform.Supervised) {
			for _, e := range all[:len(all)/2] {
				e.Crash()
			}
		}, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, all := newSupervisedFleet(t, "lm", 6, 8, fakeplatform.Sound(shortStream))
			var plays sync.WaitGroup
			plays.Go(func() {
				for n := 0; n < crashes; n = len(crashTimes(all)) {
					time.Sleep(test.pause)
					test.crash(all)
				}
			})
			// A part that no request had before is in all requests of two seconds.
			for n := range 7 {
				f.play(prompts(40, fmt.Sprintf("n%d", n)), 2*time.Second)
			}
			plays.Wait()
			time.Sleep(2 * restartAfter)
			for n := range 7 {
				sent, answered := f.play(prompts(40, fmt.Sprintf("n%d", n)), 500*time.Millisecond)
				f.Check(answered, qt.Equals, sent, qt.Commentf("part n%d", n))
			}
		})
	}
}
