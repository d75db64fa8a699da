package daemon

import (
	"context"
	"encoding/json"
	"time"

	"fescuelatch/keyvalue"
	"fescuelatch/peer"
)

// This file defines the handler for calls of other daemons.

type peerHandler Daemon

var _ peer.Handler = (*peerHandler)(nil)

// Heartbeat implements peer.Handler.
func (p *peerHandler) Heartbeat(h *peer.Heartbeat, reply *peer.HeartbeatReply) error {
	d := (*Daemon)(p)
	if err := h.Validate(); err != nil {
		return err
	}
	if h.Ownership != nil {
		if err := d.answerHeartbeat(time.Now(), h, reply); err != nil {
			return err
		}
	}
	// The hello is processed in the background: the reply must not wait for
	// fetching a configuration that the sender may have.
	go d.receiveHello(context.Background(), h.Hello)
	reply.Hello = d.hello(h.Generation)
	if h.Known.Incarnation == d.incarnation {
		reply.Evidence = changedSince(reply.Evidence, h.Known.Through)
	}
	return nil
}

// Changes implements peer.Handler.
func (p *peerHandler) Changes(r *peer.ChangesRequest, reply *peer.ChangesReply) error {
	b, err := json.Marshal((*Daemon)(p).holder.Since(r.After))
	reply.Update = b
	return err
}

// Hold implements peer.Handler.
func (p *peerHandler) Hold(b *peer.BillBatch, _ *peer.Ack) error {
	d := (*Daemon)(p)
	batch, err := d.codec.Decode(b.Body)
	if err != nil {
		return err
	}
	from := b.From
	if from == "" {
		from = batch.Origin
	}
	return d.keeper.Hold(batch, from)
}

// Written implements peer.Handler.
func (p *peerHandler) Written(w *peer.BillsWritten, _ *peer.Ack) error {
	(*Daemon)(p).keeper.Drop(w.Origin, w.Through)
	return nil
}

// Submit implements peer.Handler.
func (p *peerHandler) Submit(r *peer.SubmitRequest, reply *keyvalue.SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.Within)
	defer cancel()
	*reply = keyvalue.NewSubmitReply((*Daemon)(p).batcher.Submit(ctx, r.Txn))
	return nil
}
