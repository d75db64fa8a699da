// Command fescuelatch is the operators' command line: it checks and applies
// inventories and rules, withdraws versions, takes failure domains, VMs and
// endpoints out of service and back in, and shows the state of a fleet.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	arg "github.com/alexflint/go-arg"
	"github.com/pkg/errors"
	"golang.org/x/term"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], streams{
		in:       os.Stdin,
		out:      os.Stdout,
		err:      os.Stderr,
		terminal: term.IsTerminal(int(os.Stderr.Fd())),
	})
	stop()
	os.Exit(int(code))
}

// streams are the input and output of a command. The field terminal reports
// whether err is a terminal.
type streams struct {
	in       io.Reader
	out      io.Writer
	err      io.Writer
	terminal bool
}

// command is a subcommand that can be run.
type command interface {
	run(ctx context.Context, s *session) error
}

// run parses the command line, runs it and returns the exit code.
func run(ctx context.Context, argv []string, st streams) exitCode {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "fescuelatch", Out: st.err}, &a)
	if err != nil {
		return (&session{streams: st}).fail(err)
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		return writeHelp(p, st)
	case err != nil:
		_ = p.WriteUsageForSubcommand(st.err, p.SubcommandNames()...)
		return (&session{streams: st, args: &a}).fail(usageError("parse command line", err))
	}
	s := &session{streams: st, args: &a}
	c, ok := p.Subcommand().(command)
	if !ok {
		_ = p.WriteUsageForSubcommand(st.err, p.SubcommandNames()...)
		return s.fail(usageError("parse command line", errors.New("a subcommand is missing")))
	}
	if err := c.run(ctx, s); err != nil {
		return s.fail(err)
	}
	return exitOK
}

func writeHelp(p *arg.Parser, st streams) exitCode {
	if err := p.WriteHelpForSubcommand(st.out, p.SubcommandNames()...); err != nil {
		return exitUsage
	}
	return exitOK
}
