package direct

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"net/rpc"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines how most daemons follow the store through another daemon
// of their failure domain. Calls to the store are limited and paid for by the
// whole fleet, so only a few daemons of each domain follow it themselves, and
// pass on what has changed in substance. They pass it on to a few others each,
// who do the same, so that no daemon tells more than those, however large the
// failure domain is. A daemon whose sources are silent, or have not heard from
// the store of late, asks the store itself.

const (
	// readers is the number of daemons of a failure domain that follow the
	// store themselves.
	readers = 1
	// standBys is the number of daemons after the readers through which the
	// others follow the store when a reader fails. They ask the store then.
	standBys = 1
	// followers is the number of daemons that one passes changes on to. With
	// the reader, failure domains of 111 daemons are two steps deep.
	followers = 10
	// sourceTimeout bounds a call to a source besides its wait.
	sourceTimeout = 600 * time.Millisecond
	// sourceAge is the time since the last answer of the store beyond which a
	// source is not relied on.
	sourceAge = 1200 * time.Millisecond
	// stepAge is added for each step between a source and the readers: the
	// longest time between two calls of a daemon that follows another one.
	stepAge = watchWait + sourceInterval + followJitter
	// sourceRest is how long a source that failed is not asked.
	sourceRest = 3 * time.Second
	// journalLength bounds the changes that are kept for others. One that has
	// missed more gets everything.
	journalLength = 2048
	// journalBytes bounds their values: a configuration may have a megabyte,
	// and the smallest VMs about a hundred for everything.
	journalBytes = 4 << 20
)

// member is a daemon's record.
type member struct {
	Domain  fescuelatch.DomainID `json:"failure-domain"`
	Control netip.AddrPort       `json:"control-address"`
}

// journal holds the last changes in substance, numbered without gaps.
type journal struct {
	next    int64
	changes []fescuelatch.StoredItem
	bytes   int // of the values
	// changed is closed when there is a further change.
	changed chan struct{}
}

func newJournal() journal { return journal{changed: make(chan struct{})} }

func (j *journal) add(i fescuelatch.StoredItem) {
	j.changes = append(j.changes, i)
	j.bytes += len(i.Value)
	j.next++
	j.trim()
	close(j.changed)
	j.changed = make(chan struct{})
}

// restart forgets all changes, so that whoever asks for the next ones gets
// everything.
func (j *journal) restart() {
	j.changes, j.bytes = nil, 0
	j.next++
	close(j.changed)
	j.changed = make(chan struct{})
}

// trim forgets the oldest changes beyond the bounds. Half of them go at once,
// so that the rest is not moved with each change.
func (j *journal) trim() {
	if len(j.changes) <= journalLength && j.bytes <= journalBytes {
		return
	}
	drop := 0
	for drop < len(j.changes) && (len(j.changes)-drop > journalLength/2 || j.bytes > journalBytes/2) {
		j.bytes -= len(j.changes[drop].Value)
		drop++
	}
	j.changes = slices.Delete(j.changes, 0, drop)
}

// since returns the changes from a number on, or false when they are gone.
func (j *journal) since(number int64) ([]fescuelatch.StoredItem, bool) {
	first := j.next - int64(len(j.changes))
	if number < first || number > j.next {
		return nil, false
	}
	return slices.Clone(j.changes[number-first:]), true
}

// ChangesRequest asks for what has changed since an earlier answer of the same
// process.
type ChangesRequest struct {
	From    fescuelatch.VMID
	Process string
	Next    int64
	Wait    time.Duration
}

// ChangesReply is what has changed, or everything when Full is set.
type ChangesReply struct {
	Process  string
	Next     int64
	Full     bool
	Revision int64
	// Era is that of the store in which Revision counts.
	Era int64
	// Age is the time since the store last answered. Settling reports that
	// the store has been away and that what has lapsed is not known yet.
	Age      time.Duration
	Settling bool
	Items    []fescuelatch.StoredItem
}

