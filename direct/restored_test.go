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

// This file tests a daemon's known state after the store was restored from a
// backup: the state in effect before stays, and later writes replace it.

// changesInEra returns changes read from a store in an era.
func changesInEra(era, revision int64, items ...fescuelatch.StoredItem) fescuelatch.Changes {
	c := fescuelatch.Changes{Revision: revision, Era: era}
	for _, i := range items {
		i.Era = era
		c.Items = append(c.Items, i)
	}
	return c
}

// entryWithSequence returns the entry of endpoint n with its own sequence number.
func entryWithSequence(n int, state string, sequence, revision int64) fescuelatch.StoredItem {
	i := endpointEntry(n, state, sequence)
	i.Revision = revision
	return i
}

const (
	configurationWithOldKey = `{"version":7,"routes":[],"services":[{"name":"lm"}],"limits":{},"tenants":[{"name":"kigali","api_keys":["old"]}]}`
	configurationWithNewKey = `{"version":9,"routes":[],"services":[{"name":"lm"}],"limits":{},"tenants":[{"name":"kigali","api_keys":["new"]}]}`
	rolloutEntry            = `{"service":"lm","target":"v2","duration_s":20}`
)

// restoredBackup is the content of the backup: endpoints 1 and 2 are ready.
func restoredBackup(era int64) fescuelatch.Changes {
	return changesInEra(era, 60, entry("op/config", configurationWithOldKey, 10), entryWithSequence(1, "ready", 5, 50), entryWithSequence(2, "ready", 5, 51))
}

// TestRestored applies changes made after the backup, restores the store, and
// applies what is written again.
func TestRestored(t *testing.T) {
	leaving := func(k *storeView) bool { return k.endpoints["i-1"].Leaving }
	there := func(id fescuelatch.EndpointID) func(*storeView) bool {
		return func(k *storeView) bool {
			_, ok := k.endpoints[id]
			return ok
		}
	}
	not := func(holds func(*storeView) bool) func(*storeView) bool {
		return func(k *storeView) bool { return !holds(k) }
	}
	out := func(k *storeView) bool { return k.domainsOut["a"] }
	revoked := func(k *storeView) bool { return k.deployment.Generation == 9 }
	ordered := func(k *storeView) bool { return k.orders["lm"].Target == "v2" }
	tests := []struct {
		name string
		// since holds the changes made after the backup.
		since []fescuelatch.StoredItem
		// again holds the writes in the new era, one second after its start.
		again []fescuelatch.StoredItem
		// holds must be true from the restore on, and after one minute after the
		// last write.
		holds, after func(*storeView) bool
	}{
		{"nothing changed", nil, nil, there("i-1"), there("i-1")},
		{
			"a key was revoked",
			[]fescuelatch.StoredItem{entry("op/config", configurationWithNewKey, 70)},
			[]fescuelatch.StoredItem{entry("op/config", configurationWithNewKey, 61)},
			revoked, revoked,
		},
		{"the revocation is not written again", []fescuelatch.StoredItem{entry("op/config", configurationWithNewKey, 70)}, nil, revoked, revoked},
		{"an endpoint reported that it is leaving", []fescuelatch.StoredItem{entryWithSequence(1, "draining", 6, 70)}, nil, leaving, leaving},
		{
			"it writes its entry again",
			[]fescuelatch.StoredItem{entryWithSequence(1, "draining", 6, 70)},
			[]fescuelatch.StoredItem{entryWithSequence(1, "draining", 7, 61)},
			leaving, leaving,
		},
		{"an endpoint was gone", []fescuelatch.StoredItem{removal("servers/i-1", 70)}, nil, not(there("i-1")), not(there("i-1"))},
		{
			"an endpoint was gone and another process registered",
			[]fescuelatch.StoredItem{removal("servers/i-1", 70)},
			[]fescuelatch.StoredItem{entryWithSequence(1, "ready", 9, 61)},
			func(*storeView) bool { return true }, there("i-1"),
		},
		{"an endpoint registered", []fescuelatch.StoredItem{entryWithSequence(3, "ready", 1, 70)}, nil, there("i-3"), not(there("i-3"))},
		{
			"it writes its entry again in time",
			[]fescuelatch.StoredItem{entryWithSequence(3, "ready", 1, 70)},
			[]fescuelatch.StoredItem{entryWithSequence(3, "ready", 2, 61)},
			there("i-3"), there("i-3"),
		},
		{"a failure domain was taken out", []fescuelatch.StoredItem{entry("op/evacuate/a", "{}", 70)}, nil, out, not(out)},
		{
			"the failure domain is taken out again",
			[]fescuelatch.StoredItem{entry("op/evacuate/a", "{}", 70)},
			[]fescuelatch.StoredItem{entry("op/evacuate/a", "{}", 61)},
			out, out,
		},
		{"a rollout was ordered", []fescuelatch.StoredItem{entry("op/rollout/lm", rolloutEntry, 70)}, nil, ordered, not(ordered)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := newTestKnowledge(0)
			k.replace(epoch, restoredBackup(3))
			k.apply(epoch, changesInEra(3, 80, test.since...))
			c.Assert(test.holds(k), qt.IsTrue)
			now := epoch.Add(time.Second)
			k.replace(now, restoredBackup(4))
			c.Check(test.holds(k), qt.IsTrue, qt.Commentf("after the restore"))
			now = now.Add(time.Second)
			k.expireHeldRemovals(now)
			k.apply(now, changesInEra(4, 62, test.again...))
			c.Check(test.holds(k), qt.IsTrue, qt.Commentf("a second later"))
			k.expireHeldRemovals(now.Add(time.Minute))
			c.Check(test.after(k), qt.IsTrue, qt.Commentf("a minute later"))
		})
	}
}

