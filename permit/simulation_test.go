package permit_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/permit"
)

// This file simulates fleets that share the limit of one endpoint, and checks what the
// endpoint gets.

const (
	step   = 10 * time.Millisecond
	window = 4 * time.Second
	// patience is how long a request waits for a permit.
	patience  = 120 * time.Millisecond
	startTime = time.Second // time between a daemon's death and its next start
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// daemon is one daemon of a simulated fleet.
type daemon struct {
	vm        fescuelatch.VMID
	holder    *permit.Holder
	allocator *permit.Allocator
	demand    float64 // requests per second that would go to the endpoint
	downUntil time.Time
	// waiting are the ends of the waits of requests that lack a permit.
	waiting []time.Time
	// replies are on their way to this daemon.
	replies []pendingReply
	// unreachable are the daemons that do not answer this one.
	unreachable map[fescuelatch.VMID]bool
	// members are those that this daemon knows.
	members map[fescuelatch.VMID]fescuelatch.DomainID
}

func (d *daemon) order() permit.Order {
	return permit.OrderOf("limited", "domain-0", d.vm, maps.All(d.members))
}

type pendingReply struct {
	at, asked time.Time
	reply     *permit.Reply
}

// fleet is a simulated fleet with one limited endpoint.
type fleet struct {
	random   *rand.Rand
	members  map[fescuelatch.VMID]fescuelatch.DomainID
	daemons  []*daemon
	byVM     map[fescuelatch.VMID]*daemon
	now      time.Time
	limit    fescuelatch.RateLimit
	arrivals []time.Time
	requests int // messages for permits
}

func newFleet(seed uint64, daemons int, perSecond float64, demand func(i int) float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 9)), byVM: make(map[fescuelatch.VMID]*daemon), now: epoch,
		limit: fescuelatch.RateLimit{Limited: true, PerSecond: perSecond},
	}
	members := make(map[fescuelatch.VMID]fescuelatch.DomainID)
	for i := range daemons {
		d := &daemon{
			vm: fescuelatch.VMID(fmt.Sprintf("vm-%d", i)), holder: permit.NewHolder(), allocator: permit.NewAllocator(),
			demand: demand(i), unreachable: make(map[fescuelatch.VMID]bool), members: members,
		}
		members[d.vm] = fescuelatch.DomainID(fmt.Sprintf("domain-%d", i%3))
		f.daemons = append(f.daemons, d)
		f.byVM[d.vm] = d
	}
	f.members = members
	return f
}

// kill ends a daemon, which starts again without memory.
func (f *fleet) kill(d *daemon) {
	d.downUntil = f.now.Add(startTime)
	d.holder, d.allocator, d.replies = permit.NewHolder(), permit.NewAllocator(), nil
}

// run plays the fleet for a time.
func (f *fleet) run(during time.Duration) {
	for end := f.now.Add(during); f.now.Before(end); f.now = f.now.Add(step) {
		for _, d := range f.daemons {
			if f.now.Before(d.downUntil) {
				continue
			}
			f.receive(d)
			f.send(d)
			f.ask(d)
		}
	}
}

// send makes the requests of one step.
func (f *fleet) send(d *daemon) {
	for len(d.waiting) > 0 && d.holder.Permits(f.now) > 0 {
		if f.now.Before(d.waiting[0]) {
			f.start(d)
		}
		d.waiting = d.waiting[1:]
	}
	for n := d.demand * step.Seconds(); n > 0; n-- {
		switch {
		case f.random.Float64() >= n:
		case !d.holder.Limit().Limited || d.holder.Permits(f.now) > 0:
			f.start(d)
		default:
			if d.holder.Lacks(f.now) {
				d.holder.Miss(f.now)
			}
			d.waiting = append(d.waiting, f.now.Add(patience))
		}
	}
}

// start sends a request. The endpoint states its limit in the answer.
func (f *fleet) start(d *daemon) {
	if d.holder.Limit().Limited {
		d.holder.Use(f.now)
		f.arrivals = append(f.arrivals, f.now)
	}
	d.holder.Observe(f.now, fescuelatch.LimitStatement{Limit: f.limit, At: f.now})
}

// ask sends a request for permits to the first allocator that can be reached.
func (f *fleet) ask(d *daemon) {
	q, ok := d.holder.Due(f.now)
	if !ok {
		return
	}
	f.requests++
	q.From, q.Process.Endpoint = d.vm, "limited"
	order := d.order()
	mayHold := order.MayHold(q.Limit)
	if !mayHold {
		q.Want = 0
	}
	for _, vm := range order.Allocators {
		other := f.byVM[vm]
		if f.now.Before(other.downUntil) || d.unreachable[vm] {
			continue
		}
		reply := other.allocator.Allot(f.now, other.order().Position, q)
		if !mayHold {
			reply.RetryAfter = order.PollInterval()
		}
		delay := 5*time.Millisecond + time.Duration(f.random.IntN(20))*time.Millisecond
		d.replies = append(d.replies, pendingReply{f.now.Add(delay), f.now, &reply})
		return
	}
	d.replies = append(d.replies, pendingReply{f.now.Add(200 * time.Millisecond), f.now, nil})
}

func (f *fleet) receive(d *daemon) {
	var later []pendingReply
	for _, r := range d.replies {
		switch {
		case r.at.After(f.now):
			later = append(later, r)
		case r.reply == nil:
			d.holder.Failed(f.now)
		default:
			d.holder.Granted(f.now, r.asked, *r.reply, f.random.Float64())
		}
	}
	d.replies = later
}

// busiestWindow returns the most arrivals in any window.
func (f *fleet) busiestWindow() int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed is the users' bound on the requests in a window.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds()) + 5 }

