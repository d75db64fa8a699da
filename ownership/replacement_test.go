package ownership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/ownership"
)

// This file tests the leases that a replaced daemon granted.

// TestPromiseEndsWithProcess checks that a lease ends with the process that
// granted it: the next process may claim before the lease would have expired.
func TestPromiseEndsWithProcess(t *testing.T) {
	c := qt.New(t)
	d := domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 8)
	settings := ownership.Settings{ReportLag: 100 * time.Millisecond}
	newTable := func(vm fescuelatch.VMID, process string, start time.Duration) *ownership.Table {
		o, err := ownership.New(vm, fescuelatch.Incarnation(string(vm)+process), settings, at(start))
		c.Assert(err, qt.IsNil)
		o.Configure(at(start), d)
		return o
	}
	a, b := newTable("vm-a", "/1", 0), newTable("vm-b", "/1", 0)
	runHeartbeats(0, 20*time.Second, a, b)

	b = newTable("vm-b", "/2", 20100*time.Millisecond)
	for _, sent := range []time.Duration{20150 * time.Millisecond, 20200 * time.Millisecond} {
		ack, err := a.ReceiveHeartbeat(at(sent), b.Heartbeat(at(sent)))
		c.Assert(err, qt.IsNil)
		c.Assert(b.ReceiveAck(at(sent), at(sent), ack), qt.IsNil)
	}

	now := at(20400 * time.Millisecond)
	shares := make(map[fescuelatch.EndpointID]float64)
	for _, o := range append(a.Owned(now), b.Owned(now)...) {
		if !now.Before(o.After) {
			shares[o.Endpoint.ID] += o.Share
		}
	}
	c.Assert(shares, qt.HasLen, 8)
	for e, s := range shares {
		c.Check(s <= 1, qt.IsTrue, qt.Commentf("shares of %v sum to %v", e, s))
	}
}
