package configstore

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines how a daemon follows configuration changes at the platform.

// Follower keeps a Holder up to date with the platform. An open watch counts
// as a call there, so only a few daemons of a failure domain run a Follower
// and the others receive updates from them.
type Follower struct {
	Store  *Store
	Holder *Holder
	// RecheckInterval is the maximum interval between two reads of the head, which
	// detect changes that a watch missed. Zero means the default.
	RecheckInterval time.Duration
	// OnError, if set, is called with each error. Run continues afterwards.
	OnError func(error)
	// OnHeadRead, if set, is called with the generation of the head after each
	// successful CatchUp.
	OnHeadRead func(fescuelatch.Generation)
}

const defaultRecheckInterval = 30 * time.Second

// Run follows changes until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	backOff := f.Store.Retry.backOff()
	for ctx.Err() == nil {
		err := f.watchOnce(ctx)
		if err == nil {
			backOff.Reset()
			continue
		}
		if f.OnError != nil && ctx.Err() == nil {
			f.OnError(err)
		}
		pause.For(ctx, backOff.NextBackOff())
	}
}

// watchOnce opens a watch, catches up with earlier changes, and applies watched
// changes until the watch ends or RecheckInterval expires. Opening the watch first
// ensures that no change is missed in between.
func (f *Follower) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(f.RecheckInterval, defaultRecheckInterval))
	defer cancel()
	events, err := f.Store.KV.Watch(ctx, prefixChange, prefixChange+"\xff", 0)
	if err != nil {
		return readError(opFollow, err)
	}
	if err := f.CatchUp(ctx); err != nil {
		return err
	}
	for kv := range events {
		if kv.Revision == 0 {
			continue // deleted by pruning
		}
		if err := f.applyEvent(ctx, kv); err != nil {
			return err
		}
	}
	return nil
}

// applyEvent applies the watched change, or catches up if the change does not
// follow the active generation.
func (f *Follower) applyEvent(ctx context.Context, kv fescuelatch.KeyValue) error {
	active := f.Holder.Generation()
	if kv.Key <= changeKey(active) {
		return nil
	}
	if kv.Key == changeKey(active+1) {
		c, err := decodeChange(kv.Value, active+1)
		if err == nil {
			u := Update{Generation: active + 1, Digest: c.Digest, Changes: []fescuelatch.Change{*c}}
			if _, err = f.Holder.ApplyUpdate(u); err == nil {
				return nil
			}
		}
	}
	return f.CatchUp(ctx)
}

// CatchUp reads the head and brings Holder up to it.
func (f *Follower) CatchUp(ctx context.Context) error {
	h, _, err := f.Store.head(ctx, opFollow)
	if err != nil {
		return err
	}
	if err := f.advance(ctx, h); err != nil {
		return err
	}
	if f.OnHeadRead != nil {
		f.OnHeadRead(h.Generation)
	}
	return nil
}

// advance applies the stored changes, which are small. It loads the full
// configuration if changes are missing or do not produce the head's digest.
func (f *Follower) advance(ctx context.Context, h head) error {
	active := f.Holder.Generation()
	if h.Generation <= active {
		return nil
	}
	if active > 0 && h.Generation-active <= f.Store.retain() {
		cs, err := f.Store.changes(ctx, opFollow, active, h.Generation)
		if KindOf(err) == KindUnavailable {
			return err
		}
		if err == nil {
			u := Update{Generation: h.Generation, Digest: h.Digest, Changes: cs}
			if _, err = f.Holder.ApplyUpdate(u); err == nil {
				return nil
			}
		}
	}
	c, err := f.Store.Load(ctx)
	if err != nil {
		return err
	}
	_, err = f.Holder.Activate(c)
	return err
}
