package failure

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/fleet"
)

// This file tests a network partition between regions, one of which keeps the
// platform.

const (
	// regionsInterval is the interval between calls to each daemon.
	regionsInterval = 150 * time.Millisecond
	// regionsBans is the number of keys that are sent to all daemons at once.
	regionsBans = 5
	// regionsArrivalTime is the time for attempts dispatched before the
	// withdrawal of the version to arrive.
	regionsArrivalTime = time.Second
	// regionsChangeTimeout is the timeout of the change submitted in the region
	// without the platform, which sets regionsRejectedWeight.
	regionsChangeTimeout  = 2 * time.Second
	regionsRejectedWeight = 7
)

var (
	// regionsNear are the VMs of the region that keeps the platform.
	regionsNear = []fescuelatch.VMID{"a-1", "b-1"}
	regionsFar  = []fescuelatch.VMID{"c-1", "d-1"}
	regionsVMs  = slices.Concat(regionsNear, regionsFar)
)

// regionsConfiguration has two regions of two failure domains, each with a VM,
// a model engine and a plain service. Both versions always give good answers.
func regionsConfiguration() *fescuelatch.Configuration {
	c := fleetConfiguration()
	c.Inventory.Domains = []fescuelatch.FailureDomain{
		{ID: "a", Region: "near"}, {ID: "b", Region: "near"}, {ID: "c", Region: "far"}, {ID: "d", Region: "far"},
	}
	c.Inventory.Versions = trafficConfiguration(0, 0).Inventory.Versions
	c.Inventory.Versions[1].Weight = 1
	addDomain(&c.Inventory, 3, "c")
	addDomain(&c.Inventory, 4, "d")
	c.Inventory.VMs = slices.DeleteFunc(c.Inventory.VMs, func(m fescuelatch.VM) bool { return !strings.HasSuffix(string(m.ID), "-1") })
	return c
}

// regionsRun is a fleet of two regions with its callers.
type regionsRun struct {
	*changesRun
	sessions *traffic
	chats    *callers
	bans     *callers
}

// TestRegionPartition cuts all connections between two regions and those
// of one region to the platform. Both must continue to serve. Meanwhile a
// version is withdrawn, keys are sent to both sides, and a daemon is killed in
// the region without the platform. After healing all guarantees must hold.
func TestRegionPartition(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f := startFleet(t, func(o *fleet.Options) {
		o.Configuration = regionsConfiguration()
		o.Daemon = []string{"--bill-hold-time", billHoldTime.String()}
	})
	warmUp(ctx, c, f)
	u := newCallers(c, f)
	r := &regionsRun{
		changesRun: &changesRun{Fleet: f, ctx: ctx},
		sessions:   &traffic{Fleet: f, t: t, ctx: ctx, http: u.client},
		chats:      u, bans: newCallers(c, f),
	}
	tokens, bare := r.beginSessions(c)
	stop := r.startLoad()
	defer stop()
	c.Assert(r.separateRegions(), qt.IsNil)
	cut := time.Now()
	withdrawn := r.changesWhileCut(c)
	r.sendBans("early")
	r.checkSessions(c, tokens, bare)
	sleepPastChangeDelay(withdrawn.At)
	r.sendBans("late")
	r.checkWhileCut(c, cut, withdrawn)
	r.killAfterAnswers(c)
	c.Assert(f.Heal(ctx), qt.IsNil)
	healed := time.Now()
	c.Assert(f.Restart(ctx, "d-1"), qt.IsNil)
	c.Assert(f.WaitReady(ctx, "d-1"), qt.IsNil)
	c.Logf("active in all daemons %v after healing", r.awaitActive(c, withdrawn.Generation, healed, regionsVMs...).Round(time.Millisecond))
	active := time.Now()
	r.sessions.checkKeepVersion(c, slices.Concat(tokens, bare), "c-1")
	time.Sleep(2 * regionsArrivalTime)
	stop()
	r.checkAfterHealing(c, active)
	checkEachBilled(ctx, c, f, r.chats.all())
}

// beginSessions begins sessions on the version that is not withdrawn, with
// tokens and with bare identifiers.
func (r *regionsRun) beginSessions(c *qt.C) (tokens, bare []*conversation) {
	for n := 0; len(tokens) < 2 || len(bare) < 2; n++ {
		v := r.sessions.begin(c, fmt.Sprintf("talk-%d", n), n%2 == 0, regionsNear[n%2])
		switch {
		case v.version != versionOld:
		case v.bare:
			bare = append(bare, v)
		default:
			tokens = append(tokens, v)
		}
	}
	return tokens, bare
}

// startLoad calls all daemons periodically until the returned function runs.
func (r *regionsRun) startLoad() func() {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(regionsInterval):
			}
			for _, m := range regionsVMs {
				r.chats.start(call{vm: m, nonce: fmt.Sprintf("load-%d-%s", n, m), streamed: n%2 == 0})
			}
		}
	})
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
}

func (r *regionsRun) separateRegions() error {
	for _, near := range []fescuelatch.DomainID{"a", "b"} {
		for _, far := range []fescuelatch.DomainID{"c", "d"} {
			if err := r.Partition(r.ctx, near, far); err != nil {
				return err
			}
		}
	}
	for _, far := range []fescuelatch.DomainID{"c", "d"} {
		if err := r.PartitionPlatform(r.ctx, far); err != nil {
			return err
		}
	}
	return nil
}

