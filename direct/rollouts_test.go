package direct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/cascade"
	"fescuelatch/chart"
	"fescuelatch/rollout"
)

// This file tests what sessions see of a roll-out that many daemons carry out.

const (
	rollDaemons  = 24
	rollWithin   = 24 * time.Second
	rollSessions = 400
	rollRate     = 250 // requests a second
	// rollSkew is the longest time between two daemons' sight of an order.
	rollSkew = 60 * time.Millisecond
	// sessionTime is that after which a session is a new one.
	sessionTime = 6500 * time.Millisecond
	// mostReturned bounds the requests of sessions that a good roll-out sends
	// to another release in the wrong way.
	mostReturned = 3
)

// rollFleet is a fleet that carries out a roll-out.
type rollFleet struct {
	random   *rand.Rand
	rollouts []*rollout.Rollout
	views    []*rollView
	sessions map[string]*rollSession
	returned int
	moved    int
}

// rollView is what a daemon decides with.
type rollView struct {
	ladder     *cascade.Ladder
	division   division
	candidates []fescuelatch.Candidate
}

// rollSession is the release and the time of a session's last request.
type rollSession struct {
	release fescuelatch.ReleaseID
	at      time.Duration
}

func newRollFleet(seed uint64) *rollFleet {
	f := &rollFleet{random: rand.New(rand.NewPCG(seed, 3)), sessions: make(map[string]*rollSession)}
	order := fescuelatch.RolloutOrder{Service: "lm", Target: "v2", Within: rollWithin, Revision: 5}
	for range rollDaemons {
		seen := time.Unix(0, 0).Add(time.Duration(f.random.Int64N(int64(rollSkew))))
		f.rollouts = append(f.rollouts, rollout.New(rollout.Settings{Exposure: 0.12}, order, seen))
		f.views = append(f.views, &rollView{ladder: cascade.NewLadder(cascade.LadderSettings{SessionTime: sessionTime})})
	}
	return f
}

// view returns what a daemon decides with at a time.
func (f *rollFleet) view(d int, at time.Duration) *rollView {
	v, r := f.views[d], &rolling{Rollout: f.rollouts[d]}
	now := time.Unix(0, 0).Add(at)
	r.Advance(now)
	if v.candidates != nil && r.divide(now) == v.division {
		return v
	}
	v.division = r.divide(now)
	v.candidates = nil
	slots := map[fescuelatch.ReleaseID]int{"v1": 500, "v2": 100}
	for _, x := range versionsOf("lm", fescuelatch.DeployedModel{ID: "lm:small"}, slots, func(fescuelatch.ServiceID) (division, bool) {
		return v.division, true
	}) {
		v.candidates = append(v.candidates, fescuelatch.Candidate{Version: x, Spare: 1 - f.random.IntN(2)})
	}
	return v
}

// send sends a request of a session, or of none, to some daemon.
func (f *rollFleet) send(at time.Duration, session string) fescuelatch.ReleaseID {
	d := f.random.IntN(rollDaemons)
	v := f.view(d, at)
	now := time.Unix(0, 0).Add(at)
	q := &fescuelatch.Request{Ladder: []fescuelatch.ModelID{"lm:small"}, SessionKey: session, Arrived: now}
	release := v.ladder.Plan(now, q, v.candidates, f.random.Float64())[0].Release()
	f.rollouts[d].Observe(rollout.Answer{Route: "review", Release: release, Latency: 100 * time.Millisecond})
	return release
}

// play sends requests over the time of the order, a part of them without a
// session, and counts the sessions that changed release in the wrong way.
func (f *rollFleet) play(sessionless float64) {
	for at := time.Duration(0); at < rollWithin; at += time.Second / rollRate {
		if at%(500*time.Millisecond) == 0 {
			f.exchange()
		}
		if f.random.Float64() < sessionless {
			f.send(at, "")
			continue
		}
		key := fmt.Sprint("session-", f.random.IntN(rollSessions))
		release := f.send(at, key)
		if was := f.sessions[key]; was != nil && at-was.at < sessionTime && was.release != release {
			if release == "v1" || at < rollWithin/2 {
				f.returned++
			} else {
				f.moved++
			}
		}
		f.sessions[key] = &rollSession{release, at}
	}
}

