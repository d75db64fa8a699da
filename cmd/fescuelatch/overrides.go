package main

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the commands that take versions, failure domains, VMs
// and endpoints out of service and back in.

func (c *versionWithdraw) run(ctx context.Context, s *session) error {
	return s.override(ctx, c.overrideArguments, fescuelatch.EntryVersion, insert)
}

func (c *versionRestore) run(ctx context.Context, s *session) error {
	return s.override(ctx, c.overrideArguments, fescuelatch.EntryVersion, remove)
}

func (c *domainOut) run(ctx context.Context, s *session) error {
	return s.override(ctx, c.overrideArguments, fescuelatch.EntryDomain, insert)
}

func (c *domainIn) run(ctx context.Context, s *session) error {
	return s.override(ctx, c.overrideArguments, fescuelatch.EntryDomain, remove)
}

func (c *vmOut) run(ctx context.Context, s *session) error {
	return s.override(ctx, c.overrideArguments, fescuelatch.EntryVM, insert)
}

func (c *vmIn) run(ctx context.Context, s *session) error {
	return s.override(ctx, c.overrideArguments, fescuelatch.EntryVM, remove)
}

func (c *endpointOut) run(ctx context.Context, s *session) error {
	return s.override(ctx, c.overrideArguments, fescuelatch.EntryEndpoint, insert)
}

func (c *endpointIn) run(ctx context.Context, s *session) error {
	return s.override(ctx, c.overrideArguments, fescuelatch.EntryEndpoint, remove)
}

// setOperation is an operation on identifiers in a list of overrides.
type setOperation bool

const (
	insert setOperation = true
	remove setOperation = false
)

// override inserts identifiers into the list of overrides of kind k or removes
// them.
func (s *session) override(ctx context.Context, a overrideArguments, k fescuelatch.EntryKind, op setOperation) error {
	return s.change(ctx, a.changeFlags, func(base *fescuelatch.Configuration) (*fescuelatch.Configuration, error) {
		if err := checkExist(base, k, a.IDs); err != nil {
			return nil, err
		}
		next := *base
		o := &next.Overrides
		switch k {
		case fescuelatch.EntryVersion:
			o.Withdrawn = updateIDs(o.Withdrawn, a.IDs, op)
		case fescuelatch.EntryDomain:
			o.DomainsOut = updateIDs(o.DomainsOut, a.IDs, op)
		case fescuelatch.EntryVM:
			o.VMsOut = updateIDs(o.VMsOut, a.IDs, op)
		default:
			o.EndpointsOut = updateIDs(o.EndpointsOut, a.IDs, op)
		}
		return &next, nil
	})
}

func checkExist(c *fescuelatch.Configuration, k fescuelatch.EntryKind, ids []string) error {
	known := make(map[fescuelatch.EntryKey]bool)
	for _, e := range c.Entries() {
		known[e.EntryKey] = true
	}
	for _, id := range ids {
		if !known[fescuelatch.EntryKey{Kind: k, ID: id}] {
			return usageError("set override", errors.Errorf("there is no %s %q at generation %d", k, id, c.Generation))
		}
	}
	return nil
}

// updateIDs returns a sorted copy of list with ids inserted or removed.
func updateIDs[K ~string](list []K, ids []string, op setOperation) []K {
	out := slices.Clone(list)
	for _, id := range ids {
		out = slices.DeleteFunc(out, func(k K) bool { return string(k) == id })
		if op == insert {
			out = append(out, K(id))
		}
	}
	slices.Sort(out)
	return out
}
