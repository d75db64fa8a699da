package chart_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"fescuelatch/chart"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestFire(t *testing.T) {
	c := qt.New(t)
	m := chart.Request().New()
	c.Assert(m.State(), qt.Equals, chart.RequestReceived)
	c.Assert(m.Can(chart.EventPlan), qt.IsTrue)
	c.Assert(m.Fire(chart.EventPlan), qt.IsNil)
	c.Assert(m.Fire(chart.EventDispatch), qt.IsNil)
	c.Assert(m.Can(chart.EventRefuse), qt.IsFalse)
	err := m.Fire(chart.EventRefuse)
	c.Assert(err, qt.ErrorMatches, `fire request: no-transition: event "refuse" in state "dispatched"`)
	c.Assert(m.State(), qt.Equals, chart.RequestDispatched)
	c.Assert(m.Fire(chart.EventAnswer), qt.IsNil)
	c.Assert(m.Final(), qt.IsTrue)
}

func TestFireErrors(t *testing.T) {
	var zero chart.Machine
	tests := []struct {
		name    string
		machine *chart.Machine
		event   chart.Event
		kind    chart.ErrorKind
	}{
		{"no transition", chart.Daemon().New(), chart.EventLearned, chart.KindNoTransition},
		{"event of another chart", chart.Daemon().New(), chart.EventDispatch, chart.KindUnknownEvent},
		{"zero machine", &zero, chart.EventDrain, chart.KindNoChart},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			before := tc.machine.State()
			var e *chart.Error
			c.Assert(errors.As(tc.machine.Fire(tc.event), &e), qt.IsTrue)
			c.Assert(e.Kind, qt.Equals, tc.kind)
			c.Assert(e.Op, qt.Equals, "fire")
			c.Assert(tc.machine.State(), qt.Equals, before)
		})
	}
}

// step is one transition made by a machine.
type step struct {
	from  chart.State
	event chart.Event
	to    chart.State
}

// explore fires every event in every reachable state and returns the
// transitions made.
func explore(t *testing.T, ch *chart.Chart) []step {
	paths := map[chart.State][]chart.Event{ch.Initial(): nil}
	queue := []chart.State{ch.Initial()}
	var steps []step
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, e := range ch.Events() {
			m := ch.New()
			for _, p := range paths[s] {
				qt.Assert(t, m.Fire(p), qt.IsNil)
			}
			if m.Fire(e) != nil {
				continue
			}
			steps = append(steps, step{s, e, m.State()})
			if _, ok := paths[m.State()]; !ok {
				paths[m.State()] = append(append([]chart.Event(nil), paths[s]...), e)
				queue = append(queue, m.State())
			}
		}
	}
	return steps
}

// A machine must make exactly the transitions in the files; each state must be
// reachable and have a path to a final state.
func TestEveryTransition(t *testing.T) {
	for _, ch := range chart.All() {
		t.Run(ch.Name(), func(t *testing.T) {
			c := qt.New(t)
			steps := explore(t, ch)
			made := make(map[step]bool)
			ending := make(map[chart.State]bool)
			reached := map[chart.State]bool{ch.Initial(): true}
			for _, s := range steps {
				made[s] = true
				reached[s.to] = true
				c.Check(ch.Final(s.from), qt.IsFalse)
			}
			listed := 0
			for _, d := range ch.Definition().Transitions {
				for _, from := range d.From {
					listed++
					c.Check(made[step{from, d.Event, d.To}], qt.IsTrue, qt.Commentf("%v %v", from, d.Event))
				}
			}
			c.Assert(steps, qt.HasLen, listed)
			for _, s := range ch.States() {
				ending[s] = ch.Final(s)
				c.Check(reached[s], qt.IsTrue, qt.Commentf("%v", s))
			}
			for range ch.States() {
				for _, s := range steps {
					ending[s.from] = ending[s.from] || ending[s.to]
				}
			}
			for s, ok := range ending {
				c.Check(ok, qt.IsTrue, qt.Commentf("%v has no path to a final state", s))
			}
		})
	}
}

// A request must not end as not-run after an event reporting that an attempt
// ran or may have run, nor from a state in which one may be running.
func TestNotRunMeansNothingRan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ch := chart.Request()
		m := ch.New()
		mayHaveRun, inFlight := false, false
		for !m.Final() {
			var permitted []chart.Event
			for _, e := range ch.Events() {
				if m.Can(e) {
					permitted = append(permitted, e)
				}
			}
			e := rapid.SampledFrom(permitted).Draw(t, "event")
			if err := m.Fire(e); err != nil {
				t.Fatal(err)
			}
			switch e {
			case chart.EventDispatch, chart.EventForward:
				inFlight = true
			case chart.EventNotStarted:
				inFlight = false
			case chart.EventRetry, chart.EventEscalate:
				inFlight, mayHaveRun = false, true
			}
			if m.State() == chart.RequestNotRun && (mayHaveRun || inFlight) {
				t.Fatalf("not-run although an attempt may have run")
			}
		}
	})
}

