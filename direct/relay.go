package direct

import (
	"context"
	"net/rpc"
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
	// sourceTimeout bounds a call to a source besides its wait.
	sourceTimeout = 600 * time.Millisecond
	// sourceAge is the time since the last answer of the store beyond which a
	// source is not relied on.
	sourceAge = 1200 * time.Millisecond
	// stepAge is added for each step between a source and the readers: the
	// longest time between two calls of a daemon that follows another one.
	stepAge = watchWait + sourceInterval + followJitter
)

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
