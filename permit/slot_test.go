package permit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/permit"
)

// This file simulates daemons that share the slots of an endpoint.

// slotDaemon is a daemon with requests at the endpoint.
type slotDaemon struct {
	vm      fescuelatch.VMID
	holder  permit.SlotHolder
	ends    []time.Time // of its requests at the endpoint
	waiting []time.Time // until when its queued requests wait
	reply   *permit.SlotReply
	replyAt time.Time
	cut     bool // it does not reach the allocator
}

// slotRun is one simulated endpoint.
type slotRun struct {
	random         *rand.Rand
	slots          int
	daemons        []*slotDaemon
	allocator      *permit.SlotAllocator
	most           int // most requests at the endpoint at a time
	served, missed int
}

// play sends requests at a rate per second, each of which runs for about work.
func (r *slotRun) play(from time.Time, during time.Duration, perSecond float64, work, delay time.Duration) time.Time {
	const step = 5 * time.Millisecond
	now := from
	for ; now.Before(from.Add(during)); now = now.Add(step) {
		if r.random.Float64() < perSecond*step.Seconds() {
			d := r.daemons[r.random.IntN(len(r.daemons))]
			d.waiting = append(d.waiting, now.Add(60*time.Millisecond))
		}
		total := 0
		for _, d := range r.daemons {
			r.step(now, d, work, delay)
			total += len(d.ends)
		}
		r.most = max(r.most, total)
	}
	return now
}

func (r *slotRun) step(now time.Time, d *slotDaemon, work, delay time.Duration) {
	kept := d.ends[:0]
	for _, end := range d.ends {
		if now.Before(end) {
			kept = append(kept, end)
		} else {
			d.holder.Emptied()
		}
	}
	d.ends = kept
	if d.reply != nil && !now.Before(d.replyAt) {
		d.holder.Granted(*d.reply, r.random.Float64())
		d.reply = nil
	}
	var waiting []time.Time
	for _, until := range d.waiting {
		switch {
		case d.holder.Left(now, len(d.ends)) > 0:
			d.ends = append(d.ends, now.Add(work/2+time.Duration(r.random.Float64()*float64(work))))
			d.holder.Filled(len(d.ends))
			r.served++
		case !now.Before(until):
			r.missed++
		default:
			if until.Sub(now) > 55*time.Millisecond {
				d.holder.Miss(now)
			}
			waiting = append(waiting, until)
		}
	}
	d.waiting = waiting
	q, ok := d.holder.Due(now, len(d.ends), r.slots)
	if !ok {
		return
	}
	if d.cut {
		d.holder.Failed(now)
		return
	}
	q.From, q.Process = d.vm, fescuelatch.EndpointProcess{Endpoint: "e"}
	reply := r.allocator.Allot(now, 0, q)
	d.reply, d.replyAt = &reply, now.Add(time.Duration(r.random.Float64()*float64(delay)))
}

func newSlotRun(seed uint64, daemons, slots int) *slotRun {
	r := &slotRun{random: rand.New(rand.NewPCG(seed, 9)), slots: slots, allocator: permit.NewSlotAllocator()}
	for n := range daemons {
		r.daemons = append(r.daemons, &slotDaemon{vm: fescuelatch.VMID(fmt.Sprintf("vm-%d", n))})
	}
	return r
}

// TestSlotsAreNotFilledTwice checks that the daemons together never have more requests at an
// endpoint than it has slots, whatever the load, and that most slots are used.
func TestSlotsAreNotFilledTwice(t *testing.T) {
	// minUsed is of the demand or of the slots, whichever is less.
	const minUsed = 0.4
	tests := []struct {
		daemons, slots int
		load           float64 // relative to the slots
		work           time.Duration
	}{
		{1, 8, 2, 200 * time.Millisecond},
		{6, 8, 0.4, 200 * time.Millisecond},
		{6, 8, 3, 200 * time.Millisecond},
		{8, 6, 3, 80 * time.Millisecond},
		{8, 64, 2, 2 * time.Second},
		{40, 6, 3, 200 * time.Millisecond},
		{200, 16, 3, time.Second},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d daemons, %d slots, load %v", test.daemons, test.slots, test.load), func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(5) {
				r := newSlotRun(seed, test.daemons, test.slots)
				perSecond := test.load * float64(test.slots) / test.work.Seconds()
				r.play(time.Unix(100, 0), 12*time.Second, perSecond, test.work, 20*time.Millisecond)
				c.Check(r.most <= test.slots, qt.IsTrue, qt.Commentf("seed %d: %d requests at once", seed, r.most))
				demand := min(float64(r.served+r.missed), float64(test.slots)/test.work.Seconds()*12)
				t.Logf("seed %d: %d served of %.0f, %d at once", seed, r.served, demand, r.most)
				c.Check(float64(r.served) >= minUsed*demand, qt.IsTrue, qt.Commentf("seed %d: %d served of %.0f", seed, r.served, demand))
			}
		})
	}
}

