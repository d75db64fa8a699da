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

// This file simulates a failure domain of tables and gates, all of whose
// endpoints stay cold, with the faults that the property tests draw: lost and
// late messages, one-way links, pauses, kills, restarts, departures, and a
// lagging list of VMs.

const (
	simTick               = 20 * time.Millisecond
	simMaxDelay           = 120 * time.Millisecond // delay of most messages
	simMaxLateDelay       = 4 * time.Second        // delay of a late message
	simPollInterval       = 200 * time.Millisecond // interval of load reports
	simMaxReportLag       = 700 * time.Millisecond // lag of a load report
	simMaxSendDelay       = 300 * time.Millisecond // from dispatch to the endpoint
	simMaxListLag         = 4 * time.Second
	simColdSlots          = 5
	simMaxWorkTime        = 6 * time.Second
	simStaleOwnershipTime = time.Second
	simOfferOdds          = 6 // work is offered in one of this many ticks
	simEndpoints          = 4
	simVersion            = fescuelatch.VersionID("model@1")
	simMaxMembers         = 6
)

func simSettings() Settings {
	return Settings{
		ReportLag:  simMaxSendDelay + simPollInterval + simMaxReportLag + 2*simTick,
		MaxListLag: simMaxListLag + simTick,
	}.withDefaults()
}

// fault is one step of a scenario: what happens, to which daemons, and how
// long the simulation runs afterwards.
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
	faultKindCount
)

// mutant is a defect of the protocol that the property checks must detect.
type mutant struct {
	settings func(*Settings)
	// leaseFromReceipt counts a lease from the receipt of an Ack.
	leaseFromReceipt bool
	// fullShare uses all cold slots whatever the share.
	fullShare bool
	// alwaysJoined treats every promise as made to a daemon that has joined.
	alwaysJoined bool
	// staleResume dispatches for simStaleOwnershipTime after a pause with the
	// ownership from before the pause.
	staleResume bool
}

type daemon struct {
	vm            fescuelatch.VMID
	table         *Table
	clockOffset   time.Duration
	paused        bool
	inbox         []message
	nextHeartbeat time.Time
	nextPoll      time.Time
	gate          *gate.Adaptive
	offers        int
	staleUntil    time.Time // until then the gate keeps outdated ownership
}

type message struct {
	due       time.Time
	from, to  int
	target    *daemon // the only process that receives it, or nil for any
	sender    *daemon // of a heartbeat
	heartbeat *Heartbeat
	ack       *Ack
	sent      time.Time // by the clock of the heartbeat's sender
	load      *fescuelatch.LoadReport
	finished  *job
}

// job is an attempt that a daemon sent to an endpoint.
type job struct {
	attempt     fescuelatch.AttemptID
	arrive, end time.Time
	sender      *daemon
	senderIndex int
}

// simulation is a simulated failure domain.
type simulation struct {
	rand     *rand.Rand
	mutant   mutant
	settings Settings
	now      time.Time
	vms      []fescuelatch.VMID
	domain   Domain
	daemons  []*daemon // nil while the VM runs no daemon
	starts   int
	cut      [simMaxMembers][simMaxMembers]bool
	inFlight []message
	jobs     map[fescuelatch.EndpointID][]job
	listings []listing
	lossy    bool // messages may be lost or late
}

// listing is the actual list of VMs from a time on.
type listing struct {
	at   time.Time
	live []bool
}

func newSimulation(seed uint64, members int, m mutant) *simulation {
	s := &simulation{
		rand:     rand.New(rand.NewPCG(seed, 1)),
		mutant:   m,
		settings: simSettings(),
		now:      time.Unix(1_000_000, 0),
		daemons:  make([]*daemon, members),
		jobs:     make(map[fescuelatch.EndpointID][]job),
		lossy:    true,
	}
	if m.settings != nil {
		m.settings(&s.settings)
	}
	for i := range members {
		s.vms = append(s.vms, fescuelatch.VMID(fmt.Sprint("vm-", i)))
	}
	s.domain.Members = s.vms
	for i := range simEndpoints {
		s.domain.Endpoints = append(s.domain.Endpoints, fescuelatch.OwnedEndpoint{
			Endpoint: fescuelatch.Endpoint{ID: fescuelatch.EndpointID(fmt.Sprint("endpoint-", i))},
			Pool:     fescuelatch.Pool{Versions: []fescuelatch.VersionID{simVersion}, Slots: 2 * simColdSlots, ColdSlots: simColdSlots},
		})
	}
	for i := range members {
		s.start(i)
	}
	return s
}

func (s *simulation) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(limit)))
}

