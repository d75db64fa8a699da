package direct

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"fescuelatch"
	"fescuelatch/chart"
	"fescuelatch/platform"
)

// This file tests entries of the store that cannot be used.

// newLoggedDaemon returns a daemon that knows the small configuration and one endpoint, and
// logs to w.
func newLoggedDaemon(c *qt.C, w io.Writer) *Daemon {
	d := New(Options{
		VM: "vm-1", Domain: "a", Notation: platform.StoreCodec{}, Dialect: platform.HeaderCodec{},
		Log: slog.New(slog.NewTextHandler(w, nil)), Scope: tally.NoopScope,
	})
	c.Assert(d.applyChanges(epoch, fescuelatch.Changes{Revision: 10, Items: []fescuelatch.StoredItem{
		entry("op/config", smallConfiguration, 1), endpointEntry(1, "ready", 2),
	}}, true), qt.IsNil)
	return d
}

// TestUnusableEntryIsLoggedAtEachRewrite checks that an entry that cannot be used is logged
// and relayed once, however often it is written.
func TestUnusableEntryIsLoggedAtEachRewrite(t *testing.T) {
	const rewrites = 120
	odd := `{"service":"lm","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":64,"state":"ready","cold_remaining_ms":1e300,"sequence":1}`
	tests := []struct {
		name, key, value string
		relayed          int // at most
	}{
		{"a registration", "servers/odd", odd, 1},
		{"a registration of a known endpoint", "servers/i-1", odd, 1},
		{"a configuration", "op/config", `{"version":8,"routes":"odd"}`, rewrites},
		{"a rollout", "op/rollout/lm", `{"target":"v2","duration_s":-1}`, rewrites},
		{"a rollout's state", "status/rollout/lm", `{"target":"v2","state":"odd"}`, rewrites},
		{"a daemon's record", "fescuelatch/daemons/vm-9", `{"control-address":"10.0.0.1:70000"}`, rewrites},
		{"evidence", "fescuelatch/evidence/lm/vm-9", `{"revision":"x"}`, rewrites},
		{"progress", "fescuelatch/progress/lm", `[]`, rewrites},
		{"a report on crashes", "fescuelatch/crashes/x", `{"processes":[]}`, rewrites},
		{"a blocked part", "fescuelatch/blocked-parts/x", `{"trials":"x"}`, rewrites},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var lines strings.Builder
			d := newLoggedDaemon(c, &lines)
			write := func(revision int64, key, value string) {
				c.Assert(d.applyChanges(epoch, fescuelatch.Changes{Revision: revision, Items: []fescuelatch.StoredItem{entry(key, value, revision)}}, false), qt.IsNil)
			}
			write(11, "op/rollout/lm", `{"target":"v2","duration_s":60}`)
			relayed := d.storeView.journal.next
			for n := range rewrites {
				write(int64(12+n), test.key, test.value)
				d.advanceRollouts(epoch)
			}
			warnings := strings.Count(lines.String(), "level=WARN")
			c.Check(warnings, qt.Equals, 1, qt.Commentf("%.2000s", lines.String()))
			c.Check(d.storeView.journal.next-relayed <= int64(test.relayed), qt.IsTrue, qt.Commentf("%d relayed", d.storeView.journal.next-relayed))

			d.storeView.apply(epoch, fescuelatch.Changes{Revision: 200, Items: []fescuelatch.StoredItem{removal(test.key, 200)}})
			write(201, test.key, test.value)
			c.Check(strings.Count(lines.String(), "level=WARN"), qt.Equals, 2, qt.Commentf("the entry was removed and came back"))
		})
	}
}

// validConfiguration is a configuration without the number of its version.
const validConfiguration = `{"version":VERSION,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","service":"lm"}],` +
	`"services":[{"name":"lm","engine":{"models":[{"name":"m","cost":0.5}]}}],"tenants":[{"name":"t","api_keys":["k"]}]}`

