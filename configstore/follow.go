package configstore

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/internal/pause"
)

// This file defines how a daemon follows the configuration at the platform.

// Follower keeps a Holder up with the platform. A watch counts as a call
// there for as long as it waits, so few daemons of a failure domain run a
// Follower and the others learn from them.
type Follower struct {
	Store  *Store
	Holder *Holder
	// Recheck is the longest time between two reads of the head, which finds
	// what a watch has missed. Zero means the default.
	Recheck time.Duration
	// Failed, when set, is told of each error. Run goes on after it.
	Failed func(error)
	// Reached, when set, is told after each successful read of the head.
	Reached func(fescuelatch.Generation)
}

const defaultRecheck = 30 * time.Second

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backOff := f.Store.Retry.backOff()
	for ctx.Err() == nil {
		err := f.round(ctx)
		if err == nil {
			backOff.Reset()
			continue
		}
		if f.Failed != nil && ctx.Err() == nil {
			f.Failed(err)
		}
		pause.For(ctx, backOff.NextBackOff())
	}
}

// round opens a watch, reads what came before it, and takes in changes until
// the watch breaks or the recheck is due. Opening the watch first leaves no
// gap between the two.
func (f *Follower) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(f.Recheck, defaultRecheck))
	defer cancel()
	events, err := f.Store.KV.Watch(ctx, prefixChange, prefixChange+"\xff", 0)
	if err != nil {
		return unreadable(opFollow, err)
	}
	if err := f.CatchUp(ctx); err != nil {
		return err
	}
	for kv := range events {
		if kv.Revision == 0 {
			continue // pruned
		}
		if err := f.take(ctx, kv); err != nil {
			return err
		}
	}
	return nil
}

// take brings the watched change into force, or catches up when it does not
// join on to what is in force.
func (f *Follower) take(ctx context.Context, kv fescuelatch.KeyValue) error {
	now := f.Holder.Generation()
	if kv.Key <= changeKey(now) {
		return nil
	}
	if kv.Key == changeKey(now+1) {
		c, err := decodeChange(kv.Value, now+1)
		if err == nil {
			u := Update{Generation: now + 1, Digest: c.Digest, Changes: []fescuelatch.Change{*c}}
			if _, err = f.Holder.Take(u); err == nil {
				return nil
			}
		}
	}
	return f.CatchUp(ctx)
}

// CatchUp reads the head and brings what the Holder lacks into force.
func (f *Follower) CatchUp(ctx context.Context) error {
	h, _, err := f.Store.head(ctx, opFollow)
	if err != nil {
		return err
	}
	if err := f.advance(ctx, h); err != nil {
		return err
	}
	if f.Reached != nil {
		f.Reached(h.Generation)
	}
	return nil
}

// advance prefers the changes, which are small, and falls back to the full
// configuration when they are gone or do not lead to the head's digest.
func (f *Follower) advance(ctx context.Context, h head) error {
	now := f.Holder.Generation()
	if h.Generation <= now {
		return nil
	}
	if now > 0 && h.Generation-now <= f.Store.retain() {
		cs, err := f.Store.changes(ctx, opFollow, now, h.Generation)
		if KindOf(err) == KindUnavailable {
			return err
		}
		if err == nil {
			u := Update{Generation: h.Generation, Digest: h.Digest, Changes: cs}
			if _, err = f.Holder.Take(u); err == nil {
				return nil
			}
		}
	}
	c, err := f.Store.Load(ctx)
	if err != nil {
		return err
	}
	_, err = f.Holder.Offer(c)
	return err
}
