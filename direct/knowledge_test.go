package direct

import (
	"io"
	"log/slog"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/platform"
)

// This file tests a daemon's view of the store, with the notation of the users'
// platform.

var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func entry(key, value string, revision int64) fescuelatch.StoredItem {
	return fescuelatch.StoredItem{KeyValue: fescuelatch.KeyValue{Key: key, Value: []byte(value), Revision: revision}}
}

func removal(key string, revision int64) fescuelatch.StoredItem {
	return fescuelatch.StoredItem{KeyValue: fescuelatch.KeyValue{Key: key, Revision: revision}, Removed: true}
}

// endpointEntry returns the registration entry of endpoint n.
func endpointEntry(n int, state string, revision int64) fescuelatch.StoredItem {
	return entry("servers/i-"+strconv.Itoa(n),
		`{"service":"lm","address":"10.0.0.`+strconv.Itoa(n)+`:8080","zone":"a","version":"v1","capacity":64,"state":"`+state+
			`","cold_remaining_ms":0,"sequence":`+strconv.FormatInt(revision, 10)+`}`, revision)
}

const smallConfiguration = `{"version":7,"routes":[],"services":[{"name":"lm"}],"limits":{},"tenants":[]}`

func newTestKnowledge(endpoints int) *storeView {
	k := newStoreView(platform.StoreCodec{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c := fescuelatch.Changes{Revision: 10, Items: []fescuelatch.StoredItem{entry("op/config", smallConfiguration, 1)}}
	for n := range endpoints {
		c.Items = append(c.Items, endpointEntry(n+1, "ready", 2))
	}
	k.replace(epoch, c)
	return k
}

// TestReconnect checks for how long an endpoint whose entry is gone is kept after
// calls to the store have failed.
func TestReconnect(t *testing.T) {
	var regular []fescuelatch.StoredItem
	for revision := int64(20); revision < 23; revision++ {
		regular = append(regular, endpointEntry(1, "ready", 10*revision), endpointEntry(2, "ready", 10*revision+1))
	}
	tests := []struct {
		name   string
		missed []fescuelatch.StoredItem
		held   bool
	}{
		{"the store was unavailable and all entries have expired", nil, true},
		{"the store has just become available again", []fescuelatch.StoredItem{endpointEntry(1, "ready", 200), endpointEntry(2, "ready", 201)}, true},
		{"only this daemon was cut off", regular, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := newTestKnowledge(3)
			missed := fescuelatch.Changes{Revision: 300, Items: append(test.missed, removal("servers/i-3", 299))}
			k.reconnected(epoch, missed)
			k.apply(epoch, missed)
			_, registered := k.endpoints["i-3"]
			c.Check(registered, qt.Equals, test.held)
			k.expireHeldRemovals(epoch.Add(removalHoldWindow - time.Millisecond))
			_, registered = k.endpoints["i-3"]
			c.Check(registered, qt.Equals, test.held)
			k.expireHeldRemovals(epoch.Add(removalHoldWindow))
			_, registered = k.endpoints["i-3"]
			c.Check(registered, qt.IsFalse)
		})
	}
}

// TestOwnStallIsTakenForRemoval guards against entries that count as removed though this daemon
// did not run while they were written again, and against ones that are kept for longer.
func TestOwnStallIsTakenForRemoval(t *testing.T) {
	const (
		ms   = time.Millisecond
		from = 500 * ms // of the stall
	)
	outage := func(k *storeView) {
		missed := fescuelatch.Changes{Revision: 300, Items: []fescuelatch.StoredItem{removal("servers/i-1", 299)}}
		k.reconnected(epoch, missed)
		k.apply(epoch, missed)
	}
	restore := func(k *storeView) {
		k.era = 1
		k.replace(epoch, changesInEra(2, 20, entry("op/config", smallConfiguration, 1)))
	}
	endpoint := func(k *storeView) bool { return len(k.endpoints) > 0 }
	out := func(k *storeView) bool { return k.domainsOut["a"] }
	member := func(k *storeView) bool { return len(k.members) > 0 }
	tests := []struct {
		name   string
		lapse  func(*storeView)
		holds  func(*storeView) bool
		window time.Duration
	}{
		{"endpoint after an outage", outage, endpoint, removalHoldWindow},
		{"endpoint after a restore", restore, endpoint, endpointRewriteWindow},
		{"daemon after a restore", restore, member, recordRewriteWindow},
		{"failure domain taken out, after a restore", restore, out, operatorRewriteWindow},
	}
	for _, test := range tests {
		for _, stalled := range []time.Duration{0, minHeldStall, test.window, 10 * test.window} {
			t.Run(test.name+", stalled for "+stalled.String(), func(t *testing.T) {
				c := qt.New(t)
				d := newUnstartedDaemon()
				k := d.storeView
				k.replace(epoch, fescuelatch.Changes{Revision: 12, Items: []fescuelatch.StoredItem{
					entry("op/config", smallConfiguration, 1), endpointEntry(1, "ready", 2), entry("op/evacuate/a", "{}", 11), entry("fescuelatch/daemons/vm-2", "{}", 12),
				}})
				test.lapse(k)
				for at := time.Duration(0); at < from; at += 100 * ms {
					d.stalls.Add(epoch.Add(at), epoch.Add(at+80*ms)) // Too short to count.
				}
				if stalled > 0 {
					d.stalls.Add(epoch.Add(from), epoch.Add(from+stalled))
				}
				for _, at := range []time.Duration{from, from + stalled, test.window + stalled - ms} {
					k.expireHeldRemovals(epoch.Add(at))
					c.Check(test.holds(k), qt.IsTrue, qt.Commentf("after %s", at))
				}
				k.expireHeldRemovals(epoch.Add(test.window + stalled))
				c.Check(test.holds(k), qt.IsFalse)
			})
		}
	}
}

// TestReconnectWithoutHistory checks that a daemon which must read everything again
// tells by the store's revision whether the store was available in the meantime.
func TestReconnectWithoutHistory(t *testing.T) {
	const writesPerSecond = 20
	tests := []struct {
		name   string
		outage time.Duration
		writes int64
		held   bool
	}{
		{"only this daemon was cut off", 8 * time.Second, 8 * writesPerSecond, false},
		{"the store was unavailable", 8 * time.Second, 0, true},
		{"the store was unavailable for half of the time", 8 * time.Second, 4 * writesPerSecond, true},
		{"too short to judge", 300 * time.Millisecond, writesPerSecond / 3, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := newTestKnowledge(3)
			now, revision := epoch, int64(100)
			for range 10 {
				now, revision = now.Add(time.Second), revision+writesPerSecond
				k.apply(now, fescuelatch.Changes{Revision: revision})
			}
			now, revision = now.Add(test.outage), revision+test.writes
			everything := fescuelatch.Changes{Revision: revision, Items: []fescuelatch.StoredItem{
				entry("op/config", smallConfiguration, 1), endpointEntry(1, "ready", revision-1), endpointEntry(2, "ready", revision),
			}}
			k.reconnected(now, everything)
			k.replace(now, everything)
			_, registered := k.endpoints["i-3"]
			c.Check(registered, qt.Equals, test.held)
		})
	}
}