// TestInvalidEntryKeepsConfigurationOut guards against configurations that never come into force, as
// one of their entries cannot be used. It alone is left out, and named in the log.
func TestInvalidEntryKeepsConfigurationOut(t *testing.T) {
	entries := func(routes, services, models, accounts int) []int { return []int{routes, services, models, accounts} }
	all := entries(1, 1, 2, 1)
	tests := []struct {
		name, old, replaced, part string
		left                      []int // usable routes, services, models of the first service, accounts
	}{
		{"a negative cost", `0.5`, `-0.5`, `services[0] \"lm\" model \"m\"`, entries(1, 1, 1, 1)},
		{"a cost beyond an integer", `0.5`, `1e300`, `services[0] \"lm\" model \"m\"`, entries(1, 1, 1, 1)},
		{"a cost beyond a float", `0.5`, `1e999`, `services[0] \"lm\"`, entries(1, 0, 0, 1)},
		{"a service twice", `"services":[`, `"services":[{"name":"lm","engine":{"models":[{"name":"a"}]}},`, `services[1] \"lm\"`, all},
		{"a service that is a number", `"services":[`, `"services":[7,`, `services[0]`, all},
		{"a service without a name", `"services":[`, `"services":[{},`, `services[0]`, all},
		{"a model twice", `"models":[`, `"models":[{"name":"m"},`, `services[0] \"lm\" model \"m\"`, all},
		{"a model with a line break", `"models":[`, `"models":[{"name":"m\n"},`, `services[0] \"lm\" model`, all},
		{"negative connections", `"engine"`, `"max_connections":-1,"engine"`, `services[0]`, entries(1, 0, 0, 1)},
		{"a negative rate of cold starts", `"engine"`, `"cold_per_s":-1,"engine"`, `services[0]`, entries(1, 0, 0, 1)},
		{"a rate beyond all sums", `"engine"`, `"cold_per_s":1e300,"engine"`, `services[0]`, entries(1, 0, 0, 1)},
		{"a negative cache", `"models"`, `"kv_capacity":-1,"models"`, `services[0]`, entries(1, 0, 0, 1)},
		{"an account twice", `"tenants":[`, `"tenants":[{"name":"t","api_keys":["l"]},`, "", all},
		{"an account without a name", `"tenants":[`, `"tenants":[{"api_keys":["l"]},`, `tenants[0]`, all},
		{"an account with a line break", `"tenants":[`, `"tenants":[{"name":"a\nb","api_keys":["l"]},`, `tenants[0]`, all},
		{"an account with a space at its end", `"tenants":[`, `"tenants":[{"name":"a ","api_keys":["l"]},`, `tenants[0]`, all},
		{"an account whose keys are a number", `"tenants":[`, `"tenants":[{"name":"a","api_keys":7},`, `tenants[0]`, all},
		{"a rank beyond all others", `"api_keys"`, `"priority":9223372036854775807,"api_keys"`, `tenants[0]`, all},
		{"a route's rank beyond all others", `"kind"`, `"priority":9223372036854775807,"kind"`, `routes[0]`, entries(0, 1, 2, 1)},
		{"a timeout beyond an integer", `"kind"`, `"timeout_ms":1e300,"kind"`, `routes[0]`, entries(0, 1, 2, 1)},
		{"a timeout as text", `"kind"`, `"timeout_ms":"2","kind"`, `routes[0]`, entries(0, 1, 2, 1)},
		{"a negative timeout", `"kind"`, `"timeout_ms":-1,"kind"`, `routes[0]`, entries(0, 1, 2, 1)},
		{"an unknown kind", `"idempotent"`, `"perhaps"`, `routes[0]`, entries(0, 1, 2, 1)},
		{"no service", `,"service":"lm"`, ``, `routes[0]`, entries(0, 1, 2, 1)},
		{"negative attempts", `"kind"`, `"max_attempts":-1,"kind"`, `routes[0]`, entries(0, 1, 2, 1)},
		{"a negative weight", `"service":"lm"`, `"traffic_split":[{"service":"lm","weight":-1}]`, `routes[0]`, entries(0, 1, 2, 1)},
		{"a weight beyond all sums", `"service":"lm"`, `"traffic_split":[{"service":"lm","weight":1e308},{"service":"x","weight":1e308}]`, `routes[0]`, entries(0, 1, 2, 1)},
		{"a negative limit", `"routes"`, `"limits":{"max_body_bytes":-1},"routes"`, `limits`, all},
		{"a limit beyond an integer", `"routes"`, `"limits":{"idle_timeout_ms":1e300},"routes"`, `limits`, all},
		{"limits that are text", `"routes"`, `"limits":"none","routes"`, `limits`, all},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var lines strings.Builder
			d := newLoggedDaemon(c, &lines)
			version := func(n string) string { return strings.Replace(validConfiguration, "VERSION", n, 1) }
			good := strings.Replace(version("8"), `"tenants":[`, `"tenants":[{"name":"dropped","api_keys":["d"]},`, 1)
			invalid := strings.Replace(version("9"), test.old, test.replaced, 1)
			c.Assert(invalid, qt.Not(qt.Equals), version("9"))
			c.Assert(d.applyChanges(epoch, fescuelatch.Changes{Revision: 20, Items: []fescuelatch.StoredItem{entry("op/config", good, 20)}}, false), qt.IsNil)
			_, ok := d.active.Load().view.AccountByKey("d")
			c.Assert(ok, qt.IsTrue)
			c.Assert(d.applyChanges(epoch, fescuelatch.Changes{Revision: 21, Items: []fescuelatch.StoredItem{entry("op/config", invalid, 21)}}, false), qt.IsNil)
			f := d.active.Load()
			c.Check(f.deployment.Generation, qt.Equals, fescuelatch.Generation(9))
			_, ok = f.view.AccountByKey("d")
			c.Check(ok, qt.IsFalse)
			_, ok = f.view.AccountByKey("k")
			c.Check(ok, qt.IsTrue)
			routes, models := 0, 0
			for _, r := range f.deployment.Routes {
				if r.Targets[0].Service == "lm" {
					routes++
				}
			}
			if len(f.deployment.Services) > 0 {
				models = len(f.deployment.Services[0].Models)
			}
			c.Check([]int{routes, len(f.deployment.Services), models, len(f.deployment.Accounts)}, qt.DeepEquals, test.left)
			if test.part == "" {
				_, ok = f.view.AccountByKey("l")
				c.Check(ok, qt.IsTrue)
				return
			}
			c.Check(lines.String(), qt.Contains, "part of the configuration cannot be used")
			c.Check(lines.String(), qt.Contains, test.part)
		})
	}
}

