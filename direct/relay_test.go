package direct

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"fescuelatch"
	"fescuelatch/platform"
)

// This file tests daemons that follow the store through another one.

// syncFollower relays the reader's changes from a journal number on to a follower,
// and returns the next number.
func syncFollower(c *qt.C, reader, follower *storeView, next int64) int64 {
	c.Helper()
	items, ok := reader.journal.since(next)
	changes := fescuelatch.Changes{Revision: reader.revision, Items: items}
	if !ok {
		changes.Items = reader.allItems()
		follower.replace(epoch, changes)
	} else {
		follower.apply(epoch, changes)
	}
	return reader.journal.next
}

// TestFollower applies changes to a reader and checks that its follower has the
// same state after each.
func TestFollower(t *testing.T) {
	c := qt.New(t)
	reader, follower := newTestKnowledge(0), newTestKnowledge(0)
	next := reader.journal.next
	revision := int64(20)
	steps := []struct {
		name string
		item func() fescuelatch.StoredItem
	}{
		{"an endpoint registers", func() fescuelatch.StoredItem { return endpointEntry(1, "ready", revision) }},
		{"it rewrites its entry", func() fescuelatch.StoredItem { return endpointEntry(1, "ready", revision) }},
		{"another one registers", func() fescuelatch.StoredItem { return endpointEntry(2, "ready", revision) }},
		{"it leaves", func() fescuelatch.StoredItem { return endpointEntry(2, "draining", revision) }},
		{"it is gone", func() fescuelatch.StoredItem { return removal("servers/i-2", revision) }},
		{"a failure domain is taken out", func() fescuelatch.StoredItem { return entry("op/evacuate/a", "{}", revision) }},
		{"the failure domain is in service again", func() fescuelatch.StoredItem { return removal("op/evacuate/a", revision) }},
		{"an entry becomes invalid", func() fescuelatch.StoredItem { return entry("servers/i-1", "{}", revision) }},
	}
	for _, step := range steps {
		revision++
		reader.apply(epoch, fescuelatch.Changes{Revision: revision, Items: []fescuelatch.StoredItem{step.item()}})
		next = syncFollower(c, reader, follower, next)
		c.Check(len(follower.endpoints), qt.Equals, len(reader.endpoints), qt.Commentf("%s", step.name))
		for id, e := range reader.endpoints {
			c.Check(follower.endpoints[id].equivalent(e.Registration), qt.IsTrue, qt.Commentf("%s: %s", step.name, id))
		}
		c.Check(follower.domainsOut, qt.DeepEquals, reader.domainsOut, qt.Commentf("%s", step.name))
	}
}

// TestFollowersLogSummary checks that a daemon logs one summary when another daemon
// relays many endpoints, whose registrations are in that daemon's log.
func TestFollowersLogSummary(t *testing.T) {
	c := qt.New(t)
	var lines strings.Builder
	d := New(Options{
		VM: "vm-1", Domain: "a", Notation: platform.StoreCodec{}, Dialect: platform.HeaderCodec{},
		Log: slog.New(slog.NewTextHandler(&lines, nil)), Scope: tally.NoopScope,
	})
	reply := &ChangesReply{Full: true, Revision: 60, Items: []fescuelatch.StoredItem{entry("op/config", smallConfiguration, 1)}}
	for n := range 100 {
		reply.Items = append(reply.Items, endpointEntry(n, "ready", 2))
	}
	c.Assert(d.applyReply(epoch, &source{vm: "vm-2"}, reply), qt.IsNil)
	c.Check(strings.Count(lines.String(), "\n") < 5, qt.IsTrue, qt.Commentf("%s", lines.String()))
	c.Check(lines.String(), qt.Contains, "endpoints=100")
	d.storeView.apply(epoch, fescuelatch.Changes{Revision: 70, Items: []fescuelatch.StoredItem{removal("servers/i-1", 70)}})
	c.Check(lines.String(), qt.Contains, "endpoint gone")
}

// TestWriteAndRemoval checks that a key which is written and removed between two
// reads by the reader is also gone for its follower.
func TestWriteAndRemoval(t *testing.T) {
	c := qt.New(t)
	reader, follower := newTestKnowledge(1), newTestKnowledge(1)
	next := reader.journal.next
	reader.apply(epoch, fescuelatch.Changes{Revision: 60, Items: []fescuelatch.StoredItem{
		endpointEntry(1, "draining", 50), removal("servers/i-1", 55),
	}})
	syncFollower(c, reader, follower, next)
	c.Check(follower.endpoints, qt.HasLen, 0)
}

// TestRewritesAreNotRelayed checks that endpoints which only rewrite their entries
// add no journal changes.
func TestRewritesAreNotRelayed(t *testing.T) {
	c := qt.New(t)
	reader := newTestKnowledge(3)
	next := reader.journal.next
	for n := range 3 {
		reader.apply(epoch, fescuelatch.Changes{Revision: 70, Items: []fescuelatch.StoredItem{endpointEntry(n+1, "ready", int64(70+n))}})
	}
	c.Check(reader.journal.next, qt.Equals, next)
}

