package direct

import (
	"context"
	"net/netip"
	"time"

	"fescuelatch"
)

// This file defines what a daemon believes while the store, which has come back
// from a copy, is brought up to date again by those who write to it. What the
// copy holds may be older than what is known here, and what it lacks may be
// missing only because nobody has written it again.

const (
	// endpointRewriteTime is for how long the entry of an endpoint may be missing:
	// endpoints write theirs again within about two seconds.
	endpointRewriteTime = lapseTime
	// recordRewriteTime is that of the daemons' own records, for which they take new
	// leases once they have noticed. While one is missing too many attempts would
	// be allowed to the others.
	recordRewriteTime = 6 * time.Second
	// operatorRewriteTime is that of what operators have written.
	operatorRewriteTime = 10 * time.Second
	// maxGone bounds the endpoints that are remembered after they have gone.
	maxGone = 4096
)

// earlier reports whether what is known is of an earlier era than the given one.
func (k *knowledge) earlier(era int64) bool { return k.era != 0 && era > k.era }

// restored begins the time in which what the store has lost is written again.
// Other daemons that follow the store through this one read everything anew.
func (k *knowledge) restored(now time.Time, c fescuelatch.Changes) {
	k.log.Warn("store has come back from a copy; what is missing there holds for a while",
		"era", c.Era, "era-before", k.era, "revision", c.Revision, "revision-before", k.revision)
	k.heldUntil = now.Add(lapseTime)
	k.copied, k.restoredAt = c.Revision, now
	k.writes = writeRate{perSecond: k.writes.perSecond}
	k.journal.restart()
}

// recordAgainLocked has everything that this daemon had written to the store
// written again: a write under way when the store was lost may be lost too.
func (d *Daemon) recordAgainLocked(now time.Time) {
	d.loseRecord()
	for _, r := range d.rollouts {
		r.recordAgain(now)
	}
}

// rewriteTime returns for how long a key that the copy lacks is believed. The
// state of a roll-out is not: the daemons know their judgement, and record it
// again under the condition that the store holds none.
func (k *knowledge) rewriteTime(key string) time.Duration {
	switch k.notation.Subject(key).Kind {
	case fescuelatch.SubjectEndpoint:
		return endpointRewriteTime
	case fescuelatch.SubjectRecord:
		return recordRewriteTime
	case fescuelatch.SubjectDeployment, fescuelatch.SubjectDomainOut, fescuelatch.SubjectRollout:
		return operatorRewriteTime
	default:
		return 0
	}
}

// outdated reports whether the value of a key is older than what is known,
// though its era is later: by the order that its writer gives its values, since
// the store's revisions do not tell. Only what the copy held can be.
func (k *knowledge) outdated(s fescuelatch.Subject, kv fescuelatch.KeyValue) bool {
	if kv.Era == 0 || kv.Era != k.era || kv.Revision > k.copied {
		return false
	}
	switch s.Kind {
	case fescuelatch.SubjectDeployment:
		d, err := k.notation.Deployment(kv.Value)
		return err == nil && k.deployment != nil && d.Generation < k.deployment.Generation
	case fescuelatch.SubjectEndpoint:
		known, ok := k.lastSaid(fescuelatch.EndpointID(s.ID))
		if !ok {
			return false
		}
		r, err := k.notation.Registration(s.ID, kv.Value)
		return err == nil && (known.Outdates(r) || (known.Leaving && known.Born == r.Born))
	default:
		return false
	}
}

// lastSaid returns what an endpoint has last said, which may be gone.
func (k *knowledge) lastSaid(id fescuelatch.EndpointID) (fescuelatch.Registration, bool) {
	if e, ok := k.endpoints[id]; ok {
		return e.Registration, true
	}
	return k.gone.Peek(id)
}

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
