package direct

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"fescuelatch"
	"fescuelatch/chart"
	"fescuelatch/platform"
	"fescuelatch/rollout"
)

// This file tests what a daemon believes after the store has come back from a
// copy: nothing that was in force becomes undone, and what is written anew
// takes its place.

// inEra returns what a store holds in an era.
func inEra(era, revision int64, items ...fescuelatch.StoredItem) fescuelatch.Changes {
	c := fescuelatch.Changes{Revision: revision, Era: era}
	for _, i := range items {
		i.Era = era
		c.Items = append(c.Items, i)
	}
	return c
}

// report is the entry of endpoint n at a sequence of its own.
func report(n int, state string, sequence, revision int64) fescuelatch.StoredItem {
	i := beat(n, state, sequence)
	i.Revision = revision
	return i
}

const (
	withOldKey = `{"version":7,"routes":[],"services":[{"name":"lm"}],"limits":{},"tenants":[{"name":"kigali","api_keys":["old"]}]}`
	withNewKey = `{"version":9,"routes":[],"services":[{"name":"lm"}],"limits":{},"tenants":[{"name":"kigali","api_keys":["new"]}]}`
	rollOut    = `{"service":"lm","target":"v2","duration_s":20}`
)

// copied is what the copy of the store holds: endpoint 1 serves, endpoint 2 too.
func copied(era int64) fescuelatch.Changes {
	return inEra(era, 60, entry("op/config", withOldKey, 10), report(1, "ready", 5, 50), report(2, "ready", 5, 51))
}

// TestRestored plays changes after the copy, the return of the store, and what
// is written again.
func TestRestored(t *testing.T) {
	leaving := func(k *knowledge) bool { return k.endpoints["i-1"].Leaving }
	there := func(id fescuelatch.EndpointID) func(*knowledge) bool {
		return func(k *knowledge) bool {
			_, ok := k.endpoints[id]
			return ok
		}
	}
	not := func(holds func(*knowledge) bool) func(*knowledge) bool {
		return func(k *knowledge) bool { return !holds(k) }
	}
	out := func(k *knowledge) bool { return k.out["a"] }
	revoked := func(k *knowledge) bool { return k.deployment.Generation == 9 }
	ordered := func(k *knowledge) bool { return k.orders["lm"].Target == "v2" }
	tests := []struct {
		name string
		// since is what changed after the copy was made.
		since []fescuelatch.StoredItem
		// again is what is written in the new era, a second after it began.
		again []fescuelatch.StoredItem
		// holds is what must hold from the return on, and after is what must
		// hold once nothing more is written.
		holds, after func(*knowledge) bool
	}{
		{"nothing happened", nil, nil, there("i-1"), there("i-1")},
		{
			"a key was revoked",
			[]fescuelatch.StoredItem{entry("op/config", withNewKey, 70)},
			[]fescuelatch.StoredItem{entry("op/config", withNewKey, 61)},
			revoked, revoked,
		},
		{"the revocation is not written again", []fescuelatch.StoredItem{entry("op/config", withNewKey, 70)}, nil, revoked, revoked},
		{"an endpoint reported that it leaves", []fescuelatch.StoredItem{report(1, "draining", 6, 70)}, nil, leaving, leaving},
		{
			"it writes its entry again",
			[]fescuelatch.StoredItem{report(1, "draining", 6, 70)},
			[]fescuelatch.StoredItem{report(1, "draining", 7, 61)},
			leaving, leaving,
		},
		{"an endpoint was gone", []fescuelatch.StoredItem{removal("servers/i-1", 70)}, nil, not(there("i-1")), not(there("i-1"))},
		{
			"it was gone and another process came",
			[]fescuelatch.StoredItem{removal("servers/i-1", 70)},
			[]fescuelatch.StoredItem{report(1, "ready", 9, 61)},
			func(*knowledge) bool { return true }, there("i-1"),
		},
		{"an endpoint registered", []fescuelatch.StoredItem{report(3, "ready", 1, 70)}, nil, there("i-3"), not(there("i-3"))},
		{
			"it writes its entry again in time",
			[]fescuelatch.StoredItem{report(3, "ready", 1, 70)},
			[]fescuelatch.StoredItem{report(3, "ready", 2, 61)},
			there("i-3"), there("i-3"),
		},
		{"a failure domain was taken out", []fescuelatch.StoredItem{entry("op/evacuate/a", "{}", 70)}, nil, out, not(out)},
		{
			"it is written again",
			[]fescuelatch.StoredItem{entry("op/evacuate/a", "{}", 70)},
			[]fescuelatch.StoredItem{entry("op/evacuate/a", "{}", 61)},
			out, out,
		},
		{"a roll-out was ordered", []fescuelatch.StoredItem{entry("op/rollout/lm", rollOut, 70)}, nil, ordered, not(ordered)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := known(0)
			k.replace(epoch, copied(3))
			k.apply(epoch, inEra(3, 80, test.since...))
			c.Assert(test.holds(k), qt.IsTrue)
			now := epoch.Add(time.Second)
			k.replace(now, copied(4))
			c.Check(test.holds(k), qt.IsTrue, qt.Commentf("when the store is back"))
			now = now.Add(time.Second)
			k.settle(now)
			k.apply(now, inEra(4, 62, test.again...))
			c.Check(test.holds(k), qt.IsTrue, qt.Commentf("a second later"))
			k.settle(now.Add(time.Minute))
			c.Check(test.after(k), qt.IsTrue, qt.Commentf("a minute later"))
		})
	}
}

