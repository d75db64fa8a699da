// Command fescuelatchd is the daemon of an entry VM: it serves callers,
// operators and other daemons of the fleet.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"fescuelatch"
	"fescuelatch/daemon"
	"fescuelatch/decision"
	"fescuelatch/etcd"
	"fescuelatch/internal/intake"
	"fescuelatch/keyvalue"
	"fescuelatch/peer"
	"fescuelatch/rating"
	"fescuelatch/vmlist"
)

// This file defines the assembly of the daemon from its settings.

const (
	exitSettings    = 1
	exitFailure     = 2
	reportInterval  = time.Second
	platformTimeout = 2 * time.Second
)

func main() {
	// Registered first, because an unhandled SIGHUP ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := readSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if s.Direct != nil {
		if err := s.Direct.run(hangups); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailure)
		}
		return
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: s.level}))
	if err := run(s, log); err != nil {
		log.Error("daemon failed", "error", err.Error())
		os.Exit(exitFailure)
	}
}

func run(s *settings, log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	scope, reporter, closer := newScope()
	defer closeScope(closer)
	tlsConfig, err := s.tls().Config()
	if err != nil {
		return err
	}
	o, err := s.options(log, tlsConfig, scope)
	if err != nil {
		return err
	}
	o.MetricsHandler = reporter.HTTPHandler()
	d, err := daemon.New(*o)
	if err != nil {
		return err
	}
	return d.Run(ctx, daemon.ListenOptions{
		Caller: s.CallerListen, Operator: s.OperatorListen, Peer: s.PeerListen,
		OperatorKey: s.OperatorKey, PeerTLS: tlsConfig,
		Intake: intake.Settings{Memory: s.MemoryMB * megabyte, Descriptors: s.MaxDescriptors},
	})
}

// newScope returns the root of all metrics and the reporter that serves them.
func newScope() (tally.Scope, tallyprometheus.Reporter, io.Closer) {
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fescuelatch", CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter, closer
}

func closeScope(c io.Closer) { _ = c.Close() }

// options builds the options of the daemon from its settings.
func (s *settings) options(log *slog.Logger, tlsConfig *tls.Config, scope tally.Scope) (*daemon.Options, error) {
	server, err := parseAddress(s.Platform)
	if err != nil {
		return nil, errors.Wrap(err, "--platform")
	}
	dialer := &peer.Dialer{From: s.DialFrom, TLS: tlsConfig}
	client := func(k daemon.TrafficKind) *http.Client {
		counting := dialer.Counting(daemon.ControlTraffic(scope, k))
		return &http.Client{Transport: &http.Transport{DialContext: counting.DialContext}}
	}
	incarnation := fescuelatch.Incarnation(uuid.NewString())
	vm := fescuelatch.VMID(s.VM)
	domain := fescuelatch.DomainID(s.Domain)
	clock := keyvalue.NewClock(time.Now())
	return &daemon.Options{
		VM: vm, Domain: domain, Incarnation: incarnation, Seeds: s.Seeds,
		FleetKeys: s.parsedFleetKeys, Sessions: s.sessionRing, Dialer: dialer,
		KV:    &etcd.Client{Server: server, HTTP: client(daemon.TrafficPlatform), Timeout: platformTimeout, Clock: clock},
		Clock: clock,
		VMs:   &vmlist.Client{HTTP: client(daemon.TrafficList), URL: s.VMs},
		Rater: &rating.Client{HTTP: client(daemon.TrafficRating), URL: s.Rating},
		Core: decision.Options{
			VM: vm, Domain: domain, Random: decision.NewRandom(), Sampler: samplers[s.Sampling](s),
			Quality:   findPolicy(qualityModels, s.Quality)(incarnation),
			Versions:  findPolicy(versionPolicies, s.VersionPolicy)(incarnation),
			Placement: findPolicy(placementPolicies, s.Placement)(incarnation),
			Gate:      findPolicy(gates, s.Gate)(incarnation),
		},
		Relay: s.Relay, DrainDelay: s.DrainDelay, Log: log, Metrics: scope, StopTimeout: s.StopTimeout,
		HoldTime: s.BillHoldTime,
	}, nil
}

// parseAddress returns the address of an HTTP URL with an IP address and a port.
func parseAddress(raw string) (netip.AddrPort, error) {
	u, err := url.Parse(raw)
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	a, err := netip.ParseAddrPort(u.Host)
	return a, errors.WithStack(err)
}
