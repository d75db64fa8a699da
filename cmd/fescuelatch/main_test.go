package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/operator"
)

// editedExample copies an example fleet and replaces text in one of its files.
func editedExample(c *qt.C, example, name, old, replacement string) string {
	c.Helper()
	dir := c.TB.(*testing.T).TempDir()
	files, err := filepath.Glob("../../examples/" + example + "/*")
	c.Assert(err, qt.IsNil)
	for _, f := range files {
		b, err := os.ReadFile(f)
		c.Assert(err, qt.IsNil)
		text := string(b)
		if filepath.Base(f) == name {
			c.Assert(strings.Count(text, old), qt.Not(qt.Equals), 0)
			text = strings.ReplaceAll(text, old, replacement)
		}
		c.Assert(os.WriteFile(filepath.Join(dir, filepath.Base(f)), []byte(text), 0o600), qt.IsNil)
	}
	return dir
}

// TestExitCodes checks each exit code with the message that explains it.
func TestExitCodes(t *testing.T) {
	const (
		reweighted = "review@large-6,review,0.97,1200,3600,0.5\n"
		original   = "review@large-6,review,0.97,1200,3600,0.25\n"
	)
	apply := []string{"inventory", "apply", "DIR", "--wait", "1s"}
	withdraw := []string{"version", "withdraw", "triage@small-3", "--yes", "--wait", "1s"}
	tests := []struct {
		name  string
		fleet fakeFleet // failure modes only
		args  []string  // DIR is the edited example
		stdin string
		code  exitCode
		out   string
		err   string
	}{
		{
			name: "applied", args: apply, stdin: "y\n", code: exitOK,
			out: `(?s)~ version review@large-6\n    weight: 0.25 -> 0.5\naccepted as generation 2, change .*kgl-d +confirmed +- +2/2 +-\n`,
			err: `Make these changes to generation 1\? .*`,
		},
		{name: "applied after a delay", fleet: fakeFleet{lag: 2}, args: withdraw, code: exitOK, out: `(?s).*kgl-a +confirmed.*`},
		{name: "lost answer", fleet: fakeFleet{loseAnswers: true}, args: withdraw, code: exitOK, out: `(?s).*accepted as generation 2.*confirmed.*`},
		{name: "nothing to change", args: []string{"version", "restore", "triage@small-3", "--wait", "1s"}, code: exitOK, out: `(?s)nothing to change at generation 1\n.*confirmed.*`},
		{name: "base before the command", args: append([]string{"--base", "1"}, withdraw...), code: exitUsage, err: `(?s).*unknown argument --base.*`},
		{name: "not confirmed", args: apply, stdin: "n\n", code: exitUsage, err: `(?s).*not confirmed, nothing was changed\n`},
		{name: "no answer to the prompt", args: apply, code: exitUsage, err: `(?s).*not confirmed, nothing was changed\n`},
		{name: "unknown version", args: []string{"version", "withdraw", "triage@none"}, code: exitUsage, err: `.*there is no version "triage@none" at generation 1\n`},
		{name: "no subcommand", args: []string{"inventory"}, code: exitUsage, err: `(?s).*a subcommand is missing\n`},
		{name: "bad weight", args: []string{"rollout", "set", "triage@small-3=much"}, code: exitUsage, err: `(?s).*the weight "much" is not a number.*`},
		{name: "missing file", args: []string{"inventory", "check", "none.yaml"}, code: exitUsage, err: `.*no such file or directory\n`},
		{
			name: "faults reported by the daemon", fleet: fakeFleet{failure: &operator.Error{Op: "propose change", Kind: operator.KindFaults, Faults: []fescuelatch.Fault{{Path: "inventory.pools[0]", Message: "m"}}}},
			args: withdraw, code: exitFaults, err: `.*inventory.pools\[0\]: m.*\n`,
		},
		{
			name: "conflict", fleet: fakeFleet{competing: func(c *fescuelatch.Configuration) { c.Overrides.DomainsOut = []fescuelatch.DomainID{"kgl-a"} }},
			args: withdraw, code: exitConflict, err: `.*generation 2 is change rival of uwase\n`,
		},
		{name: "stale base", args: append(withdraw[:len(withdraw):len(withdraw)], "--base", "0"), code: exitConflict, err: `.*generation 1 is change c1 of amahoro\n`},
		{name: "future base", args: append(withdraw[:len(withdraw):len(withdraw)], "--base", "9"), code: exitConflict, err: `.*generation 1 is active, not 9\n`},
		{
			name: "cut off", fleet: fakeFleet{cutOff: "kgl-c"}, args: withdraw, code: exitNotActive,
			out: `(?s).*kgl-b +confirmed.*kgl-c +cut-off +2026-01-05T06:00:00Z +0/2 +kgl-c-vm-1 cut-off at generation 1 since 2026-01-05T06:00:00Z, .*kgl-d +confirmed.*`,
			err: `.*not in force everywhere by the deadline\n`,
		},
		{name: "no status", fleet: fakeFleet{statusFails: true}, args: withdraw, code: exitNotActive, err: `.*no daemon reports the active configuration.*\n`},
		{name: "unavailable", fleet: fakeFleet{failure: &operator.Error{Op: "propose change", Kind: operator.KindUnavailable}}, args: withdraw, code: exitUnavailable, err: `.*unavailable.*\n`},
		{name: "unknown", fleet: fakeFleet{loseRequests: true}, args: withdraw, code: exitUnknown, err: `(?s).*may or may not become generation 2; look for it with .inventory history.*`},
	}
	for n := range tests {
		tt := &tests[n]
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
			t.Setenv("FESCUELATCH_AUTHOR", "test")
			f := newFakeFleet(c, "umurongo")
			f.failure, f.competing, f.cutOff, f.lag = tt.fleet.failure, tt.fleet.competing, tt.fleet.cutOff, tt.fleet.lag
			f.statusFails, f.loseAnswers, f.loseRequests = tt.fleet.statusFails, tt.fleet.loseAnswers, tt.fleet.loseRequests
			dir := editedExample(c, "umurongo", "versions.csv", original, reweighted)
			argv := []string{"--address", f.serve(t), "--timeout", "1500ms"}
			for _, a := range tt.args {
				argv = append(argv, strings.ReplaceAll(a, "DIR", dir))
			}
			got := invoke(t.Context(), tt.stdin, argv...)
			c.Check(got.code, qt.Equals, tt.code, qt.Commentf("out %s\nerr %s", got.out, got.err))
			c.Check(got.out, qt.Matches, orAny(tt.out))
			c.Check(got.err, qt.Matches, orAny(tt.err))
		})
	}
}

