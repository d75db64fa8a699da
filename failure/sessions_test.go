package failure

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests that sessions keep their versions.

// conversation is a session and the version it is bound to.
type conversation struct {
	name string
	// bare reports whether the session uses a bare identifier instead of a
	// token.
	bare    bool
	token   string
	version fescuelatch.VersionID
	calls   int
}

// call makes a call of the session and retries it while no capacity is
// available.
func (f *traffic) call(v *conversation, m fescuelatch.VMID, move bool) *reply {
	f.t.Helper()
	const (
		repeats = 40
		pause   = 100 * time.Millisecond
	)
	var r *reply
	for range repeats {
		v.calls++
		r = f.send(&chatRequest{
			vm: m, nonce: fmt.Sprintf("%s-%d", v.name, v.calls), tokens: 2, stream: v.calls%2 == 0,
			session: v.token, move: move, timeout: 3 * time.Second,
		})
		switch r.code {
		case "no-endpoint", "no-capacity", "not-started", "deadline":
			time.Sleep(pause)
		default:
			return r
		}
	}
	return r
}

// begin begins a session.
func (f *traffic) begin(c *qt.C, name string, bare bool, m fescuelatch.VMID) *conversation {
	c.Helper()
	v := &conversation{name: name, bare: bare}
	if bare {
		v.token = name
	}
	r := f.call(v, m, false)
	c.Assert(r.verdict(), qt.Equals, verdictWhole, qt.Commentf("%s: %d %s %v", name, r.status, r.code, r.err))
	v.version = r.version
	if !bare {
		c.Assert(r.session, qt.Not(qt.Equals), "")
		v.token = r.session
	}
	return v
}

// beginOn begins n sessions, alternating between bare identifiers and tokens,
// and checks that they begin on the version want.
func (f *traffic) beginOn(c *qt.C, want fescuelatch.VersionID, name string, n int, vms []fescuelatch.VMID) []*conversation {
	c.Helper()
	var vs []*conversation
	for k := range n {
		v := f.begin(c, fmt.Sprintf("%s-%d", name, k), k%2 == 0, vms[k%len(vms)])
		c.Assert(v.version, qt.Equals, want)
		vs = append(vs, v)
	}
	return vs
}

// checkKeepVersion calls every session at a VM and checks that it keeps its
// version. A session continues with the token of the last answer.
func (f *traffic) checkKeepVersion(c *qt.C, vs []*conversation, m fescuelatch.VMID) {
	c.Helper()
	for _, v := range vs {
		r := f.call(v, m, false)
		c.Check(r.verdict(), qt.Equals, verdictWhole, qt.Commentf("%s at %s: %d %s %v", v.name, m, r.status, r.code, r.err))
		c.Check(r.version, qt.Equals, v.version, qt.Commentf("%s at %s", v.name, m))
		if !v.bare && r.session != "" {
			v.token = r.session
		}
	}
}

// setWeights sets the weights of the versions and waits until they are active
// on the VMs.
func (f *traffic) setWeights(c *qt.C, oldWeight, newWeight float64, vms []fescuelatch.VMID) {
	c.Helper()
	f.change(c, vms, func(g *fescuelatch.Configuration) {
		for n := range g.Inventory.Versions {
			switch v := &g.Inventory.Versions[n]; v.ID {
			case versionOld:
				v.Weight = oldWeight
			case versionNew:
				v.Weight = newWeight
			}
		}
	})
}

// change edits the configuration and waits until it is active on the VMs.
func (f *traffic) change(c *qt.C, vms []fescuelatch.VMID, edit func(*fescuelatch.Configuration)) {
	c.Helper()
	a, err := f.Change(f.ctx, edit)
	c.Assert(err, qt.IsNil)
	for _, m := range vms {
		f.waitFor(6*time.Second, "change active", func() bool {
			g, err := f.Generation(f.ctx, m)
			return err == nil && g >= a.Generation
		})
	}
}

// platformOutage is the outage fault of the platform.
type platformOutage struct {
	Outage string `json:"outage"`
}

// replace kills a daemon and starts a new one without its state.
func (f *traffic) replace(c *qt.C, m fescuelatch.VMID) {
	c.Helper()
	c.Assert(f.Kill(f.ctx, m), qt.IsNil)
	c.Assert(f.Restart(f.ctx, m), qt.IsNil)
	c.Assert(f.WaitReady(f.ctx, m), qt.IsNil)
}