func (s *simulation) start(i int) {
	s.starts++
	d := &daemon{
		vm:          s.vms[i],
		clockOffset: s.randomDelay(1000 * time.Hour),
		gate:        gate.NewAdaptive(gate.Settings{ReportLag: s.settings.ReportLag}),
	}
	d.table = newTable(d.vm, fescuelatch.Incarnation(fmt.Sprint(d.vm, "/", s.starts)), s.settings, s.clock(d))
	d.table.Configure(s.clock(d), s.domain)
	s.daemons[i] = d
	s.recordListing()
}

func (s *simulation) kill(i int) {
	s.daemons[i] = nil
	s.recordListing()
}

// recordListing records the actual list of VMs.
func (s *simulation) recordListing() {
	l := listing{at: s.now}
	for _, d := range s.daemons {
		l.live = append(l.live, d != nil)
	}
	s.listings = append(s.listings, l)
}

// listingAt returns the list of VMs as it was at a time.
func (s *simulation) listingAt(at time.Time) []bool {
	for _, l := range slices.Backward(s.listings) {
		if !l.at.After(at) {
			return l.live
		}
	}
	return nil
}

// clock returns the time by the clock of d.
func (s *simulation) clock(d *daemon) time.Time { return s.now.Add(d.clockOffset) }

// inject applies one fault.
func (s *simulation) inject(x fault) {
	n := len(s.daemons)
	a, b := x.A%n, x.B%n
	d := s.daemons[a]
	switch x.Kind {
	case faultCut:
		s.cut[a][b], s.cut[b][a] = true, true
	case faultCutOneWay:
		s.cut[a][b] = true
	case faultHeal:
		s.cut = [simMaxMembers][simMaxMembers]bool{}
	case faultPause:
		if d != nil {
			d.paused = true
		}
	case faultResume:
		s.resume(a)
	case faultKill:
		s.kill(a)
	case faultStart:
		if d == nil {
			s.start(a)
		}
	case faultLeave:
		if d != nil && !d.paused {
			d.table.Leave(s.clock(d))
		}
	case faultList:
		s.readList(a)
	}
}

func (s *simulation) resume(i int) {
	d := s.daemons[i]
	if d == nil || !d.paused {
		return
	}
	d.paused = false
	if s.mutant.staleResume {
		d.staleUntil = s.now.Add(simStaleOwnershipTime)
	}
	if s.rand.IntN(2) == 0 {
		s.dispatch(i)
	}
	for _, m := range d.inbox {
		s.deliver(m)
	}
	d.inbox = nil
}

// readList passes an outdated list of VMs to a daemon.
func (s *simulation) readList(i int) {
	d := s.daemons[i]
	if d == nil || d.paused {
		return
	}
	var vms []fescuelatch.VMID
	for j, live := range s.listingAt(s.now.Add(-s.randomDelay(simMaxListLag))) {
		if live {
			vms = append(vms, s.vms[j])
		}
	}
	d.table.ReceiveVMList(s.clock(d), s.clock(d), vms)
}

