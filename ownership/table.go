package ownership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"fescuelatch"
)

// This file defines Table, the state of ownership at one daemon, and its
// inputs.

// Domain is the part of a configuration that ownership depends on.
type Domain struct {
	// Members are the entry VMs of the failure domain that are not out.
	Members []fescuelatch.VMID
	// Endpoints are those of the failure domain. Share and After are unused.
	Endpoints []fescuelatch.OwnedEndpoint
}

// DomainOf returns the part of v that concerns failure domain d.
func DomainOf(v *fescuelatch.View, d fescuelatch.DomainID) Domain {
	var o Domain
	for _, m := range v.VMsIn(d) {
		if !v.VMOut(m.ID) {
			o.Members = append(o.Members, m.ID)
		}
	}
	for _, e := range v.EndpointsIn(d) {
		p, _ := v.Pool(e.Pool)
		o.Endpoints = append(o.Endpoints, fescuelatch.OwnedEndpoint{Endpoint: e, Pool: p, Out: v.EndpointOut(e)})
	}
	return o
}

// Table is the state of ownership at one daemon. Use New.
type Table struct {
	self        fescuelatch.VMID
	process     fescuelatch.Incarnation
	incarnation fescuelatch.Incarnation // of process, or a renewal of it
	renewals    int
	settings    Settings
	sequence    uint64

	// started is when this daemon last began to join.
	started time.Time
	// joined reports that every other member has acknowledged a heartbeat
	// sent since started, or is gone or leaving.
	joined bool
	// readyAt is when a daemon that has joined claims without the promises
	// of all members that are alive.
	readyAt time.Time
	// listed reports that the configuration lists this VM.
	listed  bool
	leaving bool
	// replaced is when a member took another process for this VM's latest,
	// or zero.
	replaced time.Time

	me      *member
	members map[fescuelatch.VMID]*member
	sorted  []*member // the other members, by VM
	claims  []*claim  // by endpoint
	byID    map[fescuelatch.EndpointID]*claim

	// Without input, nothing changes before until.
	changed bool
	until   time.Time
}

// New returns the table of daemon self, whose process i started at start.
// It owns nothing until it has been configured.
func New(self fescuelatch.VMID, i fescuelatch.Incarnation, s Settings, start time.Time) (*Table, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return newTable(self, i, s.withDefaults(), start), nil
}

func newTable(self fescuelatch.VMID, i fescuelatch.Incarnation, s Settings, start time.Time) *Table {
	return &Table{
		self:        self,
		process:     i,
		incarnation: i,
		settings:    s,
		started:     start,
		me:          &member{vm: self, incarnation: i},
		members:     make(map[fescuelatch.VMID]*member),
		byID:        make(map[fescuelatch.EndpointID]*claim),
	}
}

// Configure replaces the members and endpoints of the failure domain. A
// member that d lacks is kept until it leaves or is gone, because it may not
// have heard of d.
func (t *Table) Configure(now time.Time, d Domain) {
	t.update(now)
	listed := slices.Contains(d.Members, t.self)
	if listed && !t.listed {
		t.rejoin(now)
	}
	t.listed = listed
	for _, vm := range d.Members {
		if t.members[vm] == nil && vm != t.self {
			t.members[vm] = &member{vm: vm, heard: now, since: now, state: StateAlive}
		}
	}
	for vm, m := range t.members {
		if !m.claims() && !slices.Contains(d.Members, vm) {
			delete(t.members, vm)
		}
	}
	t.sort()
	t.setEndpoints(d.Endpoints)
	t.apply(now)
}

// sort rebuilds the list of other members.
func (t *Table) sort() {
	t.sorted = t.sorted[:0]
	for _, m := range t.members {
		t.sorted = append(t.sorted, m)
	}
	slices.SortFunc(t.sorted, func(a, b *member) int { return cmp.Compare(a.vm, b.vm) })
}

// rejoin begins to join: earlier promises and acknowledgements are void.
func (t *Table) rejoin(now time.Time) {
	t.started = now
	t.joined = false
	for _, m := range t.members {
		m.acked, m.lease = false, time.Time{}
	}
}

