package configstore

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the store and its read operations.

// Store reads and changes the configuration at the platform. It is safe for
// concurrent use and starts no goroutine.
type Store struct {
	KV fescuelatch.KV
	// Retry is the backoff between attempts to determine an unknown outcome.
	// The zero value selects the defaults.
	Retry Retry
	// Retain is the number of generations whose changes are stored. It must
	// be a multiple of 64. Zero means DefaultRetain.
	Retain fescuelatch.Generation
}

func (s *Store) retain() fescuelatch.Generation {
	if s.Retain == 0 {
		return DefaultRetain
	}
	return s.Retain
}

const (
	opLoad    = "load"
	opPropose = "propose"
	opHistory = "history"
	opFollow  = "follow"
)

// Load returns the newest accepted configuration after verifying its digest.
// Before the first change the configuration is empty and has generation zero.
func (s *Store) Load(ctx context.Context) (*fescuelatch.Configuration, error) {
	c, _, err := s.load(ctx)
	return c, err
}

// load returns the newest configuration and the revision of the head key.
func (s *Store) load(ctx context.Context) (*fescuelatch.Configuration, int64, error) {
	h, revision, err := s.head(ctx, opLoad)
	if err != nil {
		return nil, 0, err
	}
	if h.Generation == 0 {
		return new(fescuelatch.Configuration), revision, nil
	}
	c, err := s.full(ctx, newestFull(h.Generation))
	if err != nil {
		return nil, 0, err
	}
	cs, err := s.changes(ctx, opLoad, c.Generation, h.Generation)
	if err != nil {
		return nil, 0, err
	}
	if c, err = applyAll(c, cs); err != nil {
		return nil, 0, &Error{Op: opLoad, Kind: KindCorrupt, Err: err}
	}
	if d := c.Digest(); c.Generation != h.Generation || d != h.Digest {
		err := errors.Errorf("loaded generation %d with digest %s, but head has generation %d with digest %s", c.Generation, d, h.Generation, h.Digest)
		return nil, 0, &Error{Op: opLoad, Kind: KindCorrupt, Err: err}
	}
	return c, revision, nil
}

// head returns the head and the revision of its key, or zero values if the
// key does not exist.
func (s *Store) head(ctx context.Context, op string) (head, int64, error) {
	var h head
	kv, err := s.KV.Get(ctx, keyHead)
	if err != nil {
		return h, 0, readError(op, err)
	}
	if kv.Revision == 0 {
		return h, 0, nil
	}
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return h, 0, &Error{Op: op, Kind: KindCorrupt, Err: errors.WithStack(err)}
	}
	return h, kv.Revision, nil
}

func (s *Store) full(ctx context.Context, g fescuelatch.Generation) (*fescuelatch.Configuration, error) {
	kv, err := s.KV.Get(ctx, fullKey(g))
	if err != nil {
		return nil, readError(opLoad, err)
	}
	if kv.Revision == 0 {
		return nil, &Error{Op: opLoad, Kind: KindCorrupt, Err: errors.Errorf("full configuration of generation %d is missing", g)}
	}
	c, err := decodeFull(kv.Value, g)
	if err != nil {
		return nil, &Error{Op: opLoad, Kind: KindCorrupt, Err: err}
	}
	return c, nil
}

// changes returns the changes after generation from, up to and including
// generation to. It returns a KindCorrupt error if any of them is missing.
func (s *Store) changes(ctx context.Context, op string, from, to fescuelatch.Generation) ([]fescuelatch.Change, error) {
	if from >= to {
		return nil, nil
	}
	kvs, err := s.KV.List(ctx, changeKey(from+1), changeKey(to+1), int(to-from))
	if err != nil {
		return nil, readError(op, err)
	}
	if len(kvs) != int(to-from) {
		err := errors.Errorf("found %d changes between generations %d and %d", len(kvs), from, to)
		return nil, &Error{Op: op, Kind: KindCorrupt, Err: err}
	}
	cs := make([]fescuelatch.Change, 0, len(kvs))
	for i, kv := range kvs {
		c, err := decodeChange(kv.Value, from+fescuelatch.Generation(i)+1)
		if err != nil {
			return nil, &Error{Op: op, Kind: KindCorrupt, Err: err}
		}
		cs = append(cs, *c)
	}
	return cs, nil
}

// change returns the change that produced generation g, or nil if it is not
// stored.
func (s *Store) change(ctx context.Context, op string, g fescuelatch.Generation) (*fescuelatch.Change, error) {
	kv, err := s.KV.Get(ctx, changeKey(g))
	if err != nil {
		return nil, readError(op, err)
	}
	if kv.Revision == 0 {
		return nil, nil
	}
	c, err := decodeChange(kv.Value, g)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindCorrupt, Err: err}
	}
	return c, nil
}

// History returns up to limit of the most recent changes, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]fescuelatch.Change, error) {
	h, _, err := s.head(ctx, opHistory)
	if err != nil || h.Generation == 0 || limit <= 0 {
		return nil, err
	}
	limit = min(limit, int(s.retain()))
	var from fescuelatch.Generation
	if h.Generation > fescuelatch.Generation(limit) {
		from = h.Generation - fescuelatch.Generation(limit)
	}
	cs, err := s.changes(ctx, opHistory, from, h.Generation)
	if err != nil {
		return nil, err
	}
	for i, j := 0, len(cs)-1; i < j; i, j = i+1, j-1 {
		cs[i], cs[j] = cs[j], cs[i]
	}
	return cs, nil
}
