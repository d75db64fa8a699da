// Command fescuelatch-load sends caller traffic to a fleet, runs a fleet on this
// machine for trials, and measures it. See docs/LOAD.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// This file defines the command line.

type commands struct {
	Run        *runCommand        `arg:"subcommand:run" help:"send traffic to the caller addresses of an inventory"`
	Up         *upCommand         `arg:"subcommand:up" help:"run a fleet on this machine until interrupted"`
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run a fleet under load and failures, and audit it"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"measure the policies against baselines"`
	Capacity   *capacityCommand   `arg:"subcommand:capacity" help:"write the tables of docs/CAPACITY.md from measured costs"`
	Cost       *costCommand       `arg:"subcommand:cost" help:"measure what a daemon costs as fleets grow"`
	Soak       *soakCommand       `arg:"subcommand:soak" help:"run daemons of the users' platform under series of faults and check what callers see"`
}

// command is a subcommand. Its run method returns the exit status.
type command interface {
	run(ctx context.Context) (int, error)
}

// Exit statuses.
const (
	exitOK         = 0
	exitViolations = 1
	exitFailed     = 2
)

func main() {
	var c commands
	p, err := arg.NewParser(arg.Config{Program: "fescuelatch-load", EnvPrefix: "FESCUELATCH_"}, &c)
	if err != nil {
		panic(err)
	}
	p.MustParse(os.Args[1:])
	s, ok := p.Subcommand().(command)
	if !ok {
		p.Fail("a subcommand is required")
	}
	os.Exit(execute(s))
}

func execute(s command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	status, err := s.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fescuelatch-load:", err)
		return exitFailed
	}
	return status
}
