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

// This file tests what a daemon that follows the store through another one
// gets to know.

// pass brings a follower up to what a reader knows, from a number of its
// journal on.
func pass(c *qt.C, reader, follower *knowledge, next int64) int64 {
	c.Helper()
	items, ok := reader.journal.since(next)
	changes := fescuelatch.Changes{Revision: reader.revision, Items: items}
	if !ok {
		changes.Items = reader.everything()
		follower.replace(epoch, changes)
	} else {
		follower.apply(epoch, changes)
	}
	return reader.journal.next
}

// TestFollower plays changes to a reader and checks that its follower knows
// the same after each of them.
func TestFollower(t *testing.T) {
	c := qt.New(t)
	reader, follower := known(0), known(0)
	next := reader.journal.next
	revision := int64(20)
	steps := []struct {
		name string
		item func() fescuelatch.StoredItem
	}{
		{"an endpoint registers", func() fescuelatch.StoredItem { return beat(1, "ready", revision) }},
		{"it writes again", func() fescuelatch.StoredItem { return beat(1, "ready", revision) }},
		{"another one registers", func() fescuelatch.StoredItem { return beat(2, "ready", revision) }},
		{"it leaves", func() fescuelatch.StoredItem { return beat(2, "draining", revision) }},
		{"it is gone", func() fescuelatch.StoredItem { return removal("servers/i-2", revision) }},
		{"a failure domain is taken out", func() fescuelatch.StoredItem { return entry("op/evacuate/a", "{}", revision) }},
		{"it is back", func() fescuelatch.StoredItem { return removal("op/evacuate/a", revision) }},
		{"an entry becomes unusable", func() fescuelatch.StoredItem { return entry("servers/i-1", "{}", revision) }},
	}
	for _, step := range steps {
		revision++
		reader.apply(epoch, fescuelatch.Changes{Revision: revision, Items: []fescuelatch.StoredItem{step.item()}})
		next = pass(c, reader, follower, next)
		c.Check(len(follower.endpoints), qt.Equals, len(reader.endpoints), qt.Commentf("%s", step.name))
		for id, e := range reader.endpoints {
			c.Check(follower.endpoints[id].same(e.Registration), qt.IsTrue, qt.Commentf("%s: %s", step.name, id))
		}
		c.Check(follower.out, qt.DeepEquals, reader.out, qt.Commentf("%s", step.name))
	}
}

// TestFollowersLogSums checks that a daemon which is told of many endpoints by
// another one logs a sum, as their registrations are in the other's log.
func TestFollowersLogSums(t *testing.T) {
	c := qt.New(t)
	var lines strings.Builder
	d := New(Options{
		VM: "vm-1", Domain: "a", Notation: platform.Notation{}, Dialect: platform.Dialect{},
		Log: slog.New(slog.NewTextHandler(&lines, nil)), Scope: tally.NoopScope,
	})
	reply := &ChangesReply{Full: true, Revision: 60, Items: []fescuelatch.StoredItem{entry("op/config", smallConfiguration, 1)}}
	for n := range 100 {
		reply.Items = append(reply.Items, beat(n, "ready", 2))
	}
	c.Assert(d.takeReply(epoch, &source{vm: "vm-2"}, reply), qt.IsNil)
	c.Check(strings.Count(lines.String(), "\n") < 5, qt.IsTrue, qt.Commentf("%s", lines.String()))
	c.Check(lines.String(), qt.Contains, "endpoints=100")
	d.known.apply(epoch, fescuelatch.Changes{Revision: 70, Items: []fescuelatch.StoredItem{removal("servers/i-1", 70)}})
	c.Check(lines.String(), qt.Contains, "endpoint gone")
}

// TestWriteAndRemoval checks that a key which is written and removed between
// two looks of the reader is gone for its follower as well.
func TestWriteAndRemoval(t *testing.T) {
	c := qt.New(t)
	reader, follower := known(1), known(1)
	next := reader.journal.next
	reader.apply(epoch, fescuelatch.Changes{Revision: 60, Items: []fescuelatch.StoredItem{
		beat(1, "draining", 50), removal("servers/i-1", 55),
	}})
	pass(c, reader, follower, next)
	c.Check(follower.endpoints, qt.HasLen, 0)
}

// TestQuietJournal checks that endpoints which only write again do not cost
// the followers anything.
func TestQuietJournal(t *testing.T) {
	c := qt.New(t)
	reader := known(3)
	next := reader.journal.next
	for n := range 3 {
		reader.apply(epoch, fescuelatch.Changes{Revision: 70, Items: []fescuelatch.StoredItem{beat(n+1, "ready", int64(70+n))}})
	}
	c.Check(reader.journal.next, qt.Equals, next)
}

