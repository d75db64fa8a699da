package main

import (
	"bufio"
	"context"
	"fmt"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/inventory"
	"fescuelatch/operator"
)

// This file defines the steps of every change: difference, confirmation,
// proposal, and the wait until it is active.

// editFunc returns the configuration that replaces base. It does not modify
// base.
type editFunc func(base *fescuelatch.Configuration) (*fescuelatch.Configuration, error)

// changeResult is the JSON output of a change. Change is empty when there was
// nothing to change.
type changeResult struct {
	Change     fescuelatch.ChangeID   `json:"change,omitempty"`
	Generation fescuelatch.Generation `json:"generation"`
	Accepted   bool                   `json:"accepted"`
	Diff       []inventory.EntryDiff  `json:"diff"`
	InForce    bool                   `json:"in-force"`
	Domains    []domainResult         `json:"failure-domains"`
}

func (s *session) change(ctx context.Context, f changeFlags, e editFunc) error {
	cl, err := s.client()
	if err != nil {
		return err
	}
	base, next, err := s.prepare(ctx, cl, f, e)
	if err != nil {
		return err
	}
	change := newChange(f, base, next)
	r := changeResult{Generation: base.Generation, Diff: inventory.Diff(base, change)}
	if err := s.showDiff(r.Diff, base.Generation); err != nil {
		return err
	}
	if change.Empty() {
		return s.await(ctx, cl, f.Wait, base, &r)
	}
	if err := s.confirm(f, base.Generation); err != nil {
		return err
	}
	if err := s.propose(ctx, cl, change, &r); err != nil {
		return err
	}
	next.Generation = r.Generation
	return s.await(ctx, cl, f.Wait, next, &r)
}

// prepare returns the active configuration and its replacement.
func (s *session) prepare(ctx context.Context, cl *operator.Client, f changeFlags, e editFunc) (base, next *fescuelatch.Configuration, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.args.Timeout)
	defer cancel()
	base, err = cl.Configuration(ctx)
	if err != nil {
		return nil, nil, err
	}
	if f.Base != nil && fescuelatch.Generation(*f.Base) != base.Generation {
		return nil, nil, staleBaseError(ctx, cl, fescuelatch.Generation(*f.Base), base.Generation)
	}
	next, err = e(base)
	return base, next, err
}

func newChange(f changeFlags, base, next *fescuelatch.Configuration) *fescuelatch.Change {
	c := fescuelatch.Diff(base, next)
	c.ID = fescuelatch.ChangeID(uuid.NewString())
	c.Author = author(f.Author)
	c.Note = f.Note
	c.At = time.Now().UTC()
	return &c
}

// staleBaseError names the change that replaced base if the history contains it.
func staleBaseError(ctx context.Context, cl *operator.Client, base, have fescuelatch.Generation) error {
	const op = "check base"
	const limit = 100
	changes, err := cl.History(ctx, limit)
	if err == nil {
		for n := range changes {
			if changes[n].Base == base {
				return &operator.Error{Op: op, Kind: operator.KindConflict, Winner: &changes[n]}
			}
		}
	}
	return &commandError{Op: op, Kind: kindStale, Err: errors.Errorf("generation %d is active, not %d", have, base)}
}

func author(flag string) string {
	if flag != "" {
		return flag
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// showDiff writes the difference; with --json it is part of the result.
func (s *session) showDiff(diffs []inventory.EntryDiff, base fescuelatch.Generation) error {
	if s.args.JSON {
		return nil
	}
	if len(diffs) == 0 {
		_, err := fmt.Fprintf(s.out, "nothing to change at generation %d\n", base)
		return errors.WithStack(err)
	}
	return inventory.WriteDiff(s.out, diffs)
}

// confirm asks on the error stream to keep the output machine-readable.
func (s *session) confirm(f changeFlags, base fescuelatch.Generation) error {
	if f.Yes {
		return nil
	}
	_, _ = fmt.Fprintf(s.err, "Make these changes to generation %d? [y/N] ", base)
	// A read error counts as an empty answer, which declines.
	line, _ := bufio.NewReader(s.in).ReadString('\n')
	switch strings.ToLower(strings.TrimSpace(line)) {
	case "y", "yes":
		return nil
	default:
		return &commandError{Op: "confirm", Kind: kindNotConfirmed, Err: errors.New("not confirmed, nothing was changed")}
	}
}

func (s *session) propose(ctx context.Context, cl *operator.Client, change *fescuelatch.Change, r *changeResult) error {
	ctx, cancel := context.WithTimeout(ctx, s.args.Timeout)
	defer cancel()
	result, err := cl.Propose(ctx, change)
	if err != nil {
		return explainUnknownOutcome(err, change)
	}
	r.Change, r.Generation, r.Accepted = result.Change, result.Generation, true
	if !s.args.JSON {
		_, _ = fmt.Fprintf(s.out, "accepted as generation %d, change %s\n", r.Generation, r.Change)
	}
	return nil
}

// explainUnknownOutcome adds to an unknown outcome how to resolve it later.
func explainUnknownOutcome(err error, change *fescuelatch.Change) error {
	var o *operator.Error
	if !errors.As(err, &o) || o.Kind != operator.KindUnknown {
		return err
	}
	return errors.Wrapf(err, "change %s may or may not become generation %d; look for it with `inventory history`",
		change.ID, change.Generation())
}
