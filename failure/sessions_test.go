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

// conversation is one session and what it was bound to.
type conversation struct {
	name string
	// bare reports that the session is known by a bare identifier; others
	// carry a token.
	bare    bool
	token   string
	version fescuelatch.VersionID
	calls   int
}

// call makes a call of the session and repeats it while it is not run for
// want of capacity.
func (f *traffic) call(v *conversation, m fescuelatch.VMID, move bool) *reply {
	f.t.Helper()
	const (
		repeats = 40
		pause   = 100 * time.Millisecond
	)
	var r *reply
	for range repeats {
		v.calls++
		r = f.send(&ask{
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

// beginOn begins n sessions, tokens and bare identifiers in turn, and checks
// that they begin on a version.
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

// keep calls every session at a VM and checks that it keeps its version. A
// session goes on with the token of the last answer.
func (f *traffic) keep(c *qt.C, vs []*conversation, m fescuelatch.VMID) {
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

// weigh sets the weights of the versions and waits until the VMs have them
// in force.
func (f *traffic) weigh(c *qt.C, was, is float64, vms []fescuelatch.VMID) {
	c.Helper()
	f.change(c, vms, func(g *fescuelatch.Configuration) {
		for n := range g.Inventory.Versions {
			switch v := &g.Inventory.Versions[n]; v.ID {
			case versionOld:
				v.Weight = was
			case versionNew:
				v.Weight = is
			}
		}
	})
}

// change edits the configuration and waits until the VMs have it in force.
func (f *traffic) change(c *qt.C, vms []fescuelatch.VMID, edit func(*fescuelatch.Configuration)) {
	c.Helper()
	a, err := f.Change(f.ctx, edit)
	c.Assert(err, qt.IsNil)
	for _, m := range vms {
		f.within(6*time.Second, "change in force", func() bool {
			g, err := f.Generation(f.ctx, m)
			return err == nil && g >= a.Generation
		})
	}
}

// platformOutage is the fault of the platform.
type platformOutage struct {
	Outage string `json:"outage"`
}

// replace kills a daemon and starts it anew, which holds nothing.
func (f *traffic) replace(c *qt.C, m fescuelatch.VMID) {
	c.Helper()
	c.Assert(f.Kill(f.ctx, m), qt.IsNil)
	c.Assert(f.Restart(f.ctx, m), qt.IsNil)
	c.Assert(f.WaitReady(f.ctx, m), qt.IsNil)
}

// TestSessionsKeepTheirVersion moves a roll-out under sessions, replaces
// daemons, takes the platform away and withdraws a version.
func TestSessionsKeepTheirVersion(t *testing.T) {
	c := qt.New(t)
	f := startTraffic(t, 2, 2)
	vms := []fescuelatch.VMID{"a-1", "a-2", "b-1"}
	for _, m := range vms {
		f.served(m)
	}

	// The roll-out moves; every VM serves every session.
	vs := f.beginOn(c, versionOld, "before", 6, vms)
	for _, weights := range [][2]float64{{1, 1}, {0.1, 1}, {0, 1}} {
		f.weigh(c, weights[0], weights[1], vms)
		for _, m := range vms {
			f.keep(c, vs, m)
		}
	}
	vs = append(vs, f.beginOn(c, versionNew, "after", 6, vms)...)

	// A replaced daemon knows no session, but the platform does.
	f.replace(c, "a-1")
	f.keep(c, vs, "a-1")

	// What the outage finds known at a-2 has been called there.
	f.keep(c, vs, "a-2")
	f.outage(c, vs)
	f.withdrawal(c, vs, vms)
}

// outage checks sessions at a daemon that was replaced while the platform is
// away, and at one that knows them.
func (f *traffic) outage(c *qt.C, vs []*conversation) {
	c.Helper()
	c.Assert(f.PlatformFaults(f.ctx, platformOutage{"refuse"}), qt.IsNil)
	f.keep(c, vs, "a-2")
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
	f.within(10*time.Second, "platform again", func() bool {
		return f.call(vs[0], "a-1", false).done
	})
	f.keep(c, vs, "a-1")
}

// withdrawal checks that sessions of a withdrawn version are told, that they
// go on with another version when they allow it, and keep that one.
func (f *traffic) withdrawal(c *qt.C, vs []*conversation, vms []fescuelatch.VMID) {
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
		f.keep(c, vs, m)
	}
	for _, e := range f.Configuration.Inventory.Endpoints {
		for _, r := range f.log(e.ID).Starts {
			c.Check(r.Version == versionOld && r.At.After(at), qt.IsFalse, qt.Commentf("%s ran on a withdrawn version", r.Attempt))
		}
	}
}