func (f *rollFleet) exchange() {
	for i, r := range f.rollouts {
		for j, o := range f.rollouts {
			if i != j {
				r.Merge(fescuelatch.VMID(fmt.Sprint(j)), o.Evidence())
			}
		}
	}
}

func TestSessionsInAGoodRollout(t *testing.T) {
	for _, sessionless := range []float64{0, 0.1, 0.5} {
		t.Run(fmt.Sprint(sessionless), func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(10) {
				f := newRollFleet(seed)
				f.play(sessionless)
				c.Check(f.rollouts[0].State(), qt.Equals, chart.RolloutMoved)
				c.Check(f.moved > 0, qt.IsTrue)
				c.Check(f.returned <= mostReturned, qt.IsTrue, qt.Commentf("seed %d: %d requests", seed, f.returned))
			}
		})
	}
}

// TestTurns checks that each daemon has a turn of its own, and that no failure
// domain has all the first ones.
func TestTurns(t *testing.T) {
	c := qt.New(t)
	all := make(map[fescuelatch.VMID]bool)
	for _, domain := range []string{"a", "b", "c", "d"} {
		for n := range 20 {
			all[fescuelatch.VMID(fmt.Sprintf("edge-%s-%d", domain, n))] = true
		}
	}
	taken := make(map[int]bool)
	first := make(map[string]bool)
	for vm := range all {
		turn := turnOf(vm, all)
		c.Check(taken[turn], qt.IsFalse)
		taken[turn] = true
		if turn < 4 {
			first[string(vm[:6])] = true
		}
	}
	c.Check(len(first) > 1, qt.IsTrue, qt.Commentf("the first turns are of %v", first))
}

// TestProgressWithoutTheFirst checks that another daemon records how far a roll-out
// has come when the one whose turn it is does not, and that none replaces a record by
// one of less progress. A daemon that starts anew would otherwise begin the roll-out
// from the start, and give sessions the release that they had left.
func TestProgressWithoutTheFirst(t *testing.T) {
	const within = 20 * time.Second
	tests := []struct {
		name     string
		recorded time.Duration // by another daemon; zero for none
		elapsed  time.Duration
		writes   bool
	}{
		{"nothing is recorded", 0, within / 2, true},
		{"the first daemon records", 9 * time.Second, within / 2, false},
		{"it has recorded long ago", 4 * time.Second, within / 2, true},
		{"more is recorded than is known here", 15 * time.Second, within / 10, false},
		{"the roll-out has just begun", 0, time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := quietDaemon()
			d.bounds.Rollout = rollout.Settings{Exposure: 0.15}
			first := fescuelatch.VMID("vm-2")
			for n := 3; rank(first) > rank(d.options.VM); n++ {
				first = fescuelatch.VMID(fmt.Sprint("vm-", n))
			}
			d.known.replace(epoch, fescuelatch.Changes{Revision: 80, Items: []fescuelatch.StoredItem{
				entry("op/config", smallConfiguration, 1), beat(1, "ready", 2), entry("op/rollout/lm", rollOut, 70),
				entry("fescuelatch/daemons/"+string(first), `{"failure-domain":"a"}`, 75),
			}})
			d.refreshLocked(epoch)
			c.Assert(d.turn(), qt.Equals, 1)
			r := d.rollouts["lm"]
			if test.recorded > 0 {
				value := fmt.Sprintf(`{"revision":70,"elapsed-ns":%d}`, test.recorded)
				d.known.records[recordProgress+"lm"] = fescuelatch.KeyValue{Value: []byte(value), Revision: 81}
			}
			wrote := false
			for _, w := range d.recordsOf(epoch.Add(test.elapsed), "lm", r) {
				wrote = wrote || w.Then[0].Put.Key == d.options.Notation.RecordKey(recordProgress+"lm")
			}
			c.Check(wrote, qt.Equals, test.writes)
		})
	}
}