// TestRestoredTwice checks that entries kept after a restore are kept after a
// second one soon after it.
func TestRestoredTwice(t *testing.T) {
	c := qt.New(t)
	k := newTestKnowledge(0)
	k.replace(epoch, restoredBackup(3))
	k.apply(epoch, changesInEra(3, 80, entry("op/config", configurationWithNewKey, 70), entryWithSequence(1, "draining", 6, 71), entry("op/evacuate/a", "{}", 72)))
	for n := range int64(2) {
		k.replace(epoch.Add(time.Duration(n)*5*time.Second), restoredBackup(4+n))
		c.Check(k.deployment.Generation, qt.Equals, fescuelatch.Generation(9))
		c.Check(k.endpoints["i-1"].Leaving, qt.IsTrue)
		c.Check(k.domainsOut["a"], qt.IsTrue)
	}
}

// TestFollowerAfterRestore checks that a daemon which follows another one gets the
// newest configuration, not the one of the backup, before operators have written it
// again.
func TestFollowerAfterRestore(t *testing.T) {
	c := qt.New(t)
	k := newTestKnowledge(0)
	k.replace(epoch, restoredBackup(3))
	k.apply(epoch, changesInEra(3, 80, entry("op/config", configurationWithNewKey, 70), entryWithSequence(1, "draining", 6, 71)))
	k.replace(epoch, restoredBackup(4))
	follower := newTestKnowledge(0)
	follower.replace(epoch, fescuelatch.Changes{Revision: k.revision, Era: k.era, Items: k.allItems()})
	c.Check(follower.deployment.Generation, qt.Equals, fescuelatch.Generation(9))
	c.Check(follower.endpoints["i-1"].Leaving, qt.IsTrue)
	follower.apply(epoch, changesInEra(4, 62, entry("op/config", strings.Replace(configurationWithNewKey, "9", "12", 1), 62)))
	c.Check(follower.deployment.Generation, qt.Equals, fescuelatch.Generation(12))
}

// TestColdStartAcrossRestore checks that an endpoint's cold start isn't extended
// when the restore brings back an earlier entry.
func TestColdStartAcrossRestore(t *testing.T) {
	c := qt.New(t)
	cold := entryWithSequence(1, "ready", 5, 50)
	cold.Value = []byte(strings.Replace(string(cold.Value), `"cold_remaining_ms":0`, `"cold_remaining_ms":4000`, 1))
	k := newTestKnowledge(0)
	k.replace(epoch, changesInEra(3, 60, cold))
	k.replace(epoch.Add(3*time.Second), changesInEra(4, 60, cold))
	c.Check(k.endpoints["i-1"].receivedAt, qt.Equals, epoch)
}

// TestUnwrittenEntries checks which entries a daemon that started after a restore
// gets from one that ran before it.
func TestUnwrittenEntries(t *testing.T) {
	c := qt.New(t)
	k := newTestKnowledge(0)
	k.replace(epoch, restoredBackup(3))
	k.apply(epoch, changesInEra(3, 80, entry("op/config", configurationWithNewKey, 70), entryWithSequence(1, "draining", 6, 71), entry("op/evacuate/a", "{}", 72)))
	c.Check(k.unwritten(epoch), qt.HasLen, 0)
	k.replace(epoch, restoredBackup(4))

	late := newTestKnowledge(0)
	late.era = 0
	late.replace(epoch, restoredBackup(4))
	c.Assert(late.deployment.Generation, qt.Equals, fescuelatch.Generation(7))
	c.Check(late.applyUnwritten(epoch, k.unwritten(epoch)), qt.IsTrue)
	c.Check(late.deployment.Generation, qt.Equals, fescuelatch.Generation(9))
	c.Check(late.endpoints["i-1"].Leaving, qt.IsTrue)
	c.Check(late.domainsOut["a"], qt.IsTrue)
	c.Check(late.applyUnwritten(epoch, k.unwritten(epoch)), qt.IsFalse)

	// Entries written again follow the store from then on.
	late.apply(epoch, changesInEra(4, 63, entry("op/evacuate/a", "{}", 61), removal("op/evacuate/a", 62)))
	c.Check(late.domainsOut["a"], qt.IsFalse)
	c.Check(k.unwritten(epoch.Add(time.Minute)), qt.HasLen, 0)
}

