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
	"fescuelatch/egress"
	"fescuelatch/gate/shared"
	"fescuelatch/internal/intake"
	"fescuelatch/platform"
	"fescuelatch/rollout"
)

// This file defines the assembly of a daemon that runs on the users' platform
// and sends requests to every endpoint directly.

const (
	// memoryLimitShare is the share of the VM's memory above which the garbage
	// collector runs more often.
	memoryLimitShare = 0.75
	// leaseFactor is the lease of a daemon's record in multiples of the
	// platform's minimum. Renewals are most of the calls to the store. A lost
	// daemon counts until its lease expires, and until then the others use
	// slightly less than their share.
	leaseFactor = 15
	// storeIdleTimeout is how long an idle connection to the store is kept open.
	storeIdleTimeout = 5 * time.Second
	// storeDialTimeout limits the time to connect to the store.
	storeDialTimeout = 600 * time.Millisecond
	// maxStoreHeaderBytes limits the response headers of the store.
	maxStoreHeaderBytes = 64 << 10
	megabyte            = 1 << 20
)

// directCommand is the subcommand "direct". It uses the platform's settings.
type directCommand struct {
	LogLevel    string `arg:"--log-level,env:FESCUELATCH_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	MetricsPort uint16 `arg:"--metrics-port,env:FESCUELATCH_METRICS_PORT" default:"9464" help:"port of the metrics on the callers' address; 0 serves them on the control address only"`
	egressFlags
	SharedRetries bool `arg:"--shared-retry-budget,env:FESCUELATCH_SHARED_RETRY_BUDGET" help:"share one retry budget among all daemons where they tell each other what they use, in place of a part for each"`
	Check         bool `arg:"--check" help:"check the settings and exit"`

	level    slog.Level
	platform *platform.Settings
	prices   *egress.Prices
}

// read reads and checks the settings.
func (c *directCommand) read() error {
	if err := c.level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return errors.Wrap(err, "settings: --log-level")
	}
	var err error
	if c.prices, err = c.parse(); err != nil {
		return err
	}
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	c.platform = s
	return nil
}

// run runs the daemon until a signal ends it. SIGHUP makes it reload its
// settings.
func (c *directCommand) run(hangups <-chan os.Signal) error {
	if c.Check {
		return nil
	}
	lines := asynclog.New(os.Stdout)
	defer lines.Close()
	log := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: c.level}))
	setMemoryLimit(c.platform)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	scope, reporter, closer := newScope()
	defer closeScope(closer)
	o := c.options(log)
	o.Scope, o.Scrape = scope, reporter.HTTPHandler()
	o.Store = &platform.Store{Address: c.platform.Store.Address, HTTP: newStoreClient(), OnCall: direct.StoreCalls(scope)}
	log.Info("starting daemon", "vm", o.VM, "failure-domain", o.Domain, "store", c.platform.Store.Address.String())
	d := direct.New(o)
	c.watchSettings(ctx, hangups, log, func(s *platform.Settings) {
		setMemoryLimit(s)
		d.SetDynamic(bounds(s))
	})
	err := d.Run(ctx)
	if err != nil {
		log.Error("daemon failed", "error", err.Error())
	}
	return err
}

// options converts the platform's settings.
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
		Notation: platform.StoreCodec{}, Dialect: platform.HeaderCodec{},
		Callers: s.Listen.Callers, Readiness: s.Listen.Readiness, Control: s.Listen.Control, Metrics: metrics, Seeds: s.Seeds,
		Ladder: cascade.LadderSettings{}, Contended: s.Contended(), SharedRetries: c.SharedRetries, Prices: c.prices, Dynamic: bounds(s),
		LeaseTime: leaseFactor * s.MinLease(), Log: log,
	}
}

// bounds converts the settings that may change while the daemon runs.
func bounds(s *platform.Settings) direct.DynamicSettings {
	return direct.DynamicSettings{
		Retries:   shared.BudgetSettings{Ratio: s.Bounds.RetryRatio, Extra: s.Bounds.RetryExtra, Window: s.RetryWindow()},
		Rollout:   rollout.Settings{Exposure: s.Bounds.ExposureShare},
		ApplyTime: s.ApplyTime(),
		StopGrace: s.StopGrace(),
		Intake:    intake.Settings{Memory: int64(s.Limits.MemoryMB) * megabyte, Descriptors: s.Limits.Descriptors},
	}
}

// reloadInterval is the interval of checks for settings that changed without a
// signal.
const reloadInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when their file has changed.
// Addresses and identity are fixed for the lifetime of a process; the memory
// limit and the bounds take effect at once.
func (c *directCommand) watchSettings(ctx context.Context, hangups <-chan os.Signal, log *slog.Logger, apply func(*platform.Settings)) {
	go func() {
		changed := settingsModTime()
		ticks := time.NewTicker(reloadInterval)
		defer ticks.Stop()
		for {
			select {
			case <-hangups:
				reload(log, "signal", apply)
			case <-ticks.C:
				if at := settingsModTime(); !at.Equal(changed) {
					changed = at
					reload(log, "file", apply)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
}

// settingsModTime returns when the settings file was last modified, or zero if
// the file is not accessible.
func settingsModTime() time.Time {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable)) //nolint:gosec // The platform names the file.
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reload(log *slog.Logger, cause string, apply func(*platform.Settings)) {
	s, err := platform.ReadSettings()
	if err != nil {
		log.Error("changed settings are invalid; keeping the previous settings", "cause", cause, "error", err.Error())
		return
	}
	apply(s)
	log.Info("settings reloaded", "cause", cause, "memory-mb", s.Limits.MemoryMB, "retry-ratio", s.Bounds.RetryRatio,
		"exposure", s.Bounds.ExposureShare, "apply-time", s.ApplyTime().String(), "stop-grace", s.StopGrace().String())
}

// setMemoryLimit sets the garbage collector's soft limit from the VM's memory.
func setMemoryLimit(s *platform.Settings) {
	if m := s.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(m) * megabyte))
	}
}

// newStoreClient returns the HTTP client for the store.
func newStoreClient() *http.Client {
	d := net.Dialer{Timeout: storeDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}}
}
