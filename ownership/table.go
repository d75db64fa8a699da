package ownership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"fescuelatch"
)

// This file defines Table, the ownership state of one daemon, and its
// inputs.

// Domain is the part of a configuration that ownership depends on.
type Domain struct {
	// Members are the entry VMs of the failure domain that are not taken out.
	Members []fescuelatch.VMID
	// Endpoints belong to the failure domain. Share and After are unused.
	Endpoints []fescuelatch.OwnedEndpoint
}

// DomainOf returns the Domain of failure domain d in v.
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

// Table is the ownership state of one daemon. Use New to create one.
type Table struct {
	self        fescuelatch.VMID
	process     fescuelatch.Incarnation
	incarnation fescuelatch.Incarnation // process, or a renewal of process
	renewals    int
	settings    Settings
	sequence    uint64

	// joinStarted is when this daemon last began to join.
	joinStarted time.Time
	// joined reports that every other member has acknowledged a heartbeat
	// sent since joinStarted, or is gone or leaving.
	joined bool
	// readyAt is when a daemon that has joined claims even without leases
	// from all members that are alive.
	readyAt time.Time
	// isMember reports that the configuration contains this VM.
	isMember bool
	leaving  bool
	// replacedAt is when a member reported a later incarnation of this VM,
	// or zero.
	replacedAt time.Time

	selfMember *member
	members    map[fescuelatch.VMID]*member
	others     []*member // the other members, by VM
	claims     []*claim  // by endpoint
	byID       map[fescuelatch.EndpointID]*claim

	// validUntil is the time before which nothing changes without input.
	changed    bool
	validUntil time.Time
}

// New returns the table of daemon self, whose process i started at start.
// The table owns no endpoint before Configure.
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
		joinStarted: start,
		selfMember:  &member{vm: self, incarnation: i},
		members:     make(map[fescuelatch.VMID]*member),
		byID:        make(map[fescuelatch.EndpointID]*claim),
	}
}

// Configure replaces the members and endpoints of the failure domain. A
// member that d lacks is kept until it leaves or is gone, because it may not
// have received d yet.
func (t *Table) Configure(now time.Time, d Domain) {
	t.advance(now)
	listed := slices.Contains(d.Members, t.self)
	if listed && !t.isMember {
		t.restartJoin(now)
	}
	t.isMember = listed
	for _, vm := range d.Members {
		if t.members[vm] == nil && vm != t.self {
			t.members[vm] = &member{vm: vm, heard: now, since: now, state: StateAlive}
		}
	}
	for vm, m := range t.members {
		if !m.mayClaim() && !slices.Contains(d.Members, vm) {
			delete(t.members, vm)
		}
	}
	t.sortMembers()
	t.setEndpoints(d.Endpoints)
	t.recompute(now)
}

// sortMembers rebuilds the sorted list of other members.
func (t *Table) sortMembers() {
	t.others = t.others[:0]
	for _, m := range t.members {
		t.others = append(t.others, m)
	}
	slices.SortFunc(t.others, func(a, b *member) int { return cmp.Compare(a.vm, b.vm) })
}

// restartJoin begins to join: earlier leases and acknowledgements are void.
func (t *Table) restartJoin(now time.Time) {
	t.joinStarted = now
	t.joined = false
	for _, m := range t.members {
		m.acked, m.lease = false, time.Time{}
	}
}

// renewIncarnation joins again under a new incarnation once TakeoverTimeout has
// passed since a member reported the current one as replaced. A late heartbeat
// from a former process causes such a report; a process that really was
// replaced claims nothing during that time.
func (t *Table) renewIncarnation(now time.Time) {
	if t.replacedAt.IsZero() || now.Before(t.replacedAt.Add(t.settings.TakeoverTimeout)) {
		return
	}
	t.replacedAt = time.Time{}
	t.renewals++
	t.incarnation = t.process + fescuelatch.Incarnation("."+strconv.Itoa(t.renewals))
	t.restartJoin(now)
}

