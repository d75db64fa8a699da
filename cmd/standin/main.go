// Command standin simulates the systems that the router depends on, for tests,
// the demo and experiments. Each subcommand simulates one system.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"fescuelatch/cmd/standin/engine"
	"fescuelatch/cmd/standin/kv"
	"fescuelatch/cmd/standin/link"
	"fescuelatch/cmd/standin/rating"
	"fescuelatch/cmd/standin/service"
	"fescuelatch/cmd/standin/vms"
	"fescuelatch/cmd/standin/weights"
)

type commands struct {
	Platform *kv.Settings      `arg:"subcommand:platform" help:"key-value service"`
	Engine   *engine.Settings  `arg:"subcommand:engine" help:"model engine"`
	Service  *service.Settings `arg:"subcommand:service" help:"plain service"`
	VMs      *vms.Settings     `arg:"subcommand:vms" help:"lagging list of VMs"`
	Rating   *rating.Settings  `arg:"subcommand:rating" help:"rating service"`
	Weights  *weights.Settings `arg:"subcommand:weights" help:"weight store"`
	Link     *link.Settings    `arg:"subcommand:link" help:"TCP relay that can cut connections"`
}

// runner is a stand-in that runs until its context ends.
type runner interface {
	Run(ctx context.Context, log *slog.Logger) error
}

func main() {
	var c commands
	p := newParser(&c)
	p.MustParse(os.Args[1:])
	r, ok := p.Subcommand().(runner)
	if !ok {
		p.Fail("a subcommand is required")
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("standin", p.SubcommandNames()[0])
	if err := run(r, log); err != nil {
		log.Error("failed", "error", err.Error())
		os.Exit(1)
	}
}

func newParser(c *commands) *arg.Parser {
	p, err := arg.NewParser(arg.Config{Program: "standin", EnvPrefix: "FESCUELATCH_"}, c)
	if err != nil {
		// The commands type is invalid.
		panic(err)
	}
	return p
}

func run(r runner, log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return r.Run(ctx, log)
}