// TestRestoredTwice checks that what is held over one return of the store is
// held over a second one soon after.
func TestRestoredTwice(t *testing.T) {
	c := qt.New(t)
	k := known(0)
	k.replace(epoch, copied(3))
	k.apply(epoch, inEra(3, 80, entry("op/config", withNewKey, 70), report(1, "draining", 6, 71), entry("op/evacuate/a", "{}", 72)))
	for n := range int64(2) {
		k.replace(epoch.Add(time.Duration(n)*5*time.Second), copied(4+n))
		c.Check(k.deployment.Generation, qt.Equals, fescuelatch.Generation(9))
		c.Check(k.endpoints["i-1"].Leaving, qt.IsTrue)
		c.Check(k.out["a"], qt.IsTrue)
	}
}

// TestLearnersOfARestoredStore checks that a daemon which learns from another one
// while the operators have not written their newest configuration again gets that
// one, not the one of the copy.
func TestLearnersOfARestoredStore(t *testing.T) {
	c := qt.New(t)
	k := known(0)
	k.replace(epoch, copied(3))
	k.apply(epoch, inEra(3, 80, entry("op/config", withNewKey, 70), report(1, "draining", 6, 71)))
	k.replace(epoch, copied(4))
	learner := known(0)
	learner.replace(epoch, fescuelatch.Changes{Revision: k.revision, Era: k.era, Items: k.everything()})
	c.Check(learner.deployment.Generation, qt.Equals, fescuelatch.Generation(9))
	c.Check(learner.endpoints["i-1"].Leaving, qt.IsTrue)
	learner.apply(epoch, inEra(4, 62, entry("op/config", strings.Replace(withNewKey, "9", "12", 1), 62)))
	c.Check(learner.deployment.Generation, qt.Equals, fescuelatch.Generation(12))
}

// TestColdStartAcrossRestore checks that an endpoint's cold start ends when it
// would have ended, though its earlier entry comes back.
func TestColdStartAcrossRestore(t *testing.T) {
	c := qt.New(t)
	cold := report(1, "ready", 5, 50)
	cold.Value = []byte(strings.Replace(string(cold.Value), `"cold_remaining_ms":0`, `"cold_remaining_ms":4000`, 1))
	k := known(0)
	k.replace(epoch, inEra(3, 60, cold))
	k.replace(epoch.Add(3*time.Second), inEra(4, 60, cold))
	c.Check(k.endpoints["i-1"].at, qt.Equals, epoch)
}

// TestLateStarter checks what a daemon that started after the store came back
// learns from one that ran before.
func TestLateStarter(t *testing.T) {
	c := qt.New(t)
	k := known(0)
	k.replace(epoch, copied(3))
	k.apply(epoch, inEra(3, 80, entry("op/config", withNewKey, 70), report(1, "draining", 6, 71), entry("op/evacuate/a", "{}", 72)))
	c.Check(k.unwritten(epoch), qt.HasLen, 0)
	k.replace(epoch, copied(4))

	late := known(0)
	late.era = 0
	late.replace(epoch, copied(4))
	c.Assert(late.deployment.Generation, qt.Equals, fescuelatch.Generation(7))
	c.Check(late.believe(epoch, k.unwritten(epoch)), qt.IsTrue)
	c.Check(late.deployment.Generation, qt.Equals, fescuelatch.Generation(9))
	c.Check(late.endpoints["i-1"].Leaving, qt.IsTrue)
	c.Check(late.out["a"], qt.IsTrue)
	c.Check(late.believe(epoch, k.unwritten(epoch)), qt.IsFalse)

	// What is written again is as much as the store says, and no more.
	late.apply(epoch, inEra(4, 63, entry("op/evacuate/a", "{}", 61), removal("op/evacuate/a", 62)))
	c.Check(late.out["a"], qt.IsFalse)
	c.Check(k.unwritten(epoch.Add(time.Minute)), qt.HasLen, 0)
}

