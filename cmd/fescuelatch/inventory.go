package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/inventory"
)

// This file defines the commands on the inventory.

// checkResult is the JSON output of a check without faults.
type checkResult struct {
	Entries int               `json:"entries"`
	Faults  []inventory.Fault `json:"faults"`
}

func (c *inventoryCheck) run(_ context.Context, s *session) error {
	conf, err := inventory.Read(c.Paths...)
	if err != nil {
		return err
	}
	return s.reportCheck(conf)
}

func (s *session) reportCheck(conf *fescuelatch.Configuration) error {
	n := len(conf.Entries()) - 1 // without the overrides, which are not in files
	if s.args.JSON {
		return s.writeJSON(checkResult{Entries: n, Faults: []inventory.Fault{}})
	}
	_, err := fmt.Fprintf(s.out, "no faults in %d entries\n", n)
	return errors.WithStack(err)
}

func (c *inventoryApply) run(ctx context.Context, s *session) error {
	files, err := inventory.Load(c.Paths...)
	if err != nil {
		return err
	}
	// Faults in files with rules are reported without contacting a daemon.
	if files.HasRules() {
		if err := files.Check(&files.Configuration); err != nil {
			return err
		}
	}
	return s.change(ctx, c.changeFlags, func(base *fescuelatch.Configuration) (*fescuelatch.Configuration, error) {
		next := files.ApplyTo(base)
		return next, files.Check(next)
	})
}

func (c *inventoryGet) run(ctx context.Context, s *session) error {
	conf, err := s.configuration(ctx)
	if err != nil {
		return err
	}
	if s.args.JSON {
		return s.writeJSON(conf.Inventory)
	}
	if err := s.writeGeneration(conf); err != nil {
		return err
	}
	return inventory.WriteInventory(s.out, &conf.Inventory)
}

// configuration returns the active configuration.
func (s *session) configuration(ctx context.Context) (*fescuelatch.Configuration, error) {
	cl, err := s.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.args.Timeout)
	defer cancel()
	return cl.Configuration(ctx)
}

func (s *session) writeGeneration(c *fescuelatch.Configuration) error {
	_, err := fmt.Fprintf(s.out, "# generation %d, digest %s\n", c.Generation, c.Digest())
	return errors.WithStack(err)
}

func (c *inventoryHistory) run(ctx context.Context, s *session) error {
	cl, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.args.Timeout)
	defer cancel()
	changes, err := cl.History(ctx, c.Limit)
	if err != nil {
		return err
	}
	if s.args.JSON {
		return s.writeJSON(changes)
	}
	w := s.table()
	_, _ = fmt.Fprintln(w, "GENERATION\tAT\tAUTHOR\tCHANGE\tPUT\tDELETED\tNOTE")
	for n := range changes {
		h := &changes[n]
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%d\t%s\n",
			h.Generation(), h.At.UTC().Format(time.RFC3339), h.Author, h.ID, len(h.Put), len(h.Delete), h.Note)
	}
	return errors.WithStack(w.Flush())
}