// TestSlotsOfLostDaemons checks that slots of daemons that no longer ask are granted to
// others, and that a daemon without an allocator stops to fill any.
func TestSlotsOfLostDaemons(t *testing.T) {
	c := qt.New(t)
	r := newSlotRun(3, 4, 8)
	now := r.play(time.Unix(100, 0), 4*time.Second, 80, 200*time.Millisecond, 10*time.Millisecond)
	r.daemons[0].cut, r.daemons[1].cut = true, true
	now = r.play(now, 8*time.Second, 80, 200*time.Millisecond, 10*time.Millisecond)
	c.Check(r.daemons[0].ends, qt.HasLen, 0)
	before := r.served
	r.play(now, 4*time.Second, 80, 200*time.Millisecond, 10*time.Millisecond)
	c.Check(r.served-before >= 90, qt.IsTrue, qt.Commentf("%d served by the others", r.served-before))
	c.Check(r.most <= 8, qt.IsTrue, qt.Commentf("%d requests at once", r.most))
}

// TestSlotsShrink checks that fewer slots are granted while requests wait at the endpoint or
// are turned away, and more again later.
func TestSlotsShrink(t *testing.T) {
	c := qt.New(t)
	a := permit.NewSlotAllocator()
	now := time.Unix(100, 0)
	ask := func(queued, rejected bool) int {
		now = now.Add(400 * time.Millisecond)
		return a.Allot(now, 0, permit.SlotRequest{
			From: "vm", Process: fescuelatch.EndpointProcess{Endpoint: "e"}, Slots: 20, Held: 15, Want: 20, Queued: queued, Rejected: rejected,
		}).Granted
	}
	ask(false, false)
	full := ask(false, false)
	c.Check(full, qt.Equals, 19)
	fewer := ask(true, false)
	c.Check(fewer < full, qt.IsTrue, qt.Commentf("%d", fewer))
	fewest := ask(true, true)
	c.Check(fewest < fewer-2, qt.IsTrue, qt.Commentf("%d after %d", fewest, fewer))
	for range 60 {
		ask(false, false)
	}
	c.Check(ask(false, false), qt.Equals, full)
	second := a.Allot(now, 1, permit.SlotRequest{From: "vm", Process: fescuelatch.EndpointProcess{Endpoint: "f"}, Slots: 20, Want: 20})
	c.Check(second.Granted <= 3, qt.IsTrue, qt.Commentf("%d by the second daemon of the order", second.Granted))
	third := a.Allot(now, 2, permit.SlotRequest{From: "vm", Process: fescuelatch.EndpointProcess{Endpoint: "g"}, Slots: 20, Want: 20})
	c.Check(third.Granted, qt.Equals, 0)
}

func TestSlotMessages(t *testing.T) {
	good := permit.SlotRequest{From: "vm", Process: fescuelatch.EndpointProcess{Endpoint: "e"}, Slots: 8, Want: 1}
	tests := []struct {
		name   string
		change func(*permit.SlotRequest)
		valid  bool
	}{
		{"valid", func(*permit.SlotRequest) {}, true},
		{"no daemon", func(q *permit.SlotRequest) { q.From = "" }, false},
		{"no endpoint", func(q *permit.SlotRequest) { q.Process.Endpoint = "" }, false},
		{"negative", func(q *permit.SlotRequest) { q.Held = -1 }, false},
		{"too many", func(q *permit.SlotRequest) { q.Want = 1 << 30 }, false},
	}
	for _, test := range tests {
		q := good
		test.change(&q)
		qt.Check(t, q.Check() == nil, qt.Equals, test.valid, qt.Commentf("%s", test.name))
	}
	qt.Check(t, (&permit.SlotReply{Granted: 2}).Check(), qt.IsNil)
	qt.Check(t, (&permit.SlotReply{Granted: -2}).Check(), qt.IsNotNil)
}