// TestJournalTooShort checks that a follower which has missed more changes than the
// journal holds gets a full copy.
func TestJournalTooShort(t *testing.T) {
	c := qt.New(t)
	reader, follower := newTestKnowledge(2), newTestKnowledge(2)
	next := reader.journal.next
	for n := range maxJournalEntries {
		state := []string{"ready", "draining"}[n%2]
		reader.apply(epoch, fescuelatch.Changes{Revision: int64(100 + n), Items: []fescuelatch.StoredItem{endpointEntry(1, state, int64(100+n))}})
	}
	reader.apply(epoch, fescuelatch.Changes{Revision: 9000, Items: []fescuelatch.StoredItem{removal("servers/i-2", 9000)}})
	_, ok := reader.journal.since(next)
	c.Assert(ok, qt.IsFalse)
	syncFollower(c, reader, follower, next)
	c.Check(follower.endpoints, qt.HasLen, 1)
}

// TestUnreliableSource checks that the answer of a source is rejected when it may
// be older than the daemon's own state.
func TestUnreliableSource(t *testing.T) {
	tests := []struct {
		name     string
		reply    ChangesReply
		accepted bool
	}{
		{"current", ChangesReply{Revision: 60}, true},
		{"behind", ChangesReply{Revision: 9}, false},
		{"cut off from the store", ChangesReply{Revision: 60, Age: 2 * maxSourceAge}, false},
		{"with removals held", ChangesReply{Revision: 60, Settling: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newTestDaemon()
			d.storeView = newTestKnowledge(1)
			test.reply.Full = true
			test.reply.Items = []fescuelatch.StoredItem{endpointEntry(1, "ready", 2), endpointEntry(2, "ready", 2)}
			err := d.applyReply(epoch, new(source), &test.reply)
			c.Check(err == nil, qt.Equals, test.accepted)
			_, registered := d.storeView.endpoints["i-2"]
			c.Check(registered, qt.Equals, test.accepted)
		})
	}
}

// TestJournalBytes checks that the journal stays bounded when large configurations
// follow in quick succession.
func TestJournalBytes(t *testing.T) {
	c := qt.New(t)
	j := newJournal()
	for n := range 100 {
		j.add(entry("op/config", strings.Repeat("x", 1<<20), int64(n)))
	}
	total := 0
	for _, i := range j.changes {
		total += len(i.Value)
	}
	c.Check(total <= maxJournalBytes, qt.IsTrue, qt.Commentf("%d bytes are kept", total))
	c.Check(total, qt.Equals, j.bytes)
	_, ok := j.since(0)
	c.Check(ok, qt.IsFalse)
	last, ok := j.since(99)
	c.Check(ok, qt.IsTrue)
	c.Check(last, qt.HasLen, 1)
}

// TestSources checks that no daemon of a large failure domain has too many
// followers, that each is a few hops from a reader, and that small domains are one
// hop deep.
func TestSources(t *testing.T) {
	tests := []struct{ daemons, hops int }{{1, 0}, {2, 0}, {3, 0}, {11, 0}, {12, 1}, {100, 1}, {111, 1}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.daemons), func(t *testing.T) {
			c := qt.New(t)
			k := newTestKnowledge(0)
			var vms []fescuelatch.VMID
			for n := range test.daemons {
				vm := fescuelatch.VMID(fmt.Sprint("edge-", n))
				vms = append(vms, vm)
				value := fmt.Sprintf(`{"failure-domain":"a","control-address":"10.0.0.%d:80"}`, n%250)
				k.put(epoch, fescuelatch.KeyValue{Key: k.notation.RecordKey(recordDaemon + string(vm)), Value: []byte(value), Revision: int64(100 + n)})
			}
			first := make(map[fescuelatch.VMID]candidate)
			followerCount := make(map[fescuelatch.VMID]int)
			maxHops, withoutBackup := 0, 0
			for _, vm := range vms {
				cs := sourceCandidates(k, "a", vm)
				if len(cs) == 0 {
					continue
				}
				withoutBackup += max(0, 2-len(cs))
				for _, s := range cs {
					c.Check(rank(s.vm) < rank(vm), qt.IsTrue, qt.Commentf("%s and %s could follow each other", s.vm, vm))
				}
				first[vm] = cs[0]
				followerCount[cs[0].vm]++
				maxHops = max(maxHops, cs[0].hops)
			}
			c.Check(len(first), qt.Equals, max(0, test.daemons-readersPerDomain))
			c.Check(withoutBackup <= standbysPerDomain, qt.IsTrue, qt.Commentf("%d daemons besides the standbys have no second source", withoutBackup-standbysPerDomain))
			c.Check(maxHops, qt.Equals, test.hops)
			for vm, n := range followerCount {
				c.Check(n <= maxFollowers, qt.IsTrue, qt.Commentf("%s has %d followers", vm, n))
			}
			for _, vm := range vms {
				at := vm
				for range test.hops + 1 {
					if next, ok := first[at]; ok {
						at = next.vm
					}
				}
				_, follows := first[at]
				c.Check(follows, qt.IsFalse, qt.Commentf("no reader is reachable from %s", vm))
			}
		})
	}
}
