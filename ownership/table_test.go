package ownership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/ownership"
)

// This file tests tables with given sequences of messages.

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// domainOf returns a failure domain with the given members and endpoints.
func domainOf(members []fescuelatch.VMID, endpoints int) ownership.Domain {
	d := ownership.Domain{Members: members}
	for i := range endpoints {
		d.Endpoints = append(d.Endpoints, fescuelatch.OwnedEndpoint{
			Endpoint: fescuelatch.Endpoint{ID: fescuelatch.EndpointID(fmt.Sprint("endpoint-", i))},
		})
	}
	return d
}

func newTable(t testing.TB, vm fescuelatch.VMID, d ownership.Domain) *ownership.Table {
	o, err := ownership.New(vm, fescuelatch.Incarnation(vm+"/1"), ownership.Settings{}, epoch)
	qt.Assert(t, err, qt.IsNil)
	o.Configure(epoch, d)
	return o
}

// exchangeHeartbeats delivers heartbeats between all tables without delay.
func exchangeHeartbeats(now time.Time, tables ...*ownership.Table) {
	for _, a := range tables {
		h := a.Heartbeat(now)
		for _, b := range tables {
			if a == b {
				continue
			}
			if k, err := b.ReceiveHeartbeat(now, h); err == nil {
				// A caller drops stale replies too.
				_ = a.ReceiveAck(now, now, k)
			}
		}
	}
}

// runHeartbeats exchanges heartbeats at the default interval between two times.
func runHeartbeats(from, to time.Duration, tables ...*ownership.Table) {
	for d := from; d <= to; d += ownership.DefaultHeartbeatInterval {
		exchangeHeartbeats(at(d), tables...)
	}
}

func shares(now time.Time, t *ownership.Table) map[float64]int {
	m := make(map[float64]int)
	for _, o := range t.Owned(now) {
		m[o.Share]++
	}
	return m
}

func Example() {
	d := domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 1)
	a, _ := ownership.New("vm-a", "a/1", ownership.Settings{}, epoch)
	b, _ := ownership.New("vm-b", "b/1", ownership.Settings{}, epoch)
	a.Configure(epoch, d)
	b.Configure(epoch, d)

	// In the first round the daemons join; in the second they promise not
	// to claim each other's endpoints.
	now := epoch
	for range 2 {
		now = now.Add(ownership.DefaultHeartbeatInterval)
		exchangeHeartbeats(now, a, b)
	}
	owner, _ := b.OwnerOf(now, "endpoint-0")
	fmt.Println(owner, len(a.Owned(now)), len(b.Owned(now)))
	// Output: vm-b 0 1
}

func TestTakeoverAndReturn(t *testing.T) {
	c := qt.New(t)
	d := domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 10)
	a, b := newTable(t, "vm-a", d), newTable(t, "vm-b", d)
	runHeartbeats(0, 10*time.Second, a, b)
	mine, theirs := len(a.Owned(at(10*time.Second))), len(b.Owned(at(10*time.Second)))
	c.Assert(mine+theirs, qt.Equals, 10)
	c.Assert(shares(at(10*time.Second), a), qt.DeepEquals, map[float64]int{1: mine})

	// Without b, a's lease expires first, then a takes over with a quarter.
	expiry := 10*time.Second + ownership.DefaultLeaseDuration
	c.Assert(shares(at(expiry-1), a), qt.DeepEquals, map[float64]int{1: mine})
	c.Assert(shares(at(expiry), a), qt.DeepEquals, map[float64]int{0.5: mine})
	takeover := 10*time.Second + ownership.DefaultTakeoverTimeout
	c.Assert(a.Next(at(expiry)), qt.Equals, at(takeover))
	c.Assert(shares(at(takeover), a), qt.DeepEquals, map[float64]int{0.5: mine, 0.25: theirs})
	for _, o := range a.Owned(at(takeover)) {
		if o.Share == 0.25 {
			c.Assert(o.After, qt.Equals, at(takeover+ownership.DefaultReportLag))
		}
	}

	// The list of VMs counts once it cannot predate the last message of b.
	c.Assert(a.ReportMissingVM(at(takeover), "vm-b"), qt.IsFalse)
	gone := 10*time.Second + ownership.DefaultMaxListLag
	c.Assert(a.ReportMissingVM(at(gone), "vm-b"), qt.IsTrue)
	c.Assert(a.Members(at(gone))[0].State, qt.Equals, ownership.StateGone)
	c.Assert(shares(at(gone+ownership.DefaultReportLag), a), qt.DeepEquals, map[float64]int{1: 10})

	// b returns and owns its previous endpoints.
	runHeartbeats(40*time.Second, 50*time.Second, a, b)
	c.Assert(len(a.Owned(at(50*time.Second))), qt.Equals, mine)
	c.Assert(shares(at(50*time.Second), b), qt.DeepEquals, map[float64]int{1: theirs})
}

