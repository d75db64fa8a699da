package decision_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"fescuelatch"
	"fescuelatch/cascade"
	"fescuelatch/decision"
	"fescuelatch/gate"
	"fescuelatch/placement"
	"fescuelatch/quality"
)

// This file measures the cost of decisions by the number of daemons,
// endpoints, versions, accounts and open requests.

// size is the size of a configuration and its load.
type size struct {
	daemons   int // other daemons that have sent a summary
	endpoints int // owned endpoints
	versions  int
	accounts  int
	open      int // other requests, which stay open
}

func (s size) String() string {
	return fmt.Sprintf("daemons=%d/endpoints=%d/versions=%d/accounts=%d/open=%d",
		s.daemons, s.endpoints, s.versions, s.accounts, s.open)
}

// benchSizes varies one figure at a time around the current size.
var benchSizes = []size{
	{daemons: 2, endpoints: 4, versions: 4, accounts: 10},
	{daemons: 8, endpoints: 4, versions: 4, accounts: 10},
	{daemons: 52, endpoints: 4, versions: 4, accounts: 10},
	{daemons: 1100, endpoints: 4, versions: 4, accounts: 10},
	{daemons: 8, endpoints: 42, versions: 4, accounts: 10},
	{daemons: 8, endpoints: 167, versions: 4, accounts: 10},
	{daemons: 8, endpoints: 4, versions: 20, accounts: 10},
	{daemons: 8, endpoints: 4, versions: 4, accounts: 1000},
	{daemons: 8, endpoints: 4, versions: 4, accounts: 10, open: 4000},
	{daemons: 52, endpoints: 167, versions: 20, accounts: 1000, open: 4000},
}

func benchConfiguration(s size) *fescuelatch.Configuration {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	c := &fescuelatch.Configuration{Generation: 1}
	c.Inventory.Domains = []fescuelatch.FailureDomain{{ID: domain, Region: "r"}}
	c.Inventory.VMs = []fescuelatch.VM{{ID: self, Domain: domain, Peer: address, Caller: address, Operator: address}}
	c.Inventory.Models = []fescuelatch.Model{{ID: "m"}}
	p := fescuelatch.Pool{ID: "p", Slots: 64, ColdSlots: 2}
	for n := range s.versions {
		id := fescuelatch.VersionID(fmt.Sprintf("m@%d", n+1))
		c.Inventory.Versions = append(c.Inventory.Versions, fescuelatch.Version{
			ID: id, Model: "m", Quality: 0.6 + 0.3*float64(n)/float64(s.versions), PromptCost: int64(n + 1), OutputCost: int64(n + 1), Weight: 1,
		})
		p.Versions = append(p.Versions, id)
	}
	c.Inventory.Pools = []fescuelatch.Pool{p}
	for n := range s.endpoints {
		c.Inventory.Endpoints = append(c.Inventory.Endpoints, fescuelatch.Endpoint{
			ID: fescuelatch.EndpointID(fmt.Sprintf("e%03d", n)), Pool: p.ID, Domain: domain, Address: address,
		})
	}
	for n := range s.accounts {
		id := fmt.Sprintf("a%d", n)
		c.Rules.Accounts = append(c.Rules.Accounts, fescuelatch.Account{
			ID: fescuelatch.AccountID(id), KeyHashes: []string{fescuelatch.HashKey(id)}, Models: []fescuelatch.ModelID{"m"},
		})
	}
	return c
}

// bench drives one core with requests that run to completion.
type bench struct {
	core  *decision.Core
	now   time.Time
	size  size
	count int
}