// TestEras checks which answers of the store are accepted after a restore.
func TestEras(t *testing.T) {
	tests := []struct {
		name     string
		answer   fescuelatch.Changes
		scan     bool
		accepted bool
		readAll  bool // everything must be read again
	}{
		{"changes of the same era", changesInEra(3, 80), false, true, false},
		{"an answer without an era", changesInEra(0, 80), false, true, false},
		{"changes of a later era", changesInEra(4, 80), false, false, true},
		{"everything of a later era", restoredBackup(4), true, true, false},
		{"a late answer of an earlier era", changesInEra(2, 90), false, false, false},
		{"everything of an earlier era", changesInEra(2, 90), true, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newTestDaemon()
			d.storeView.replace(epoch, restoredBackup(3))
			err := d.applyChanges(epoch, test.answer, test.scan)
			c.Check(err == nil, qt.Equals, test.accepted, qt.Commentf("%v", err))
			c.Check(errors.Is(err, fescuelatch.ErrCompacted), qt.Equals, test.readAll)
			c.Check(d.storeView.endpoints, qt.HasLen, 2)
		})
	}
}

// TestErasOfSources checks which answers of another daemon are accepted after a
// restore.
func TestErasOfSources(t *testing.T) {
	tests := []struct {
		name     string
		reply    ChangesReply
		accepted bool
	}{
		{"the same era", ChangesReply{Era: 3, Revision: 80}, true},
		{"a later era, everything", ChangesReply{Era: 4, Revision: 5, Full: true, Items: restoredBackup(4).Items}, true},
		{"a later era, changes only", ChangesReply{Era: 4, Revision: 90}, false},
		{"an earlier era", ChangesReply{Era: 2, Revision: 90}, false},
		{"no era", ChangesReply{Revision: 90}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newTestDaemon()
			d.storeView.replace(epoch, restoredBackup(3))
			c.Check(d.applyReply(epoch, new(source), &test.reply) == nil, qt.Equals, test.accepted)
			c.Check(d.storeView.endpoints, qt.HasLen, 2)
		})
	}
}

// TestRolloutAcrossRestore checks that a release stays rolled back when the store
// has lost the order and the status of its rollout, and that the status is written
// again under the condition that the store holds none.
func TestRolloutAcrossRestore(t *testing.T) {
	c := qt.New(t)
	d := newTestDaemon()
	d.bounds.Rollout = rollout.Settings{Exposure: 0.15}
	order, status := entry("op/rollout/lm", rolloutEntry, 70), entry("status/rollout/lm", `{"service":"lm","target":"v2","state":"rolled_back"}`, 75)
	d.storeView.replace(epoch, restoredBackup(3))
	d.storeView.apply(epoch, changesInEra(3, 80, order, status))
	d.refreshLocked(epoch)
	c.Assert(d.rollouts["lm"].State(), qt.Equals, chart.RolloutRolledBack)
	before := d.rollouts["lm"]
	order.Revision = 61
	for _, answer := range []fescuelatch.Changes{restoredBackup(4), changesInEra(4, 61, order)} {
		c.Assert(d.applyChanges(epoch, answer, answer.Revision == 60), qt.IsNil)
		d.refreshLocked(epoch)
		c.Check(d.rollouts["lm"], qt.Equals, before)
	}
	lost, recorded := d.storeView.statuses["lm"]
	c.Check(recorded, qt.IsFalse)
	writes := d.recordStatus(epoch, before, lost, recorded)
	c.Assert(writes, qt.HasLen, 1)
	c.Check(writes[0].If, qt.DeepEquals, []fescuelatch.KVCompare{{Key: "status/rollout/lm"}})
	c.Check(string(writes[0].Then[0].Put.Value), qt.Contains, "rolled_back")
}

// newTestDaemon returns a daemon that has not been started and discards its log.
func newTestDaemon() *Daemon {
	return New(Options{
		VM: "vm-1", Domain: "a", Notation: platform.StoreCodec{}, Dialect: platform.HeaderCodec{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
	})
}

// TestReadAgainAfterRestore checks that missing entries are still kept when the
// store is read again during their rewrite windows.
func TestReadAgainAfterRestore(t *testing.T) {
	c := qt.New(t)
	k := newTestKnowledge(0)
	k.replace(epoch, restoredBackup(3))
	k.apply(epoch, changesInEra(3, 80, entry("op/evacuate/a", "{}", 72), entryWithSequence(3, "ready", 1, 73)))
	k.replace(epoch, restoredBackup(4))
	k.replace(epoch.Add(time.Second), restoredBackup(4))
	c.Check(k.domainsOut["a"], qt.IsTrue)
	_, registered := k.endpoints["i-3"]
	c.Check(registered, qt.IsTrue)
	k.expireHeldRemovals(epoch.Add(endpointRewriteWindow))
	_, registered = k.endpoints["i-3"]
	c.Check(registered, qt.IsFalse)
	k.expireHeldRemovals(epoch.Add(operatorRewriteWindow))
	c.Check(k.domainsOut["a"], qt.IsFalse)
}