func TestLeave(t *testing.T) {
	c := qt.New(t)
	d := domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 10)
	a, b := newTable(t, "vm-a", d), newTable(t, "vm-b", d)
	runHeartbeats(0, 5*time.Second, a, b)
	now := at(5 * time.Second)
	b.Leave(now)
	c.Assert(b.Owned(now), qt.HasLen, 0)
	exchangeHeartbeats(now, a, b)
	c.Assert(a.Owned(now), qt.HasLen, 10, qt.Commentf("the successor does not wait for the inactivity timeout"))
	c.Assert(a.Members(now)[0].State, qt.Equals, ownership.StateLeaving)
	owner, ok := b.OwnerOf(now, "endpoint-0")
	c.Assert(ok, qt.IsTrue)
	c.Assert(owner, qt.Equals, fescuelatch.VMID("vm-a"))
}

func TestMemberOutAndBack(t *testing.T) {
	c := qt.New(t)
	both := domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 10)
	one := domainOf([]fescuelatch.VMID{"vm-a"}, 10)
	a, b := newTable(t, "vm-a", both), newTable(t, "vm-b", both)
	runHeartbeats(0, 5*time.Second, a, b)
	a.Configure(at(5*time.Second), one)
	b.Configure(at(5*time.Second), one)
	runHeartbeats(5*time.Second, 8*time.Second, a, b)
	c.Assert(b.Owned(at(8*time.Second)), qt.HasLen, 0)
	c.Assert(shares(at(8*time.Second), a), qt.DeepEquals, map[float64]int{1: 10})
	a.Configure(at(9*time.Second), both)
	b.Configure(at(9*time.Second), both)
	runHeartbeats(9*time.Second, 15*time.Second, a, b)
	c.Assert(len(a.Owned(at(15*time.Second)))+len(b.Owned(at(15*time.Second))), qt.Equals, 10)
	c.Assert(len(b.Owned(at(15*time.Second))) > 0, qt.IsTrue)
}

// TestRemovedMember checks that a member which is killed and removed from the
// inventory does not reserve cold slots indefinitely.
func TestRemovedMember(t *testing.T) {
	c := qt.New(t)
	a := newTable(t, "vm-a", domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 10))
	b := newTable(t, "vm-b", domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 10))
	runHeartbeats(0, 5*time.Second, a, b)
	a.Configure(at(6*time.Second), domainOf([]fescuelatch.VMID{"vm-a"}, 10))
	c.Assert(a.Members(at(6*time.Second)), qt.HasLen, 1, qt.Commentf("vm-b may still claim"))
	asked := 5*time.Second + ownership.DefaultMaxListLag
	list := []fescuelatch.VMID{"vm-a"}
	a.ReceiveVMList(at(asked+time.Second), at(asked-1), list)
	c.Assert(shares(at(asked+time.Second), a)[1], qt.Equals, 0, qt.Commentf("the list was requested too early"))
	a.ReceiveVMList(at(asked+time.Second), at(asked), list)
	later := at(asked + time.Second + ownership.DefaultReportLag)
	c.Assert(shares(later, a), qt.DeepEquals, map[float64]int{1: 10})
}

// TestReplacedByLateHeartbeat checks that a late heartbeat of a former process
// does not permanently exclude its successor.
func TestReplacedByLateHeartbeat(t *testing.T) {
	c := qt.New(t)
	d := domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 10)
	a, b := newTable(t, "vm-a", d), newTable(t, "vm-b", d)
	runHeartbeats(0, time.Second, a, b)
	late := ownership.Heartbeat{From: "vm-b", Incarnation: "vm-b/0", Sequence: 9, Joined: true}
	_, err := a.ReceiveHeartbeat(at(time.Second), late)
	c.Assert(err, qt.IsNil)
	runHeartbeats(1500*time.Millisecond, 2*time.Second, a, b)
	c.Assert(b.Owned(at(2*time.Second)), qt.HasLen, 0)
	runHeartbeats(2500*time.Millisecond, 10*time.Second, a, b)
	c.Assert(len(b.Owned(at(10*time.Second))) > 0, qt.IsTrue)
}