// TestLongAbsence checks that a follower which has missed more than is kept
// gets everything.
func TestLongAbsence(t *testing.T) {
	c := qt.New(t)
	reader, follower := known(2), known(2)
	next := reader.journal.next
	for n := range journalLength {
		state := []string{"ready", "draining"}[n%2]
		reader.apply(epoch, fescuelatch.Changes{Revision: int64(100 + n), Items: []fescuelatch.StoredItem{beat(1, state, int64(100+n))}})
	}
	reader.apply(epoch, fescuelatch.Changes{Revision: 9000, Items: []fescuelatch.StoredItem{removal("servers/i-2", 9000)}})
	_, ok := reader.journal.since(next)
	c.Assert(ok, qt.IsFalse)
	pass(c, reader, follower, next)
	c.Check(follower.endpoints, qt.HasLen, 1)
}

// TestUnreliableSource checks that the answer of a source is rejected when the
// daemon may know better.
func TestUnreliableSource(t *testing.T) {
	tests := []struct {
		name  string
		reply ChangesReply
		taken bool
	}{
		{"sound", ChangesReply{Revision: 60}, true},
		{"behind", ChangesReply{Revision: 9}, false},
		{"cut off from the store", ChangesReply{Revision: 60, Age: 2 * sourceAge}, false},
		{"with removals held", ChangesReply{Revision: 60, Settling: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := quietDaemon()
			d.known = known(1)
			test.reply.Full = true
			test.reply.Items = []fescuelatch.StoredItem{beat(1, "ready", 2), beat(2, "ready", 2)}
			err := d.takeReply(epoch, new(source), &test.reply)
			c.Check(err == nil, qt.Equals, test.taken)
			_, there := d.known.endpoints["i-2"]
			c.Check(there, qt.Equals, test.taken)
		})
	}
}

// TestJournalBytes checks that large configurations in quick succession do not
// fill the memory of a reader.
func TestJournalBytes(t *testing.T) {
	c := qt.New(t)
	j := newJournal()
	for n := range 100 {
		j.add(entry("op/config", strings.Repeat("x", 1<<20), int64(n)))
	}
	held := 0
	for _, i := range j.changes {
		held += len(i.Value)
	}
	c.Check(held <= journalBytes, qt.IsTrue, qt.Commentf("%d bytes are held", held))
	c.Check(held, qt.Equals, j.bytes)
	_, ok := j.since(0)
	c.Check(ok, qt.IsFalse)
	last, ok := j.since(99)
	c.Check(ok, qt.IsTrue)
	c.Check(last, qt.HasLen, 1)
}

// TestSources checks that no daemon of a large failure domain passes changes on
// to many, that each is near a reader, and that small ones are one step deep.
func TestSources(t *testing.T) {
	tests := []struct{ daemons, steps int }{{1, 0}, {2, 0}, {3, 0}, {11, 0}, {12, 1}, {100, 1}, {111, 1}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.daemons), func(t *testing.T) {
			c := qt.New(t)
			k := known(0)
			var vms []fescuelatch.VMID
			for n := range test.daemons {
				vm := fescuelatch.VMID(fmt.Sprint("edge-", n))
				vms = append(vms, vm)
				value := fmt.Sprintf(`{"failure-domain":"a","control-address":"10.0.0.%d:80"}`, n%250)
				k.put(epoch, fescuelatch.KeyValue{Key: k.notation.RecordKey(recordDaemon + string(vm)), Value: []byte(value), Revision: int64(100 + n)})
			}
			first := make(map[fescuelatch.VMID]candidate)
			told := make(map[fescuelatch.VMID]int)
			most, alone := 0, 0
			for _, vm := range vms {
				cs := sourcesOf(k, "a", vm)
				if len(cs) == 0 {
					continue
				}
				alone += max(0, 2-len(cs))
				for _, s := range cs {
					c.Check(rank(s.vm) < rank(vm), qt.IsTrue, qt.Commentf("%s and %s could follow each other", s.vm, vm))
				}
				first[vm] = cs[0]
				told[cs[0].vm]++
				most = max(most, cs[0].steps)
			}
			c.Check(len(first), qt.Equals, max(0, test.daemons-readers))
			c.Check(alone <= standBys, qt.IsTrue, qt.Commentf("%d daemons besides those standing by have no other source", alone-standBys))
			c.Check(most, qt.Equals, test.steps)
			for vm, n := range told {
				c.Check(n <= followers, qt.IsTrue, qt.Commentf("%s tells %d", vm, n))
			}
			for _, vm := range vms {
				at := vm
				for range test.steps + 1 {
					if next, ok := first[at]; ok {
						at = next.vm
					}
				}
				_, follows := first[at]
				c.Check(follows, qt.IsFalse, qt.Commentf("%s does not lead to a reader", vm))
			}
		})
	}
}
