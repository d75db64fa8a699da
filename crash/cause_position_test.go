package crash_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/crash"
)

// This file tests prompts in which the cause stands at any place, while nothing is known to be
// sound.

// traffic plays sound requests and such with a part that crashes endpoints.
type traffic struct {
	*fleet
	endpoints []trafficEndpoint
	running   []trafficRequest
	sent      int
	processes int
	crashes   []time.Time
	// late is the number of requests with the cause that endpoints got later than lateAfter
	// the fifth crash.
	late int
	// refused and begun count the sound requests in the window that is checked.
	refused, begun int
	counting       bool
	// soundTime is the time until an answer shows that its request is sound.
	soundTime time.Duration
}

type trafficEndpoint struct {
	process int
	backAt  time.Time
}

type trafficRequest struct {
	ledger   *crash.Ledger
	endpoint int
	request  *fescuelatch.Request
	deadly   bool
	ends     time.Time
}

const (
	// trafficDown is how long an endpoint is down after a crash.
	trafficDown = 3 * time.Second
	soundTime   = 1200 * time.Millisecond
	deadlyTime  = 150 * time.Millisecond
	lateAfter   = 3 * time.Second
)

func newTraffic(seed uint64, daemons, endpoints int) *traffic {
	t := &traffic{fleet: newFleet(seed, daemons, 500*time.Millisecond), soundTime: soundTime}
	for range endpoints {
		t.endpoints = append(t.endpoints, trafficEndpoint{process: t.processes})
		t.processes++
	}
	return t
}

// send sends a request to a random daemon, and from there to an endpoint that is up.
func (t *traffic) send(parts []string, deadly bool) {
	t.sent++
	q := whole(fmt.Sprint("f", t.sent), parts...)
	q.ID = fescuelatch.RequestID(fmt.Sprint("q", t.sent))
	l := t.ledgers[t.random.IntN(len(t.ledgers))]
	t.try(l, q)
	_, refused := l.Blocked(t.now, q)
	if t.counting && !deadly {
		if refused {
			t.refused++
		} else {
			t.begun++
		}
	}
	var up []int
	for i, e := range t.endpoints {
		if !t.now.Before(e.backAt) {
			up = append(up, i)
		}
	}
	if refused || len(up) == 0 {
		return
	}
	ends := t.now.Add(t.soundTime)
	if deadly {
		ends = t.now.Add(deadlyTime)
		if len(t.crashes) >= 5 && t.now.Sub(t.crashes[4]) > lateAfter {
			t.late++
		}
	}
	t.running = append(t.running, trafficRequest{l, up[t.random.IntN(len(up))], q, deadly, ends})
}

// step lets time pass and ends requests.
func (t *traffic) step() {
	t.advance(fleetStep)
	for i := 0; i < len(t.running); i++ {
		r := t.running[i]
		switch {
		case t.now.Before(r.ends):
			continue
		case r.deadly:
			t.crashes = append(t.crashes, t.now)
			t.crash(r.endpoint)
			i = -1
			continue
		default:
			r.ledger.Answered(t.now, r.request)
		}
		t.running = slices.Delete(t.running, i, i+1)
		i--
	}
}

// crash ends an endpoint and all requests there.
func (t *traffic) crash(endpoint int) {
	e := &t.endpoints[endpoint]
	t.running = slices.DeleteFunc(t.running, func(r trafficRequest) bool {
		if r.endpoint == endpoint {
			r.ledger.Crashed(t.now, process(e.process), r.request, false)
		}
		return r.endpoint == endpoint
	})
	*e = trafficEndpoint{process: t.processes, backAt: t.now.Add(trafficDown)}
	t.processes++
}

