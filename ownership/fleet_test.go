package ownership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/gate"
)

// This file defines a failure domain of tables and gates in simulated time,
// all of whose endpoints stay cold, with the
// faults that the property tests draw: lost and late messages, links that
// work one way only, pauses, kills, restarts, departures, and a lagging list
// of VMs.

const (
	simTick       = 20 * time.Millisecond
	simHopMax     = 120 * time.Millisecond // delay of a message, mostly
	simHopLate    = 4 * time.Second        // delay of a late message
	simPollEvery  = 200 * time.Millisecond // interval of load reports
	simReportMax  = 700 * time.Millisecond // lag of a load report
	simSendMax    = 300 * time.Millisecond // from dispatch to the endpoint
	simListLag    = 4 * time.Second
	simColdSlots  = 5
	simWorkMax    = 6 * time.Second
	simBlind      = time.Second
	simDemand     = 6 // a free slot is taken in one of so many ticks
	simEndpoints  = 4
	simVersion    = fescuelatch.VersionID("model@1")
	simMembersMax = 6
)

func simSettings() Settings {
	return Settings{
		ReportLag: simSendMax + simPollEvery + simReportMax + 2*simTick,
		GoneAfter: simListLag + simTick,
	}.withDefaults()
}

// fault is one step of a scenario: what happens, to whom, and how long the
// fleet runs on after it.
type fault struct {
	Kind int
	A, B int
	Run  time.Duration
}

const (
	faultNone = iota
	faultCut
	faultCutOneWay
	faultHeal
	faultPause
	faultResume
	faultKill
	faultStart
	faultLeave
	faultList
	faultKinds
)

// mutant is a fault of the protocol that the properties must reject.
type mutant struct {
	settings func(*Settings)
	// leaseFromReceipt counts a lease from the receipt of an Ack.
	leaseFromReceipt bool
	// wholeShare uses all cold slots whatever the share.
	wholeShare bool
	// alwaysJoined takes every promise as one to a daemon that has joined.
	alwaysJoined bool
	// blindResume dispatches for a while after a pause by what was owned
	// before it.
	blindResume bool
}

type daemon struct {
	vm     fescuelatch.VMID
	table  *Table
	offset time.Duration
	paused bool
	inbox  []message
	beat   time.Time
	poll   time.Time
	gate   *gate.Adaptive
	sent   int
	blind  time.Time // until then the gate is not told what is owned
}

type message struct {
	due      time.Time
	from, to int
	target   *daemon // the only process that takes it, or nil for any
	sender   *daemon // of a heartbeat
	beat     *Heartbeat
	ack      *Ack
	sent     time.Time // by the clock of the heartbeat's sender
	load     *fescuelatch.LoadReport
	done     *job
}

// job is an attempt that a daemon sent to an endpoint.
type job struct {
	attempt     fescuelatch.AttemptID
	arrive, end time.Time
	sender      *daemon
	at          int // index of the sender
}

// fleet is a failure domain.
type fleet struct {
	rand    *rand.Rand
	mutant  mutant
	set     Settings
	now     time.Time
	names   []fescuelatch.VMID
	domain  Domain
	daemons []*daemon // nil while the VM runs none
	births  int
	cut     [simMembersMax][simMembersMax]bool
	wire    []message
	jobs    map[fescuelatch.EndpointID][]job
	history []listing
	loss    bool // messages may be lost or late
}

// listing is the true list of VMs from a time on.
type listing struct {
	at   time.Time
	live []bool
}

func newFleet(seed uint64, members int, m mutant) *fleet {
	f := &fleet{
		rand:    rand.New(rand.NewPCG(seed, 1)),
		mutant:  m,
		set:     simSettings(),
		now:     time.Unix(1_000_000, 0),
		daemons: make([]*daemon, members),
		jobs:    make(map[fescuelatch.EndpointID][]job),
		loss:    true,
	}
	if m.settings != nil {
		m.settings(&f.set)
	}
	for i := range members {
		f.names = append(f.names, fescuelatch.VMID(fmt.Sprint("vm-", i)))
	}
	f.domain.Members = f.names
	for i := range simEndpoints {
		f.domain.Endpoints = append(f.domain.Endpoints, fescuelatch.OwnedEndpoint{
			Endpoint: fescuelatch.Endpoint{ID: fescuelatch.EndpointID(fmt.Sprint("endpoint-", i))},
			Pool:     fescuelatch.Pool{Versions: []fescuelatch.VersionID{simVersion}, Slots: 2 * simColdSlots, ColdSlots: simColdSlots},
		})
	}
	for i := range members {
		f.start(i)
	}
	return f
}

func (f *fleet) delay(most time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(most)))
}

