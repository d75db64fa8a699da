// Package process runs programs as child processes, for tools and tests that
// kill, pause and stop them.
package process

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// This file defines processes, which are started by exec and signaled only by
// process identifier.

// Command describes the program that a process runs.
type Command struct {
	Name string // unique within a directory; names the log file
	Path string
	Args []string
	Env  []string // added to the environment of this process
}

// Process is a started command. Its methods are safe for concurrent use.
type Process struct {
	Command Command

	cmd  *exec.Cmd
	done chan struct{}

	mu           sync.Mutex
	endRequested bool // End was called
	state        *os.ProcessState
}

// Start runs c. Its output is appended to a log file in dir.
func Start(c Command, dir string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // The name is the caller's own.
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// The child has its own descriptor after Start.
	defer func() { _ = log.Close() }()
	cmd := exec.Command(c.Path, c.Args...) //nolint:gosec,noctx // Starting programs is the purpose of this package.
	cmd.Env = append(os.Environ(), c.Env...)
	cmd.Stdout = log
	cmd.Stderr = log
	// A separate process group keeps a terminal's interrupt from reaching the
	// process before its caller stops it in order. The kernel kills it when
	// the tool itself is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, c.Name)
	}
	p := &Process{Command: c, cmd: cmd, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	// The error is ignored: the process state has the result.
	_ = p.cmd.Wait()
	p.mu.Lock()
	p.state = p.cmd.ProcessState
	p.mu.Unlock()
	close(p.done)
}

// Signal sends s to the process, or fails if it has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.Running() {
		return errors.New("has ended")
	}
	return errors.WithStack(p.cmd.Process.Signal(s))
}

const (
	stopTimeout      = 2 * time.Second
	stopPollInterval = time.Millisecond
)

// AwaitStopped waits until the kernel reports the process as stopped, and
// returns false if it did not within stopTimeout.
func (p *Process) AwaitStopped() (bool, error) {
	for deadline := time.Now().Add(stopTimeout); time.Now().Before(deadline); time.Sleep(stopPollInterval) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		if err != nil {
			return false, errors.WithStack(err)
		}
		// The state follows the name, which is in parentheses and may contain
		// any character.
		if after := stat[bytes.LastIndexByte(stat, ')')+1:]; bytes.HasPrefix(after, []byte(" T")) {
			return true, nil
		}
	}
	return false, nil
}

// End sends s to end the process, waits, and kills the process if it has not
// ended after grace. It reports whether the process exited with status 0.
func (p *Process) End(s syscall.Signal, grace time.Duration) bool {
	p.mu.Lock()
	p.endRequested = true
	p.mu.Unlock()
	// The error is ignored: the process may have ended already.
	_ = p.cmd.Process.Signal(s)
	if !p.waitFor(grace) {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state != nil && p.state.Success()
}

func (p *Process) waitFor(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.done:
		return true
	case <-t.C:
		return false
	}
}

// Running reports whether the process has not ended. A paused one is running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// State describes how the process ended; it is empty while the process runs.
func (p *Process) State() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return ""
	}
	return p.state.String()
}

// Killed reports whether the process was ended by SIGKILL.
func (p *Process) Killed() bool { return p.EndedBy(syscall.SIGKILL) }

// EndedBy reports whether the process was ended by a signal that it did not handle.
func (p *Process) EndedBy(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return false
	}
	w, ok := p.state.Sys().(syscall.WaitStatus)
	return ok && w.Signaled() && w.Signal() == s
}

// Crashed reports whether the process ended without a call of End.
func (p *Process) Crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.Running() && !p.endRequested
}
