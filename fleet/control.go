package fleet

import (
	"context"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/process"
)

// This file defines operations on single processes of a fleet.

func daemonName(m fescuelatch.VMID) string { return "daemon-" + string(m) }

func isDaemon(c process.Command) bool { return filepath.Base(c.Path) == daemonProgram }

// Kill kills the daemon of m and unlists the VM.
func (f *Fleet) Kill(ctx context.Context, m fescuelatch.VMID) error {
	p, err := f.process(daemonName(m))
	if err != nil {
		return err
	}
	p.End(syscall.SIGKILL, standinGrace)
	return f.unlist(ctx, string(m))
}

// Pause suspends the daemon of m until Resume. It returns once the process
// has stopped, because SIGSTOP takes effect some time after it is sent.
func (f *Fleet) Pause(m fescuelatch.VMID) error {
	p, err := f.process(daemonName(m))
	if err != nil {
		return err
	}
	if err := signalProcess(p, syscall.SIGSTOP); err != nil {
		return err
	}
	op := "pause " + p.Command.Name
	stopped, err := p.AwaitStopped()
	switch {
	case err != nil:
		return &Error{op, KindProcess, err}
	case !stopped:
		return &Error{Op: op, Kind: KindTimeout}
	}
	return nil
}

// Resume continues the daemon of m after Pause.
func (f *Fleet) Resume(m fescuelatch.VMID) error { return f.signal(daemonName(m), syscall.SIGCONT) }

func (f *Fleet) signal(name string, s syscall.Signal) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	return signalProcess(p, s)
}

func signalProcess(p *process.Process, s syscall.Signal) error {
	if err := p.Signal(s); err != nil {
		return &Error{"signal " + p.Command.Name, KindProcess, err}
	}
	return nil
}

// Stop lists the VM m as leaving, signals its daemon to shut down gracefully
// and waits for it. It returns an error if the daemon had to be killed
// or did not end with exit status 0.
func (f *Fleet) Stop(ctx context.Context, m fescuelatch.VMID) error {
	p, err := f.process(daemonName(m))
	if err != nil {
		return err
	}
	if err := f.list(ctx, string(m), fescuelatch.ListedLeaving); err != nil {
		return err
	}
	if !p.End(syscall.SIGTERM, stopGrace) {
		return &Error{"stop " + string(m), KindProcess, errors.New("no clean exit")}
	}
	return f.unlist(ctx, string(m))
}

// StopAll stops all running daemons concurrently, as Stop does. It returns,
// in the order of the inventory, the VMs whose daemons had to be killed or
// did not end with exit status 0.
func (f *Fleet) StopAll(ctx context.Context) []fescuelatch.VMID {
	vms := f.Configuration.Inventory.VMs
	clean := make([]bool, len(vms))
	var wg sync.WaitGroup
	for n, m := range vms {
		clean[n] = true
		if f.Running(m.ID) {
			wg.Go(func() { clean[n] = f.Stop(ctx, m.ID) == nil })
		}
	}
	wg.Wait()
	var unclean []fescuelatch.VMID
	for n, m := range vms {
		if !clean[n] {
			unclean = append(unclean, m.ID)
		}
	}
	return unclean
}

// Restart starts the daemon of m again after Kill or Stop, as a new VM that
// replaces the old one. It does not wait until the daemon is ready.
func (f *Fleet) Restart(ctx context.Context, m fescuelatch.VMID) error {
	if err := f.restart(daemonName(m)); err != nil {
		return err
	}
	return f.list(ctx, string(m), fescuelatch.ListedLive)
}

// KillEndpoint kills the stand-in of an endpoint and unlists the endpoint.
func (f *Fleet) KillEndpoint(ctx context.Context, e fescuelatch.EndpointID) error {
	name, err := f.endpointName(e)
	if err != nil {
		return err
	}
	p, err := f.process(name)
	if err != nil {
		return err
	}
	p.End(syscall.SIGKILL, standinGrace)
	return f.unlist(ctx, string(e))
}

// RestartEndpoint starts the stand-in of an endpoint again after
// KillEndpoint. The new process starts cold and with empty records.
func (f *Fleet) RestartEndpoint(ctx context.Context, e fescuelatch.EndpointID) error {
	name, err := f.endpointName(e)
	if err != nil {
		return err
	}
	if err := f.restart(name); err != nil {
		return err
	}
	return f.list(ctx, string(e), fescuelatch.ListedLive)
}

// leavingFault makes the load reports of an endpoint say that it is leaving.
type leavingFault struct {
	Leaving bool `json:"leaving"`
}

// MarkLeaving lists an endpoint as leaving and makes its load reports say so too.
func (f *Fleet) MarkLeaving(ctx context.Context, e fescuelatch.EndpointID) error {
	if err := f.Faults(ctx, e, leavingFault{true}); err != nil {
		return err
	}
	return f.list(ctx, string(e), fescuelatch.ListedLeaving)
}

// ListLeaving lists an endpoint as leaving. Its load reports do not change.
func (f *Fleet) ListLeaving(ctx context.Context, e fescuelatch.EndpointID) error {
	return f.list(ctx, string(e), fescuelatch.ListedLeaving)
}

// ClearLeaving reverts MarkLeaving.
func (f *Fleet) ClearLeaving(ctx context.Context, e fescuelatch.EndpointID) error {
	if err := f.Faults(ctx, e, leavingFault{false}); err != nil {
		return err
	}
	return f.list(ctx, string(e), fescuelatch.ListedLive)
}

func (f *Fleet) endpointName(e fescuelatch.EndpointID) (string, error) {
	for _, kind := range []string{"engine-", "service-"} {
		if _, err := f.process(kind + string(e)); err == nil {
			return kind + string(e), nil
		}
	}
	return "", &Error{"find endpoint", KindUnknown, errors.New(string(e))}
}

func (f *Fleet) restart(name string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	if p.Running() {
		return &Error{"restart", KindProcess, errors.Errorf("%s is running", name)}
	}
	return f.launch(p.Command)
}

// Running reports whether the daemon of m is running or paused.
func (f *Fleet) Running(m fescuelatch.VMID) bool {
	p, err := f.process(daemonName(m))
	return err == nil && p.Running()
}

// WaitReady waits until the daemon of m reports that it is ready.
func (f *Fleet) WaitReady(ctx context.Context, m fescuelatch.VMID) error {
	v, err := f.vm(m)
	if err != nil {
		return err
	}
	return f.poll(ctx, "wait for "+string(m), func() error {
		return f.call(ctx, "GET", "http://"+v.Operator.String()+"/ready", nil, nil)
	})
}

func (f *Fleet) vm(m fescuelatch.VMID) (fescuelatch.VM, error) {
	for _, v := range f.Configuration.Inventory.VMs {
		if v.ID == m {
			return v, nil
		}
	}
	return fescuelatch.VM{}, &Error{"find VM", KindUnknown, errors.New(string(m))}
}
