package failure

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"fescuelatch"
	"fescuelatch/configstore"
	"fescuelatch/etcd"
	"fescuelatch/fleet"
	"fescuelatch/inventory"
	"fescuelatch/operator"
)

// This file tests that each accepted configuration becomes active in all
// daemons and never reverts, whatever fails.

// Faults of the platform's stand-in.
type (
	faultChance struct {
		Next        int     `json:"next"`
		Probability float64 `json:"probability"`
	}
	lostAnswer struct {
		Chance faultChance `json:"lost-answer"`
		Mode   string      `json:"lost-answer-mode"`
	}
	watchGap struct {
		Chance faultChance `json:"watch-gap"`
	}
	outage struct {
		Outage string `json:"outage"`
	}
)

// changesVMs are the VMs of changesConfiguration.
var changesVMs = []fescuelatch.VMID{"a-1", "a-2", "b-1", "b-2", "c-1"}

func TestConfiguration(t *testing.T) {
	r := startChanges(t)
	w := r.watchGenerations()
	tests := []struct {
		name string
		run  func(*changesRun, *qt.C)
	}{
		{"reachable", testReachable},
		{"watch gap", testWatchGap},
		{"lost answers", testLostAnswers},
		{"racing operators", testRacingOperators},
		{"cut off from the platform", testCutFromPlatform},
		{"cut off from all", testCutFromAll},
		{"replaced in an outage", testReplacedInOutage},
		{"replaced together", testReplacedTogether},
		{"replaced alone", testReplacedAlone},
		{"replaced beside a stale failure domain", testReplacedWithStalePeer},
		{"exit codes", testExitCodes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			test.run(r, c)
			c.Assert(r.Heal(r.ctx), qt.IsNil)
			c.Assert(r.PlatformFaults(r.ctx, struct {
				lostAnswer
				watchGap
				outage
			}{}), qt.IsNil)
		})
	}
	w.end(qt.New(t))
	checkLoggedGenerations(qt.New(t), r)
}

// checkLoggedGenerations checks that the generations that each VM's daemons
// have logged as activated never decrease, also across replacements.
func checkLoggedGenerations(c *qt.C, r *changesRun) {
	for _, m := range changesVMs {
		b, err := os.ReadFile(filepath.Join(r.dir, "daemon-"+string(m)+".log"))
		c.Assert(err, qt.IsNil)
		var last fescuelatch.Generation
		for _, line := range bytes.Split(b, []byte("\n")) {
			var l struct {
				Message    string                 `json:"msg"`
				Generation fescuelatch.Generation `json:"generation"`
			}
			if json.Unmarshal(line, &l) != nil || l.Message != "configuration in force" {
				continue
			}
			c.Check(l.Generation >= last, qt.IsTrue, qt.Commentf("%s: %d after %d", m, l.Generation, last))
			last = l.Generation
		}
		c.Check(last > 1, qt.IsTrue)
	}
}

func testReachable(r *changesRun, c *qt.C) {
	var last time.Duration
	for n, m := range changesVMs {
		a := r.changeAt(c, setWeight("triage@1", float64(n+2)), m)
		last = max(last, r.awaitActive(c, a.Generation, a.At, changesVMs...))
	}
	c.Logf("active in all daemons after %v", last)
}

// writeChange writes a change to the platform like a daemon that exits right
// after the write.
func (r *changesRun) writeChange(c *qt.C, edit func(*fescuelatch.Configuration)) fleet.Accepted {
	s := configstore.Store{KV: &etcd.Client{Server: r.Platform()}}
	from, err := s.Load(r.ctx)
	c.Assert(err, qt.IsNil)
	change := changeOf(from, edit)
	_, err = s.Propose(r.ctx, &change)
	c.Assert(err, qt.IsNil)
	return fleet.Accepted{Generation: change.Generation(), At: time.Now()}
}

// changeOf returns the change that results from an edit.
func changeOf(from *fescuelatch.Configuration, edit func(*fescuelatch.Configuration)) fescuelatch.Change {
	to := *from
	to.Inventory.Versions = slices.Clone(from.Inventory.Versions)
	edit(&to)
	d := fescuelatch.Diff(from, &to)
	d.ID = fescuelatch.ChangeID(uuid.NewString())
	d.Author = "operator"
	d.At = time.Now().UTC()
	return d
}