// Changes is called by net/rpc.
func (p *peerServer) Changes(q ChangesRequest, reply *ChangesReply) error {
	d := p.daemon
	d.mu.Lock()
	changed := d.known.journal.changed
	waits := q.Process == d.process && q.Next == d.known.journal.next
	d.mu.Unlock()
	if waits {
		t := time.NewTimer(min(q.Wait, watchWait))
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.known
	now := time.Now()
	*reply = ChangesReply{
		Process: d.process, Next: k.journal.next, Revision: k.revision, Era: k.era,
		Age: d.store.age(now), Settling: now.Before(k.heldUntil),
	}
	if q.Process == d.process {
		var ok bool
		if reply.Items, ok = k.journal.since(q.Next); ok {
			return nil
		}
	}
	reply.Full = true
	reply.Items = k.everything()
	return nil
}

// source is the daemon through which the store is followed.
type source struct {
	vm      fescuelatch.VMID
	address netip.AddrPort
	client  *rpc.Client
	process string
	next    int64
	steps   int // between it and the readers
}

// sources chooses sources and remembers which have failed. Only the loop that
// follows the store uses it.
type sources struct {
	current *source
	failed  map[fescuelatch.VMID]time.Time
}

// chooseSource returns the source to use, or nil when this daemon is to follow the
// store itself.
func (d *Daemon) chooseSource(now time.Time) *source {
	d.mu.Lock()
	candidates := sourcesOf(d.known, d.options.Domain, d.options.VM)
	d.mu.Unlock()
	if d.inForce.Load() == nil {
		return nil
	}
	s := &d.sources
	for _, c := range candidates {
		if now.Sub(s.failed[c.vm]) < sourceRest {
			continue
		}
		if s.current == nil || s.current.vm != c.vm || s.current.address != c.address {
			s.drop()
			s.current = &source{vm: c.vm, address: c.address}
		}
		s.current.steps = c.steps
		return s.current
	}
	return nil
}

// candidate is a daemon through which another one may follow the store.
type candidate struct {
	vm      fescuelatch.VMID
	address netip.AddrPort
	steps   int // between it and the readers
}

// sourcesOf returns the daemons through which a daemon may follow the store,
// the best first: the one whose part it is, then the readers and those that
// stand by. There is none for a reader.
func sourcesOf(k *knowledge, domain fescuelatch.DomainID, self fescuelatch.VMID) []candidate {
	local := localDaemons(k, domain, self)
	order := slices.SortedFunc(maps.Keys(local), func(a, b fescuelatch.VMID) int { return cmp.Compare(rank(a), rank(b)) })
	place := slices.Index(order, self)
	if place < readers {
		return nil
	}
	places := []int{(place - readers) / followers}
	for i := range min(readers+standBys, place) { // Those after it may follow the store through it.
		places = append(places, i)
	}
	var cs []candidate
	for _, i := range places {
		vm := order[i]
		if !slices.ContainsFunc(cs, func(c candidate) bool { return c.vm == vm }) {
			cs = append(cs, candidate{vm, local[vm], stepsOf(i)})
		}
	}
	return cs
}

// stepsOf returns the number of steps between the daemon at a place in the
// order and the readers.
func stepsOf(place int) int {
	steps := 0
	for place >= readers {
		place = (place - readers) / followers
		steps++
	}
	return steps
}

// localDaemons returns the daemons of a failure domain with their control
// addresses.
func localDaemons(k *knowledge, domain fescuelatch.DomainID, self fescuelatch.VMID) map[fescuelatch.VMID]netip.AddrPort {
	local := make(map[fescuelatch.VMID]netip.AddrPort)
	for vm, m := range k.members {
		if m.Domain == domain && (m.Control.IsValid() || vm == self) {
			local[vm] = m.Control
		}
	}
	if _, ok := local[self]; !ok {
		local[self] = netip.AddrPort{}
	}
	return local
}

func (s *sources) drop() {
	if s.current != nil {
		s.current.close()
	}
	s.current = nil
}

func (s *sources) fail(now time.Time) {
	if s.failed == nil {
		s.failed = make(map[fescuelatch.VMID]time.Time)
	}
	if s.current != nil {
		s.failed[s.current.vm] = now
	}
	s.drop()
}

// followSource takes in what the source says has changed.
func (d *Daemon) followSource(ctx context.Context, s *source) error {
	reply, err := s.ask(ctx, d.options.VM)
	if err != nil {
		return err
	}
	return d.takeReply(time.Now(), s, reply)
}

// takeReply takes in the answer of a source, unless the source knows less than
// this daemon.
func (d *Daemon) takeReply(now time.Time, s *source, reply *ChangesReply) error {
	if reply.Age > sourceAge+time.Duration(s.steps)*stepAge || reply.Settling {
		return &Error{"follow source", KindPeer, errors.Errorf("it has not heard from the store for %s, or has only just again", reply.Age)}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	restored := d.known.earlier(reply.Era)
	switch {
	case reply.Era < d.known.era:
		return &Error{"follow source", KindPeer, errors.Errorf("it is in era %d, before %d", reply.Era, d.known.era)}
	case restored && !reply.Full:
		return &Error{"follow source", KindPeer, errors.Errorf("it tells changes of era %d only, after %d", reply.Era, d.known.era)}
	case !restored && reply.Revision < d.known.revision:
		return &Error{"follow source", KindPeer, errors.Errorf("it is at revision %d, behind %d", reply.Revision, d.known.revision)}
	}
	s.process, s.next = reply.Process, reply.Next
	d.store.answered(now.Add(-reply.Age))
	c := fescuelatch.Changes{Revision: reply.Revision, Era: reply.Era, Items: reply.Items}
	d.known.passedOn = true
	if reply.Full {
		d.known.replace(now, c)
	} else {
		d.known.apply(now, c)
	}
	d.known.passedOn = false
	if restored {
		d.recordAgainLocked(now)
	}
	if len(c.Items) > 0 {
		d.log.Info("changes taken in from a source", "source", s.vm, "keys", len(c.Items), "everything", reply.Full,
			"revision", reply.Revision, "age", reply.Age.Round(time.Millisecond).String(), "endpoints", len(d.known.endpoints))
		d.refreshLocked(now)
	}
	return nil
}

// ask asks the source for changes.
func (s *source) ask(ctx context.Context, self fescuelatch.VMID) (*ChangesReply, error) {
	reply := new(ChangesReply)
	q := ChangesRequest{From: self, Process: s.process, Next: s.next, Wait: watchWait}
	if err := s.call(ctx, "Changes", q, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// call calls the source within its time.
func (s *source) call(ctx context.Context, method string, request, reply any) error {
	const op = "ask peer"
	ctx, cancel := context.WithTimeout(ctx, watchWait+sourceTimeout)
	defer cancel()
	if s.client == nil {
		c, err := dialPeer(ctx, s.address)
		if err != nil {
			return err
		}
		s.client = c
	}
	call := s.client.Go(peerService+"."+method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return &Error{op, KindPeer, call.Error}
		}
		return nil
	case <-ctx.Done():
		return &Error{op, KindPeer, ctx.Err()}
	}
}

// close ends the use of the source.
func (s *source) close() {
	if s.client != nil {
		// The connection is not used any more, however its close ends.
		_ = s.client.Close()
	}
}
