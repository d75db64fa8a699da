package ownership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/ownership"
)

// This file tests what a replaced daemon's promises are worth.

// A daemon that has joined again may claim before the lease of its former
// process would have ended, so that the lease must end with the process.
func TestPromiseEndsWithProcess(t *testing.T) {
	c := qt.New(t)
	d := domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 8)
	settings := ownership.Settings{ReportLag: 100 * time.Millisecond}
	build := func(vm fescuelatch.VMID, process string, start time.Duration) *ownership.Table {
		o, err := ownership.New(vm, fescuelatch.Incarnation(string(vm)+process), settings, at(start))
		c.Assert(err, qt.IsNil)
		o.Configure(at(start), d)
		return o
	}
	a, b := build("vm-a", "/1", 0), build("vm-b", "/1", 0)
	beat(0, 20*time.Second, a, b)

	b = build("vm-b", "/2", 20100*time.Millisecond)
	for _, sent := range []time.Duration{20150 * time.Millisecond, 20200 * time.Millisecond} {
		ack, err := a.Received(at(sent), b.Heartbeat(at(sent)))
		c.Assert(err, qt.IsNil)
		c.Assert(b.Acknowledged(at(sent), at(sent), ack), qt.IsNil)
	}

	now := at(20400 * time.Millisecond)
	parts := make(map[fescuelatch.EndpointID]float64)
	for _, o := range append(a.Owned(now), b.Owned(now)...) {
		if !now.Before(o.After) {
			parts[o.Endpoint.ID] += o.Share
		}
	}
	c.Assert(parts, qt.HasLen, 8)
	for e, p := range parts {
		c.Check(p <= 1, qt.IsTrue, qt.Commentf("%v has parts of %v", e, p))
	}
}