// run advances time by span and reports the first broken invariant.
func (s *simulation) run(span time.Duration) error {
	for end := s.now.Add(span); s.now.Before(end); {
		s.now = s.now.Add(simTick)
		s.deliverDue()
		for i, d := range s.daemons {
			if d != nil && !d.paused {
				s.step(i)
			}
		}
		if err := s.checkInvariants(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) deliverDue() {
	due := s.inFlight
	s.inFlight = nil
	for _, m := range due {
		if s.now.Before(m.due) {
			s.inFlight = append(s.inFlight, m)
		} else {
			s.deliver(m)
		}
	}
}

// deliver passes a message to its process, or queues it during a pause.
func (s *simulation) deliver(m message) {
	d := s.daemons[m.to]
	if d == nil || (m.target != nil && m.target != d) {
		return
	}
	if d.paused {
		d.inbox = append(d.inbox, m)
		return
	}
	now := s.clock(d)
	switch {
	case m.heartbeat != nil:
		s.receive(d, m)
	case m.ack != nil:
		sent := m.sent
		if s.mutant.leaseFromReceipt {
			sent = now
		}
		m.ack.Joined = m.ack.Joined || s.mutant.alwaysJoined
		_ = d.table.ReceiveAck(now, sent, *m.ack)
	case m.load != nil:
		d.gate.Report(now, *m.load)
	default:
		d.gate.End(now, fescuelatch.AttemptResult{Attempt: m.finished.attempt, Status: fescuelatch.AttemptAnswered})
	}
}

func (s *simulation) receive(d *daemon, m message) {
	a, err := d.table.ReceiveHeartbeat(s.clock(d), *m.heartbeat)
	if err == nil {
		s.send(message{from: m.to, to: m.from, target: m.sender, ack: &a, sent: m.sent})
	}
}

// send schedules the delivery of a message between daemons, unless it is lost.
func (s *simulation) send(m message) {
	if s.cut[m.from][m.to] || s.lossy && s.rand.IntN(20) == 0 {
		return
	}
	m.due = s.now.Add(s.randomDelay(simMaxDelay))
	if s.lossy && s.rand.IntN(10) == 0 {
		m.due = s.now.Add(s.randomDelay(simMaxLateDelay))
	}
	s.inFlight = append(s.inFlight, m)
}

// step runs the due timers of one daemon.
func (s *simulation) step(i int) {
	d := s.daemons[i]
	now := s.clock(d)
	if !now.Before(d.nextHeartbeat) {
		d.nextHeartbeat = now.Add(s.settings.HeartbeatInterval)
		h := d.table.Heartbeat(now)
		for j := range s.daemons {
			if j != i {
				s.send(message{from: i, to: j, sender: d, heartbeat: &h, sent: now})
			}
		}
	}
	if !now.Before(d.nextPoll) {
		d.nextPoll = now.Add(simPollInterval)
		for _, e := range s.domain.Endpoints {
			s.report(i, e.Endpoint.ID)
		}
	}
	s.dispatch(i)
}

// report schedules the delivery of a load report of an endpoint.
func (s *simulation) report(i int, e fescuelatch.EndpointID) {
	r := fescuelatch.LoadReport{
		Endpoint:    e,
		Incarnation: "engine",
		State:       fescuelatch.EndpointCold,
		Running:     s.running(e),
		Generated:   s.now,
	}
	s.inFlight = append(s.inFlight, message{
		due: s.now.Add(s.randomDelay(simMaxReportLag)), to: i, target: s.daemons[i], load: &r,
	})
}

// running counts the jobs that have arrived at an endpoint.
func (s *simulation) running(e fescuelatch.EndpointID) int {
	n := 0
	for _, j := range s.jobs[e] {
		if !s.now.Before(j.arrive) {
			n++
		}
	}
	return n
}

// dispatch updates the gate and offers work to a daemon at random.
func (s *simulation) dispatch(i int) {
	d := s.daemons[i]
	now := s.clock(d)
	if !s.now.Before(d.staleUntil) {
		d.gate.SetOwned(now, s.owned(d))
	}
	for _, e := range s.domain.Endpoints {
		if s.rand.IntN(simOfferOdds) == 0 {
			s.offer(i, e.Endpoint.ID)
		}
	}
}

// owned returns the endpoints that are passed to the gate of d.
func (s *simulation) owned(d *daemon) []fescuelatch.OwnedEndpoint {
	os := d.table.Owned(s.clock(d))
	for i := range os {
		if s.mutant.fullShare {
			os[i].Share = 1
		}
	}
	return os
}

// offer starts one attempt if the gate admits it at once.
func (s *simulation) offer(i int, e fescuelatch.EndpointID) {
	d := s.daemons[i]
	d.offers++
	id := fescuelatch.AttemptID(fmt.Sprint(d.offers))
	a := d.gate.Offer(s.clock(d), fescuelatch.Work{
		Attempt:  id,
		Request:  &fescuelatch.Request{ID: fescuelatch.RequestID(id), Account: "account"},
		Version:  simVersion,
		Endpoint: e,
	})
	if a.Verdict != fescuelatch.AdmissionStart {
		d.gate.End(s.clock(d), fescuelatch.AttemptResult{Attempt: id, Status: fescuelatch.AttemptCancelled})
		return
	}
	arrive := s.now.Add(s.randomDelay(simMaxSendDelay))
	j := job{attempt: id, arrive: arrive, end: arrive.Add(s.randomDelay(simMaxWorkTime)), sender: d, senderIndex: i}
	s.jobs[e] = append(s.jobs[e], j)
}

func usableSlots(o fescuelatch.OwnedEndpoint) int {
	return int(math.Floor(o.Share * float64(o.Pool.ColdSlots)))
}

// checkInvariants ends completed jobs and reports a broken invariant.
func (s *simulation) checkInvariants() error {
	for _, e := range s.domain.Endpoints {
		id := e.Endpoint.ID
		s.jobs[id] = slices.DeleteFunc(s.jobs[id], func(j job) bool {
			if s.now.Before(j.end) {
				return false
			}
			s.inFlight = append(s.inFlight, message{due: s.now, to: j.senderIndex, target: j.sender, finished: &j})
			return true
		})
		if n := s.running(id); n > simColdSlots {
			return errors.Errorf("%s runs %d, cold slots are %d", id, n, simColdSlots)
		}
	}
	sums := make(map[fescuelatch.EndpointID]int)
	for _, d := range s.daemons {
		if d == nil || d.paused {
			continue
		}
		for _, o := range s.owned(d) {
			if !s.clock(d).Before(o.After) {
				sums[o.Endpoint.ID] += usableSlots(o)
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
