package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/asynclog"
	"fescuelatch/cascade"
	"fescuelatch/direct"
	"fescuelatch/gate/shared"
	"fescuelatch/platform"
	"fescuelatch/rollout"
)

// This file defines the assembly of a daemon that runs on the users' platform
// and sends to every endpoint itself.

const (
	// memoryUse is the part of the VM's memory at which the garbage collector
	// works harder.
	memoryUse = 0.75
	// leaseFactor is the lease of a daemon's record relative to the shortest
	// one that the platform grants. Renewals are most of the calls to the
	// store; a daemon that is lost counts for this long, so that the others
	// use a little less than they may.
	leaseFactor = 15
	// storeIdle is how long a connection to the store is kept idle.
	storeIdle = 5 * time.Second
	// storeDialTimeout bounds the set-up of a connection to the store.
	storeDialTimeout = 600 * time.Millisecond
	// storeHeadBytes bounds the head of an answer of the store.
	storeHeadBytes = 64 << 10
	megabyte       = 1 << 20
)

// directCommand is the subcommand. Its settings are those of the platform.
type directCommand struct {
	LogLevel    string `arg:"--log-level,env:FESCUELATCH_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	MetricsPort uint16 `arg:"--metrics-port,env:FESCUELATCH_METRICS_PORT" default:"9464" help:"port of the metrics on the callers' address; 0 leaves them to the control front"`
	Check       bool   `arg:"--check" help:"check the settings and exit"`

	level    slog.Level
	platform *platform.Settings
}

// read reads and checks the settings.
func (c *directCommand) read() error {
	if err := c.level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return errors.Wrap(err, "settings: --log-level")
	}
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	c.platform = s
	return nil
}

// run runs the daemon until a signal ends it. Hang-ups make it read its
// settings again.
func (c *directCommand) run(hangups <-chan os.Signal) error {
	if c.Check {
		return nil
	}
	lines := asynclog.New(os.Stdout)
	defer lines.Close()
	log := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: c.level}))
	limitMemory(c.platform)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	scope, reporter, closer := newScope()
	defer closeScope(closer)
	o := c.options(log)
	o.Scope, o.Scrape = scope, reporter.HTTPHandler()
	o.Store = &platform.Store{Address: c.platform.Store.Address, HTTP: storeClient(), Called: direct.StoreCalls(scope)}
	log.Info("starting", "vm", o.VM, "failure-domain", o.Domain, "store", c.platform.Store.Address.String())
	d := direct.New(o)
	c.watchReloads(ctx, hangups, log, func(s *platform.Settings) {
		limitMemory(s)
		d.SetBounds(bounds(s))
	})
	err := d.Run(ctx)
	if err != nil {
		log.Error("failed", "error", err.Error())
	}
	return err
}

// options translates the platform's settings.
func (c *directCommand) options(log *slog.Logger) direct.Options {
	s := c.platform
	regions := make(map[fescuelatch.DomainID]string, len(s.Regions))
	for domain, region := range s.Regions {
		regions[fescuelatch.DomainID(domain)] = region
	}
	var metrics netip.AddrPort
	if c.MetricsPort != 0 {
		metrics = netip.AddrPortFrom(s.Listen.Callers.Addr(), c.MetricsPort)
	}
	return direct.Options{
		VM: fescuelatch.VMID(s.VM), Domain: fescuelatch.DomainID(s.Domain), Regions: regions,
		Notation: platform.Notation{}, Dialect: platform.Dialect{},
		Callers: s.Listen.Callers, Readiness: s.Listen.Readiness, Control: s.Listen.Control, Metrics: metrics, Seeds: s.Seeds,
		Ladder: cascade.LadderSettings{}, Bounds: bounds(s),
		LeaseTime: leaseFactor * s.MinLease(), Log: log,
	}
}

// bounds translates the settings that may change while the daemon runs.
func bounds(s *platform.Settings) direct.Bounds {
	return direct.Bounds{
		Retries:   shared.BudgetSettings{Ratio: s.Bounds.RetryRatio, Extra: s.Bounds.RetryExtra, Window: s.RetryWindow()},
		Rollout:   rollout.Settings{Exposure: s.Bounds.ExposureShare},
		StopGrace: s.StopGrace(),
	}
}

// reloadInterval is that at which the settings are looked at for a change that
// no signal told of.
const reloadInterval = 2 * time.Second

// watchReloads reads the settings again on SIGHUP and when their file has
// changed. Addresses and identity do not change within the life of a process;
// the memory limit and the bounds come into force at once.
func (c *directCommand) watchReloads(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger, apply func(*platform.Settings)) {
	go func() {
		changed := settingsChanged()
		ticks := time.NewTicker(reloadInterval)
		defer ticks.Stop()
		for {
			select {
			case <-hangups:
				reload(log, "signal", apply)
			case <-ticks.C:
				if at := settingsChanged(); !at.Equal(changed) {
					changed = at
					reload(log, "file", apply)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
}

// settingsChanged returns when the file of the settings was last changed; a
// file that cannot be seen has not changed.
func settingsChanged() time.Time {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable)) //nolint:gosec // The platform names the file.
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reload(log *slog.Logger, cause string, apply func(*platform.Settings)) {
	s, err := platform.ReadSettings()
	if err != nil {
		log.Error("changed settings are not usable; those before stay in force", "cause", cause, "error", err.Error())
		return
	}
	apply(s)
	log.Info("settings read again", "cause", cause, "memory-mb", s.Limits.MemoryMB, "retry-ratio", s.Bounds.RetryRatio,
		"exposure", s.Bounds.ExposureShare, "stop-grace", s.StopGrace().String())
}

// limitMemory has the garbage collector keep within the VM's memory.
func limitMemory(s *platform.Settings) {
	if m := s.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(memoryUse * float64(m) * megabyte))
	}
}

// storeClient returns the HTTP client for the store.
func storeClient() *http.Client {
	d := net.Dialer{Timeout: storeDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, IdleConnTimeout: storeIdle, DisableCompression: true,
		MaxResponseHeaderBytes: storeHeadBytes,
	}}
}
