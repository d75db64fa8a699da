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

// This file tests regions that lose each other, the platform staying with one
// of them.

const (
	// regionsPace passes between calls to each daemon.
	regionsPace = 150 * time.Millisecond
	// regionsBans are the keys that are sent to all daemons at a time.
	regionsBans = 5
	// regionsSettle is the time for what was dispatched when the version was
	// withdrawn to arrive.
	regionsSettle = time.Second
	// regionsPatience is that of the operator of the region without the
	// platform, whose change has regionsLostWeight.
	regionsPatience   = 2 * time.Second
	regionsLostWeight = 7
)

var (
	// regionsNear are the VMs of the region that keeps the platform.
	regionsNear = []fescuelatch.VMID{"a-1", "b-1"}
	regionsFar  = []fescuelatch.VMID{"c-1", "d-1"}
	regionsAll  = slices.Concat(regionsNear, regionsFar)
)

// regionsConfiguration has two regions of two failure domains, each with a
// VM, a model engine and a plain service. Both versions are always good.
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

// regionsRun is a fleet of two regions and its callers.
type regionsRun struct {
	*changesRun
	sessions *traffic
	chats    *callers
	bans     *callers
}

// TestRegionsLoseEachOther cuts all connections between two regions, of which
// one has lost the platform as well. Each goes on serving. Meanwhile a version
// is withdrawn, keys are sent to both sides, and a daemon is killed in the
// region without the platform. After healing all promises hold everywhere.
func TestRegionsLoseEachOther(t *testing.T) {
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
	stop := r.load()
	defer stop()
	c.Assert(r.loseEachOther(), qt.IsNil)
	cut := time.Now()
	withdrawn := r.changesWhileCut(c)
	r.sendBans("early")
	r.keepSessions(c, tokens, bare)
	pastBound(withdrawn.At)
	r.sendBans("late")
	r.checkWhileCut(c, cut, withdrawn)
	r.killAfterAnswers(c)
	c.Assert(f.Heal(ctx), qt.IsNil)
	healed := time.Now()
	c.Assert(f.Restart(ctx, "d-1"), qt.IsNil)
	c.Assert(f.WaitReady(ctx, "d-1"), qt.IsNil)
	c.Logf("in force everywhere %v after healing", r.inForce(c, withdrawn.Generation, healed, regionsAll...).Round(time.Millisecond))
	inForce := time.Now()
	r.sessions.keep(c, slices.Concat(tokens, bare), "c-1")
	time.Sleep(2 * regionsSettle)
	stop()
	r.checkAfterHealing(c, inForce)
	checkEachBilled(ctx, c, f, r.chats.all())
}

// beginSessions begins sessions of the version that stays, by token and by
// bare identifier.
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

// load calls each daemon in turn until the function returned is called.
func (r *regionsRun) load() func() {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(regionsPace):
			}
			for _, m := range regionsAll {
				r.chats.start(call{vm: m, nonce: fmt.Sprintf("load-%d-%s", n, m), streamed: n%2 == 0})
			}
		}
	})
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
}

func (r *regionsRun) loseEachOther() error {
	for _, near := range []fescuelatch.DomainID{"a", "b"} {
		for _, far := range []fescuelatch.DomainID{"c", "d"} {
			if err := r.Cut(r.ctx, near, far); err != nil {
				return err
			}
		}
	}
	for _, far := range []fescuelatch.DomainID{"c", "d"} {
		if err := r.CutPlatform(r.ctx, far); err != nil {
			return err
		}
	}
	return nil
}

// changesWhileCut withdraws a version in the region that has the platform,
// and tries a change in the other one, which must not be accepted.
func (r *regionsRun) changesWhileCut(c *qt.C) fleet.Accepted {
	a := r.changeAt(c, withdraw(versionNew), "a-1")
	r.inForce(c, a.Generation, a.At, regionsNear...)
	ctx, cancel := context.WithTimeout(r.ctx, regionsPatience)
	defer cancel()
	_, err := r.Change(ctx, weigh(versionOld, regionsLostWeight), "c-1")
	c.Check(err, qt.IsNotNil)
	for _, m := range regionsFar {
		g, err := r.Generation(r.ctx, m)
		c.Assert(err, qt.IsNil)
		c.Check(g < a.Generation, qt.IsTrue)
	}
	return a
}

