package peer_test

import (
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"fescuelatch"
	"fescuelatch/ownership"
	"fescuelatch/peer"
)

// This file measures the cost of a heartbeat: encoded, decoded and answered
// over net/rpc, with the bytes of both ways.

// counting is a connection that counts what is written to it.
type counting struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counting) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// echo answers a heartbeat with a hello of the same size.
type echo struct{}

// Heartbeat answers one heartbeat.
func (echo) Heartbeat(h *peer.Heartbeat, reply *peer.HeartbeatReply) error {
	reply.Hello = h.Hello
	reply.Ownership = &ownership.Ack{From: "vm-2", Incarnation: "i", To: "j", Joined: true}
	return nil
}

// BenchmarkHeartbeat varies the number of versions whose free capacity is
// told and the number whose evidence is.
func BenchmarkHeartbeat(b *testing.B) {
	for _, s := range []struct{ spares, evidence int }{{0, 0}, {1, 0}, {4, 0}, {20, 0}, {0, 1}, {0, 4}, {0, 20}, {4, 4}, {20, 20}} {
		b.Run(fmt.Sprintf("spares=%d/evidence=%d", s.spares, s.evidence), func(b *testing.B) {
			benchmarkHeartbeat(b, heartbeat(s.spares, s.evidence))
		})
	}
}

func heartbeat(spares, evidence int) *peer.Heartbeat {
	const incarnation = "6f1c1c39-78f0-4b86-ae34-0f6f3d3a6c0e"
	now := time.Date(2026, 1, 1, 0, 0, 0, 123456789, time.UTC)
	h := &peer.Heartbeat{
		Hello: peer.Hello{
			VM: "kgl-a-entry-01", Domain: "kgl-a", Incarnation: incarnation, Generation: 5500,
		},
		Ownership: &ownership.Heartbeat{From: "kgl-a-entry-01", Incarnation: incarnation, Sequence: 100000, Joined: true},
	}
	for n := range spares {
		h.Spares = append(h.Spares, fescuelatch.Spare{Version: version(n), Free: 21, Queued: 1, Slots: 64})
	}
	for n := range evidence {
		h.Evidence = append(h.Evidence, fescuelatch.Evidence{
			Origin: incarnation, Version: version(n), Since: now, Updated: now.Add(time.Hour),
			Rated: 12.345, Good: 11.234, Attempts: 98.765, Failed: 0.1234, Alarm: 0.567,
		})
	}
	return h
}

func version(n int) fescuelatch.VersionID {
	return fescuelatch.VersionID(fmt.Sprintf("summariser-large@%02d", n))
}

func benchmarkHeartbeat(b *testing.B, h *peer.Heartbeat) {
	b.Helper()
	s := rpc.NewServer()
	if err := s.RegisterName("Peer", echo{}); err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	near, far := net.Pipe()
	go s.ServeConn(counting{far, &bytes})
	c := rpc.NewClient(counting{near, &bytes})
	defer func() { _ = c.Close() }()
	call := func() {
		if err := c.Call("Peer.Heartbeat", h, new(peer.HeartbeatReply)); err != nil {
			b.Fatal(err)
		}
	}
	call() // the first call also carries the types
	bytes.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
}