// TestInvalidConfigurationDisplacesGoodOne checks that a configuration that cannot be read leaves the
// one before in force, and holds up no other change.
func TestInvalidConfigurationDisplacesGoodOne(t *testing.T) {
	tests := []struct{ name, old, replaced string }{
		{"deeply nested", `"routes"`, `"more":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `,"routes"`},
		{"cut", `"api_keys":["k"]}]}`, `"api_keys":["k"`},
		{"a list", `{"version"`, `[{"version"`},
		{"routes that are text", `"routes":[`, `"routes":"","more":[`},
		{"no version", `"version":9`, `"version":0`},
		{"a negative version", `"version":9`, `"version":-9`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newLoggedDaemon(c, io.Discard)
			write := func(revision int64, items ...fescuelatch.StoredItem) {
				c.Assert(d.applyChanges(epoch, fescuelatch.Changes{Revision: revision, Items: items}, false), qt.IsNil)
			}
			version := func(n string) string { return strings.Replace(validConfiguration, "VERSION", n, 1) }
			write(20, entry("op/config", version("8"), 20))
			c.Assert(d.active.Load().deployment.Generation, qt.Equals, fescuelatch.Generation(8))
			invalid := strings.Replace(version("9"), test.old, test.replaced, 1)
			c.Assert(invalid, qt.Not(qt.Equals), version("9"))
			write(21, entry("op/config", invalid, 21))
			write(22, endpointEntry(2, "ready", 22))
			c.Check(d.active.Load().deployment.Generation, qt.Equals, fescuelatch.Generation(8))
			c.Check(d.active.Load().addresses, qt.HasLen, 2)
			write(23, entry("op/config", version("10"), 23), endpointEntry(3, "ready", 23))
			c.Check(d.active.Load().deployment.Generation, qt.Equals, fescuelatch.Generation(10))
			c.Check(d.active.Load().addresses, qt.HasLen, 3)
		})
	}
}

// TestRolloutOfNoDurationSpins checks that a rollout whose duration no order has is not
// begun, as it would be advanced without a pause.
func TestRolloutOfNoDurationSpins(t *testing.T) {
	tests := []struct {
		duration string
		begun    bool
	}{
		{"60", true},
		{"1", true},
		{"0.5", false},
		{"1e-10", false},
		{"0", false},
		{"-1", false},
		{"1e9", false},
		{"1e300", false},
		{"1e999", false},
	}
	for _, test := range tests {
		t.Run(test.duration, func(t *testing.T) {
			c := qt.New(t)
			d := newLoggedDaemon(c, io.Discard)
			order := entry("op/rollout/lm", `{"service":"lm","target":"v2","duration_s":`+test.duration+`}`, 20)
			c.Assert(d.applyChanges(epoch, fescuelatch.Changes{Revision: 20, Items: []fescuelatch.StoredItem{order}}, false), qt.IsNil)
			c.Check(d.rollouts["lm"] != nil, qt.Equals, test.begun)
			after := epoch.Add(time.Hour)
			d.advanceRollouts(after)
			c.Check(d.nextAdvance(after) >= rolloutInterval, qt.IsTrue, qt.Commentf("advanced each %s", d.nextAdvance(after)))
		})
	}
}

// TestRecordOfImpossibleNumbersDecidesRollout checks that a daemon's record with numbers that
// no daemon counts is evidence of nothing.
func TestRecordOfImpossibleNumbersDecidesRollout(t *testing.T) {
	tests := []struct {
		name, id, value string
		usable          bool
	}{
		{"evidence", "evidence/lm/vm-9", `{"revision":20,"target":{"r":{"answers":20,"bad":1}},"others":{"r":{"answers":200,"bad":2}},"target-paces":{"answers":3}}`, true},
		{"more bad answers than answers", "evidence/lm/vm-9", `{"revision":20,"target":{"r":{"answers":1,"bad":2}}}`, true}, // Answers may be cut later.
		{"bad answers beyond all sums", "evidence/lm/vm-9", `{"revision":20,"target":{"r":{"answers":10,"bad":9223372036854775807}}}`, false},
		{"answers beyond all sums", "evidence/lm/vm-9", `{"revision":20,"others":{"r":{"answers":9223372036854775807,"bad":1}}}`, false},
		{"negative answers", "evidence/lm/vm-9", `{"revision":20,"target":{"r":{"answers":-1,"bad":1}}}`, false},
		{"negative bad answers", "evidence/lm/vm-9", `{"revision":20,"target":{"r":{"answers":1,"bad":-1}}}`, false},
		{"paces beyond all sums", "evidence/lm/vm-9", `{"revision":20,"target-paces":{"answers":10,"bad":9223372036854775807}}`, false},
		{"negative paces", "evidence/lm/vm-9", `{"revision":20,"others-paces":{"answers":-1}}`, false},
		{"progress", "progress/lm", `{"revision":20,"elapsed-ns":1000000000}`, true},
		{"negative progress", "progress/lm", `{"revision":20,"elapsed-ns":-1}`, false},
		{"progress of 292 years", "progress/lm", `{"revision":20,"elapsed-ns":9223372036854775807}`, false},
		{"widening before the start", "progress/lm", `{"revision":20,"elapsed-ns":1,"widening-ns":-1}`, false},
		{"widening after 292 years", "progress/lm", `{"revision":20,"elapsed-ns":1,"widening-ns":9223372036854775807}`, false},
		{"a blocked part", "blocked-parts/x", `{"trials":3}`, true},
		{"a negative number of trials", "blocked-parts/x", `{"trials":-1}`, false},
		{"trials beyond an integer", "blocked-parts/x", `{"trials":9223372036854775807}`, false},
		{"a report on crashes", "crashes/x", `{"processes":["a"],"suspects":[{"part":"x","depth":2}]}`, true},
		{"a negative depth", "crashes/x", `{"processes":["a"],"suspects":[{"part":"x","depth":-1}]}`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var lines strings.Builder
			d := newLoggedDaemon(c, &lines)
			write := func(revision int64, key, value string) {
				c.Assert(d.applyChanges(epoch, fescuelatch.Changes{Revision: revision, Items: []fescuelatch.StoredItem{entry(key, value, revision)}}, false), qt.IsNil)
			}
			write(20, "op/rollout/lm", `{"service":"lm","target":"v2","duration_s":60}`)
			write(21, "fescuelatch/"+test.id, test.value)
			d.advanceRollouts(epoch)
			r := d.rollouts["lm"]
			c.Check(r.State(), qt.Equals, chart.RolloutTrial)
			c.Check(r.Elapsed(epoch) <= time.Second, qt.IsTrue, qt.Commentf("%s", r.Elapsed(epoch)))
			c.Check(strings.Contains(lines.String(), "cannot be used"), qt.Equals, !test.usable, qt.Commentf("%s", lines.String()))
		})
	}
}