// sendBans sends each of several keys to all daemons at once.
func (r *regionsRun) sendBans(run string) {
	for n := range regionsBans {
		key := fmt.Sprintf("%s-%d", run, n)
		for _, m := range regionsAll {
			r.bans.start(call{vm: m, nonce: key, key: key, operation: "ban"})
		}
	}
	r.bans.wg.Wait()
}

// keepSessions checks that tokens keep their version in both regions, and
// bare identifiers in the region that has the platform. The other one does
// not know them and must say that nothing was run.
func (r *regionsRun) keepSessions(c *qt.C, tokens, bare []*conversation) {
	r.sessions.keep(c, slices.Concat(tokens, bare), "b-1")
	r.sessions.keep(c, tokens, "c-1")
	for _, v := range bare {
		q := r.sessions.send(&ask{vm: "c-1", nonce: v.name, tokens: 2, session: v.token, timeout: 3 * time.Second})
		c.Check(q.outcome, qt.Equals, fescuelatch.OutcomeNotRun, qt.Commentf("%d %s", q.status, q.code))
		c.Check(q.retryAfter, qt.Not(qt.Equals), "")
	}
}

// checkWhileCut checks that both regions have served until now, that the
// withdrawn version has no new work where that can be known, and that each
// key has run once at most. Once daemons know that the others are lost, keys
// run where the platform is and are told not run elsewhere.
func (r *regionsRun) checkWhileCut(c *qt.C, cut time.Time, withdrawn fleet.Accepted) {
	now := time.Now()
	ws := r.received(c)
	late := func(w work) bool { return byVersion(versionNew, "c", "d")(w) }
	c.Check(between(ws, withdrawn.At.Add(changeBound), now, late), qt.HasLen, 0)
	for _, d := range []fescuelatch.DomainID{"a", "b", "c", "d"} {
		c.Check(len(between(ws, now.Add(-2*time.Second), now, byDomain(d))) > 0, qt.IsTrue, qt.Commentf("no work in %s", d))
	}
	done := executions(r.ctx, c, r.Fleet)
	told := make(map[string]int)
	for _, q := range r.bans.all() {
		run, _, _ := strings.Cut(q.key, "-")
		region := "near"
		if slices.Contains(regionsFar, q.vm) {
			region = "far"
		}
		told[fmt.Sprint(run, " ", region, " ", q.outcome)]++
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
	c.Logf("cut for %v: bans %v", now.Sub(cut).Round(time.Second), told)
}

// killAfterAnswers kills a daemon of the region without the platform as soon
// as it has answered, so that its bills are nowhere but in one copy.
func (r *regionsRun) killAfterAnswers(c *qt.C) {
	for n := range 3 {
		q := r.chats.send(call{vm: "d-1", nonce: fmt.Sprintf("last-%d", n)})
		c.Assert(q.outcome, qt.Equals, fescuelatch.OutcomeAnswered, qt.Commentf("%s", q))
	}
	c.Assert(r.Kill(r.ctx, "d-1"), qt.IsNil)
}

// checkAfterHealing repeats all keys everywhere. Each has run once, the
// withdrawn version has no new work, and the change that was not accepted is
// in force nowhere.
func (r *regionsRun) checkAfterHealing(c *qt.C, inForce time.Time) {
	c.Check(between(r.received(c), inForce.Add(regionsSettle), time.Now(), byVersion(versionNew)), qt.HasLen, 0)
	for _, m := range regionsAll {
		f, err := r.InForce(r.ctx, m)
		c.Assert(err, qt.IsNil)
		c.Check(weightOf(f, versionOld), qt.Not(qt.Equals), float64(regionsLostWeight))
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
