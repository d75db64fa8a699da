package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/keyvalue"
	"fescuelatch/ownership"
	"fescuelatch/peer"
)

// This file defines which daemon of a failure domain calls the platform.

// relayRemote returns the connection to the daemon that calls the platform: the
// first live one by identifier. It returns nil if that is this daemon.
func (d *Daemon) relayRemote() keyvalue.Remote {
	if !d.options.Relay || d.leaving.Load() {
		return nil
	}
	v := d.holder.View()
	if v == nil {
		return nil
	}
	m, ok := v.VM(d.firstMember())
	if !ok {
		return nil
	}
	return func(ctx context.Context, t fescuelatch.KVTxn) (keyvalue.SubmitReply, error) {
		return d.submitTo(ctx, m, t)
	}
}

// firstMember returns the first live daemon of the failure domain if it
// precedes this one, or "".
func (d *Daemon) firstMember() fescuelatch.VMID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.firstMemberAt(time.Now())
}

// firstMemberAt is firstMember with the lock held.
func (d *Daemon) firstMemberAt(now time.Time) fescuelatch.VMID {
	first := d.options.VM
	for _, m := range d.table.Members(now) {
		if m.State == ownership.StateAlive && m.VM < first {
			first = m.VM
		}
	}
	if first == d.options.VM {
		return ""
	}
	return first
}

func (d *Daemon) submitTo(ctx context.Context, m fescuelatch.VM, t fescuelatch.KVTxn) (keyvalue.SubmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := d.peers.Submit(ctx, m.Peer, &peer.SubmitRequest{Txn: t, Within: claimTimeout})
	if err == nil {
		return *reply, nil
	}
	kind := keyvalue.KindUnknown
	var e *peer.Error
	if errors.As(err, &e) && e.Op == peer.OpDial {
		kind = keyvalue.KindUnavailable
	}
	return keyvalue.SubmitReply{}, &keyvalue.Error{Op: "relay", Kind: kind, Err: err}
}