// TestEras checks which answers of the store, and of another daemon, are taken
// in after it has come back.
func TestEras(t *testing.T) {
	tests := []struct {
		name    string
		answer  fescuelatch.Changes
		scan    bool
		taken   bool
		readAll bool // everything has to be read anew
	}{
		{"changes of the same era", inEra(3, 80), false, true, false},
		{"an answer that tells no era", inEra(0, 80), false, true, false},
		{"changes of a later era", inEra(4, 80), false, false, true},
		{"everything of a later era", copied(4), true, true, false},
		{"a late answer of an earlier era", inEra(2, 90), false, false, false},
		{"everything of an earlier era", inEra(2, 90), true, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := quietDaemon()
			d.known.replace(epoch, copied(3))
			err := d.takeChanges(epoch, test.answer, test.scan)
			c.Check(err == nil, qt.Equals, test.taken, qt.Commentf("%v", err))
			c.Check(errors.Is(err, fescuelatch.ErrHistoryGone), qt.Equals, test.readAll)
			c.Check(d.known.endpoints, qt.HasLen, 2)
		})
	}
}

// TestErasOfSources does so for the answers of another daemon.
func TestErasOfSources(t *testing.T) {
	tests := []struct {
		name  string
		reply ChangesReply
		taken bool
	}{
		{"the same era", ChangesReply{Era: 3, Revision: 80}, true},
		{"a later era, everything", ChangesReply{Era: 4, Revision: 5, Full: true, Items: copied(4).Items}, true},
		{"a later era, changes only", ChangesReply{Era: 4, Revision: 90}, false},
		{"an earlier era", ChangesReply{Era: 2, Revision: 90}, false},
		{"it knows no era", ChangesReply{Revision: 90}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := quietDaemon()
			d.known.replace(epoch, copied(3))
			c.Check(d.takeReply(epoch, new(source), &test.reply) == nil, qt.Equals, test.taken)
			c.Check(d.known.endpoints, qt.HasLen, 2)
		})
	}
}

// TestRolloutAcrossRestore checks that a release which was rolled back stays so
// when the store has lost the order and the state, and that the state is recorded
// again under the condition that the store holds none.
func TestRolloutAcrossRestore(t *testing.T) {
	c := qt.New(t)
	d := quietDaemon()
	d.bounds.Rollout = rollout.Settings{Exposure: 0.15}
	order, status := entry("op/rollout/lm", rollOut, 70), entry("status/rollout/lm", `{"service":"lm","target":"v2","state":"rolled_back"}`, 75)
	d.known.replace(epoch, copied(3))
	d.known.apply(epoch, inEra(3, 80, order, status))
	d.refreshLocked(epoch)
	c.Assert(d.rollouts["lm"].State(), qt.Equals, chart.RolloutRolledBack)
	before := d.rollouts["lm"]
	order.Revision = 61
	for _, answer := range []fescuelatch.Changes{copied(4), inEra(4, 61, order)} {
		c.Assert(d.takeChanges(epoch, answer, answer.Revision == 60), qt.IsNil)
		d.refreshLocked(epoch)
		c.Check(d.rollouts["lm"], qt.Equals, before)
	}
	lost, recorded := d.known.statuses["lm"]
	c.Check(recorded, qt.IsFalse)
	writes := d.recordStatus(epoch, before, lost, recorded)
	c.Assert(writes, qt.HasLen, 1)
	c.Check(writes[0].If, qt.DeepEquals, []fescuelatch.KVCompare{{Key: "status/rollout/lm"}})
	c.Check(string(writes[0].Then[0].Put.Value), qt.Contains, "rolled_back")
}

// quietDaemon returns a daemon that has not been started and logs nothing.
func quietDaemon() *Daemon {
	return New(Options{
		VM: "vm-1", Domain: "a", Notation: platform.Notation{}, Dialect: platform.Dialect{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
	})
}

// TestReadAnewAfterRestore checks that what is held for its writers is still held
// when the store is read anew in the meantime.
func TestReadAnewAfterRestore(t *testing.T) {
	c := qt.New(t)
	k := known(0)
	k.replace(epoch, copied(3))
	k.apply(epoch, inEra(3, 80, entry("op/evacuate/a", "{}", 72), report(3, "ready", 1, 73)))
	k.replace(epoch, copied(4))
	k.replace(epoch.Add(time.Second), copied(4))
	c.Check(k.out["a"], qt.IsTrue)
	_, there := k.endpoints["i-3"]
	c.Check(there, qt.IsTrue)
	k.settle(epoch.Add(endpointRewriteTime))
	_, there = k.endpoints["i-3"]
	c.Check(there, qt.IsFalse)
	k.settle(epoch.Add(operatorRewriteTime))
	c.Check(k.out["a"], qt.IsFalse)
}