func (f *fleet) start(i int) {
	f.births++
	d := &daemon{
		vm:     f.names[i],
		offset: f.delay(1000 * time.Hour),
		gate:   gate.NewAdaptive(gate.Settings{ReportLag: f.set.ReportLag}),
	}
	d.table = newTable(d.vm, fescuelatch.Incarnation(fmt.Sprint(d.vm, "/", f.births)), f.set, f.clock(d))
	d.table.Configure(f.clock(d), f.domain)
	f.daemons[i] = d
	f.list()
}

func (f *fleet) kill(i int) {
	f.daemons[i] = nil
	f.list()
}

// list records the true list of VMs.
func (f *fleet) list() {
	l := listing{at: f.now}
	for _, d := range f.daemons {
		l.live = append(l.live, d != nil)
	}
	f.history = append(f.history, l)
}

// listed returns the list of VMs as it was at a time.
func (f *fleet) listed(at time.Time) []bool {
	for _, l := range slices.Backward(f.history) {
		if !l.at.After(at) {
			return l.live
		}
	}
	return nil
}

// clock returns the time by the clock of d.
func (f *fleet) clock(d *daemon) time.Time { return f.now.Add(d.offset) }

// inject makes one fault happen.
func (f *fleet) inject(x fault) {
	n := len(f.daemons)
	a, b := x.A%n, x.B%n
	d := f.daemons[a]
	switch x.Kind {
	case faultCut:
		f.cut[a][b], f.cut[b][a] = true, true
	case faultCutOneWay:
		f.cut[a][b] = true
	case faultHeal:
		f.cut = [simMembersMax][simMembersMax]bool{}
	case faultPause:
		if d != nil {
			d.paused = true
		}
	case faultResume:
		f.resume(a)
	case faultKill:
		f.kill(a)
	case faultStart:
		if d == nil {
			f.start(a)
		}
	case faultLeave:
		if d != nil && !d.paused {
			d.table.Leave(f.clock(d))
		}
	case faultList:
		f.readList(a)
	}
}

func (f *fleet) resume(i int) {
	d := f.daemons[i]
	if d == nil || !d.paused {
		return
	}
	d.paused = false
	if f.mutant.blindResume {
		d.blind = f.now.Add(simBlind)
	}
	if f.rand.IntN(2) == 0 {
		f.dispatch(i)
	}
	for _, m := range d.inbox {
		f.deliver(m)
	}
	d.inbox = nil
}

// readList gives a daemon the VM list with a lag.
func (f *fleet) readList(i int) {
	d := f.daemons[i]
	if d == nil || d.paused {
		return
	}
	var vms []fescuelatch.VMID
	for j, live := range f.listed(f.now.Add(-f.delay(simListLag))) {
		if live {
			vms = append(vms, f.names[j])
		}
	}
	d.table.Listed(f.clock(d), f.clock(d), vms)
}

// run lets time pass and reports the first broken invariant.
func (f *fleet) run(span time.Duration) error {
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(simTick)
		f.deliverDue()
		for i, d := range f.daemons {
			if d != nil && !d.paused {
				f.step(i)
			}
		}
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) deliverDue() {
	due := f.wire
	f.wire = nil
	for _, m := range due {
		if f.now.Before(m.due) {
			f.wire = append(f.wire, m)
		} else {
			f.deliver(m)
		}
	}
}

// deliver hands a message to its process, or keeps it while that is paused.
func (f *fleet) deliver(m message) {
	d := f.daemons[m.to]
	if d == nil || (m.target != nil && m.target != d) {
		return
	}
	if d.paused {
		d.inbox = append(d.inbox, m)
		return
	}
	now := f.clock(d)
	switch {
	case m.beat != nil:
		f.receive(d, m)
	case m.ack != nil:
		sent := m.sent
		if f.mutant.leaseFromReceipt {
			sent = now
		}
		m.ack.Joined = m.ack.Joined || f.mutant.alwaysJoined
		_ = d.table.Acknowledged(now, sent, *m.ack)
	case m.load != nil:
		d.gate.Report(now, *m.load)
	default:
		d.gate.End(now, fescuelatch.AttemptResult{Attempt: m.done.attempt, Status: fescuelatch.AttemptAnswered})
	}
}

func (f *fleet) receive(d *daemon, m message) {
	a, err := d.table.Received(f.clock(d), *m.beat)
	if err == nil {
		f.send(message{from: m.to, to: m.from, target: m.sender, ack: &a, sent: m.sent})
	}
}