// Heartbeat returns the heartbeat to send to every other member at now. The
// caller passes now to ReceiveAck as the time of sending.
func (t *Table) Heartbeat(now time.Time) Heartbeat {
	t.advance(now)
	t.sequence++
	return Heartbeat{
		From:        t.self,
		Incarnation: t.incarnation,
		Sequence:    t.sequence,
		Joined:      t.joined,
		Leaving:     t.ineligible(),
	}
}

// ReceiveHeartbeat processes a heartbeat and returns the reply. The caller passes
// Owned to its gate before it sends the reply.
func (t *Table) ReceiveHeartbeat(now time.Time, h Heartbeat) (Ack, error) {
	if err := h.Check(); err != nil {
		return Ack{}, err
	}
	t.advance(now)
	a := Ack{From: t.self, Incarnation: t.incarnation, To: h.Incarnation, Joined: h.Joined}
	m := t.members[h.From]
	switch {
	case m == nil:
		a.Unknown = true
		return a, nil
	case !m.acceptIncarnation(h.Incarnation):
		a.Replaced = true
		return a, nil
	}
	m.markHeard(now)
	if h.Sequence > m.sequence {
		m.sequence = h.Sequence
		m.joined, m.leaving = h.Joined, h.Leaving
	}
	t.recompute(now)
	return a, nil
}

// ReceiveAck processes the reply to a heartbeat that was sent at sent, by
// this daemon's clock.
func (t *Table) ReceiveAck(now, sent time.Time, a Ack) error {
	if err := a.Check(); err != nil {
		return err
	}
	t.advance(now)
	m := t.members[a.From]
	switch {
	case m == nil:
		return &Error{"acknowledge", KindUnknown, nil}
	case a.To != t.incarnation || !m.acceptIncarnation(a.Incarnation):
		return &Error{"acknowledge", KindStale, nil}
	}
	// The member ran after sent, but the exact time is unknown.
	m.markHeard(sent)
	switch {
	case a.Replaced && t.replacedAt.IsZero():
		t.replacedAt = now
	case a.Replaced:
	case !a.Unknown && !sent.Before(t.joinStarted):
		m.acked = true
		if l := sent.Add(t.settings.LeaseDuration); a.Joined && l.After(m.lease) {
			m.lease = l
		}
	}
	t.recompute(now)
	return nil
}

// ReceiveVMList processes the list of VMs that was requested at asked, by this
// daemon's clock. A member that the list lacks is gone, even if the
// configuration lacks it too. A member heard within MaxListLag before asked is
// not affected, because the list may lag.
func (t *Table) ReceiveVMList(now, asked time.Time, vms []fescuelatch.VMID) {
	var missing []fescuelatch.VMID
	for _, m := range t.others {
		if !slices.Contains(vms, m.vm) {
			missing = append(missing, m.vm)
		}
	}
	t.ReceiveMissingVMs(now, asked, missing)
}

// ReceiveMissingVMs processes the VMs that are absent from a list of VMs requested at
// asked, see ReceiveVMList. Members that vms does not name are not affected.
func (t *Table) ReceiveMissingVMs(now, asked time.Time, vms []fescuelatch.VMID) {
	t.advance(now)
	for _, vm := range vms {
		if m := t.members[vm]; m != nil {
			t.markGone(asked, m)
		}
	}
	t.recompute(now)
}

// ReportMissingVM records that vm was missing from a list of VMs requested at now. It
// reports whether vm is considered gone, see ReceiveVMList.
func (t *Table) ReportMissingVM(now time.Time, vm fescuelatch.VMID) bool {
	t.advance(now)
	m := t.members[vm]
	if m == nil || !t.markGone(now, m) {
		return false
	}
	t.recompute(now)
	return true
}

// markGone marks m as gone unless a list requested at asked may lag.
func (t *Table) markGone(asked time.Time, m *member) bool {
	if asked.Before(m.heard.Add(t.settings.MaxListLag)) {
		return false
	}
	m.gone = true
	return true
}

// Leave permanently releases all endpoints. Later heartbeats report Leaving.
func (t *Table) Leave(now time.Time) {
	t.leaving = true
	t.recompute(now)
}

// ineligible reports that this daemon claims nothing whatever it receives.
func (t *Table) ineligible() bool { return t.leaving || !t.replacedAt.IsZero() || !t.isMember }
