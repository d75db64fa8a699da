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

// This file defines links: what two daemons leave out of their heartbeats
// once each knows the other's names. A field that differs from what was
// agreed on is sent, so that a link never changes what a heartbeat says.

// names are the names that a daemon sends in each heartbeat or reply.
type names struct {
	VM          fescuelatch.VMID
	Domain      fescuelatch.DomainID
	Incarnation fescuelatch.Incarnation
	// Owner is the incarnation that ownership works with.
	Owner fescuelatch.Incarnation
}

// linkID names a link at the daemon that agreed to it. It is random, so that
// a process does not know one of its predecessor. Zero is none.
type linkID uint64

// link is what a daemon that calls and one that is called have agreed on.
type link struct {
	id             linkID
	caller, called names
}

// elide empties a field that has the agreed value, which is not empty.
func elide[T comparable](field *T, agreed T) {
	if *field == agreed {
		var empty T
		*field = empty
	}
}

// fill gives an empty field the agreed value.
func fill[T comparable](field *T, agreed T) {
	var empty T
	if *field == empty {
		*field = agreed
	}
}

// setter is elide or fill for each kind of field.
type setter struct {
	vm          func(*fescuelatch.VMID, fescuelatch.VMID)
	domain      func(*fescuelatch.DomainID, fescuelatch.DomainID)
	incarnation func(*fescuelatch.Incarnation, fescuelatch.Incarnation)
}

var (
	shorten = setter{elide[fescuelatch.VMID], elide[fescuelatch.DomainID], elide[fescuelatch.Incarnation]}
	restore = setter{fill[fescuelatch.VMID], fill[fescuelatch.DomainID], fill[fescuelatch.Incarnation]}
)

func (s setter) hello(h *Hello, n *names) {
	s.vm(&h.VM, n.VM)
	s.domain(&h.Domain, n.Domain)
	s.incarnation(&h.Incarnation, n.Incarnation)
	h.Evidence = slices.Clone(h.Evidence)
	for i := range h.Evidence {
		s.incarnation(&h.Evidence[i].Origin, n.Incarnation)
	}
}

func (s setter) heartbeat(h *Heartbeat, l *link) {
	s.hello(&h.Hello, &l.caller)
	h.Ownership = s.beat(h.Ownership, &l.caller)
	if a := h.Acked; a != nil {
		c := *a
		s.ack(&c.Ack, &l.caller, &l.called)
		h.Acked = &c
	}
	if !h.Known.Through.IsZero() {
		s.incarnation(&h.Known.Incarnation, l.called.Incarnation)
	}
}

func (s setter) reply(r *HeartbeatReply, l *link) {
	s.hello(&r.Hello, &l.called)
	if a := r.Ownership; a != nil {
		c := *a
		s.ack(&c, &l.called, &l.caller)
		r.Ownership = &c
	}
	r.Beat = s.beat(r.Beat, &l.called)
}

func (s setter) beat(b *ownership.Heartbeat, from *names) *ownership.Heartbeat {
	if b == nil {
		return nil
	}
	c := *b
	s.vm(&c.From, from.VM)
	s.incarnation(&c.Incarnation, from.Owner)
	return &c
}

func (s setter) ack(a *ownership.Ack, from, to *names) {
	s.vm(&a.From, from.VM)
	s.incarnation(&a.Incarnation, from.Owner)
	s.incarnation(&a.To, to.Owner)
}

// namesOf returns the names in a hello and in what goes with it.
func namesOf(h *Hello, owner fescuelatch.Incarnation) names {
	return names{VM: h.VM, Domain: h.Domain, Incarnation: h.Incarnation, Owner: owner}
}

func callerOf(h *Heartbeat) names {
	if h.Ownership == nil {
		return namesOf(&h.Hello, "")
	}
	return namesOf(&h.Hello, h.Ownership.Incarnation)
}

func calledOf(r *HeartbeatReply) names {
	if r.Ownership == nil {
		return namesOf(&r.Hello, "")
	}
	return namesOf(&r.Hello, r.Ownership.Incarnation)
}

// callerLinks are the links of a daemon that calls. The zero value is ready
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

// set replaces a link; nil takes it away.
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

// calledLinks are the links of a daemon that is called, one for each VM. The
// zero value is ready to use.
type calledLinks struct {
	mu   sync.Mutex
	byID map[linkID]*link
	byVM map[fescuelatch.VMID]*link
}

func (ls *calledLinks) get(id linkID) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.byID[id]
}

// agree returns the link of two daemons, a new one if their names have
// changed.
func (ls *calledLinks) agree(caller, called names) linkID {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	was := ls.byVM[caller.VM]
	if was != nil && was.caller == caller && was.called == called {
		return was.id
	}
	if ls.byID == nil {
		ls.byID = make(map[linkID]*link)
		ls.byVM = make(map[fescuelatch.VMID]*link)
	}
	if was != nil {
		delete(ls.byID, was.id)
	}
	l := &link{id: linkID(rand.Uint64() | 1), caller: caller, called: called}
	ls.byID[l.id], ls.byVM[caller.VM] = l, l
	return l.id
}

// linked is a Handler that completes and shortens heartbeats.
type linked struct {
	Handler
	links calledLinks
}

// Heartbeat implements Handler. A heartbeat of an unknown link is not taken
// in; the caller sends it again in full.
func (l *linked) Heartbeat(h *Heartbeat, reply *HeartbeatReply) error {
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
		reply.Link = l.links.agree(callerOf(h), calledOf(reply))
	}
	return nil
}

// Heartbeat sends a heartbeat.
func (c *Client) Heartbeat(ctx context.Context, to netip.AddrPort, h *Heartbeat) (*HeartbeatReply, error) {
	l := c.links.get(to)
	if l == nil {
		return c.heartbeatInFull(ctx, to, h)
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
		return c.heartbeatInFull(ctx, to, h)
	}
	restore.reply(reply, l)
	return reply, nil
}

// heartbeatInFull sends a heartbeat with all names and keeps the link that
// the called daemon has agreed to.
func (c *Client) heartbeatInFull(ctx context.Context, to netip.AddrPort, h *Heartbeat) (*HeartbeatReply, error) {
	reply, err := call(ctx, c, to, "Heartbeat", h, new(HeartbeatReply))
	if err != nil {
		return nil, err
	}
	if reply.Link != 0 {
		c.links.set(to, &link{id: reply.Link, caller: callerOf(h), called: calledOf(reply)})
	}
	return reply, nil
}