// TestPlaceOfCauseInPrompt guards against sound requests that are refused as they share a part
// with the cause, wherever it stands in the prompt: no answer tells it from the others when the
// callers were quiet, or all daemons have started again.
func TestPlaceOfCauseInPrompt(t *testing.T) {
	const (
		settled = 6 * time.Second // after the fifth crash, or the last if there are fewer
		length  = 16 * time.Second
	)
	fixed := func(parts ...string) func(int) []string { return func(int) []string { return parts } }
	const few = 4 // of the first requests with the cause
	numbered := func(name string, n int) string { return fmt.Sprint(name, n) }
	tests := []struct {
		name          string
		deadly, sound func(n int) []string
	}{
		{"before the shared part", fixed("x", "s"), func(n int) []string { return []string{numbered("d", n), "s"} }},
		{"before two shared parts", fixed("x", "s", "t"), func(n int) []string { return []string{numbered("d", n), "s", "t"} }},
		{"between shared parts", fixed("s", "x", "t"), func(n int) []string { return []string{"s", numbered("d", n), "t"} }},
		{"after the shared part", fixed("s", "x"), func(n int) []string { return []string{"s", numbered("d", n)} }},
		{"alone beside the shared part", fixed("x", "s"), fixed("s")},
		{"in either order", func(n int) []string {
			if n%2 == 0 {
				return []string{"x", "s"}
			}
			return []string{"s", "x"}
		}, func(n int) []string { return []string{numbered("d", n), "s"} }},
		{
			"behind other parts each time", func(n int) []string { return []string{numbered("e", n%5), "x", "s"} },
			func(n int) []string { return []string{numbered("e", n%5), "s"} },
		},
		{"shared by few sound requests", fixed("x", "s"), func(n int) []string {
			if n%5 == 0 {
				return []string{numbered("d", n), "s"}
			}
			return []string{numbered("d", n), "u"}
		}},
		{"behind the shared part at first", func(n int) []string {
			if n < few {
				return []string{"s", "x"}
			}
			return []string{numbered("e", n), "x"}
		}, func(n int) []string { return []string{"s", numbered("d", n)} }},
		{"before the shared part at first", func(n int) []string {
			if n < few {
				return []string{"x", "s"}
			}
			return []string{"x", numbered("e", n)}
		}, func(n int) []string { return []string{numbered("d", n), "s"} }},
	}
	sides := []struct {
		name      string
		soundTime time.Duration
		// other is the time between crashes that have another cause, and restart when all
		// daemons start again; zero if there are none.
		other, restart time.Duration
	}{
		{"", soundTime, 0, 0},
		{", slow answers", 2 * soundTime, 0, 0},
		{", other crashes", soundTime, 2500 * time.Millisecond, 0},
		{", daemons start again", soundTime, 0, 4 * time.Second},
	}
	for _, test := range tests {
		for _, side := range sides {
			for _, daemons := range []int{1, 3, 8} {
				for _, apart := range []time.Duration{150 * time.Millisecond, 600 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s%s, %d daemons, %s", test.name, side.name, daemons, apart), func(t *testing.T) {
						c := qt.New(t)
						for seed := range uint64(5) {
							f := newTraffic(seed, daemons, 3)
							f.soundTime = side.soundTime
							f.play(length, settled, apart, side.other, side.restart, test.sound, test.deadly)
							c.Logf("seed %d: %d begun, %d refused, %d crashes, %d late", seed, f.begun, f.refused, len(f.crashes), f.late)
							c.Check(f.late <= 3, qt.IsTrue, qt.Commentf("seed %d: %d requests with the cause after the fifth crash", seed, f.late))
							c.Check(f.begun >= f.refused, qt.IsTrue, qt.Commentf("seed %d: %d sound requests begun, %d refused, %d crashes", seed, f.begun, f.refused, len(f.crashes)))
						}
					})
				}
			}
		}
	}
}

// play sends sound requests some time apart, and a third as many with the cause.
func (t *traffic) play(length, settled, apart, other, restart time.Duration, sound, deadly func(int) []string) {
	begin := t.now
	nextSound, nextDeadly, nextOther, n, m := begin, begin, begin.Add(other), 0, 0
	restarted := restart == 0
	for t.now.Sub(begin) < length {
		last := begin
		if k := min(len(t.crashes), 5); k > 0 {
			last = t.crashes[k-1]
		}
		t.counting = t.now.Sub(last) >= settled
		for ; !t.now.Before(nextSound); nextSound = nextSound.Add(apart) {
			t.send(sound(n), false)
			n++
		}
		for ; !t.now.Before(nextDeadly); nextDeadly = nextDeadly.Add(3 * apart) {
			t.send(deadly(m), true)
			m++
		}
		if other > 0 && !t.now.Before(nextOther) {
			t.crash(t.random.IntN(len(t.endpoints)))
			nextOther = nextOther.Add(other)
		}
		if !restarted && t.now.Sub(begin) >= restart {
			restarted = true
			t.restart()
		}
		t.step()
	}
}

// restart replaces all daemons.
func (t *traffic) restart() {
	n := len(t.ledgers)
	t.ledgers, t.delays, t.synced, t.running = nil, nil, nil, nil
	for range n {
		t.start(500 * time.Millisecond)
	}
}