// The constants in names.go must match the names in the files one to one.
func TestNames(t *testing.T) {
	c := qt.New(t)
	f, err := parser.ParseFile(token.NewFileSet(), "names.go", nil, 0)
	c.Assert(err, qt.IsNil)
	constants := make(map[string]bool)
	ast.Inspect(f, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok {
			s, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			c.Assert(err, qt.IsNil)
			constants[v.Type.(*ast.Ident).Name+" "+s] = true
		}
		return true
	})
	names := make(map[string]bool)
	for _, ch := range chart.All() {
		for _, s := range ch.States() {
			names["State "+string(s)] = true
		}
		for _, e := range ch.Events() {
			names["Event "+string(e)] = true
		}
	}
	c.Assert(constants, qt.DeepEquals, names)
}

const valid = `
chart: lamp
initial: off
states: [{state: "off"}, {state: "on"}, {state: broken, final: true}]
events: [{event: press}, {event: fall}]
transitions:
  - {from: ["off"], event: press, to: "on"}
  - {from: ["on"], event: press, to: "off"}
  - {from: ["on"], event: fall, to: broken}
`

func TestParse(t *testing.T) {
	tests := []struct{ name, old, replacement, fault string }{
		{"valid", "", "", ""},
		{"unknown field", "initial:", "start:", `.*unknown field "start".*`},
		{"not kebab case", "chart: lamp", "chart: Lamp", `.*lamp.yaml: chart: "Lamp" is not in kebab case`},
		{"initial", "initial: off", "initial: dim", `.*lamp.yaml: initial: state "dim" is not defined`},
		{"target", "to: broken", "to: gone", `.*lamp.yaml: transitions\[2\].to: state "gone" is not defined`},
		{"source", `from: ["off"]`, `from: ["dim"]`, `.*lamp.yaml: transitions\[0\].from\[0\]: state "dim" is not defined`},
		{"no source", `from: ["off"]`, `from: []`, `.*lamp.yaml: transitions\[0\].from: no state is named`},
		{"event", "event: fall, to", "event: drop, to", `.*lamp.yaml: transitions\[2\].event: event "drop" is not defined`},
		{"unused event", "{event: fall}]", "{event: fall}, {event: drop}]", `.*lamp.yaml: events: event "drop" has no transition`},
		{"twice", `from: ["on"], event: fall`, `from: ["on"], event: press`, `.*lamp.yaml: transitions\[2\].from\[0\]: event "press" has two transitions from "on"`},
		{"state twice", `{state: "on"}`, `{state: "on"}, {state: "on"}`, `.*lamp.yaml: states\[2\].state: state "on" is defined twice`},
		{"event twice", "[{event: press}", "[{event: press}, {event: press}", `.*lamp.yaml: events\[1\].event: event "press" is defined twice`},
		{"no final", ", final: true", "", `.*lamp.yaml: states: no state is final`},
		{"final with transition", `from: ["on"], event: press`, `from: [broken], event: press`, `.*lamp.yaml: transitions\[1\].from\[0\]: final state "broken" has a transition`},
		{"unreachable", `{state: "on"}`, `{state: "on"}, {state: dim}`, `.*lamp.yaml: states\[2\].state: state "dim" is not reachable`},
		{"no path to a final state", `from: ["on"], event: fall, to: broken`, `from: ["off"], event: fall, to: "on"`, `.*has no path to a final state|.*not reachable`},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := chart.Parse("lamp.yaml", []byte(strings.Replace(valid, tc.old, tc.replacement, 1)))
			if tc.fault == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			var e *chart.Error
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Assert(e.Kind, qt.Equals, chart.KindInvalid)
			c.Assert(strings.ReplaceAll(err.Error(), "\n", " "), qt.Matches, tc.fault)
		})
	}
}

const page = "../docs/design/charts.md"

var update = flag.Bool("update", false, "write the sections of "+page)

// section returns the section of the page for ch.
func section(ch *chart.Chart) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n```mermaid\n%s```\n\n| state | meaning |\n| --- | --- |\n", ch.Name(), ch.Mermaid())
	for _, d := range ch.Definition().States {
		fmt.Fprintf(&b, "| `%s` | %s |\n", d.State, d.Meaning)
	}
	return b.String()
}

// The sections at the end of the page must match the current files.
func TestPage(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	head, _, found := strings.Cut(string(b), "\n## request\n")
	c.Assert(found, qt.IsTrue)
	want := head
	for _, ch := range chart.All() {
		want += "\n" + section(ch)
	}
	if *update {
		c.Assert(os.WriteFile(page, []byte(want), 0o600), qt.IsNil)
		return
	}
	if string(b) != want {
		t.Fatalf("%s is out of date; regenerate it with go test ./chart -run TestPage -update", page)
	}
}

func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		m := chart.Request().New()
		for _, e := range []chart.Event{chart.EventPlan, chart.EventQueue, chart.EventDispatch, chart.EventAnswer} {
			if err := m.Fire(e); err != nil {
				b.Fatal(err)
			}
		}
	}
}
