package peer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/ownership"
	"fescuelatch/peer"
)

// This file measures a heartbeat and its reply over net/rpc between two daemons
// with an established link and the same configuration: the time, and the bytes
// in both directions.

// echo replies to a heartbeat with the same hello.
type echo struct{}

// Heartbeat implements peer.Handler.
func (echo) Heartbeat(h *peer.Heartbeat, reply *peer.HeartbeatReply) error {
	reply.Hello = h.Hello
	reply.Ownership = &ownership.Ack{From: "vm-2", Incarnation: "i", To: "j", Joined: true}
	return nil
}

// BenchmarkHeartbeat varies the number of versions whose free capacity and
// whose evidence is sent.
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
		h.Counts = append(h.Counts, n, 21, 1, 64)
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
	c := qt.New(b)
	p := newPair(c)
	p.recorder.reply.Hello = h.Hello
	p.recorder.reply.Ownership = &ownership.Ack{From: "vm-2", Incarnation: "i", To: "j", Joined: true}
	var bytes byteCounter
	p.client.Dialer = p.client.Dialer.Counting(peer.Traffic{Sent: &bytes, Received: &bytes})
	call := func() {
		if _, err := p.client.Heartbeat(context.Background(), p.to, h); err != nil {
			b.Fatal(err)
		}
	}
	call() // The first call also sends names and gob types.
	bytes.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
}
