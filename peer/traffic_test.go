package peer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/fleetkey"
	"fescuelatch/keyvalue"
	"fescuelatch/peer"
)

// This file tests that the bytes of calls are counted at both ends, and those
// of forwarded requests at neither.

// byteCounter is a peer.Counter.
type byteCounter struct{ atomic.Int64 }

// Inc implements peer.Counter.
func (t *byteCounter) Inc(n int64) { t.Add(n) }

// handler replies to heartbeats and ignores other calls.
type handler struct{ echo }

// Changes implements peer.Handler.
func (handler) Changes(*peer.ChangesRequest, *peer.ChangesReply) error { return nil }

// Hold implements peer.Handler.
func (handler) Hold(*peer.BillBatch, *peer.Ack) error { return nil }

// Written implements peer.Handler.
func (handler) Written(*peer.BillsWritten, *peer.Ack) error { return nil }

// Submit implements peer.Handler.
func (handler) Submit(*peer.SubmitRequest, *keyvalue.SubmitReply) error { return nil }

func TestTrafficIsCounted(t *testing.T) {
	c := qt.New(t)
	var clientBytes, serverBytes [2]byteCounter
	forward := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 10000))
	})
	keys, err := fleetkey.ParseKeys("a-key-of-16-bytes")
	c.Assert(err, qt.IsNil)
	h, err := peer.NewHandler(keys, handler{}, forward, peer.Traffic{Sent: &serverBytes[0], Received: &serverBytes[1]})
	c.Assert(err, qt.IsNil)
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))

	d := new(peer.Dialer)
	client := &peer.Client{Keys: keys, Dialer: d.Counting(peer.Traffic{Sent: &clientBytes[0], Received: &clientBytes[1]})}
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	_, err = client.Heartbeat(ctx, address, heartbeat(4, 4))
	c.Assert(err, qt.IsNil)
	calls := serverBytes[1].Load()
	c.Assert(calls > 500, qt.IsTrue)
	// The client also counts the bytes that open the connection.
	c.Assert(clientBytes[0].Load() > calls, qt.IsTrue)
	c.Assert(clientBytes[1].Load() > serverBytes[0].Load(), qt.IsTrue)

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+peer.ForwardPath+"/x", nil)
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer a-key-of-16-bytes")
	resp, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	b, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(len(b), qt.Equals, 10000)
	c.Assert(serverBytes[0].Load() < 5000, qt.IsTrue)
	c.Assert(d.Traffic.Sent, qt.IsNil)
}