// TestSessionsKeepTheirVersion advances a rollout during sessions, replaces
// daemons, makes the platform unavailable and withdraws a version.
func TestSessionsKeepTheirVersion(t *testing.T) {
	c := qt.New(t)
	f := startTraffic(t, 2, 2)
	vms := []fescuelatch.VMID{"a-1", "a-2", "b-1"}
	for _, m := range vms {
		f.awaitServing(m)
	}

	// Every VM serves every session while the rollout advances.
	vs := f.beginOn(c, versionOld, "before", 6, vms)
	for _, weights := range [][2]float64{{1, 1}, {0.1, 1}, {0, 1}} {
		f.setWeights(c, weights[0], weights[1], vms)
		for _, m := range vms {
			f.checkKeepVersion(c, vs, m)
		}
	}
	vs = append(vs, f.beginOn(c, versionNew, "after", 6, vms)...)

	// A new daemon has no session state and reads it from the platform.
	f.replace(c, "a-1")
	f.checkKeepVersion(c, vs, "a-1")

	// Calls at a-2 make the sessions known there before the outage.
	f.checkKeepVersion(c, vs, "a-2")
	f.checkOutage(c, vs)
	f.checkWithdrawal(c, vs, vms)
}

// checkOutage checks sessions during a platform outage, at a daemon that has
// their state and at one that was replaced.
func (f *traffic) checkOutage(c *qt.C, vs []*conversation) {
	c.Helper()
	c.Assert(f.PlatformFaults(f.ctx, platformOutage{"refuse"}), qt.IsNil)
	f.checkKeepVersion(c, vs, "a-2")
	f.replace(c, "a-1")
	for _, v := range vs {
		r := f.call(v, "a-1", false)
		if !v.bare {
			c.Check(r.verdict(), qt.Equals, verdictWhole, qt.Commentf("%s: %d %s", v.name, r.status, r.code))
			c.Check(r.version, qt.Equals, v.version)
			continue
		}
		c.Check(r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", v.name))
		c.Check(r.outcome, qt.Equals, fescuelatch.OutcomeNotRun)
		c.Check(r.retryAfter, qt.Not(qt.Equals), "")
		f.checkOutcomes(c, &replies{all: []*reply{r}})
	}
	c.Assert(f.PlatformFaults(f.ctx, platformOutage{}), qt.IsNil)
	f.waitFor(10*time.Second, "platform available again", func() bool {
		return f.call(vs[0], "a-1", false).done
	})
	f.checkKeepVersion(c, vs, "a-1")
}

// checkWithdrawal checks that calls of sessions on a withdrawn version are
// rejected, and that sessions that allow it move to another version and keep
// it.
func (f *traffic) checkWithdrawal(c *qt.C, vs []*conversation, vms []fescuelatch.VMID) {
	c.Helper()
	f.change(c, vms, func(g *fescuelatch.Configuration) {
		g.Overrides.Withdrawn = append(g.Overrides.Withdrawn, versionOld)
	})
	at := time.Now()
	for n, v := range vs {
		if v.version != versionOld {
			continue
		}
		m := vms[n%len(vms)]
		r := f.call(v, m, false)
		c.Check(r.status, qt.Equals, http.StatusConflict, qt.Commentf("%s: %s", v.name, r.code))
		c.Check(r.outcome, qt.Equals, fescuelatch.OutcomeNotRun)
		r = f.call(v, m, true)
		c.Check(r.verdict(), qt.Equals, verdictWhole, qt.Commentf("%s: %d %s", v.name, r.status, r.code))
		c.Check(r.version, qt.Equals, versionNew)
		v.version = versionNew
		if !v.bare {
			v.token = r.session
		}
	}
	for _, m := range vms {
		f.checkKeepVersion(c, vs, m)
	}
	for _, e := range f.Configuration.Inventory.Endpoints {
		for _, r := range f.endpointLog(e.ID).Starts {
			c.Check(r.Version == versionOld && r.At.After(at), qt.IsFalse, qt.Commentf("%s ran on a withdrawn version", r.Attempt))
		}
	}
}