func TestMessageErrors(t *testing.T) {
	d := domainOf([]fescuelatch.VMID{"vm-a", "vm-b"}, 1)
	for _, test := range []struct {
		name string
		give func(*ownership.Table) error
		kind ownership.ErrorKind
	}{
		{"heartbeat without sender", func(a *ownership.Table) error {
			_, err := a.ReceiveHeartbeat(epoch, ownership.Heartbeat{Incarnation: "b/1", Sequence: 1})
			return err
		}, ownership.KindInvalid},
		{"acknowledgement without sender", func(a *ownership.Table) error {
			return a.ReceiveAck(epoch, epoch, ownership.Ack{To: "vm-a/1"})
		}, ownership.KindInvalid},
		{"acknowledgement from an unknown VM", func(a *ownership.Table) error {
			return a.ReceiveAck(epoch, epoch, ownership.Ack{From: "vm-c", Incarnation: "c/1", To: "vm-a/1"})
		}, ownership.KindUnknown},
		{"acknowledgement to a former process", func(a *ownership.Table) error {
			return a.ReceiveAck(epoch, epoch, ownership.Ack{From: "vm-b", Incarnation: "b/1", To: "vm-a/0"})
		}, ownership.KindStale},
		{"valid", func(a *ownership.Table) error {
			return a.ReceiveAck(epoch, epoch, ownership.Ack{From: "vm-b", Incarnation: "b/1", To: "vm-a/1"})
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.give(newTable(t, "vm-a", d))
			var e *ownership.Error
			if errors.As(err, &e) {
				qt.Assert(t, e.Kind, qt.Equals, test.kind)
				return
			}
			qt.Assert(t, test.kind, qt.Equals, ownership.ErrorKind(""))
		})
	}
}

func TestSettings(t *testing.T) {
	for _, test := range []struct {
		name     string
		settings ownership.Settings
		ok       bool
	}{
		{"defaults", ownership.Settings{}, true},
		{"lease outlasts the promise", ownership.Settings{LeaseDuration: 3 * time.Second}, false},
		{"lease shorter than a heartbeat", ownership.Settings{LeaseDuration: 400 * time.Millisecond}, false},
		{"negative lag", ownership.Settings{ReportLag: -1}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.settings.Check() == nil, qt.Equals, test.ok)
		})
	}
}

// TestRankIsEven checks that endpoints are spread evenly over the members, and
// that a member that leaves moves only its own endpoints.
func TestRankIsEven(t *testing.T) {
	c := qt.New(t)
	const members, endpoints = 8, 167
	var vms []fescuelatch.VMID
	for i := range members {
		vms = append(vms, fescuelatch.VMID(fmt.Sprint("vm-", i)))
	}
	owners := func(vms []fescuelatch.VMID) map[fescuelatch.EndpointID]fescuelatch.VMID {
		d := domainOf(vms, endpoints)
		tables := make([]*ownership.Table, len(vms))
		for i, vm := range vms {
			tables[i] = newTable(t, vm, d)
		}
		runHeartbeats(0, 4*time.Second, tables...)
		m := make(map[fescuelatch.EndpointID]fescuelatch.VMID)
		for i, o := range tables {
			for _, e := range o.Owned(at(4 * time.Second)) {
				m[e.Endpoint.ID] = vms[i]
			}
		}
		return m
	}
	before, after := owners(vms), owners(vms[1:])
	c.Assert(before, qt.HasLen, endpoints)
	counts := make(map[fescuelatch.VMID]int)
	for e, vm := range before {
		counts[vm]++
		if vm != vms[0] {
			c.Check(after[e], qt.Equals, vm)
		}
	}
	for vm, n := range counts {
		c.Check(n <= 2*endpoints/members, qt.IsTrue, qt.Commentf("%s owns %d", vm, n))
	}
}

// BenchmarkOwnerOf measures the cost that ownership adds to each request.
func BenchmarkOwnerOf(b *testing.B) {
	o, now := benchmarkTable(b)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		o.OwnerOf(now, "endpoint-7")
	}
}

// BenchmarkReceived measures the cost of a heartbeat at a daemon.
func BenchmarkReceived(b *testing.B) {
	o, now := benchmarkTable(b)
	h := ownership.Heartbeat{From: "vm-1", Incarnation: "vm-1/1", Joined: true}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		h.Sequence++
		if _, err := o.ReceiveHeartbeat(now, h); err != nil {
			b.Fatal(err)
		}
	}
}

func benchmarkTable(b *testing.B) (*ownership.Table, time.Time) {
	var vms []fescuelatch.VMID
	for i := range 52 {
		vms = append(vms, fescuelatch.VMID(fmt.Sprint("vm-", i)))
	}
	return newTable(b, vms[0], domainOf(vms, 167)), epoch
}