// changesWhileCut withdraws a version in the region that has the platform and
// submits a change in the other one, which must not be accepted.
func (r *regionsRun) changesWhileCut(c *qt.C) fleet.Accepted {
	a := r.changeAt(c, withdraw(versionNew), "a-1")
	r.awaitActive(c, a.Generation, a.At, regionsNear...)
	ctx, cancel := context.WithTimeout(r.ctx, regionsChangeTimeout)
	defer cancel()
	_, err := r.Change(ctx, setWeight(versionOld, regionsRejectedWeight), "c-1")
	c.Check(err, qt.IsNotNil)
	for _, m := range regionsFar {
		g, err := r.Generation(r.ctx, m)
		c.Assert(err, qt.IsNil)
		c.Check(g < a.Generation, qt.IsTrue)
	}
	return a
}

// sendBans sends each of several keys to all daemons concurrently.
func (r *regionsRun) sendBans(run string) {
	for n := range regionsBans {
		key := fmt.Sprintf("%s-%d", run, n)
		for _, m := range regionsVMs {
			r.bans.start(call{vm: m, nonce: key, key: key, operation: "ban"})
		}
	}
	r.bans.wg.Wait()
}

// checkSessions checks that sessions with tokens keep their version in both
// regions, and those with bare identifiers in the region that has the platform.
// The other region cannot resolve bare identifiers and must report "not run".
func (r *regionsRun) checkSessions(c *qt.C, tokens, bare []*conversation) {
	r.sessions.checkKeepVersion(c, slices.Concat(tokens, bare), "b-1")
	r.sessions.checkKeepVersion(c, tokens, "c-1")
	for _, v := range bare {
		q := r.sessions.send(&chatRequest{vm: "c-1", nonce: v.name, tokens: 2, session: v.token, timeout: 3 * time.Second})
		c.Check(q.outcome, qt.Equals, fescuelatch.OutcomeNotRun, qt.Commentf("%d %s", q.status, q.code))
		c.Check(q.retryAfter, qt.Not(qt.Equals), "")
	}
}

// checkWhileCut checks that both regions have served until now, that the
// withdrawn version gets no new work in the region with the platform, and that
// each key has run at most once. Once daemons have detected the partition, keys
// run in the region with the platform and are reported as not run elsewhere.
func (r *regionsRun) checkWhileCut(c *qt.C, cut time.Time, withdrawn fleet.Accepted) {
	now := time.Now()
	ws := r.received(c)
	late := func(w work) bool { return byVersion(versionNew, "c", "d")(w) }
	c.Check(workBetween(ws, withdrawn.At.Add(maxChangeDelay), now, late), qt.HasLen, 0)
	for _, d := range []fescuelatch.DomainID{"a", "b", "c", "d"} {
		c.Check(len(workBetween(ws, now.Add(-2*time.Second), now, byDomain(d))) > 0, qt.IsTrue, qt.Commentf("no work in %s", d))
	}
	done := executions(r.ctx, c, r.Fleet)
	outcomes := make(map[string]int)
	for _, q := range r.bans.all() {
		run, _, _ := strings.Cut(q.key, "-")
		region := "near"
		if slices.Contains(regionsFar, q.vm) {
			region = "far"
		}
		outcomes[fmt.Sprint(run, " ", region, " ", q.outcome)]++
		c.Check(len(done[q.key]) <= 1, qt.IsTrue, qt.Commentf("%s", q))
		if run == "early" {
			c.Check(q.outcome == fescuelatch.OutcomeAnswered && len(done[q.key]) == 0, qt.IsFalse, qt.Commentf("%s", q))
			continue
		}
		c.Check(done[q.key], qt.HasLen, 1, qt.Commentf("%s", q))
		if region == "far" {
			c.Check(q.outcome, qt.Equals, fescuelatch.OutcomeNotRun, qt.Commentf("%s", q))
			c.Check(q.retryAfter > 0, qt.IsTrue, qt.Commentf("%s", q))
		}
	}
	c.Logf("cut for %v: bans %v", now.Sub(cut).Round(time.Second), outcomes)
}

// killAfterAnswers kills a daemon of the region without the platform as soon
// as it has answered, so that only one copy of its bills remains.
func (r *regionsRun) killAfterAnswers(c *qt.C) {
	for n := range 3 {
		q := r.chats.send(call{vm: "d-1", nonce: fmt.Sprintf("last-%d", n)})
		c.Assert(q.outcome, qt.Equals, fescuelatch.OutcomeAnswered, qt.Commentf("%s", q))
	}
	c.Assert(r.Kill(r.ctx, "d-1"), qt.IsNil)
}

// checkAfterHealing repeats all keys at all daemons and checks that each has run
// once, that the withdrawn version gets no new work, and that the rejected
// change is active in no daemon.
func (r *regionsRun) checkAfterHealing(c *qt.C, active time.Time) {
	c.Check(workBetween(r.received(c), active.Add(regionsArrivalTime), time.Now(), byVersion(versionNew)), qt.HasLen, 0)
	for _, m := range regionsVMs {
		f, err := r.ActiveConfiguration(r.ctx, m)
		c.Assert(err, qt.IsNil)
		c.Check(weightOf(f, versionOld), qt.Not(qt.Equals), float64(regionsRejectedWeight))
	}
	r.sendBans("early")
	r.sendBans("late")
	for key, es := range executions(r.ctx, c, r.Fleet) {
		if strings.HasPrefix(key, "early") || strings.HasPrefix(key, "late") {
			c.Check(es, qt.HasLen, 1, qt.Commentf("key %s", key))
		}
	}
	c.Logf("calls %v, bans %v", tally(r.chats.all()), tally(r.bans.all()))
}