func testWatchGap(r *changesRun, c *qt.C) {
	c.Assert(r.PlatformFaults(r.ctx, watchGap{faultChance{Probability: 1}}), qt.IsNil)
	a := r.changeAt(c, setWeight("triage@1", 11), "b-1")
	c.Logf("active in all daemons after %v", r.awaitActive(c, a.Generation, a.At, changesVMs...))
	a = r.writeChange(c, setWeight("triage@1", 12))
	c.Logf("directly stored change active in all daemons after %v", r.awaitActive(c, a.Generation, a.At, changesVMs...))
}

func testLostAnswers(r *changesRun, c *qt.C) {
	for n, mode := range []string{"cut", "hang", "timed-out"} {
		c.Assert(r.PlatformFaults(r.ctx, lostAnswer{faultChance{Next: 1}, mode}), qt.IsNil)
		client := r.Operator("a-1")
		from, err := client.Configuration(r.ctx)
		c.Assert(err, qt.IsNil)
		weight := float64(20 + n)
		change := changeOf(from, setWeight("triage@2", weight))
		a, err := client.Propose(r.ctx, &change)
		c.Assert(err, qt.IsNil)
		c.Check(a.Generation, qt.Equals, from.Generation+1)
		r.awaitActive(c, a.Generation, time.Now(), changesVMs...)
		f, err := r.ActiveConfiguration(r.ctx, "c-1")
		c.Assert(err, qt.IsNil)
		c.Check(weightOf(f, "triage@2"), qt.Equals, weight)
	}
}

// proposalOutcome is a proposed change and the result its operator received.
type proposalOutcome struct {
	change fescuelatch.Change
	result operator.ProposeResult
	err    error
}

// proposals makes n sequential changes, retrying each until it is accepted.
func (r *changesRun) proposals(n int, v fescuelatch.VersionID, vms ...fescuelatch.VMID) []proposalOutcome {
	client := r.Operator(vms...)
	var ps []proposalOutcome
	for i := range n {
		for r.ctx.Err() == nil {
			from, err := client.Configuration(r.ctx)
			if err != nil {
				continue
			}
			p := proposalOutcome{change: changeOf(from, setWeight(v, float64(100+i)))}
			p.result, p.err = client.Propose(r.ctx, &p.change)
			ps = append(ps, p)
			if p.err == nil {
				break
			}
		}
	}
	return ps
}

func testRacingOperators(r *changesRun, c *qt.C) {
	const changes = 8
	c.Assert(r.PlatformFaults(r.ctx, lostAnswer{faultChance{Probability: 0.3}, "cut"}), qt.IsNil)
	var one, two []proposalOutcome
	var wg sync.WaitGroup
	wg.Go(func() { one = r.proposals(changes, "triage@1", "a-1", "a-2") })
	wg.Go(func() { two = r.proposals(changes, "triage@2", "b-1", "c-1") })
	wg.Wait()
	at := time.Now()
	c.Assert(r.PlatformFaults(r.ctx, lostAnswer{}), qt.IsNil)
	stored, err := r.Operator("a-1").History(r.ctx, 100)
	c.Assert(err, qt.IsNil)
	var accepted, conflicts int
	for _, p := range slices.Concat(one, two) {
		n := slices.IndexFunc(stored, func(s fescuelatch.Change) bool { return s.ID == p.change.ID })
		if p.err == nil {
			accepted++
			c.Assert(n >= 0, qt.IsTrue, qt.Commentf("accepted change %s is not stored", p.change.ID))
			c.Check(stored[n].Generation(), qt.Equals, p.result.Generation)
			continue
		}
		var e *operator.Error
		c.Assert(errors.As(p.err, &e), qt.IsTrue)
		c.Check(e.Kind, qt.Equals, operator.KindConflict)
		c.Check(e.Winner, qt.IsNotNil)
		c.Check(n, qt.Equals, -1, qt.Commentf("rejected change %s is stored", p.change.ID))
		conflicts++
	}
	c.Check(accepted, qt.Equals, 2*changes)
	c.Check(conflicts > 0, qt.IsTrue)
	r.awaitActive(c, stored[0].Generation(), at, changesVMs...)
	for _, m := range changesVMs {
		f, err := r.ActiveConfiguration(r.ctx, m)
		c.Assert(err, qt.IsNil)
		c.Check(weightOf(f, "triage@1"), qt.Equals, 99.0+changes)
		c.Check(weightOf(f, "triage@2"), qt.Equals, 99.0+changes)
	}
	c.Logf("%d accepted, %d conflicts", accepted, conflicts)
}

