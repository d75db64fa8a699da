package fleet_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/fleet"
	"fescuelatch/fleet/fleettest"
	"fescuelatch/load"
)

func TestMain(m *testing.M) { os.Exit(fleettest.Main(m)) }

func startSmall(t *testing.T) (*fleet.Fleet, context.Context) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return fleet.StartTest(t, fleet.Options{Configuration: fleettest.Small(), Bin: fleettest.Bin()}), ctx
}

func TestStartSeedsConfiguration(t *testing.T) {
	c := qt.New(t)
	f, ctx := startSmall(t)
	for _, m := range f.Configuration.Inventory.VMs {
		v, err := f.ActiveConfiguration(ctx, m.ID)
		c.Assert(err, qt.IsNil)
		c.Assert(v.Generation, qt.Equals, fescuelatch.Generation(1))
		c.Assert(slices.Equal(v.Inventory.Endpoints, f.Configuration.Inventory.Endpoints), qt.IsTrue)
	}
	c.Assert(f.Keys["daily"], qt.Equals, "demo-daily")
	c.Assert(f.Crashed(), qt.HasLen, 0)
}

func TestFleetServesModelCalls(t *testing.T) {
	c := qt.New(t)
	f, ctx := startSmall(t)
	var ts []load.Target
	for _, m := range f.Configuration.Inventory.VMs {
		ts = append(ts, load.Target{Caller: m.Caller, Health: m.Operator})
	}
	calls, err := load.Plan(&load.Profile{
		Rate: 10, Duration: 3 * time.Second, Seed: 1, Run: "t",
		Accounts: load.AccountsOf(f.Configuration, f.Keys),
		Mix:      load.Mix{Streamed: 0.5, MinTokens: 4, MaxTokens: 8, Timeout: 5 * time.Second},
	})
	c.Assert(err, qt.IsNil)
	u := load.Runner{Targets: ts, Keys: f.Keys}
	_, s := u.Run(ctx, calls)
	c.Assert(s.Outcomes[fescuelatch.OutcomeAnswered] > 0, qt.IsTrue, qt.Commentf("%s", s))
	c.Assert(s.Faults, qt.HasLen, 0, qt.Commentf("%s", s))
	logs, err := f.EndpointLogs(ctx)
	c.Assert(err, qt.IsNil)
	var starts int
	for _, l := range logs {
		starts += len(l.Starts)
	}
	c.Assert(starts >= s.Outcomes[fescuelatch.OutcomeAnswered], qt.IsTrue)
}

func TestChangeBecomesActiveEverywhere(t *testing.T) {
	c := qt.New(t)
	f, ctx := startSmall(t)
	a, err := f.Change(ctx, func(c *fescuelatch.Configuration) {
		c.Overrides.DomainsOut = []fescuelatch.DomainID{"a"}
	}, "b-1")
	c.Assert(err, qt.IsNil)
	c.Assert(a.Generation, qt.Equals, fescuelatch.Generation(2))
	for _, m := range []fescuelatch.VMID{"a-1", "b-1"} {
		eventually(t, func() bool {
			g, err := f.Generation(ctx, m)
			return err == nil && g == 2
		})
	}
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	const timeout = 6 * time.Second
	for end := time.Now().Add(timeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v", timeout)
		}
	}
}

// reachable reports whether a request from an IP address to an HTTP address
// is answered within 500 ms.
func reachable(from string, to netip.AddrPort) bool {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	h := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true}}
	resp, err := h.Get("http://" + to.String() + "/")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil
}

