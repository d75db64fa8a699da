package main

import (
	"context"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/inventory"
)

// This file defines the commands that only concern the rules.

// run checks the rules against the inventory in the same files or, without
// one, against the active inventory.
func (c *rulesCheck) run(ctx context.Context, s *session) error {
	files, err := loadRules(c.Paths)
	if err != nil {
		return err
	}
	conf := &files.Configuration
	if !files.HasInventory() {
		base, err := s.configuration(ctx)
		if err != nil {
			return err
		}
		conf = files.ApplyRulesTo(base)
	}
	if err := files.Check(conf); err != nil {
		return err
	}
	return s.reportCheck(conf)
}

func (c *rulesApply) run(ctx context.Context, s *session) error {
	files, err := loadRules(c.Paths)
	if err != nil {
		return err
	}
	return s.change(ctx, c.changeFlags, func(base *fescuelatch.Configuration) (*fescuelatch.Configuration, error) {
		next := files.ApplyRulesTo(base)
		return next, files.Check(next)
	})
}

// loadRules reads files that must contain rules: without this check, a wrong
// path would remove every account.
func loadRules(paths []string) (*inventory.Files, error) {
	files, err := inventory.Load(paths...)
	if err != nil {
		return nil, err
	}
	if !files.HasRules() {
		if err := files.Check(&files.Configuration); err != nil {
			return nil, err
		}
		return nil, usageError("read rules", errors.New("the files contain no list of accounts"))
	}
	return files, nil
}

func (c *rulesGet) run(ctx context.Context, s *session) error {
	conf, err := s.configuration(ctx)
	if err != nil {
		return err
	}
	if s.args.JSON {
		return s.writeJSON(conf.Rules)
	}
	if err := s.writeGeneration(conf); err != nil {
		return err
	}
	return inventory.WriteRules(s.out, &conf.Rules)
}
