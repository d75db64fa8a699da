package direct

import (
	"context"
	"net/netip"
	"time"

	"fescuelatch"
)

// This file defines what daemons tell one that has started since the store came
// back from a copy: what they believe beyond what the store holds.

// UnwrittenRequest asks for what a daemon believes though the store, which has
// come back from a copy, may not hold it yet.
type UnwrittenRequest struct {
	From fescuelatch.VMID
}

// UnwrittenReply is that, or nothing when the store has not come back of late.
type UnwrittenReply struct {
	Era   int64
	Items []fescuelatch.StoredItem
}

// Unwritten is called by net/rpc.
func (p *peerServer) Unwritten(_ UnwrittenRequest, reply *UnwrittenReply) error {
	p.daemon.mu.Lock()
	defer p.daemon.mu.Unlock()
	k := p.daemon.known
	*reply = UnwrittenReply{Era: k.era, Items: k.unwritten(time.Now())}
	return nil
}

// unwritten returns the keys that hold here though the store may not say so:
// the newest configuration, endpoints that are leaving, and what is missing.
func (k *knowledge) unwritten(now time.Time) []fescuelatch.StoredItem {
	if k.restoredAt.IsZero() || now.Sub(k.restoredAt) > operatorRewriteTime {
		return nil
	}
	var items []fescuelatch.StoredItem
	for key, kv := range k.items {
		s := k.notation.Subject(key)
		_, held := k.held[key]
		if held || s.Kind == fescuelatch.SubjectDeployment || k.endpoints[fescuelatch.EndpointID(s.ID)].Leaving {
			items = append(items, fescuelatch.StoredItem{KeyValue: kv})
		}
	}
	return items
}

// learnUnwritten asks other daemons for what this one, which has started since the
// store came back, cannot know from it. It reports whether one has answered.
func (d *Daemon) learnUnwritten(ctx context.Context) bool {
	return d.askSeeds(ctx, "peer does not tell what the store may have lost", func(seed netip.AddrPort) error {
		s := &source{address: seed}
		defer s.close()
		reply := new(UnwrittenReply)
		if err := s.call(ctx, "Unwritten", UnwrittenRequest{d.options.VM}, reply); err != nil {
			return err
		}
		now := time.Now()
		d.mu.Lock()
		defer d.mu.Unlock()
		if reply.Era == d.known.era && d.known.believe(now, reply.Items) {
			d.log.Info("learned from a peer what the store has lost", "peer", seed.String(), "era", reply.Era, "keys", len(reply.Items))
			d.refreshLocked(now)
		}
		return nil
	})
}

// believe takes in what another daemon believes beyond what the store holds,
// and reports whether any of it was news.
func (k *knowledge) believe(now time.Time, items []fescuelatch.StoredItem) bool {
	news := false
	for _, i := range items {
		s := k.notation.Subject(i.Key)
		own, known := k.items[i.Key]
		if !k.adds(s, known, i.Value) {
			continue
		}
		if known {
			// The store orders what it will hold by its own revisions.
			i.Revision, i.Era = own.Revision, own.Era
		} else {
			k.held[i.Key] = now.Add(k.rewriteTime(i.Key))
		}
		k.items[i.Key] = i.KeyValue
		if err := k.decode(now, s, i.KeyValue); err != nil {
			k.log.Warn("entry of a peer cannot be used", "key", i.Key, "revision", i.Revision, "error", err.Error())
		}
		k.journal.add(i)
		news = true
	}
	return news
}

// adds reports whether another daemon's value of a key says more than is known.
func (k *knowledge) adds(s fescuelatch.Subject, known bool, value []byte) bool {
	switch s.Kind {
	case fescuelatch.SubjectDeployment:
		d, err := k.notation.Deployment(value)
		return err == nil && (k.deployment == nil || d.Generation > k.deployment.Generation)
	case fescuelatch.SubjectDomainOut, fescuelatch.SubjectRollout:
		return !known
	case fescuelatch.SubjectEndpoint:
		r, err := k.notation.Registration(s.ID, value)
		e, registered := k.endpoints[fescuelatch.EndpointID(s.ID)]
		return err == nil && r.Leaving && registered && !e.Leaving && e.Born == r.Born
	default:
		return false
	}
}
