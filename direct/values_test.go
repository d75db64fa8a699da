package direct

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"net/rpc"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/internal/delta"
)

// This file tests how large values travel between daemons.

// manyLines returns a large value.
func manyLines(version, lines int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d\n", version)
	for i := range lines {
		fmt.Fprintf(&b, "line %d has the number %x\n", i, i*2654435761)
	}
	return b.String()
}

// relayItems sends items from one daemon to another and returns what arrives there, and the
// bytes sent.
func relayItems(c *qt.C, from, to *largeValues, items ...fescuelatch.StoredItem) ([]fescuelatch.StoredItem, int) {
	c.Helper()
	reply := &ChangesReply{Items: items}
	c.Assert(from.encode(reply, to.held()), qt.IsNil)
	sent := reply.bytes()
	c.Assert(to.decode(reply), qt.IsNil)
	return reply.Items, sent
}

// checkItems compares items. Formatting the difference of large values would take long.
func checkItems(c *qt.C, got, want []fescuelatch.StoredItem) {
	c.Helper()
	c.Check(reflect.DeepEqual(got, want), qt.IsTrue, qt.Commentf("%d items, not the %d expected ones", len(got), len(want)))
}

// TestLargeValues relays versions of a large value over two hops, and checks what arrives
// and how much is sent.
func TestLargeValues(t *testing.T) {
	c := qt.New(t)
	reader, first, second := newLargeValues(), newLargeValues(), newLargeValues()
	whole := len(manyLines(0, 3000))
	tests := []struct {
		name  string
		lines int
		most  int // bytes sent to each
	}{
		{"first", 3000, whole / 2},
		{"another version", 3000, whole / 50},
		{"one line more", 3001, whole / 50},
		{"fewer lines", 2000, whole / 50},
	}
	for n, test := range tests {
		i := entry("op/config", manyLines(n, test.lines), int64(n+2))
		reader.observe([]fescuelatch.StoredItem{i})
		got, sent := relayItems(c, reader, first, i)
		checkItems(c, got, []fescuelatch.StoredItem{i})
		c.Check(sent <= test.most, qt.IsTrue, qt.Commentf("%s: %d bytes of %d", test.name, sent, whole))
		got, again := relayItems(c, first, second, got...)
		checkItems(c, got, []fescuelatch.StoredItem{i})
		c.Check(again, qt.Equals, sent, qt.Commentf("%s: not passed on as it is", test.name))
	}
}

// TestValuesOfOtherFollowers checks what is sent to followers that hold other values than
// the one before the latest.
func TestValuesOfOtherFollowers(t *testing.T) {
	versions := make([]fescuelatch.StoredItem, maxPatches+3)
	for n := range versions {
		versions[n] = entry("op/config", manyLines(n, 3000), int64(n+2))
	}
	last := len(versions) - 1
	size := len(versions[0].Value)
	tests := []struct {
		name  string
		holds int // version
		most  int // bytes sent
	}{
		{"holds the value", last, 0},
		{"has missed some versions", last - 3, size / 20},
		{"has missed more versions than patches are kept", 1, size / 2},
		{"holds nothing", -1, size / 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			source, current, follower := newLargeValues(), newLargeValues(), newLargeValues()
			for _, v := range versions {
				source.observe([]fescuelatch.StoredItem{v})
				relayItems(c, source, current, v)
			}
			if test.holds >= 0 {
				follower.observe(versions[test.holds : test.holds+1])
			}
			got, sent := relayItems(c, source, follower, versions[last])
			checkItems(c, got, versions[last:])
			c.Check(sent-len("op/config") <= test.most, qt.IsTrue, qt.Commentf("%d bytes of %d", sent, size))
		})
	}
}

// TestUnknownBase checks that a follower which cannot put a value together gets it whole the
// next time.
func TestUnknownBase(t *testing.T) {
	tests := []struct {
		name   string
		change func(*ChangesReply)
	}{
		{"patch of another value", func(r *ChangesReply) { r.Values[0].Patches[0].Base = delta.Sum(nil) }},
		{"broken patch", func(r *ChangesReply) { r.Values[0].Patches[0].Data = []byte("?") }},
		{"other patch", func(r *ChangesReply) { r.Values[0].Patches[0].Value = delta.Sum(nil) }},
		{"other value", func(r *ChangesReply) { r.Values[0].Digest = delta.Sum(nil) }},
		{"other value, without patches", func(r *ChangesReply) { r.Values[0] = EncodedValue{Digest: delta.Sum(nil)} }},
		{"other whole value", func(r *ChangesReply) { r.Values[0].Whole = r.Values[0].Patches[0].Data }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			source, follower := newLargeValues(), newLargeValues()
			before, after := entry("op/config", manyLines(1, 3000), 2), entry("op/config", manyLines(2, 3000), 3)
			source.observe([]fescuelatch.StoredItem{before})
			relayItems(c, source, follower, before)
			source.observe([]fescuelatch.StoredItem{after})
			reply := &ChangesReply{Items: []fescuelatch.StoredItem{after}}
			c.Assert(source.encode(reply, follower.held()), qt.IsNil)
			test.change(reply)
			c.Assert(follower.decode(reply), qt.IsNotNil)
			got, _ := relayItems(c, source, follower, after)
			checkItems(c, got, []fescuelatch.StoredItem{after})
		})
	}
}

