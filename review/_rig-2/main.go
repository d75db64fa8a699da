// Program rig-2 runs the scripted cases of the second review: daemons and workers as separate
// processes, and the platform and the clients within this one. It exits with 1 if the rule of the
// case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the names of the cases to the functions that run them.
var cases = map[string]func(*rig) (broken bool, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD, or rig-2 worker FLAGS")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case and returns the exit code. Whatever happens, all processes that were
// started have ended when it returns.
func runCase(run func(*rig) (bool, error), record string) int {
	r, err := newRig(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig-2:", err)
		return exitFailed
	}
	defer r.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupts
		r.close()
		os.Exit(exitFailed)
	}()
	broken, err := run(r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.note("verdict: the rule was broken")
		return exitBroken
	}
	r.note("verdict: the rule held")
	return exitHeld
}