func testCutFromPlatform(r *changesRun, c *qt.C) {
	c.Assert(r.PartitionPlatform(r.ctx, "a"), qt.IsNil)
	c.Assert(r.PartitionPlatform(r.ctx, "c"), qt.IsNil)
	var last time.Duration
	for n := range 3 {
		a := r.changeAt(c, setWeight("triage@1", float64(30+n)), "b-2")
		last = max(last, r.awaitActive(c, a.Generation, a.At, changesVMs...))
	}
	c.Logf("active in domains cut off from the platform after %v", last)
}

func testCutFromAll(r *changesRun, c *qt.C) {
	before, err := r.Generation(r.ctx, "a-2")
	c.Assert(err, qt.IsNil)
	c.Assert(r.Isolate(r.ctx, "a"), qt.IsNil)
	a := r.changeAt(c, setWeight("triage@1", 41), "b-1")
	r.awaitActive(c, a.Generation, a.At, "b-1", "b-2", "c-1")
	c.Check(r.answers("a-1"), qt.IsTrue)
	c.Check(r.answers("a-2"), qt.IsTrue)

	r.replace(c, "a-1")
	c.Check(eventually(maxChangeDelay, func() bool { return r.ready("a-1") }), qt.IsTrue)
	for _, m := range []fescuelatch.VMID{"a-1", "a-2"} {
		g, err := r.Generation(r.ctx, m)
		c.Assert(err, qt.IsNil)
		c.Check(g, qt.Equals, before)
	}
	c.Check(eventually(maxChangeDelay, func() bool { return r.answers("a-1") }), qt.IsTrue)

	c.Assert(r.Heal(r.ctx), qt.IsNil)
	healed := time.Now()
	c.Logf("active %v after healing", r.awaitActive(c, a.Generation, healed, "a-1", "a-2"))
}

// testReplacedInOutage replaces daemons during a platform outage while a-1, a
// daemon named in the settings of all others, does not answer.
func testReplacedInOutage(r *changesRun, c *qt.C) {
	for _, kind := range []string{"refuse", "hang"} {
		a := r.changeAt(c, setWeight("triage@1", float64(50+len(kind))), "a-1")
		r.awaitActive(c, a.Generation, a.At, changesVMs...)
		c.Assert(r.PlatformFaults(r.ctx, outage{kind}), qt.IsNil)
		c.Assert(r.Pause("a-1"), qt.IsNil)
		for _, m := range []fescuelatch.VMID{"b-1", "c-1"} {
			r.replace(c, m)
			// A new daemon asks other daemons only after the timeout of the
			// platform.
			c.Check(eventually(2*maxChangeDelay, func() bool { return r.ready(m) }), qt.IsTrue)
			g, err := r.Generation(r.ctx, m)
			c.Check(err, qt.IsNil)
			c.Check(g, qt.Equals, a.Generation)
		}
		c.Assert(r.Resume("a-1"), qt.IsNil)
		c.Assert(r.PlatformFaults(r.ctx, outage{}), qt.IsNil)
	}
}

// testReplacedTogether replaces all daemons of a failure domain at once, with
// and without the platform. Without it, none can determine the generation that
// was active in their failure domain: they wait while other domains serve.
func testReplacedTogether(r *changesRun, c *qt.C) {
	both := []fescuelatch.VMID{"a-1", "a-2"}
	anyReady := func() bool { return slices.ContainsFunc(both, r.ready) }
	allReady := func() bool { return r.ready("a-1") && r.ready("a-2") }
	replaced := r.replaceTogether(c, both)
	c.Check(eventually(2*maxChangeDelay, allReady), qt.IsTrue)
	c.Logf("ready after %v with the platform available", time.Since(replaced).Round(time.Millisecond))

	a := r.changeAt(c, setWeight("triage@1", 57), "a-2")
	r.awaitActive(c, a.Generation, a.At, changesVMs...)
	c.Assert(r.PlatformFaults(r.ctx, outage{"refuse"}), qt.IsNil)
	r.replaceTogether(c, both)
	c.Check(eventually(maxChangeDelay, anyReady), qt.IsFalse)
	c.Check(r.answers("b-1"), qt.IsTrue)
	c.Assert(r.PlatformFaults(r.ctx, outage{}), qt.IsNil)
	back := time.Now()
	c.Check(eventually(maxChangeDelay, allReady), qt.IsTrue)
	c.Logf("ready %v after the platform became available again", time.Since(back).Round(time.Millisecond))
	r.awaitActive(c, a.Generation, back, changesVMs...)
}