// orAny returns pattern or, if it is empty, a pattern that matches everything.
func orAny(pattern string) string {
	if pattern == "" {
		return `(?s).*`
	}
	return pattern
}

func TestFaultsOfFiles(t *testing.T) {
	tests := []struct {
		name string
		argv []string
		file string
		old  string
		new  string
		want string
	}{
		{"check", []string{"inventory", "check"}, "vms.csv", "kgl-a-vm-1,kgl-a,", "kgl-a-vm-1,kgl-x,", `(?s).*vms.csv:2:12: vms\[kgl-a-vm-1\].failure-domain: unknown failure domain "kgl-x"\n`},
		{"apply", []string{"inventory", "apply", "--yes"}, "fleet.yaml", "slots: 16", "slots: 0", `(?s).*fleet.yaml:16:12: pools\[triage-workers\].slots: must be above 0\n.*`},
		{"rules check", []string{"rules", "check"}, "rules.yaml", "models: [review]", "models: [revue]", `(?s).*rules.yaml:\d+:14: accounts\[appeal-desk\].models\[0\]: unknown model "revue"\n`},
		{"rules apply", []string{"rules", "apply", "--yes"}, "rules.yaml", "share: 4", "share: -4", `(?s).*rules.yaml:10:12: accounts\[kigali-daily\].share: is negative\n`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
			f := newFakeFleet(c, "umurongo")
			dir := editedExample(c, "umurongo", tt.file, tt.old, tt.new)
			got := invoke(t.Context(), "", append(tt.argv, dir, "--address", f.serve(t))...)
			c.Check(got.code, qt.Equals, exitFaults)
			c.Check(got.err, qt.Matches, tt.want)
			c.Check(f.Configuration().Generation, qt.Equals, fescuelatch.Generation(1))
		})
	}
}

