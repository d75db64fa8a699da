package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fescuelatch"
	"fescuelatch/fleetkey"
	"fescuelatch/ownership"
	"fescuelatch/peer"
)

// This file tests that heartbeats keep their content when names are elided.

// recordingHandler records the last heartbeat and sends a preset reply.
type recordingHandler struct {
	handler
	got   peer.Heartbeat
	calls int
	reply peer.HeartbeatReply
	// during, when set, is called before the reply.
	during func()
}

// Heartbeat implements peer.Handler.
func (m *recordingHandler) Heartbeat(h *peer.Heartbeat, reply *peer.HeartbeatReply) error {
	m.got, *reply = *h, m.reply
	m.calls++
	if m.during != nil {
		m.during()
	}
	return nil
}

// pair is a caller and a callee that can be restarted.
type pair struct {
	client   *peer.Client
	to       netip.AddrPort
	recorder *recordingHandler
	handler  http.Handler
	keys     fleetkey.Keys
}

func newPair(c *qt.C) *pair {
	keys, err := fleetkey.ParseKeys("a-key-of-16-bytes")
	c.Assert(err, qt.IsNil)
	p := &pair{keys: keys, client: &peer.Client{Keys: keys, Dialer: new(peer.Dialer)}}
	p.replace(c)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.handler.ServeHTTP(w, r) }))
	c.Cleanup(s.Close)
	c.Cleanup(func() { p.client.Close() })
	p.to = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	return p
}

// replace replaces the callee by a new process.
func (p *pair) replace(c *qt.C) {
	var err error
	p.recorder = new(recordingHandler)
	p.handler, err = peer.NewHandler(p.keys, p.recorder, http.NotFoundHandler(), peer.Traffic{})
	c.Assert(err, qt.IsNil)
	p.client.Close()
}

// exchange sends h, replies with r, and checks that both arrive unchanged.
func (p *pair) exchange(c *qt.C, h *peer.Heartbeat, r *peer.HeartbeatReply) {
	p.recorder.reply, p.recorder.calls = *r, 0
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	want := *h
	reply, err := p.client.Heartbeat(ctx, p.to, h)
	c.Assert(err, qt.IsNil)
	c.Assert(p.recorder.calls, qt.Equals, 1)
	p.recorder.got.Link, reply.Link = 0, 0
	c.Assert(p.recorder.got, qt.DeepEquals, want)
	c.Assert(*reply, qt.DeepEquals, *r)
	c.Assert(*h, qt.DeepEquals, want, qt.Commentf("the caller's message must not change"))
}

func TestLinksPreserveHeartbeats(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	at := time.Unix(1e9, 0).UTC()
	rapid.Check(t, func(r *rapid.T) {
		draw := func(label string) string { return rapid.SampledFrom([]string{"a", "b"}).Draw(r, label) }
		incarnation := func(label string) fescuelatch.Incarnation { return fescuelatch.Incarnation(draw(label)) }
		hello := func(label string) peer.Hello {
			h := peer.Hello{
				VM: fescuelatch.VMID(draw(label + " vm")), Domain: "d", Incarnation: incarnation(label), Generation: 7,
				Leaving: rapid.Bool().Draw(r, label+" leaving"),
			}
			if rapid.Bool().Draw(r, label+" evidence") {
				h.Evidence = []fescuelatch.Evidence{{Origin: incarnation(label + " origin"), Version: "v", Updated: at, Since: at}}
			}
			if rapid.Bool().Draw(r, label+" counts") {
				h.Counts = peer.Counts{0, 1, 2, 3}
			}
			return h
		}
		for range rapid.IntRange(1, 6).Draw(r, "steps") {
			if rapid.IntRange(0, 3).Draw(r, "replace") == 0 {
				p.replace(c)
			}
			h := &peer.Heartbeat{Hello: hello("caller")}
			k := &peer.HeartbeatReply{Hello: hello("called")}
			if rapid.Bool().Draw(r, "known") {
				h.Known = peer.Known{Incarnation: incarnation("known incarnation"), Through: at}
			}
			if rapid.Bool().Draw(r, "list") {
				k.List = &peer.Listing{Age: time.Second, Missing: []fescuelatch.VMID{"x"}}
			}
			if rapid.Bool().Draw(r, "ownership") {
				h.Acked = &peer.Acked{Sequence: 3, Ack: ownership.Ack{From: h.VM, Incarnation: incarnation("acked"), To: incarnation("acked to")}}
				k.Beat = &ownership.Heartbeat{From: k.VM, Incarnation: incarnation("beat"), Sequence: 4}
				h.Ownership = &ownership.Heartbeat{From: h.VM, Incarnation: incarnation("owner"), Sequence: 1}
				k.Ownership = &ownership.Ack{From: k.VM, Incarnation: incarnation("acknowledging"), To: incarnation("to"), Joined: true}
			}
			p.exchange(c, h, k)
		}
	})
}