func TestPartitions(t *testing.T) {
	c := qt.New(t)
	f, ctx := startSmall(t)
	a, b := f.Configuration.Inventory.VMs[0].Peer, f.Configuration.Inventory.VMs[1].Peer
	c.Assert(reachable("127.77.2.1", a), qt.IsTrue)
	c.Assert(f.Partition(ctx, "a", "b"), qt.IsNil)
	c.Assert(reachable("127.77.2.1", a), qt.IsFalse)
	c.Assert(reachable("127.77.1.1", b), qt.IsFalse)
	c.Assert(reachable("127.77.1.1", a), qt.IsTrue)
	c.Assert(f.Heal(ctx), qt.IsNil)
	c.Assert(reachable("127.77.2.1", a), qt.IsTrue)
	c.Assert(f.PartitionPlatform(ctx, "a"), qt.IsNil)
	c.Assert(reachable("127.77.1.1", f.PlatformLink()), qt.IsFalse)
	c.Assert(reachable("127.77.2.1", f.PlatformLink()), qt.IsTrue)
	c.Assert(f.Isolate(ctx, "b"), qt.IsNil)
	c.Assert(reachable("127.77.2.1", f.PlatformLink()), qt.IsFalse)
	c.Assert(reachable("127.77.2.1", a), qt.IsFalse)
	c.Assert(f.Heal(ctx), qt.IsNil)
	c.Assert(reachable("127.77.1.1", f.PlatformLink()), qt.IsTrue)
}

func TestProcessControl(t *testing.T) {
	c := qt.New(t)
	f, ctx := startSmall(t)
	b := f.Configuration.Inventory.VMs[1].Operator

	c.Assert(f.Pause("b-1"), qt.IsNil)
	c.Assert(reachable("127.77.1.1", b), qt.IsFalse)
	c.Assert(f.Resume("b-1"), qt.IsNil)
	c.Assert(reachable("127.77.1.1", b), qt.IsTrue)

	c.Assert(f.Kill(ctx, "b-1"), qt.IsNil)
	c.Assert(f.Running("b-1"), qt.IsFalse)
	c.Assert(f.Crashed(), qt.HasLen, 0)
	c.Assert(f.Pause("b-1"), qt.ErrorMatches, "signal daemon-b-1: process: has ended")
	c.Assert(f.Restart(ctx, "b-1"), qt.IsNil)
	c.Assert(f.WaitReady(ctx, "b-1"), qt.IsNil)
	c.Assert(f.Restart(ctx, "b-1"), qt.ErrorMatches, "restart: process: .*")

	c.Assert(f.Stop(ctx, "b-1"), qt.IsNil)
	c.Assert(f.Running("b-1"), qt.IsFalse)

	c.Assert(f.KillEndpoint(ctx, "a-model"), qt.IsNil)
	c.Assert(f.RestartEndpoint(ctx, "a-model"), qt.IsNil)
	c.Assert(f.Kill(ctx, "none"), qt.ErrorMatches, "find process: unknown-name: daemon-none")
}

func TestCloseEndsEverything(t *testing.T) {
	c := qt.New(t)
	f, ctx := startSmall(t)
	f.Close()
	f.Close()
	for _, m := range f.Configuration.Inventory.VMs {
		c.Assert(f.Running(m.ID), qt.IsFalse)
		c.Assert(reachable("127.77.1.1", m.Operator), qt.IsFalse)
		c.Assert(reachable("127.77.1.1", m.Peer), qt.IsFalse)
	}
	c.Assert(reachable("127.77.1.1", f.Platform()), qt.IsFalse)
	c.Assert(f.Restart(ctx, "a-1"), qt.ErrorMatches, "start process: process: the fleet is closed")
}

func TestStartErrors(t *testing.T) {
	tests := []struct {
		name string
		edit func(*fleet.Options)
		want string
	}{
		{"no VM", func(o *fleet.Options) { o.Configuration.Inventory.VMs = nil }, "place fleet: configuration: .*"},
		{"not on loopback", func(o *fleet.Options) {
			o.Configuration.Inventory.VMs[0].Peer = fleettest.Address("192.0.2.1:1")
		}, "reserve addresses: configuration: .*"},
		{"no programs", func(o *fleet.Options) { o.Bin = o.Dir }, "start process: process: .*"},
		{"daemon that ends", func(o *fleet.Options) { o.Daemon = []string{"--no-such-flag"} }, ".*ended unexpectedly: .*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := fleet.Options{Configuration: fleettest.Small(), Bin: fleettest.Bin(), Dir: t.TempDir()}
			test.edit(&o)
			_, err := fleet.Start(context.Background(), o)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}
