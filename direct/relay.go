package direct

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/transfer"
)

// This file defines how most daemons follow the store through another daemon of
// their failure domain, their source. Calls to the store are limited and paid for
// by the whole fleet, so only a few daemons of each domain (readers) call it
// themselves and relay changes to a few followers each. These relay them in turn,
// so that no daemon serves many others, however large the failure domain is. A
// daemon whose sources are unresponsive, or have not reached the store recently,
// calls the store itself.

const (
	// sourceTimeout bounds the time until a source answers, in addition to the time
	// for which it may wait for changes, and the time without data while its answer
	// arrives.
	sourceTimeout = 600 * time.Millisecond
	// sourceTransferTimeout bounds the time in which its answer arrives.
	sourceTransferTimeout = 4 * time.Second
	// maxSourceAge is the time since the store's last answer after which a source
	// is no longer used.
	maxSourceAge = 1200 * time.Millisecond
	// maxAgePerHop is added for each hop between a source and the readers: the
	// longest time between two calls of a follower to its source.
	maxAgePerHop = watchTimeout + sourceInterval + followJitter
)

// ChangesRequest asks for the changes since an earlier answer of the same process.
type ChangesRequest struct {
	From    fescuelatch.VMID
	Process string
	Next    int64
	Wait    time.Duration
	// Encoded reports that the reply may have encoded values. Held are the values that
	// patches may begin with.
	Encoded bool
	Held    []HeldValue
}

// ChangesReply holds the changes, or everything when Full is set.
type ChangesReply struct {
	Process  string
	Next     int64
	Full     bool
	Revision int64
	// Era is the era of the store in which Revision counts.
	Era int64
	// Age is the time since the store last answered. Settling reports that removals
	// are held because the store was recently unavailable or restored.
	Age      time.Duration
	Settling bool
	Items    []fescuelatch.StoredItem
	// Packed, if set, is the compressed gob of the items. Values are those that the items
	// lack.
	Packed []byte
	Values []EncodedValue
	// received is the size of the reply as it was received.
	received int
}

// bytes returns the size of the keys and values, as they are sent.
func (r *ChangesReply) bytes() int {
	n := itemBytes(r.Items) + len(r.Packed)
	for _, v := range r.Values {
		n += len(v.Whole)
		for _, p := range v.Patches {
			n += len(p.Data)
		}
	}
	return n
}

// Changes returns the changes to another daemon. It is called by net/rpc.
func (p *peerServer) Changes(q ChangesRequest, reply *ChangesReply) error {
	d := p.daemon
	d.collectChanges(q, reply)
	if keys := len(reply.Items); keys > 0 {
		if q.Encoded {
			if err := d.largeValues.encode(reply, q.Held); err != nil {
				d.log.Error("values for a follower cannot be encoded", "follower", q.From, "error", err.Error())
				return err
			}
		}
		d.metrics.countRelayed(reply.Full, reply.bytes())
		level := slog.LevelDebug
		if reply.Full {
			level = slog.LevelInfo
		}
		d.log.Log(context.Background(), level, "sending changes to a follower", "follower", q.From, "keys", keys,
			"bytes", reply.bytes(), "everything", reply.Full, "revision", reply.Revision)
	}
	return nil
}