// TestLinkOfPreviousProcess checks that a restarted process does not mistake a
// link of its predecessor for one of its own.
func TestLinkOfPreviousProcess(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	h := func(vm fescuelatch.VMID) *peer.Heartbeat {
		return &peer.Heartbeat{Hello: peer.Hello{VM: vm, Domain: "d", Incarnation: fescuelatch.Incarnation(vm)}}
	}
	r := &peer.HeartbeatReply{Hello: peer.Hello{VM: "called", Domain: "d", Incarnation: "called"}}
	p.exchange(c, h("a"), r)
	p.replace(c)
	first := p.client
	p.client = &peer.Client{Keys: p.keys, Dialer: new(peer.Dialer)}
	defer p.client.Close()
	p.exchange(c, h("b"), r)
	p.client, first = first, p.client
	defer first.Close()
	p.exchange(c, h("a"), r)
}

// TestIdleConnectionsAreClosed checks that CloseIdle closes unused connections
// and keeps those in use.
func TestIdleConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	var sent byteCounter
	p.client.Dialer = p.client.Dialer.Counting(peer.Traffic{Sent: &sent, Received: new(byteCounter)})
	h := &peer.Heartbeat{Hello: peer.Hello{VM: "a", Domain: "d", Incarnation: "i"}}
	bytes := func() int64 {
		before := sent.Load()
		p.exchange(c, h, &peer.HeartbeatReply{Hello: h.Hello})
		return sent.Load() - before
	}
	opened := bytes()
	used := time.Now()
	_ = bytes() // gob types are sent and the link is set up
	p.client.CloseIdle(used)
	kept := bytes()
	c.Assert(kept < opened/2, qt.IsTrue, qt.Commentf("%d and %d", kept, opened))
	p.client.CloseIdle(time.Now().Add(time.Second))
	c.Assert(bytes() > 2*kept, qt.IsTrue)
	// A call in progress keeps its connection open.
	p.recorder.during = func() { p.client.CloseIdle(time.Now().Add(time.Second)) }
	c.Assert(bytes() < 2*kept, qt.IsTrue)
}

// blockingHandler blocks heartbeats and the first copy of bills until released.
type blockingHandler struct {
	handler
	received, release chan struct{}
}

// Heartbeat implements peer.Handler. It blocks until the caller times out.
func (h *blockingHandler) Heartbeat(*peer.Heartbeat, *peer.HeartbeatReply) error {
	<-h.release
	return nil
}

// Hold implements peer.Handler.
func (h *blockingHandler) Hold(*peer.BillBatch, *peer.Ack) error {
	select {
	case h.received <- struct{}{}:
		<-h.release
	default:
	}
	return nil
}

// TestHoldRetriesClosedConnection checks that Hold is retried after the timeout
// of another call has closed the connection. Otherwise the copy goes to a
// daemon of a failure domain that already has one.
func TestHoldRetriesClosedConnection(t *testing.T) {
	c := qt.New(t)
	p := newPair(c)
	h := &blockingHandler{received: make(chan struct{}, 1), release: make(chan struct{})}
	c.Cleanup(func() { close(h.release) })
	var err error
	p.handler, err = peer.NewHandler(p.keys, h, http.NotFoundHandler(), peer.Traffic{})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	held := make(chan error, 1)
	go func() { held <- p.client.Hold(ctx, p.to, &peer.BillBatch{Body: []byte("batch")}) }()
	<-h.received
	h.received <- struct{}{} // The next copy is accepted immediately.
	short, done := context.WithTimeout(ctx, 50*time.Millisecond)
	defer done()
	_, err = p.client.Heartbeat(short, p.to, &peer.Heartbeat{Hello: peer.Hello{VM: "a", Domain: "d", Incarnation: "i"}})
	c.Assert(err, qt.ErrorMatches, ".*timeout.*")
	c.Assert(<-held, qt.IsNil)
}

func TestCounts(t *testing.T) {
	c := qt.New(t)
	conf := &fescuelatch.Configuration{Generation: 3, Inventory: fescuelatch.Inventory{
		Models:   []fescuelatch.Model{{ID: "m"}},
		Versions: []fescuelatch.Version{{ID: "m@2", Model: "m"}, {ID: "m@1", Model: "m"}},
	}}
	v, err := fescuelatch.NewView(conf)
	c.Assert(err, qt.IsNil)
	n := peer.NewNumbering(v)
	c.Assert(n.Generation(), qt.Equals, fescuelatch.Generation(3))
	ss := []fescuelatch.Spare{{Version: "m@2", Free: 3, Slots: 4}, {Version: "m@1", Free: -1, Queued: 9}}
	cs := n.Pack(append(ss, fescuelatch.Spare{Version: "of another generation"}))
	c.Assert(cs, qt.DeepEquals, peer.Counts{1, 3, 0, 4, 0, -1, 9, 0})
	back, err := n.Unpack(cs)
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.DeepEquals, ss)
	for _, bad := range []peer.Counts{{1}, {2, 0, 0, 0}, {-1, 0, 0, 0}} {
		_, err := n.Unpack(bad)
		c.Assert(err, qt.ErrorMatches, "unpack capacity: invalid: .*")
	}
}
