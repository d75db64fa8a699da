package direct

import (
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/platform/fakeplatform"
)

// This file tests followers of a source whose link is slow.

// newSlowSource returns a source, with an entry that takes two seconds to arrive from it,
// and the link to it.
func newSlowSource(t *testing.T) (*fakeplatform.Link, *source) {
	c := qt.New(t)
	const perSecond = 200_000
	d := newTestDaemon()
	value := make([]byte, 2*perSecond)
	for i := range value {
		value[i] = byte(rand.Uint32())
	}
	d.storeView.put(epoch, fescuelatch.KeyValue{Key: "other/large", Value: value, Revision: 2})
	server := httptest.NewServer(d.controlHandler())
	t.Cleanup(server.Close)
	l, err := fakeplatform.NewLink(netip.MustParseAddrPort(server.Listener.Addr().String()))
	c.Assert(err, qt.IsNil)
	t.Cleanup(l.Close)
	l.SetBandwidth(fakeplatform.NewBandwidth(perSecond))
	s := &source{address: l.Address()}
	t.Cleanup(s.close)
	return l, s
}

// TestAnswerOfSlowSource guards against a source that is given up while its answer arrives.
func TestAnswerOfSlowSource(t *testing.T) {
	c := qt.New(t)
	_, s := newSlowSource(t)
	reply, err := s.ask(t.Context(), "vm-2", nil, watchTimeout)
	c.Assert(err, qt.IsNil)
	c.Check(reply.Items, qt.HasLen, 1)
}

// TestStalledSource checks that a source whose answer no longer arrives is given up soon.
func TestStalledSource(t *testing.T) {
	c := qt.New(t)
	l, s := newSlowSource(t)
	time.AfterFunc(500*time.Millisecond, func() { l.SetFault(fakeplatform.LinkStalled) })
	start := time.Now()
	_, err := s.ask(t.Context(), "vm-2", nil, watchTimeout)
	c.Check(err, qt.ErrorMatches, ".*deadline exceeded.*")
	c.Check(time.Since(start) < 2*time.Second, qt.IsTrue, qt.Commentf("given up after %s", time.Since(start)))
}
