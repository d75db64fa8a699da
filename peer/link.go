package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"

	"fescuelatch"
	"fescuelatch/ownership"
)

// This file defines links, which compress the heartbeats of two daemons: names
// that both have agreed on are left out. A field with another value is sent,
// so that a link never changes the content of a heartbeat.

// names are the names that a daemon sends in each heartbeat or reply.
type names struct {
	VM          fescuelatch.VMID
	Domain      fescuelatch.DomainID
	Incarnation fescuelatch.Incarnation
	// Owner is the incarnation used by package ownership.
	Owner fescuelatch.Incarnation
}

// linkID identifies a link at the callee. It is random, so that a restarted
// process does not recognize one of its predecessor. Zero means no link.
type linkID uint64

// link holds the names that a caller and a callee have agreed on.
type link struct {
	id             linkID
	caller, callee names
}

// elide clears a field that has the agreed value.
func elide[T comparable](field *T, agreed T) {
	if *field == agreed {
		var empty T
		*field = empty
	}
}

// fill sets an empty field to the agreed value.
func fill[T comparable](field *T, agreed T) {
	var empty T
	if *field == empty {
		*field = agreed
	}
}

// nameTransform applies elide or fill to the names in a message.
type nameTransform struct {
	vm          func(*fescuelatch.VMID, fescuelatch.VMID)
	domain      func(*fescuelatch.DomainID, fescuelatch.DomainID)
	incarnation func(*fescuelatch.Incarnation, fescuelatch.Incarnation)
}

var (
	shorten = nameTransform{elide[fescuelatch.VMID], elide[fescuelatch.DomainID], elide[fescuelatch.Incarnation]}
	restore = nameTransform{fill[fescuelatch.VMID], fill[fescuelatch.DomainID], fill[fescuelatch.Incarnation]}
)

func (s nameTransform) hello(h *Hello, n *names) {
	s.vm(&h.VM, n.VM)
	s.domain(&h.Domain, n.Domain)
	s.incarnation(&h.Incarnation, n.Incarnation)
	h.Evidence = slices.Clone(h.Evidence)
	for i := range h.Evidence {
		s.incarnation(&h.Evidence[i].Origin, n.Incarnation)
	}
}

func (s nameTransform) heartbeat(h *Heartbeat, l *link) {
	s.hello(&h.Hello, &l.caller)
	h.Ownership = s.ownershipHeartbeat(h.Ownership, &l.caller)
	if a := h.Acked; a != nil {
		c := *a
		s.ownershipAck(&c.Ack, &l.caller, &l.callee)
		h.Acked = &c
	}
	if !h.Known.Through.IsZero() {
		s.incarnation(&h.Known.Incarnation, l.callee.Incarnation)
	}
}

func (s nameTransform) reply(r *HeartbeatReply, l *link) {
	s.hello(&r.Hello, &l.callee)
	if a := r.Ownership; a != nil {
		c := *a
		s.ownershipAck(&c, &l.callee, &l.caller)
		r.Ownership = &c
	}
	r.Beat = s.ownershipHeartbeat(r.Beat, &l.callee)
}

func (s nameTransform) ownershipHeartbeat(b *ownership.Heartbeat, from *names) *ownership.Heartbeat {
	if b == nil {
		return nil
	}
	c := *b
	s.vm(&c.From, from.VM)
	s.incarnation(&c.Incarnation, from.Owner)
	return &c
}

func (s nameTransform) ownershipAck(a *ownership.Ack, from, to *names) {
	s.vm(&a.From, from.VM)
	s.incarnation(&a.Incarnation, from.Owner)
	s.incarnation(&a.To, to.Owner)
}

// namesOf returns the names in h, with owner as the incarnation of ownership.
func namesOf(h *Hello, owner fescuelatch.Incarnation) names {
	return names{VM: h.VM, Domain: h.Domain, Incarnation: h.Incarnation, Owner: owner}
}