// replaceTogether kills daemons concurrently, then starts new ones in their
// places.
func (r *changesRun) replaceTogether(c *qt.C, vms []fescuelatch.VMID) time.Time {
	var g errgroup.Group
	for _, m := range vms {
		g.Go(func() error { return r.Kill(r.ctx, m) })
	}
	c.Assert(g.Wait(), qt.IsNil)
	for _, m := range vms {
		c.Assert(r.Restart(r.ctx, m), qt.IsNil)
	}
	return time.Now()
}

func testReplacedAlone(r *changesRun, c *qt.C) {
	before, err := r.Generation(r.ctx, "c-1")
	c.Assert(err, qt.IsNil)
	c.Assert(r.Isolate(r.ctx, "c"), qt.IsNil)
	r.replace(c, "c-1")
	c.Check(eventually(3*time.Second, func() bool { return r.ready("c-1") }), qt.IsFalse)
	c.Assert(r.Heal(r.ctx), qt.IsNil)
	healed := time.Now()
	c.Check(eventually(maxChangeDelay, func() bool { return r.ready("c-1") }), qt.IsTrue)
	c.Logf("ready %v after healing", time.Since(healed))
	r.awaitActive(c, before, healed, "c-1")
}

// testReplacedWithStalePeer replaces a daemon during a platform outage. The only
// reachable peer was cut off, and its generation is older than the one that was
// active in the failure domain of the replaced daemon.
func testReplacedWithStalePeer(r *changesRun, c *qt.C) {
	c.Assert(r.Isolate(r.ctx, "c"), qt.IsNil)
	// A link delivers its buffered data when the cut ends. Dropping watch
	// events keeps the stale daemon from being updated that way.
	c.Assert(r.PlatformFaults(r.ctx, watchGap{faultChance{Probability: 1}}), qt.IsNil)
	a := r.changeAt(c, setWeight("triage@1", 59), "a-1")
	r.awaitActive(c, a.Generation, a.At, "a-1", "a-2", "b-1", "b-2")
	c.Assert(r.PlatformFaults(r.ctx, outage{"refuse"}), qt.IsNil)
	paused := []fescuelatch.VMID{"a-2", "b-1", "b-2"}
	for _, m := range paused {
		c.Assert(r.Pause(m), qt.IsNil)
	}
	c.Assert(r.Kill(r.ctx, "a-1"), qt.IsNil)
	c.Assert(r.Heal(r.ctx), qt.IsNil)
	c.Assert(r.Restart(r.ctx, "a-1"), qt.IsNil)
	c.Check(eventually(maxChangeDelay, func() bool { return r.ready("a-1") }), qt.IsFalse)
	stale, err := r.Generation(r.ctx, "c-1")
	c.Assert(err, qt.IsNil)
	c.Check(stale < a.Generation, qt.IsTrue)
	for _, m := range paused {
		c.Assert(r.Resume(m), qt.IsNil)
	}
	resumed := time.Now()
	c.Check(eventually(maxChangeDelay, func() bool { return r.ready("a-1") }), qt.IsTrue)
	c.Logf("ready %v after the other daemons resumed", time.Since(resumed))
	r.awaitActive(c, a.Generation, resumed, changesVMs...)
}

// commandLine builds the operator CLI and returns its path.
func commandLine(c *qt.C) string {
	c.Helper()
	name := filepath.Join(c.TempDir(), "fescuelatch")
	out, err := exec.Command("go", "build", "-o", name, "fescuelatch/cmd/fescuelatch").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return name
}

// command runs the operator CLI and returns its exit code and output.
func (r *changesRun) command(c *qt.C, name string, vms []fescuelatch.VMID, args ...string) (int, string) {
	c.Helper()
	ctx, cancel := context.WithTimeout(r.ctx, 20*time.Second)
	defer cancel()
	k := exec.CommandContext(ctx, name, args...)
	var as []string
	for _, m := range vms {
		as = append(as, r.vm(m).Operator.String())
	}
	k.Env = append(os.Environ(), "FESCUELATCH_OPERATOR_KEY="+r.OperatorKey, "FESCUELATCH_OPERATOR_ADDRESSES="+strings.Join(as, ","))
	out, err := k.CombinedOutput()
	var e *exec.ExitError
	if err != nil && !errors.As(err, &e) {
		c.Fatalf("%v: %s", err, out)
	}
	return k.ProcessState.ExitCode(), string(out)
}

