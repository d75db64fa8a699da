package direct

import (
	"context"
	"net/netip"
	"time"

	"fescuelatch"
)

// This file defines how a daemon that has started since the store was restored from
// a backup gets entries from other daemons that the store may still lack.

// UnwrittenRequest asks for entries that the store, restored from a backup, may not
// hold yet.
type UnwrittenRequest struct {
	From fescuelatch.VMID
}

// UnwrittenReply holds these entries. It has none unless the store was restored
// recently.
type UnwrittenReply struct {
	Era   int64
	Items []fescuelatch.StoredItem
}

// Unwritten returns such entries to another daemon. It is called by net/rpc.
func (p *peerServer) Unwritten(_ UnwrittenRequest, reply *UnwrittenReply) error {
	p.daemon.mu.Lock()
	defer p.daemon.mu.Unlock()
	k := p.daemon.storeView
	*reply = UnwrittenReply{Era: k.era, Items: k.unwritten(time.Now())}
	return nil
}

// unwritten returns the entries that apply here though the store may not hold them:
// the latest configuration, endpoints that are leaving, and keys missing from the
// store.
func (k *storeView) unwritten(now time.Time) []fescuelatch.StoredItem {
	if k.restoredAt.IsZero() || now.Sub(k.restoredAt) > operatorRewriteWindow {
		return nil
	}
	var items []fescuelatch.StoredItem
	for key, kv := range k.items {
		s := k.notation.Subject(key)
		_, held := k.heldRemovals[key]
		if held || s.Kind == fescuelatch.SubjectDeployment || k.endpoints[fescuelatch.EndpointID(s.ID)].Leaving {
			items = append(items, fescuelatch.StoredItem{KeyValue: kv})
		}
	}
	return items
}

// learnUnwritten asks other daemons for entries that the store lost in a restore
// before this daemon started. It reports whether one has answered.
func (d *Daemon) learnUnwritten(ctx context.Context) bool {
	return d.askSeeds(ctx, "request to a peer for entries lost by the store failed", func(seed netip.AddrPort) error {
		s := &source{address: seed}
		defer s.close()
		reply := new(UnwrittenReply)
		if err := s.call(ctx, "Unwritten", UnwrittenRequest{d.options.VM}, reply, 0); err != nil {
			return err
		}
		reply.Items = d.decoding.prepare(reply.Items)
		now := time.Now()
		d.largeValues.observe(reply.Items)
		d.mu.Lock()
		defer d.mu.Unlock()
		if reply.Era == d.storeView.era && d.storeView.applyUnwritten(now, reply.Items) {
			d.log.Info("merged entries of a peer that the store had lost", "peer", seed.String(), "era", reply.Era, "keys", len(reply.Items))
			d.refreshLocked(now)
		}
		return nil
	})
}

// applyUnwritten merges another daemon's unwritten entries, and reports whether any
// of them was new.
func (k *storeView) applyUnwritten(now time.Time, items []fescuelatch.StoredItem) bool {
	changed := false
	for _, i := range items {
		s := k.notation.Subject(i.Key)
		own, known := k.items[i.Key]
		if !k.isNewer(s, known, i.Value) {
			continue
		}
		if known {
			// Later writes to the store must compare as newer, so the entry keeps
			// the store's revision.
			i.Revision, i.Era = own.Revision, own.Era
		} else {
			k.heldRemovals[i.Key] = hold{now, k.rewriteWindow(i.Key)}
		}
		k.items[i.Key] = i.KeyValue
		if err := k.decode(now, s, i.KeyValue); err != nil {
			k.log.Warn("entry of a peer cannot be used", "key", i.Key, "revision", i.Revision, "error", err.Error())
		}
		k.journal.add(i)
		changed = true
	}
	return changed
}

// isNewer reports whether another daemon's value of a key is newer than the known
// state.
func (k *storeView) isNewer(s fescuelatch.Subject, known bool, value []byte) bool {
	switch s.Kind {
	case fescuelatch.SubjectDeployment:
		d, err := k.notation.Deployment(value)
		return err == nil && (k.deployment == nil || d.Generation > k.deployment.Generation)
	case fescuelatch.SubjectDomainOut, fescuelatch.SubjectRollout:
		return !known
	case fescuelatch.SubjectEndpoint:
		r, err := k.notation.Registration(s.ID, value)
		e, registered := k.endpoints[fescuelatch.EndpointID(s.ID)]
		return err == nil && r.Leaving && registered && !e.Leaving && e.ProcessStarted == r.ProcessStarted
	default:
		return false
	}
}
