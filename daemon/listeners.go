package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/internal/graceful"
	"fescuelatch/internal/intake"
	"fescuelatch/operator"
	"fescuelatch/peer"
)

// This file defines the listeners of a daemon.

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	// closeTimeout bounds the wait for connections without a request.
	closeTimeout = 500 * time.Millisecond
	// heldPerByte is what the fronts hold of each byte of a body: the body itself, what grew
	// to hold it, and what was decoded from it.
	heldPerByte = 3
	// acceptedTimeout is the time allowed for serving connections that were
	// accepted while the listener was closing.
	acceptedTimeout = 100 * time.Millisecond
)

// ListenOptions configures the addresses that a daemon listens on.
type ListenOptions struct {
	Caller      netip.AddrPort
	Operator    netip.AddrPort
	Peer        netip.AddrPort
	OperatorKey string
	// PeerTLS enables mutual TLS for peers if it is set.
	PeerTLS *tls.Config
	// Intake describes the machine.
	Intake intake.Settings
}

func (d *Daemon) listen(ctx context.Context, g *errgroup.Group, f ListenOptions) error {
	peers, err := peer.NewHandler(d.options.FleetKeys, (*peerHandler)(d), peer.NewForwardHandler(d, time.Now), ControlTraffic(d.options.Metrics, TrafficPeer))
	if err != nil {
		return err
	}
	callers := d.closing.Handler(caller.NewHandler(caller.Options{Backend: d, Now: time.Now, NewID: newRequestID}))
	operators := operator.NewHandler(operator.Options{Key: f.OperatorKey, Backend: (*operatorBackend)(d), Log: d.log})
	budget := intake.NewBudget(f.Intake)
	g.Go(func() error {
		budget.Watch(ctx, d.options.Metrics, d.log)
		return nil
	})
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		tls     *tls.Config
		read    time.Duration
		share   float64 // of the descriptors
	}{
		// No read timeout: a peer's connection is hijacked for long-lived
		// calls.
		{"peer", f.Peer, peers, f.PeerTLS, 0, intake.DaemonShare},
		{"caller", f.Caller, callers, nil, readTimeout, intake.CallerShare},
		{"operator", f.Operator, operators, nil, readTimeout, intake.OtherShare},
	} {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", l.address.String())
		if err != nil {
			return errors.Wrapf(err, "listen for %ss", l.name)
		}
		if t, ok := listener.(*net.TCPListener); ok {
			listener = &graceful.Listener{TCPListener: t}
		}
		connections := budget.NewConnections(l.share, nil)
		listener = connections.Listener(listener)
		if l.tls != nil {
			listener = tls.NewListener(listener, l.tls)
		}
		s := &http.Server{
			Handler: budget.Handler(l.handler, heldPerByte), ConnState: connections.ConnState, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: l.read,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
		}
		d.serveListener(ctx, g, s, listener)
		d.log.Info("listening", "front", l.name, "address", l.address.String())
	}
	return nil
}

func (d *Daemon) serveListener(ctx context.Context, g *errgroup.Group, s *http.Server, l net.Listener) {
	g.Go(func() error {
		if err := s.Serve(l); ctx.Err() == nil {
			return errors.WithStack(err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		// Shutdown ignores a connection that is being accepted, and Close would
		// abort it.
		_ = l.Close()
		time.Sleep(acceptedTimeout)
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		_ = s.Shutdown(closing)
		return s.Close()
	})
}

func newRequestID() fescuelatch.RequestID { return fescuelatch.RequestID(uuid.NewString()) }