// renew joins anew as another incarnation some time after this one was taken
// for a former one. That happens when a heartbeat of a former process came
// late; a process that was truly replaced meanwhile stands back.
func (t *Table) renew(now time.Time) {
	if t.replaced.IsZero() || now.Before(t.replaced.Add(t.settings.TakeoverAfter)) {
		return
	}
	t.replaced = time.Time{}
	t.renewals++
	t.incarnation = t.process + fescuelatch.Incarnation("."+strconv.Itoa(t.renewals))
	t.rejoin(now)
}

// Heartbeat returns the heartbeat to send to every other member at now. The
// caller keeps now as the time of sending for Acknowledged.
func (t *Table) Heartbeat(now time.Time) Heartbeat {
	t.update(now)
	t.sequence++
	return Heartbeat{
		From:        t.self,
		Incarnation: t.incarnation,
		Sequence:    t.sequence,
		Joined:      t.joined,
		Leaving:     t.idle(),
	}
}

// Received takes in a heartbeat and returns the reply. The caller hands
// Owned to its gate before it sends the reply.
func (t *Table) Received(now time.Time, h Heartbeat) (Ack, error) {
	if err := h.Check(); err != nil {
		return Ack{}, err
	}
	t.update(now)
	a := Ack{From: t.self, Incarnation: t.incarnation, To: h.Incarnation, Joined: h.Joined}
	m := t.members[h.From]
	switch {
	case m == nil:
		a.Unknown = true
		return a, nil
	case !m.accept(h.Incarnation):
		a.Replaced = true
		return a, nil
	}
	m.touch(now)
	if h.Sequence > m.sequence {
		m.sequence = h.Sequence
		m.joined, m.leaving = h.Joined, h.Leaving
	}
	t.apply(now)
	return a, nil
}

// Acknowledged takes in the reply to a heartbeat that was sent at sent, by
// this daemon's clock.
func (t *Table) Acknowledged(now, sent time.Time, a Ack) error {
	if err := a.Check(); err != nil {
		return err
	}
	t.update(now)
	m := t.members[a.From]
	switch {
	case m == nil:
		return &Error{"acknowledge", KindUnknown, nil}
	case a.To != t.incarnation || !m.accept(a.Incarnation):
		return &Error{"acknowledge", KindStale, nil}
	}
	// The member ran at some time after sent, which is all that is known.
	m.touch(sent)
	switch {
	case a.Replaced && t.replaced.IsZero():
		t.replaced = now
	case a.Replaced:
	case !a.Unknown && !sent.Before(t.started):
		m.acked = true
		if l := sent.Add(t.settings.LeaseFor); a.Joined && l.After(m.lease) {
			m.lease = l
		}
	}
	t.apply(now)
	return nil
}

// Listed takes in the list of VMs that was asked for at asked, by this
// daemon's clock: a member that it lacks is gone, also one that the
// configuration lacks. The list does not count against a member that was
// heard within GoneAfter before asked, because it may lag behind.
func (t *Table) Listed(now, asked time.Time, vms []fescuelatch.VMID) {
	var missing []fescuelatch.VMID
	for _, m := range t.sorted {
		if !slices.Contains(vms, m.vm) {
			missing = append(missing, m.vm)
		}
	}
	t.Missing(now, asked, missing)
}

// Missing takes in the VMs that a list of VMs lacks, which was asked for at
// asked, see Listed. Nothing is said of members that vms does not name.
func (t *Table) Missing(now, asked time.Time, vms []fescuelatch.VMID) {
	t.update(now)
	for _, vm := range vms {
		if m := t.members[vm]; m != nil {
			t.lost(asked, m)
		}
	}
	t.apply(now)
}

// Gone takes in that vm was missing from a list of VMs asked for at now. It
// reports whether that counts, see Listed.
func (t *Table) Gone(now time.Time, vm fescuelatch.VMID) bool {
	t.update(now)
	m := t.members[vm]
	if m == nil || !t.lost(now, m) {
		return false
	}
	t.apply(now)
	return true
}

// lost marks m as gone if a list that was asked for at asked can know.
func (t *Table) lost(asked time.Time, m *member) bool {
	if asked.Before(m.heard.Add(t.settings.GoneAfter)) {
		return false
	}
	m.gone = true
	return true
}

// Leave releases all endpoints for good. Heartbeats say so from now on.
func (t *Table) Leave(now time.Time) {
	t.leaving = true
	t.apply(now)
}

// idle reports that this daemon claims nothing whatever it hears.
func (t *Table) idle() bool { return t.leaving || !t.replaced.IsZero() || !t.listed }
