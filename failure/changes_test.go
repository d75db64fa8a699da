package failure

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/fleet"
	"fescuelatch/fleet/fleettest"
	"fescuelatch/load"
)

// This file defines helpers shared by the tests of configuration changes.

// maxChangeDelay is the guaranteed time after which an accepted change is
// active in each reachable daemon and removed targets get no new work.
const maxChangeDelay = 6 * time.Second

func changesVM(id fescuelatch.VMID, ip string) fescuelatch.VM {
	return fescuelatch.VM{
		ID: id, Domain: fescuelatch.DomainID(id[:1]), Peer: fleettest.Address(ip + ":7100"),
		Caller: fleettest.Address(ip + ":7200"), Operator: fleettest.Address(ip + ":7300"),
	}
}

func changesEndpoint(id fescuelatch.EndpointID, p fescuelatch.PoolID, address string) fescuelatch.Endpoint {
	return fescuelatch.Endpoint{
		ID: id, Pool: p, Domain: fescuelatch.DomainID(id[:1]), Address: fleettest.Address(address),
	}
}

// changesConfiguration has failure domains "a" and "b" with two VMs each and
// "c" with one. Each has a model engine; "a" also has a second one and a plain
// service.
func changesConfiguration() *fescuelatch.Configuration {
	c := fleettest.Small()
	c.Inventory.Domains = []fescuelatch.FailureDomain{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	c.Inventory.VMs = []fescuelatch.VM{
		changesVM("a-1", "127.79.1.1"), changesVM("a-2", "127.79.1.2"),
		changesVM("b-1", "127.79.2.1"), changesVM("b-2", "127.79.2.2"),
		changesVM("c-1", "127.79.3.1"),
	}
	c.Inventory.Versions = []fescuelatch.Version{
		{ID: "triage@1", Model: "triage", Quality: 0.9, PromptCost: 1, OutputCost: 1, Weight: 1},
		{ID: "triage@2", Model: "triage", Quality: 0.92, PromptCost: 20, OutputCost: 20, Weight: 1},
	}
	c.Inventory.Pools[0].Versions = []fescuelatch.VersionID{"triage@1", "triage@2"}
	c.Inventory.Endpoints = []fescuelatch.Endpoint{
		changesEndpoint("a-desk", "desks", "127.79.1.12:7400"),
		changesEndpoint("a-model", "models", "127.79.1.11:7400"),
		changesEndpoint("a-other", "models", "127.79.1.13:7400"),
		changesEndpoint("b-model", "models", "127.79.2.11:7400"),
		changesEndpoint("c-model", "models", "127.79.3.11:7400"),
	}
	return c
}

// changesRun is a fleet under test.
type changesRun struct {
	*fleet.Fleet
	ctx context.Context
	dir string
}

func startChanges(t *testing.T) *changesRun {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	dir := t.TempDir()
	f := fleet.StartTest(t, fleet.Options{Configuration: changesConfiguration(), Bin: fleettest.Bin(), Dir: dir})
	t.Cleanup(func() { qt.Check(t, f.Crashed(), qt.HasLen, 0) })
	return &changesRun{Fleet: f, ctx: ctx, dir: dir}
}

// setWeight returns an edit that sets the weight of a version.
func setWeight(v fescuelatch.VersionID, weight float64) func(*fescuelatch.Configuration) {
	return func(c *fescuelatch.Configuration) {
		for n := range c.Inventory.Versions {
			if c.Inventory.Versions[n].ID == v {
				c.Inventory.Versions[n].Weight = weight
			}
		}
	}
}

func weightOf(c *fescuelatch.Configuration, v fescuelatch.VersionID) float64 {
	for _, w := range c.Inventory.Versions {
		if w.ID == v {
			return w.Weight
		}
	}
	return -1
}

// changeAt submits a change through the daemons of vms.
func (r *changesRun) changeAt(c *qt.C, edit func(*fescuelatch.Configuration), vms ...fescuelatch.VMID) fleet.Accepted {
	c.Helper()
	a, err := r.Change(r.ctx, edit, vms...)
	c.Assert(err, qt.IsNil)
	return a
}

// awaitActive waits until a generation is active in the daemons of vms and
// returns the longest delay since the given time. The test fails if the delay
// exceeds maxChangeDelay.
func (r *changesRun) awaitActive(c *qt.C, g fescuelatch.Generation, since time.Time, vms ...fescuelatch.VMID) time.Duration {
	c.Helper()
	var last time.Duration
	for _, m := range vms {
		ok := eventually(time.Until(since.Add(maxChangeDelay)), func() bool {
			now, err := r.Generation(r.ctx, m)
			return err == nil && now >= g
		})
		took := time.Since(since)
		c.Check(ok, qt.IsTrue, qt.Commentf("%s: generation %d not active after %v", m, g, took))
		last = max(last, took)
	}
	return last
}

// eventually polls ok and reports whether it becomes true within d.
func eventually(d time.Duration, ok func() bool) bool {
	const interval = 50 * time.Millisecond
	for end := time.Now().Add(d); ; time.Sleep(interval) {
		if ok() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// ready reports whether the daemon of a VM reports readiness.
func (r *changesRun) ready(m fescuelatch.VMID) bool {
	h := http.Client{Timeout: time.Second}
	resp, err := h.Get("http://" + r.vm(m).Operator.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *changesRun) vm(m fescuelatch.VMID) fescuelatch.VM {
	n := slices.IndexFunc(r.Configuration.Inventory.VMs, func(v fescuelatch.VM) bool { return v.ID == m })
	return r.Configuration.Inventory.VMs[n]
}

// replace kills the daemon of a VM and starts a new one in its place.
func (r *changesRun) replace(c *qt.C, m fescuelatch.VMID) {
	c.Helper()
	c.Assert(r.Kill(r.ctx, m), qt.IsNil)
	c.Assert(r.Restart(r.ctx, m), qt.IsNil)
}

// answers reports whether a VM answers a model call.
func (r *changesRun) answers(m fescuelatch.VMID) bool { return r.answersWithin(m, 4, 5*time.Second) }

// answersWithin reports whether a VM answers a model call with the given number
// of tokens and timeout.
func (r *changesRun) answersWithin(m fescuelatch.VMID, tokens int, d time.Duration) bool {
	body := fmt.Sprintf(`{"model":"triage","messages":[{"role":"user","content":"nonce:1 text"}],"max_tokens":%d}`, tokens)
	q, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+r.vm(m).Caller.String()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	q.Header.Set("Authorization", "Bearer "+r.Keys["daily"])
	q.Header.Set(caller.HeaderTimeout, d.String())
	h := http.Client{Timeout: d}
	resp, err := h.Do(q)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// generationWatch samples the active generation of each daemon.
type generationWatch struct {
	mu          sync.Mutex
	last        map[fescuelatch.VMID]fescuelatch.Generation
	samples     int
	regressions []string
	stop        context.CancelFunc
	done        sync.WaitGroup
}

// watchGenerations starts a watch that samples until its end method is called.
func (r *changesRun) watchGenerations() *generationWatch {
	ctx, cancel := context.WithCancel(r.ctx)
	w := &generationWatch{last: make(map[fescuelatch.VMID]fescuelatch.Generation), stop: cancel}
	for _, m := range r.Configuration.Inventory.VMs {
		w.done.Go(func() {
			for ctx.Err() == nil {
				if g, err := r.Generation(ctx, m.ID); err == nil {
					w.record(m.ID, g)
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	return w
}

// record adds a sample. A daemon and its replacement count as one.
func (w *generationWatch) record(m fescuelatch.VMID, g fescuelatch.Generation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	if g < w.last[m] {
		w.regressions = append(w.regressions, fmt.Sprintf("%s reverted from generation %d to %d", m, w.last[m], g))
	}
	w.last[m] = g
}

// end stops the watch and checks that no generation has reverted.
func (w *generationWatch) end(c *qt.C) {
	w.stop()
	w.done.Wait()
	c.Check(w.regressions, qt.HasLen, 0)
	c.Check(w.samples > 0, qt.IsTrue)
	c.Logf("%d samples of generations", w.samples)
}

// changesLoad is a background load that runs until its end method is called.
type changesLoad struct {
	cancel  context.CancelFunc
	done    chan struct{}
	summary *load.Summary
	records []load.Record
}

// maxLoadTime bounds the duration of a load that is not ended by its test.
const maxLoadTime = 90 * time.Second

// steadyLoad sends calls to all VMs, some of them to plain services, in
// sessions or pinned to a version.
func (r *changesRun) steadyLoad(c *qt.C, rate float64, seed uint64) *changesLoad {
	c.Helper()
	calls, err := load.Plan(&load.Profile{
		Rate: rate, Duration: maxLoadTime, Seed: seed, Run: fmt.Sprintf("changes%d", seed),
		Accounts: load.AccountsOf(r.Configuration, r.Keys),
		Mix: load.Mix{
			Service: 0.1, Streamed: 0.5, Session: 0.3, Pinned: 0.2, MinTokens: 4, MaxTokens: 12, Timeout: 8 * time.Second,
		},
	})
	c.Assert(err, qt.IsNil)
	u := load.Runner{Keys: r.Keys}
	for _, m := range r.Configuration.Inventory.VMs {
		u.Targets = append(u.Targets, load.Target{Caller: m.Caller, Health: m.Operator})
	}
	ctx, cancel := context.WithCancel(r.ctx)
	l := &changesLoad{cancel: cancel, done: make(chan struct{})}
	go func() {
		l.records, l.summary = u.Run(ctx, calls)
		close(l.done)
	}()
	return l
}

// end stops sending calls and waits for the outstanding answers.
func (l *changesLoad) end() {
	l.cancel()
	<-l.done
}