// TestSharedLimit checks that a fleet keeps a limit and uses most of it, however many
// daemons there are and however unevenly the requests are spread.
func TestSharedLimit(t *testing.T) {
	const during = 40 * time.Second
	// minUsed leaves room for the part of the limit that the second allocator may
	// hand out, and for permits lost at daemons with few requests.
	const minUsed = 0.65
	for _, daemons := range []int{1, 6, 8, 82, 195} {
		for _, perSecond := range []float64{0.3, 1, 4, 30, 100, 300} {
			for _, uneven := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d daemons, %v a second, uneven %t", daemons, perSecond, uneven), func(t *testing.T) {
					t.Parallel()
					mean := max(1.5*perSecond/float64(daemons), 5)
					f := newFleet(1, daemons, perSecond, func(i int) float64 {
						if uneven && daemons > 1 {
							return 2 * mean * float64(i) / float64(daemons-1)
						}
						return mean
					})
					f.run(during)
					f.check(t, minUsed)
				})
			}
		}
	}
	t.Run("1100 daemons", func(t *testing.T) {
		t.Parallel()
		f := newFleet(1, 1100, 10, func(int) float64 { return 24 })
		f.run(during / 2)
		f.check(t, minUsed)
	})
}

// check checks the arrivals so far.
func (f *fleet) check(t *testing.T, minUsed float64) {
	t.Helper()
	c := qt.New(t)
	perSecond, during := f.limit.PerSecond, f.now.Sub(epoch).Seconds()
	c.Check(f.busiestWindow() <= allowed(perSecond), qt.IsTrue, qt.Commentf("%d requests in %s, allowed %d", f.busiestWindow(), window, allowed(perSecond)))
	used := float64(len(f.arrivals)) / perSecond / during
	c.Check(used >= minUsed, qt.IsTrue, qt.Commentf("%.2f of the limit was used", used))
	t.Logf("%d daemons, %v a second: %.2f of the limit used, %.1f messages a second, at most %d of %d in a window", len(f.daemons), perSecond, used, float64(f.requests)/during, f.busiestWindow(), allowed(perSecond))
}

// TestSharedLimitUnderFaults checks that a fleet keeps a limit while allocators and
// holders die, cannot be reached by some, or are ordered differently for a moment.
func TestSharedLimitUnderFaults(t *testing.T) {
	const (
		during   = 60 * time.Second
		interval = 1500 * time.Millisecond
	)
	faults := []struct {
		name    string
		minUsed float64
		strike  func(f *fleet, n int)
	}{
		{"the allocator dies", 0.1, func(f *fleet, _ int) { f.kill(f.allocator()) }},
		{"any daemon dies", 0.4, func(f *fleet, _ int) { f.kill(f.daemons[f.random.IntN(len(f.daemons))]) }},
		{"half cannot reach the allocator", 0.4, func(f *fleet, n int) {
			for i, d := range f.daemons {
				if n == 0 && i%2 == 0 {
					d.unreachable[f.allocator().vm] = true
				}
			}
		}},
		{"half know the next allocator later", 0.4, func(f *fleet, n int) {
			if n%4 == 0 {
				f.setMembers(func(i int) bool { return i%2 == 0 }, f.allocator().vm)
			} else {
				f.setMembers(func(int) bool { return true }, "")
			}
		}},
	}
	for _, test := range faults {
		for _, perSecond := range []float64{0.3, 1, 10, 100} {
			t.Run(fmt.Sprintf("%s, %v a second", test.name, perSecond), func(t *testing.T) {
				t.Parallel()
				f := newFleet(2, 8, perSecond, func(int) float64 { return max(5, perSecond/4) })
				for n := 0; f.now.Sub(epoch) < during; n++ {
					f.run(interval)
					test.strike(f, n)
				}
				f.check(t, test.minUsed)
			})
		}
	}
}

// allocator returns the first daemon of the order of all.
func (f *fleet) allocator() *daemon {
	return f.byVM[permit.OrderOf("limited", "domain-0", "", maps.All(f.members)).Allocators[0]]
}

// setMembers sets the members that some daemons know: all but one.
func (f *fleet) setMembers(knows func(i int) bool, but fescuelatch.VMID) {
	for i, d := range f.daemons {
		if knows(i) {
			d.members = maps.Clone(f.members)
			delete(d.members, but)
		}
	}
}

// TestLimitEnds checks that all daemons hear of the end of a limit, also those that get
// no permits.
func TestLimitEnds(t *testing.T) {
	tests := []struct {
		daemons int
		within  time.Duration
	}{
		{8, 4 * time.Second},
		{195, 6 * time.Second},
		{1100, 30 * time.Second},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.daemons), func(t *testing.T) {
			f := newFleet(3, test.daemons, 1, func(int) float64 { return 5 })
			f.run(10 * time.Second)
			f.limit = fescuelatch.RateLimit{}
			f.run(test.within)
			limited := 0
			for _, d := range f.daemons {
				if d.holder.Limit().Limited {
					limited++
				}
			}
			qt.Check(t, limited, qt.Equals, 0)
		})
	}
}

// TestLimitLowered checks that permits of the higher rate are no longer used soon after
// a limit has been lowered.
func TestLimitLowered(t *testing.T) {
	f := newFleet(4, 8, 100, func(int) float64 { return 15 })
	f.run(10 * time.Second)
	f.limit.PerSecond = 1
	f.run(2 * time.Second)
	f.arrivals = nil
	f.run(20 * time.Second)
	qt.Check(t, f.busiestWindow() <= allowed(1), qt.IsTrue, qt.Commentf("%d requests in %s", f.busiestWindow(), window))
}