// TestReadingCommands covers read-only commands and checks without a daemon.
func TestReadingCommands(t *testing.T) {
	tests := []struct {
		name  string
		argv  []string
		stdin string
		want  string
	}{
		{"check", []string{"inventory", "check", "../../examples/umurongo"}, "", `no faults in 53 entries\n`},
		{"check kestrelmoor", []string{"inventory", "check", "../../examples/kestrelmoor"}, "", `no faults in 46 entries\n`},
		{"rules against files", []string{"rules", "check", "../../examples/umurongo"}, "", `no faults in 53 entries\n`},
		{"rules against the fleet", []string{"rules", "check", "../../examples/umurongo/rules.yaml"}, "", `no faults in 53 entries\n`},
		{"inventory", []string{"inventory", "get"}, "", `(?s)# generation 1, digest [0-9a-f]{64}\nfailure-domains:\n.*id: kgl-a-worker-1\n.*`},
		{"rules", []string{"rules", "get"}, "", `(?s)# generation 1, .*accounts:\n  - id: appeal-desk\n.*`},
		{"history", []string{"inventory", "history"}, "", `GENERATION .*\n1 +2026-01-05T06:00:00Z +amahoro +c1 +53 +0 +\n`},
		{"status", []string{"status"}, "", `(?s)generation 1 at kgl-a-vm-1 in kgl-a, platform reachable, -\n.*kgl-a +kgl-a-vm-1 +in +alive +- +1.*triage@small-3 +good[^\n]*no +0 +0 +0 +0/0\n.*`},
		{"endpoints", []string{"status", "--endpoints"}, "", `(?s).*kgl-d-worker-3 +kgl-d +in +- +warm +0 +4\n`},
		{"state", []string{"state", "dump"}, "", `{\n  "queue": 3\n}\n`},
		{"key", []string{"key", "hash"}, "demo-kigali-daily\n", fescuelatch.HashKey("demo-kigali-daily") + `\n`},
		{"help", []string{"--help"}, "", `(?s).*Exit codes:\n  0  done\n.*`},
		{"help of a command", []string{"domain", "out", "--help"}, "", `(?s).*Exit codes:\n  0  done\n.*`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
			f := newFakeFleet(c, "umurongo")
			got := invoke(t.Context(), tt.stdin, append(tt.argv, "--address", closedAddress(t), "--address", f.serve(t))...)
			c.Check(got.code, qt.Equals, exitOK, qt.Commentf("%s", got.err))
			c.Check(got.out, qt.Matches, tt.want)
		})
	}
}

// TestGetThenApply checks that applying the output of `get` changes nothing.
func TestGetThenApply(t *testing.T) {
	for _, e := range []string{"umurongo", "kestrelmoor"} {
		t.Run(e, func(t *testing.T) {
			c := qt.New(t)
			t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
			f := newFakeFleet(c, e)
			address := f.serve(t)
			dir := t.TempDir()
			for _, p := range []string{"inventory", "rules"} {
				got := invoke(t.Context(), "", p, "get", "--address", address)
				c.Assert(got.code, qt.Equals, exitOK)
				c.Assert(os.WriteFile(filepath.Join(dir, p+".yaml"), []byte(got.out), 0o600), qt.IsNil)
			}
			got := invoke(t.Context(), "", "inventory", "apply", dir, "--address", address)
			c.Check(got.code, qt.Equals, exitOK, qt.Commentf("%s", got.err))
			c.Check(got.out, qt.Matches, `(?s)nothing to change at generation 1\n.*`)
		})
	}
}

