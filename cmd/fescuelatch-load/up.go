package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"fescuelatch/fleet"
)

// This file defines the subcommand up.

type upCommand struct {
	fleetSettings
	Daemon []string `arg:"--daemon,separate" help:"further argument of every daemon, such as --daemon=--gate=fixed"`
}

func (c *upCommand) run(ctx context.Context) (int, error) {
	o, err := c.options("up")
	if err != nil {
		return exitFailed, err
	}
	o.Fixed = true
	o.Daemon = c.Daemon
	f, _, err := start(ctx, o)
	if err != nil {
		return exitFailed, err
	}
	defer f.Close()
	describe(os.Stdout, f)
	fmt.Printf("\nlogs are in %s; interrupt to stop\n", o.Dir)
	<-ctx.Done()
	return exitOK, nil
}

// describe prints the addresses and keys of a fleet and example calls.
func describe(w io.Writer, f *fleet.Fleet) {
	c := f.Configuration
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("%-14s %-8s %-22s %-22s %s", "VM", "domain", "callers", "operators", "peers")
	for _, m := range c.Inventory.VMs {
		p("%-14s %-8s %-22s %-22s %s", m.ID, m.Domain, m.Caller, m.Operator, m.Peer)
	}
	p("\n%-22s %-22s %s", "endpoint", "pool", "address")
	for _, e := range c.Inventory.Endpoints {
		p("%-22s %-22s %s", e.ID, e.Pool, e.Address)
	}
	p("\nplatform %s", f.Platform())
	p("operator key %s", f.OperatorKey)
	p("account keys:")
	for _, a := range c.Rules.Accounts {
		p("  %-20s %s", a.ID, f.Keys[a.ID])
	}
	if len(c.Inventory.VMs) == 0 || len(c.Rules.Accounts) == 0 || len(c.Inventory.Models) == 0 {
		return
	}
	m, a, model := c.Inventory.VMs[0], c.Rules.Accounts[0], c.Inventory.Models[0]
	p("\ncurl -i http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\", m.Caller, f.Keys[a.ID])
	p(`  -d '{"model":"%s","max_tokens":8,"messages":[{"role":"user","content":"nonce:1 hello"}]}'`, model.ID)
	p("curl http://%s/v1/status -H 'Authorization: Bearer %s'", m.Operator, f.OperatorKey)
}