func newBench(b *testing.B, s size) *bench {
	b.Helper()
	v, err := fescuelatch.NewView(benchConfiguration(s))
	if err != nil {
		b.Fatal(err)
	}
	d := &bench{now: epoch, size: s, core: decision.New(decision.Options{
		VM: self, Domain: domain, Random: rand.New(rand.NewPCG(1, 1)),
		Quality: quality.New("self", quality.Settings{}), Versions: new(cascade.Policy), Placement: new(placement.Policy),
		Gate: gate.NewAdaptive(gate.Settings{}), Sampler: quality.FixedShare{},
	})}
	d.core.Handle(d.now, decision.Configured{View: v})
	var owned []fescuelatch.OwnedEndpoint
	for _, e := range v.EndpointsIn(domain) {
		p, _ := v.Pool(e.Pool)
		owned = append(owned, fescuelatch.OwnedEndpoint{Endpoint: e, Pool: p, Share: 1})
	}
	d.core.Handle(d.now, decision.Owned{Endpoints: owned})
	d.warm(owned)
	d.summaries(v)
	for range s.open {
		d.arrive()
	}
	return d
}

// warm makes the endpoints warm and completes their ramp-up.
func (d *bench) warm(owned []fescuelatch.OwnedEndpoint) {
	for range 200 {
		d.now = d.now.Add(500 * time.Millisecond)
		for _, o := range owned {
			d.core.Handle(d.now, decision.Reported{Report: fescuelatch.LoadReport{
				Endpoint: o.Endpoint.ID, Incarnation: "i", Generated: d.now, Slots: 64, State: fescuelatch.EndpointWarm,
			}})
		}
	}
}

func (d *bench) summaries(v *fescuelatch.View) {
	var spares []fescuelatch.Spare
	for _, m := range v.VersionsOf("") {
		spares = append(spares, fescuelatch.Spare{Version: m.ID, Free: 4, Slots: 64})
	}
	for n := range d.size.daemons {
		d.core.Handle(d.now, decision.PeerSummarised{
			VM: fescuelatch.VMID(fmt.Sprintf("peer-%04d", n)), Domain: domain, Spares: spares, At: d.now,
		})
	}
}

func (d *bench) arrive() []decision.Action {
	d.count++
	return d.core.Handle(d.now, decision.Arrived{Request: &fescuelatch.Request{
		ID: fescuelatch.RequestID(fmt.Sprintf("q%d", d.count)), Account: fescuelatch.AccountID(fmt.Sprintf("a%d", d.count%d.size.accounts)),
		Model: "m", Quality: 0.6, Streamed: true, Arrived: d.now, Deadline: d.now.Add(time.Hour),
		PromptTokens: 100, OutputTokens: 100, Prefix: uint64(d.count % 64),
	}, Share: 1})
}

// end answers the attempt of an action.
func (d *bench) end(b *testing.B, as []decision.Action) {
	b.Helper()
	if len(as) != 1 {
		b.Fatalf("actions %#v", as)
	}
	r := fescuelatch.AttemptResult{
		Status: fescuelatch.AttemptAnswered, FirstToken: 100 * time.Millisecond, Total: time.Second, OutputTokens: 100,
	}
	var id fescuelatch.RequestID
	switch a := as[0].(type) {
	case decision.Start:
		id, r.Attempt, r.Endpoint, r.Version = a.Request, a.Attempt, a.Endpoint, a.Version
	case decision.Forward:
		id, r.Attempt, r.Version = a.Request, a.Attempt, a.Version
	default:
		b.Fatalf("action %#v", a)
	}
	d.core.Handle(d.now, decision.FirstToken{Request: id, Attempt: r.Attempt})
	d.core.Handle(d.now, decision.Ended{Request: id, Result: r})
}

// BenchmarkRequest measures all decisions of one streamed request.
func BenchmarkRequest(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(s.String(), func(b *testing.B) {
			d := newBench(b, s)
			b.ReportAllocs()
			for b.Loop() {
				d.now = d.now.Add(time.Millisecond)
				d.end(b, d.arrive())
			}
		})
	}
}

// BenchmarkTick measures the decisions due to the passage of time.
func BenchmarkTick(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(s.String(), func(b *testing.B) {
			d := newBench(b, s)
			b.ReportAllocs()
			for b.Loop() {
				d.now = d.now.Add(20 * time.Millisecond)
				d.core.Handle(d.now, decision.Tick{})
			}
		})
	}
}