// TestOverrides checks that each override command changes only its own list
// and that applying files keeps the overrides.
func TestOverrides(t *testing.T) {
	c := qt.New(t)
	t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
	f := newFakeFleet(c, "kestrelmoor")
	address := f.serve(t)
	steps := []struct {
		argv []string
		want fescuelatch.Overrides
	}{
		{[]string{"version", "withdraw", "summariser@large-2", "checklist@mid-1"}, fescuelatch.Overrides{Withdrawn: []fescuelatch.VersionID{"checklist@mid-1", "summariser@large-2"}}},
		{[]string{"version", "restore", "checklist@mid-1"}, fescuelatch.Overrides{Withdrawn: []fescuelatch.VersionID{"summariser@large-2"}}},
		{[]string{"domain", "out", "dub-b"}, fescuelatch.Overrides{Withdrawn: []fescuelatch.VersionID{"summariser@large-2"}, DomainsOut: []fescuelatch.DomainID{"dub-b"}}},
		{[]string{"inventory", "apply", "../../examples/kestrelmoor"}, fescuelatch.Overrides{Withdrawn: []fescuelatch.VersionID{"summariser@large-2"}, DomainsOut: []fescuelatch.DomainID{"dub-b"}}},
		{[]string{"version", "restore", "summariser@large-2"}, fescuelatch.Overrides{DomainsOut: []fescuelatch.DomainID{"dub-b"}}},
		{[]string{"domain", "in", "dub-b"}, fescuelatch.Overrides{}},
		{[]string{"vm", "out", "dub-a-vm-1"}, fescuelatch.Overrides{VMsOut: []fescuelatch.VMID{"dub-a-vm-1"}}},
		{[]string{"vm", "in", "dub-a-vm-1"}, fescuelatch.Overrides{}},
		{[]string{"endpoint", "out", "dub-c-worker-2"}, fescuelatch.Overrides{EndpointsOut: []fescuelatch.EndpointID{"dub-c-worker-2"}}},
		{[]string{"endpoint", "in", "dub-c-worker-2"}, fescuelatch.Overrides{}},
	}
	for _, s := range steps {
		got := invoke(t.Context(), "", append(s.argv, "--yes", "--address", address)...)
		c.Assert(got.code, qt.Equals, exitOK, qt.Commentf("%v: %s", s.argv, got.err))
		o := f.Configuration().Overrides
		c.Assert(o.Withdrawn, qt.ContentEquals, s.want.Withdrawn)
		c.Assert(o.DomainsOut, qt.ContentEquals, s.want.DomainsOut)
		c.Assert(o.VMsOut, qt.ContentEquals, s.want.VMsOut)
		c.Assert(o.EndpointsOut, qt.ContentEquals, s.want.EndpointsOut)
	}
}

func TestRolloutSet(t *testing.T) {
	c := qt.New(t)
	t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
	t.Setenv("FESCUELATCH_AUTHOR", "amahoro")
	f := newFakeFleet(c, "umurongo")
	got := invoke(t.Context(), "", "rollout", "set", "review@large-5=0", "review@large-6=1", "--yes", "--note", "large-6 is rated", "--address", f.serve(t))
	c.Assert(got.code, qt.Equals, exitOK, qt.Commentf("%s", got.err))
	c.Check(got.out, qt.Matches, `(?s)~ version review@large-5\n    weight: 1 -> 0\n~ version review@large-6\n    weight: 0.25 -> 1\n.*`)
	c.Check(f.changes[0].Author, qt.Equals, "amahoro")
	c.Check(f.changes[0].Note, qt.Equals, "large-6 is rated")
}

// TestApplyParts checks that rules apply keeps the inventory and that inventory
// apply without accounts keeps the rules.
func TestApplyParts(t *testing.T) {
	c := qt.New(t)
	t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
	f := newFakeFleet(c, "umurongo")
	address := f.serve(t)
	dir := editedExample(c, "umurongo", "rules.yaml", "share: 4", "share: 5")
	got := invoke(t.Context(), "", "rules", "apply", filepath.Join(dir, "rules.yaml"), "--yes", "--address", address)
	c.Assert(got.code, qt.Equals, exitOK, qt.Commentf("%s", got.err))
	c.Check(got.out, qt.Matches, `(?s)~ account kigali-daily\n    share: 4 -> 5\naccepted.*`)
	got = invoke(t.Context(), "", "inventory", "apply", filepath.Join(dir, "fleet.yaml"), filepath.Join(dir, "versions.csv"),
		filepath.Join(dir, "vms.csv"), filepath.Join(dir, "endpoints.csv"), "--yes", "--address", address)
	c.Assert(got.code, qt.Equals, exitOK, qt.Commentf("%s", got.err))
	c.Check(got.out, qt.Matches, `(?s)nothing to change at generation 2\n.*`)
	got = invoke(t.Context(), "", "rules", "apply", filepath.Join(dir, "vms.csv"), "--yes", "--address", address)
	c.Check(got.code, qt.Not(qt.Equals), exitOK)
	c.Check(f.Configuration().Rules.Accounts, qt.HasLen, 10)
}

// TestFirstApply applies an inventory to a fleet without a configuration.
func TestFirstApply(t *testing.T) {
	c := qt.New(t)
	t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
	f := &fakeFleet{configuration: new(fescuelatch.Configuration)}
	got := invoke(t.Context(), "", "inventory", "apply", "../../examples/umurongo", "--yes", "--address", f.serve(t))
	c.Assert(got.code, qt.Equals, exitOK, qt.Commentf("%s", got.err))
	c.Check(got.out, qt.Matches, `(?s).*accepted as generation 1.*`)
}

