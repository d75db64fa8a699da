package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/fleet"
	"fescuelatch/inventory"
	"fescuelatch/load"
)

// This file defines the settings of a fleet on this machine and starts it.

// fleetSettings selects the fleet to start.
type fleetSettings struct {
	Fleet    string `arg:"--fleet" default:"umurongo" help:"name of the example inventory"`
	Examples string `arg:"--examples" default:"examples" help:"directory of the example inventories"`
	Bin      string `arg:"--bin" help:"directory of fescuelatchd and standin [default: that of this program]"`
	Out      string `arg:"--out" default:"out" help:"directory for reports and logs"`
}

// configuration reads the example inventory.
func (s *fleetSettings) configuration() (*fescuelatch.Configuration, error) {
	return inventory.Read(filepath.Join(s.Examples, s.Fleet))
}

// options returns the options of a fleet that logs to a directory below Out.
func (s *fleetSettings) options(name string) (fleet.Options, error) {
	c, err := s.configuration()
	if err != nil {
		return fleet.Options{}, err
	}
	bin, err := s.bin()
	if err != nil {
		return fleet.Options{}, err
	}
	return fleet.Options{Configuration: c, Bin: bin, Dir: filepath.Join(s.Out, name, "logs")}, nil
}

// bin returns the directory of the fleet's programs.
func (s *fleetSettings) bin() (string, error) {
	if s.Bin != "" {
		return s.Bin, nil
	}
	exe, err := os.Executable()
	return filepath.Dir(exe), errors.WithStack(err)
}

// start starts a fleet with options o and returns it with the callers'
// accounts.
func start(ctx context.Context, o fleet.Options) (*fleet.Fleet, []load.Account, error) {
	f, err := fleet.Start(ctx, o)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "logs are in %s", o.Dir)
	}
	return f, load.AccountsOf(f.Configuration, f.Keys), nil
}

// targets returns the caller addresses of an inventory.
func targets(c *fescuelatch.Configuration) []load.Target {
	var ts []load.Target
	for _, m := range c.Inventory.VMs {
		ts = append(ts, load.Target{Caller: m.Caller, Health: m.Operator})
	}
	return ts
}
