package soak

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/internal/process"
)

// This file tests which process exits a soak reports as failures.

func TestExitFailures(t *testing.T) {
	const ignores = "trap '' TERM; while :; do sleep 0.01; done"
	tests := []struct {
		name, script string
		do           func(d *daemon)
		bad          int
	}{
		{"exits unexpectedly", "exit 0", func(*daemon) {}, 1},
		{"stops", "trap 'exit 0' TERM; while :; do sleep 0.01; done", (*daemon).stop, 0},
		{"stops with a failure", "trap 'exit 1' TERM; while :; do sleep 0.01; done", (*daemon).stop, 1},
		{"has just started", "while :; do sleep 0.01; done", (*daemon).stop, 0},
		{"has no handler", "while :; do sleep 0.01; done", func(d *daemon) {
			d.started = true
			d.stop()
		}, 1},
		{"is killed", ignores, (*daemon).kill, 0},
		{"is killed while it stops", ignores, func(d *daemon) {
			time.AfterFunc(100*time.Millisecond, func() { d.signal(syscall.SIGKILL) })
			d.stop()
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p, err := process.Start(process.Command{Name: "vm", Path: "/bin/sh", Args: []string{"-c", test.script}}, t.TempDir())
			c.Assert(err, qt.IsNil)
			d := &daemon{process: p}
			time.Sleep(100 * time.Millisecond) // Wait until the traps are set or the process has ended.
			test.do(d)
			c.Check(p.Running(), qt.IsFalse)
			c.Check(d.exitFailures(), qt.HasLen, test.bad, qt.Commentf("%q", d.failures))
		})
	}
}
