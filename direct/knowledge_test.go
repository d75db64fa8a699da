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

// This file tests what a daemon believes of the store, with the notation of
// the users' platform.

var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func entry(key, value string, revision int64) fescuelatch.StoredItem {
	return fescuelatch.StoredItem{KeyValue: fescuelatch.KeyValue{Key: key, Value: []byte(value), Revision: revision}}
}

func removal(key string, revision int64) fescuelatch.StoredItem {
	return fescuelatch.StoredItem{KeyValue: fescuelatch.KeyValue{Key: key, Revision: revision}, Removed: true}
}

// beat is the entry of endpoint n.
func beat(n int, state string, revision int64) fescuelatch.StoredItem {
	return entry("servers/i-"+strconv.Itoa(n),
		`{"service":"lm","address":"10.0.0.`+strconv.Itoa(n)+`:8080","zone":"a","version":"v1","capacity":64,"state":"`+state+
			`","cold_remaining_ms":0,"sequence":`+strconv.FormatInt(revision, 10)+`}`, revision)
}

const smallConfiguration = `{"version":7,"routes":[],"services":[{"name":"lm"}],"limits":{},"tenants":[]}`

func known(endpoints int) *knowledge {
	k := newKnowledge(platform.Notation{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c := fescuelatch.Changes{Revision: 10, Items: []fescuelatch.StoredItem{entry("op/config", smallConfiguration, 1)}}
	for n := range endpoints {
		c.Items = append(c.Items, beat(n+1, "ready", 2))
	}
	k.replace(epoch, c)
	return k
}

// TestReturn checks for how long an endpoint whose entry is gone is believed
// after calls to the store have failed.
func TestReturn(t *testing.T) {
	var regular []fescuelatch.StoredItem
	for revision := int64(20); revision < 23; revision++ {
		regular = append(regular, beat(1, "ready", 10*revision), beat(2, "ready", 10*revision+1))
	}
	tests := []struct {
		name   string
		missed []fescuelatch.StoredItem
		held   bool
	}{
		{"the store was away and all entries have lapsed", nil, true},
		{"the store has just returned", []fescuelatch.StoredItem{beat(1, "ready", 200), beat(2, "ready", 201)}, true},
		{"only this daemon was cut off", regular, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := known(3)
			missed := fescuelatch.Changes{Revision: 300, Items: append(test.missed, removal("servers/i-3", 299))}
			k.returned(epoch, missed)
			k.apply(epoch, missed)
			_, there := k.endpoints["i-3"]
			c.Check(there, qt.Equals, test.held)
			k.settle(epoch.Add(lapseTime - time.Millisecond))
			_, there = k.endpoints["i-3"]
			c.Check(there, qt.Equals, test.held)
			k.settle(epoch.Add(lapseTime))
			_, there = k.endpoints["i-3"]
			c.Check(there, qt.IsFalse)
		})
	}
}

// TestReturnToALostHistory checks how a daemon that reads everything anew after
// a cut tells by the revision whether the store was there meanwhile.
func TestReturnToALostHistory(t *testing.T) {
	const usual = 20 // writes a second
	tests := []struct {
		name   string
		away   time.Duration
		writes int64
		held   bool
	}{
		{"only this daemon was cut off", 8 * time.Second, 8 * usual, false},
		{"the store was away", 8 * time.Second, 0, true},
		{"the store was away for half of it", 8 * time.Second, 4 * usual, true},
		{"too short to tell", 300 * time.Millisecond, usual / 3, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := known(3)
			now, revision := epoch, int64(100)
			for range 10 {
				now, revision = now.Add(time.Second), revision+usual
				k.apply(now, fescuelatch.Changes{Revision: revision})
			}
			now, revision = now.Add(test.away), revision+test.writes
			everything := fescuelatch.Changes{Revision: revision, Items: []fescuelatch.StoredItem{
				entry("op/config", smallConfiguration, 1), beat(1, "ready", revision-1), beat(2, "ready", revision),
			}}
			k.returned(now, everything)
			k.replace(now, everything)
			_, there := k.endpoints["i-3"]
			c.Check(there, qt.Equals, test.held)
		})
	}
}

// TestLapsedReturns checks that an endpoint which writes its entry again while
// removals are held is never given up.
func TestLapsedReturns(t *testing.T) {
	c := qt.New(t)
	k := known(1)
	k.returned(epoch, fescuelatch.Changes{})
	k.apply(epoch, fescuelatch.Changes{Revision: 30, Items: []fescuelatch.StoredItem{removal("servers/i-1", 29)}})
	k.apply(epoch.Add(time.Second), fescuelatch.Changes{Revision: 31, Items: []fescuelatch.StoredItem{beat(1, "ready", 31)}})
	k.settle(epoch.Add(lapseTime))
	c.Check(k.endpoints, qt.HasLen, 1)
}

// TestHostileEntries checks that an entry which cannot be decoded names no
// endpoint, and that the others hold.
func TestHostileEntries(t *testing.T) {
	tests := []struct{ name, value string }{
		{"no JSON", "\xff\x00"},
		{"a field is missing", `{"service":"lm","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":64,"state":"ready","sequence":1}`},
		{"a field of another type", `{"service":7,"address":"10.0.0.1:80","zone":"a","version":"v1","capacity":64,"state":"ready","cold_remaining_ms":0,"sequence":1}`},
		{"an unknown state", `{"service":"lm","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":64,"state":"odd","cold_remaining_ms":0,"sequence":1}`},
		{"an address with a name", `{"service":"lm","address":"host:80","zone":"a","version":"v1","capacity":64,"state":"ready","cold_remaining_ms":0,"sequence":1}`},
		{"no slots", `{"service":"lm","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":0,"state":"ready","cold_remaining_ms":0,"sequence":1}`},
		{"a release with a separator", `{"service":"lm","address":"10.0.0.1:80","zone":"a","version":"v@1","capacity":1,"state":"ready","cold_remaining_ms":0,"sequence":1}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := known(2)
			k.apply(epoch, fescuelatch.Changes{Revision: 20, Items: []fescuelatch.StoredItem{entry("servers/i-1", test.value, 20)}})
			c.Check(k.endpoints, qt.HasLen, 1)
		})
	}
}

// TestGeneration checks that an older configuration never comes into force.
func TestGeneration(t *testing.T) {
	c := qt.New(t)
	k := known(1)
	older := `{"version":6,"routes":[],"services":[],"limits":{},"tenants":[]}`
	k.apply(epoch, fescuelatch.Changes{Revision: 40, Items: []fescuelatch.StoredItem{entry("op/config", older, 40)}})
	c.Check(k.deployment.Generation, qt.Equals, fescuelatch.Generation(7))
	c.Check(k.deployment.Services, qt.HasLen, 1)
}