// inventoryFile writes the active inventory with another weight of triage@1 to a
// file and returns its path.
func (r *changesRun) inventoryFile(c *qt.C, weight float64) string {
	f, err := r.Operator("b-1", "c-1").Configuration(r.ctx)
	c.Assert(err, qt.IsNil)
	f.Inventory.Versions = slices.Clone(f.Inventory.Versions)
	setWeight("triage@1", weight)(f)
	name := filepath.Join(c.TempDir(), "inventory.yaml")
	var b bytes.Buffer
	c.Assert(inventory.WriteInventory(&b, &f.Inventory), qt.IsNil)
	c.Assert(os.WriteFile(name, b.Bytes(), 0o600), qt.IsNil)
	return name
}

// Exit codes of the operator CLI, see docs/OPERATIONS.md. All but exitUnknown
// determine whether the change is stored.
const (
	exitDone        = 0
	exitConflict    = 3
	exitNotActive   = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

// lateWriteTimeout is the time within which a write that hung is executed once the platform
// answers again, if at all.
const lateWriteTimeout = 2 * time.Second

// refuseAfter makes the platform refuse all calls once it has stored the
// weight.
func (r *changesRun) refuseAfter(weight float64) {
	s := configstore.Store{KV: &etcd.Client{Server: r.Platform()}}
	_ = eventually(maxChangeDelay, func() bool {
		f, err := s.Load(r.ctx)
		return err == nil && weightOf(f, "triage@1") == weight
	})
	_ = r.PlatformFaults(r.ctx, outage{"refuse"})
}

func testExitCodes(r *changesRun, c *qt.C) {
	tests := []struct {
		name    string
		prepare func(weight float64) error
		vms     []fescuelatch.VMID
		args    []string
		code    int
	}{
		{"active", func(float64) error { return nil }, changesVMs, nil, exitDone},
		{"answer lost", func(float64) error {
			return r.PlatformFaults(r.ctx, lostAnswer{faultChance{Next: 1}, "cut"})
		}, changesVMs, nil, exitDone},
		{"stale base", func(float64) error { return nil }, changesVMs, []string{"--base", "1"}, exitConflict},
		{"a failure domain is cut off", func(float64) error {
			return r.Isolate(r.ctx, "a")
		}, []fescuelatch.VMID{"b-1", "c-1"}, []string{"--wait", "2s"}, exitNotActive},
		{"platform unavailable", func(float64) error {
			return r.PlatformFaults(r.ctx, outage{"refuse"})
		}, changesVMs, []string{"--timeout", "3s"}, exitUnavailable},
		{"platform hangs", func(float64) error {
			return r.PlatformFaults(r.ctx, outage{"hang"})
		}, changesVMs, []string{"--timeout", "3s"}, exitUnknown},
		{"outcome unknown", func(weight float64) error {
			go r.refuseAfter(weight)
			return r.PlatformFaults(r.ctx, lostAnswer{faultChance{Next: 1}, "hang"})
		}, changesVMs, []string{"--timeout", "4s"}, exitUnknown},
	}
	program := commandLine(c)
	for n, test := range tests {
		weight := float64(60 + n)
		name := r.inventoryFile(c, weight)
		c.Assert(test.prepare(weight), qt.IsNil)
		args := append([]string{"inventory", "apply", name, "--yes"}, test.args...)
		code, out := r.command(c, program, test.vms, args...)
		c.Check(code, qt.Equals, test.code, qt.Commentf("%s: %s", test.name, out))
		c.Assert(r.Heal(r.ctx), qt.IsNil)
		c.Assert(r.PlatformFaults(r.ctx, struct {
			lostAnswer
			outage
		}{}), qt.IsNil)
		if code == exitUnknown {
			// A write that hung may still be executed now, and make the next case's
			// base stale.
			time.Sleep(lateWriteTimeout)
		}
		s := configstore.Store{KV: &etcd.Client{Server: r.Platform()}}
		f, err := s.Load(r.ctx)
		c.Assert(err, qt.IsNil)
		stored := weightOf(f, "triage@1") == weight
		if code != exitUnknown {
			c.Check(stored, qt.Equals, code == exitDone || code == exitNotActive, qt.Commentf("%s", test.name))
		}
		c.Logf("%s: exit code %d, stored %v", test.name, code, stored)
		r.awaitActive(c, f.Generation, time.Now(), changesVMs...)
	}
}