func TestUnreachable(t *testing.T) {
	tests := []struct {
		name string
		argv []string
		key  string
		code exitCode
		err  string
	}{
		{"no address", nil, testKey, exitUsage, `.*--address is missing\n`},
		{"no key", []string{"--address", "ADDRESS"}, "", exitUsage, `.*--key-file or FESCUELATCH_OPERATOR_KEY is missing\n`},
		{"wrong key", []string{"--address", "ADDRESS"}, "another", exitUsage, `.*unauthorized.*\n`},
		{"missing key file", []string{"--address", "ADDRESS", "--key-file", "none"}, "", exitUsage, `.*no such file or directory\n`},
		{"key file", []string{"--address", "ADDRESS", "--key-file", "KEYFILE"}, "another", exitOK, ``},
		{"closed address", []string{"--address", "CLOSED"}, testKey, exitUnavailable, `.*connection refused\n`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			t.Setenv("FESCUELATCH_OPERATOR_KEY", tt.key)
			file := filepath.Join(t.TempDir(), "key")
			c.Assert(os.WriteFile(file, []byte(testKey+"\n"), 0o600), qt.IsNil)
			r := strings.NewReplacer("ADDRESS", newFakeFleet(c, "umurongo").serve(t), "KEYFILE", file, "CLOSED", closedAddress(t))
			argv := []string{"status"}
			for _, a := range tt.argv {
				argv = append(argv, r.Replace(a))
			}
			got := invoke(t.Context(), "", argv...)
			c.Check(got.code, qt.Equals, tt.code, qt.Commentf("%s", got.err))
			c.Check(got.err, qt.Matches, tt.err)
		})
	}
}

func TestJSON(t *testing.T) {
	c := qt.New(t)
	t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
	f := newFakeFleet(c, "umurongo")
	f.cutOff = "kgl-c"
	address := f.serve(t)
	got := invoke(t.Context(), "", "--json", "domain", "out", "kgl-c", "--yes", "--wait", "500ms", "--address", address)
	c.Assert(got.code, qt.Equals, exitNotActive)
	// The result is followed by the error, each a JSON value.
	dec := json.NewDecoder(strings.NewReader(got.out))
	var r changeResult
	c.Assert(dec.Decode(&r), qt.IsNil)
	c.Check(r.Accepted, qt.IsTrue)
	c.Check(r.InForce, qt.IsFalse)
	c.Check(r.Generation, qt.Equals, fescuelatch.Generation(2))
	c.Check(r.Domains[2].State, qt.Equals, domainCutOff)
	c.Check(r.Domains[2].Since, qt.Equals, cutOffSince)
	c.Check(r.Domains[1].State, qt.Equals, domainConfirmed)
	var e struct{ Error errorReport }
	c.Assert(dec.Decode(&e), qt.IsNil)
	c.Check(e.Error.Kind, qt.Equals, string(kindNotActive))

	got = invoke(t.Context(), "", "--json", "inventory", "check", editedExample(c, "umurongo", "vms.csv", "kgl-a-vm-1,kgl-a,", "kgl-a-vm-1,kgl-x,"))
	c.Assert(got.code, qt.Equals, exitFaults)
	c.Assert(json.Unmarshal([]byte(got.out), &e), qt.IsNil)
	c.Assert(e.Error.Faults, qt.HasLen, 1)
	c.Check(e.Error.Faults[0].Line, qt.Equals, 2)
}

// TestProgress checks that progress is shown only on a terminal, on the error
// stream.
func TestProgress(t *testing.T) {
	for _, tt := range []struct {
		name     string
		terminal bool
		want     string
	}{
		{"terminal", true, `(?s).*generation 2 active.*/8\).*`},
		{"no terminal", false, ``},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			t.Setenv("FESCUELATCH_OPERATOR_KEY", testKey)
			f := newFakeFleet(c, "umurongo")
			f.lag = 2
			var out, errs bytes.Buffer
			argv := []string{"vm", "out", "kgl-a-vm-1", "--yes", "--address", f.serve(t)}
			code := run(t.Context(), argv, streams{in: strings.NewReader(""), out: &out, err: &errs, terminal: tt.terminal})
			c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errs.String()))
			c.Check(errs.String(), qt.Matches, tt.want)
			c.Check(strings.Contains(out.String(), "active"), qt.IsFalse)
		})
	}
}