// collectChanges waits until there are changes for a follower and fills in the reply.
func (d *Daemon) collectChanges(q ChangesRequest, reply *ChangesReply) {
	d.mu.Lock()
	changed := d.storeView.journal.changed
	upToDate := q.Process == d.process && q.Next == d.storeView.journal.next
	d.mu.Unlock()
	if upToDate {
		t := time.NewTimer(min(q.Wait, watchTimeout))
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.storeView
	now := time.Now()
	*reply = ChangesReply{
		Process: d.process, Next: k.journal.next, Revision: k.revision, Era: k.era,
		Age: d.store.age(now), Settling: k.isHolding(now, k.holding),
	}
	if q.Process == d.process {
		var ok bool
		if reply.Items, ok = k.journal.since(q.Next); ok {
			return
		}
	}
	reply.Full = true
	reply.Items = k.allItems()
}

// itemBytes returns the size of the keys and values of items.
func itemBytes(items []fescuelatch.StoredItem) int {
	n := 0
	for _, i := range items {
		n += len(i.Key) + len(i.Value)
	}
	return n
}

// applyReply merges the answer of a source, unless the source's state is older than
// this daemon's or not reliable.
func (d *Daemon) applyReply(now time.Time, s *source, reply *ChangesReply) error {
	if reply.Age < 0 || reply.Age > maxSourceAge+time.Duration(s.hops)*maxAgePerHop || reply.Settling {
		return &Error{"follow source", KindPeer, errors.Errorf("source last reached the store %s ago, or is still recovering from a store outage", reply.Age)}
	}
	reply.Items = d.decoding.prepare(reply.Items)
	d.mu.Lock()
	defer d.mu.Unlock()
	restored := d.storeView.beforeEra(reply.Era)
	switch {
	case reply.Era < d.storeView.era:
		return &Error{"follow source", KindPeer, errors.Errorf("source is in era %d, older than the known era %d", reply.Era, d.storeView.era)}
	case restored && !reply.Full:
		return &Error{"follow source", KindPeer, errors.Errorf("source sent only changes of era %d, but everything after era %d is needed", reply.Era, d.storeView.era)}
	case !restored && reply.Revision < d.storeView.revision:
		return &Error{"follow source", KindPeer, errors.Errorf("source is at revision %d, behind the known revision %d", reply.Revision, d.storeView.revision)}
	}
	s.process, s.next = reply.Process, reply.Next
	d.store.recordSuccess(now.Add(-reply.Age))
	c := fescuelatch.Changes{Revision: reply.Revision, Era: reply.Era, Items: reply.Items}
	d.storeView.relayed = true
	if reply.Full {
		d.storeView.replace(now, c)
	} else {
		d.storeView.apply(now, c)
	}
	d.storeView.relayed = false
	if restored {
		d.rewriteRecordsLocked(now)
	}
	if len(c.Items) > 0 {
		d.log.Info("received changes from a source", "source", s.vm, "keys", len(c.Items), "bytes", reply.received, "everything", reply.Full,
			"revision", reply.Revision, "age", reply.Age.Round(time.Millisecond).String(), "endpoints", len(d.storeView.endpoints))
		d.refreshLocked(now)
	}
	return nil
}

// askSource asks a source, which waits for changes for a time, and once more for whole values
// if they cannot be put together from patches.
func (d *Daemon) askSource(ctx context.Context, s *source, wait time.Duration) (*ChangesReply, error) {
	for again := false; ; again = true {
		start := time.Now()
		reply, err := s.ask(ctx, d.options.VM, d.largeValues.held(), wait)
		if err != nil {
			return nil, err
		}
		reply.received = reply.bytes()
		took := time.Since(start)
		if err := d.largeValues.decode(reply); err != nil {
			d.log.Warn("values of a source cannot be put together", "source", s.vm, "error", err.Error())
			if again {
				return nil, err
			}
			continue
		}
		if len(reply.Items) > 0 {
			d.metrics.countReceived(reply.Full, took, reply.received)
			d.largeValues.observe(reply.Items)
		}
		return reply, nil
	}
}

// ask asks the source for changes, for which it waits for a time.
func (s *source) ask(ctx context.Context, self fescuelatch.VMID, held []HeldValue, wait time.Duration) (*ChangesReply, error) {
	reply := new(ChangesReply)
	q := ChangesRequest{From: self, Process: s.process, Next: s.next, Wait: wait, Encoded: true, Held: held}
	if err := s.call(ctx, "Changes", q, reply, wait); err != nil {
		return nil, err
	}
	return reply, nil
}

// call calls a method of the source, which may wait for a time before it answers. The call may
// last as long as its answer arrives.
func (s *source) call(ctx context.Context, method string, request, reply any, wait time.Duration) error {
	ctx, meter := transfer.WithBounds(ctx, transfer.Bounds{
		Start: wait + sourceTimeout, Stall: watchTimeout + sourceTimeout, Total: sourceTransferTimeout,
	})
	defer meter.Stop()
	s.meter.Store(meter)
	if s.client == nil {
		c, err := dialPeer(ctx, s.address, func() {
			now := time.Now()
			s.lastData.Store(&now)
			s.meter.Load().Advance()
		})
		if err != nil {
			return err
		}
		s.client = c
	}
	return callPeer(ctx, s.client, method, request, reply)
}

// close closes the connection to the source.
func (s *source) close() {
	if s.client != nil {
		// The connection is no longer needed, whether or not its close fails.
		_ = s.client.Close()
	}
}