func callerNames(h *Heartbeat) names {
	if h.Ownership == nil {
		return namesOf(&h.Hello, "")
	}
	return namesOf(&h.Hello, h.Ownership.Incarnation)
}

func calleeNames(r *HeartbeatReply) names {
	if r.Ownership == nil {
		return namesOf(&r.Hello, "")
	}
	return namesOf(&r.Hello, r.Ownership.Incarnation)
}

// callerLinks holds the links of a caller by address. The zero value is ready
// to use.
type callerLinks struct {
	mu   sync.Mutex
	byTo map[netip.AddrPort]*link
}

func (ls *callerLinks) get(to netip.AddrPort) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.byTo[to]
}

// set replaces a link; nil removes it.
func (ls *callerLinks) set(to netip.AddrPort, l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l == nil {
		delete(ls.byTo, to)
		return
	}
	if ls.byTo == nil {
		ls.byTo = make(map[netip.AddrPort]*link)
	}
	ls.byTo[to] = l
}

// calleeLinks holds the links of a callee, one for each VM. The zero value is
// ready to use.
type calleeLinks struct {
	mu   sync.Mutex
	byID map[linkID]*link
	byVM map[fescuelatch.VMID]*link
}

func (ls *calleeLinks) get(id linkID) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.byID[id]
}

// agree returns the identifier of the link with a caller. It replaces the link
// if the names have changed.
func (ls *calleeLinks) agree(caller, called names) linkID {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	was := ls.byVM[caller.VM]
	if was != nil && was.caller == caller && was.callee == called {
		return was.id
	}
	if ls.byID == nil {
		ls.byID = make(map[linkID]*link)
		ls.byVM = make(map[fescuelatch.VMID]*link)
	}
	if was != nil {
		delete(ls.byID, was.id)
	}
	l := &link{id: linkID(rand.Uint64() | 1), caller: caller, callee: called}
	ls.byID[l.id], ls.byVM[caller.VM] = l, l
	return l.id
}

// linkHandler is a Handler that fills in the names of heartbeats and elides
// those of replies.
type linkHandler struct {
	Handler
	links calleeLinks
}

// Heartbeat implements Handler. It ignores a heartbeat with an unknown link;
// the caller sends it again in full.
func (l *linkHandler) Heartbeat(h *Heartbeat, reply *HeartbeatReply) error {
	var k *link
	if h.Link != 0 {
		if k = l.links.get(h.Link); k == nil {
			reply.Relink = true
			return nil
		}
		restore.heartbeat(h, k)
	}
	if err := l.Handler.Heartbeat(h, reply); err != nil {
		return err
	}
	if k != nil {
		shorten.reply(reply, k)
	} else {
		reply.Link = l.links.agree(callerNames(h), calleeNames(reply))
	}
	return nil
}

// Heartbeat sends a heartbeat, without the names that the link replaces.
func (c *Client) Heartbeat(ctx context.Context, to netip.AddrPort, h *Heartbeat) (*HeartbeatReply, error) {
	l := c.links.get(to)
	if l == nil {
		return c.sendFullHeartbeat(ctx, to, h)
	}
	short := *h
	short.Link = l.id
	shorten.heartbeat(&short, l)
	reply, err := call(ctx, c, to, "Heartbeat", &short, new(HeartbeatReply))
	if err != nil {
		return nil, err
	}
	if reply.Relink {
		c.links.set(to, nil)
		return c.sendFullHeartbeat(ctx, to, h)
	}
	restore.reply(reply, l)
	return reply, nil
}

// sendFullHeartbeat sends a heartbeat with all names and stores the link of the
// reply.
func (c *Client) sendFullHeartbeat(ctx context.Context, to netip.AddrPort, h *Heartbeat) (*HeartbeatReply, error) {
	reply, err := call(ctx, c, to, "Heartbeat", h, new(HeartbeatReply))
	if err != nil {
		return nil, err
	}
	if reply.Link != 0 {
		c.links.set(to, &link{id: reply.Link, caller: callerNames(h), callee: calleeNames(reply)})
	}
	return reply, nil
}