// TestMalformedReply checks that replies which name items that they lack are rejected.
func TestMalformedReply(t *testing.T) {
	for _, r := range []ChangesReply{
		{Values: []EncodedValue{{Item: 0}}},
		{Values: []EncodedValue{{Item: -1}}, Items: []fescuelatch.StoredItem{{}}},
		{Values: []EncodedValue{{Item: 0}}, Items: []fescuelatch.StoredItem{{}}},
		{Packed: []byte("?")},
		{Packed: []byte{}},
	} {
		qt.New(t).Check(newLargeValues().decode(&r), qt.IsNotNil)
	}
}

// TestSeveralValuesOfKey checks that all values of a key arrive, also when the last one is
// of no use, as changes of what the follower holds.
func TestSeveralValuesOfKey(t *testing.T) {
	before := entry("op/config", manyLines(1, 3000), 2)
	items := []fescuelatch.StoredItem{
		entry("op/config", manyLines(2, 3000), 3), entry("servers/i-1", "{}", 4), entry("op/config", manyLines(3, 3000), 5), removal("servers/i-1", 6),
	}
	for _, known := range []bool{false, true} {
		t.Run(fmt.Sprint("patches are known: ", known), func(t *testing.T) {
			c := qt.New(t)
			source, follower, other := newLargeValues(), newLargeValues(), newLargeValues()
			for _, i := range append([]fescuelatch.StoredItem{before}, items...) {
				source.observe([]fescuelatch.StoredItem{i})
				if known {
					relayItems(c, source, other, i)
				}
			}
			follower.observe([]fescuelatch.StoredItem{before})
			got, sent := relayItems(c, source, follower, items...)
			checkItems(c, got, items)
			c.Check(sent < len(before.Value)/2, qt.IsTrue)
			c.Check(!known || sent < len(before.Value)/20, qt.IsTrue, qt.Commentf("%d bytes of %d", sent, len(before.Value)))
			got, _ = relayItems(c, follower, other, items...)
			checkItems(c, got, items)
		})
	}
}

// TestPatchesAreBounded checks that the patches of a key stay bounded.
func TestPatchesAreBounded(t *testing.T) {
	c := qt.New(t)
	source, follower := newLargeValues(), newLargeValues()
	for n := range 5 * maxPatches {
		i := entry("op/config", manyLines(n, 3000+n), int64(n+2))
		source.observe([]fescuelatch.StoredItem{i})
		relayItems(c, source, follower, i)
	}
	for _, l := range []*largeValues{source, follower} {
		v, ok := l.latest.Get("op/config")
		c.Assert(ok, qt.IsTrue)
		total := 0
		for _, p := range v.patches {
			total += len(p.Data)
		}
		c.Check(len(v.patches) <= maxPatches && total <= maxPatchBytes, qt.IsTrue, qt.Commentf("%d patches, %d bytes", len(v.patches), total))
	}
	for n := range 5 * maxLargeValues {
		source.observe([]fescuelatch.StoredItem{entry(fmt.Sprint("other/", n), manyLines(n, 300), 2)})
	}
	c.Check(len(source.held()) <= maxLargeValues, qt.IsTrue)
}

// OldChangesRequest and OldChangesReply are the messages of daemons without encoded values.
type (
	OldChangesRequest struct {
		From    fescuelatch.VMID
		Process string
		Next    int64
		Wait    time.Duration
	}
	OldChangesReply struct {
		Process  string
		Next     int64
		Full     bool
		Revision int64
		Era      int64
		Age      time.Duration
		Settling bool
		Items    []fescuelatch.StoredItem
	}
)

// oldPeerServer is the service of a daemon without encoded values.
type oldPeerServer struct{ reply OldChangesReply }

// Changes returns a full copy.
func (p *oldPeerServer) Changes(_ OldChangesRequest, reply *OldChangesReply) error {
	*reply = p.reply
	return nil
}

// TestOldFollower checks that a daemon without encoded values can follow one with them.
func TestOldFollower(t *testing.T) {
	c := qt.New(t)
	d := newTestDaemon()
	large := entry("op/config", manyLines(1, 3000), 2)
	d.largeValues.observe([]fescuelatch.StoredItem{large})
	d.storeView.put(epoch, large.KeyValue)
	server := httptest.NewServer(d.controlHandler())
	defer server.Close()
	client, err := dialPeer(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), func() {})
	c.Assert(err, qt.IsNil)
	defer func() { _ = client.Close() }()
	var reply OldChangesReply
	c.Assert(callPeer(t.Context(), client, "Changes", OldChangesRequest{From: "vm-2"}, &reply), qt.IsNil)
	c.Check(reply.Full, qt.IsTrue)
	checkItems(c, reply.Items, []fescuelatch.StoredItem{large})
}

// TestOldSource checks that a daemon with encoded values can follow one without them.
func TestOldSource(t *testing.T) {
	c := qt.New(t)
	large := entry("op/config", manyLines(1, 3000), 2)
	old := &Daemon{log: newTestDaemon().log}
	peers := rpc.NewServer()
	c.Assert(peers.RegisterName(peerService, &oldPeerServer{OldChangesReply{Full: true, Revision: 2, Items: []fescuelatch.StoredItem{large}}}), qt.IsNil)
	server := httptest.NewServer(old.servePeer(peers))
	defer server.Close()
	d := newTestDaemon()
	s := &source{vm: "vm-2", address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	defer s.close()
	reply, err := d.askSource(t.Context(), s, 0)
	c.Assert(err, qt.IsNil)
	checkItems(c, reply.Items, []fescuelatch.StoredItem{large})
	c.Check(d.largeValues.held(), qt.DeepEquals, []HeldValue{{"op/config", delta.Sum(large.Value)}})
}