// send puts a message between daemons on the wire, unless it is lost.
func (f *fleet) send(m message) {
	if f.cut[m.from][m.to] || f.loss && f.rand.IntN(20) == 0 {
		return
	}
	m.due = f.now.Add(f.delay(simHopMax))
	if f.loss && f.rand.IntN(10) == 0 {
		m.due = f.now.Add(f.delay(simHopLate))
	}
	f.wire = append(f.wire, m)
}

// step lets one daemon act on its timers.
func (f *fleet) step(i int) {
	d := f.daemons[i]
	now := f.clock(d)
	if !now.Before(d.beat) {
		d.beat = now.Add(f.set.HeartbeatEvery)
		h := d.table.Heartbeat(now)
		for j := range f.daemons {
			if j != i {
				f.send(message{from: i, to: j, sender: d, beat: &h, sent: now})
			}
		}
	}
	if !now.Before(d.poll) {
		d.poll = now.Add(simPollEvery)
		for _, e := range f.domain.Endpoints {
			f.report(i, e.Endpoint.ID)
		}
	}
	f.dispatch(i)
}

// report reads the load of an endpoint, which reaches the daemon later.
func (f *fleet) report(i int, e fescuelatch.EndpointID) {
	r := fescuelatch.LoadReport{
		Endpoint:    e,
		Incarnation: "engine",
		State:       fescuelatch.EndpointCold,
		Running:     f.running(e),
		Generated:   f.now,
	}
	f.wire = append(f.wire, message{
		due: f.now.Add(f.delay(simReportMax)), to: i, target: f.daemons[i], load: &r,
	})
}

// running counts the work that has arrived at an endpoint.
func (f *fleet) running(e fescuelatch.EndpointID) int {
	n := 0
	for _, j := range f.jobs[e] {
		if !f.now.Before(j.arrive) {
			n++
		}
	}
	return n
}

// dispatch lets clients offer work to a daemon.
func (f *fleet) dispatch(i int) {
	d := f.daemons[i]
	now := f.clock(d)
	if !f.now.Before(d.blind) {
		d.gate.Own(now, f.owned(d))
	}
	for _, e := range f.domain.Endpoints {
		if f.rand.IntN(simDemand) == 0 {
			f.offer(i, e.Endpoint.ID)
		}
	}
}

// owned returns what the gate of d is told that it owns.
func (f *fleet) owned(d *daemon) []fescuelatch.OwnedEndpoint {
	os := d.table.Owned(f.clock(d))
	for i := range os {
		if f.mutant.wholeShare {
			os[i].Share = 1
		}
	}
	return os
}

// offer starts one attempt if the gate admits it at once.
func (f *fleet) offer(i int, e fescuelatch.EndpointID) {
	d := f.daemons[i]
	d.sent++
	id := fescuelatch.AttemptID(fmt.Sprint(d.sent))
	a := d.gate.Offer(f.clock(d), fescuelatch.Work{
		Attempt:  id,
		Request:  &fescuelatch.Request{ID: fescuelatch.RequestID(id), Account: "account"},
		Version:  simVersion,
		Endpoint: e,
	})
	if a.Verdict != fescuelatch.AdmissionStart {
		d.gate.End(f.clock(d), fescuelatch.AttemptResult{Attempt: id, Status: fescuelatch.AttemptCancelled})
		return
	}
	arrive := f.now.Add(f.delay(simSendMax))
	j := job{attempt: id, arrive: arrive, end: arrive.Add(f.delay(simWorkMax)), sender: d, at: i}
	f.jobs[e] = append(f.jobs[e], j)
}

func usable(o fescuelatch.OwnedEndpoint) int {
	return int(math.Floor(o.Share * float64(o.Pool.ColdSlots)))
}

// check ends work that is done and reports a broken invariant.
func (f *fleet) check() error {
	for _, e := range f.domain.Endpoints {
		id := e.Endpoint.ID
		f.jobs[id] = slices.DeleteFunc(f.jobs[id], func(j job) bool {
			if f.now.Before(j.end) {
				return false
			}
			f.wire = append(f.wire, message{due: f.now, to: j.at, target: j.sender, done: &j})
			return true
		})
		if n := f.running(id); n > simColdSlots {
			return errors.Errorf("%s runs %d, cold slots are %d", id, n, simColdSlots)
		}
	}
	sums := make(map[fescuelatch.EndpointID]int)
	for _, d := range f.daemons {
		if d == nil || d.paused {
			continue
		}
		for _, o := range f.owned(d) {
			if !f.clock(d).Before(o.After) {
				sums[o.Endpoint.ID] += usable(o)
			}
		}
	}
	for id, n := range sums {
		if n > simColdSlots {
			return errors.Errorf("shares of %s allow %d, cold slots are %d", id, n, simColdSlots)
		}
	}
	return nil
}