// TestExpiredEndpointReturns checks that an endpoint which writes its entry again
// while removals are held is never removed.
func TestExpiredEndpointReturns(t *testing.T) {
	c := qt.New(t)
	k := newTestKnowledge(1)
	k.reconnected(epoch, fescuelatch.Changes{})
	k.apply(epoch, fescuelatch.Changes{Revision: 30, Items: []fescuelatch.StoredItem{removal("servers/i-1", 29)}})
	k.apply(epoch.Add(time.Second), fescuelatch.Changes{Revision: 31, Items: []fescuelatch.StoredItem{endpointEntry(1, "ready", 31)}})
	k.expireHeldRemovals(epoch.Add(removalHoldWindow))
	c.Check(k.endpoints, qt.HasLen, 1)
}

// TestInvalidEntries checks that an endpoint whose entry cannot be decoded is
// unregistered, and that other endpoints stay.
func TestInvalidEntries(t *testing.T) {
	tests := []struct{ name, value string }{
		{"no JSON", "\xff\x00"},
		{"a field is missing", `{"service":"lm","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":64,"state":"ready","sequence":1}`},
		{"a field of another type", `{"service":7,"address":"10.0.0.1:80","zone":"a","version":"v1","capacity":64,"state":"ready","cold_remaining_ms":0,"sequence":1}`},
		{"an unknown state", `{"service":"lm","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":64,"state":"odd","cold_remaining_ms":0,"sequence":1}`},
		{"an address with a name", `{"service":"lm","address":"host:80","zone":"a","version":"v1","capacity":64,"state":"ready","cold_remaining_ms":0,"sequence":1}`},
		{"no slots", `{"service":"lm","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":0,"state":"ready","cold_remaining_ms":0,"sequence":1}`},
		{"a release with a control character", `{"service":"lm","address":"10.0.0.1:80","zone":"a","version":"v\u0001","capacity":1,"state":"ready","cold_remaining_ms":0,"sequence":1}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := newTestKnowledge(2)
			k.apply(epoch, fescuelatch.Changes{Revision: 20, Items: []fescuelatch.StoredItem{entry("servers/i-1", test.value, 20)}})
			c.Check(k.endpoints, qt.HasLen, 1)
		})
	}
}

// TestGeneration checks that an older configuration never becomes active.
func TestGeneration(t *testing.T) {
	c := qt.New(t)
	k := newTestKnowledge(1)
	older := `{"version":6,"routes":[],"services":[],"limits":{},"tenants":[]}`
	k.apply(epoch, fescuelatch.Changes{Revision: 40, Items: []fescuelatch.StoredItem{entry("op/config", older, 40)}})
	c.Check(k.deployment.Generation, qt.Equals, fescuelatch.Generation(7))
	c.Check(k.deployment.Services, qt.HasLen, 1)
}
