package chart

import (
	"fmt"
	"regexp"

	"fescuelatch"
)

// This file defines the contents of a chart's file and their validation.

// Definition is the decoded content of a chart's file.
type Definition struct {
	Chart       string                 `yaml:"chart"`
	Initial     State                  `yaml:"initial"`
	States      []StateDefinition      `yaml:"states"`
	Events      []EventDefinition      `yaml:"events"`
	Transitions []TransitionDefinition `yaml:"transitions"`
}

// StateDefinition defines one state. Meaning is a one-line description.
type StateDefinition struct {
	State   State  `yaml:"state"`
	Meaning string `yaml:"meaning"`
	Final   bool   `yaml:"final"`
}

// EventDefinition defines one event. Meaning is a one-line description.
type EventDefinition struct {
	Event   Event  `yaml:"event"`
	Meaning string `yaml:"meaning"`
}

// TransitionDefinition defines the transitions on Event from each state in From
// to To.
type TransitionDefinition struct {
	From  []State `yaml:"from"`
	Event Event   `yaml:"event"`
	To    State   `yaml:"to"`
}

var kebabCase = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// Validate returns all faults of d. Each fault path starts with file and names
// the element. A definition without faults can be compiled: names are defined
// and unique, every state is reachable and has a path to a final state.
func (d *Definition) Validate(file string) []fescuelatch.Fault {
	v := validator{file: file, final: make(map[State]bool), events: make(map[Event]bool)}
	v.name("chart", d.Chart)
	v.states(d.States)
	v.eventNames(d.Events)
	v.definedState("initial", d.Initial)
	v.transitions(d.Transitions)
	if len(v.faults) == 0 {
		v.reachability(d)
	}
	return v.faults
}

type validator struct {
	file   string
	faults []fescuelatch.Fault
	// final maps every state to whether it is final.
	final  map[State]bool
	events map[Event]bool
}

func (v *validator) fault(element, format string, args ...any) {
	v.faults = append(v.faults, fescuelatch.Fault{
		Path:    v.file + ": " + element,
		Message: fmt.Sprintf(format, args...),
	})
}

func (v *validator) name(element, name string) {
	if !kebabCase.MatchString(name) {
		v.fault(element, "%q is not in kebab case", name)
	}
}

func (v *validator) definedState(element string, s State) {
	if _, ok := v.final[s]; !ok {
		v.fault(element, "state %q is not defined", s)
	}
}

func (v *validator) states(states []StateDefinition) {
	finals := 0
	for i, s := range states {
		element := fmt.Sprintf("states[%d]", i)
		v.name(element+".state", string(s.State))
		if _, ok := v.final[s.State]; ok {
			v.fault(element+".state", "state %q is defined twice", s.State)
		}
		v.final[s.State] = s.Final
		if s.Final {
			finals++
		}
	}
	if finals == 0 {
		v.fault("states", "no state is final")
	}
}

func (v *validator) eventNames(events []EventDefinition) {
	for i, e := range events {
		element := fmt.Sprintf("events[%d].event", i)
		v.name(element, string(e.Event))
		if v.events[e.Event] {
			v.fault(element, "event %q is defined twice", e.Event)
		}
		v.events[e.Event] = true
	}
}

type transitionKey struct {
	from  State
	event Event
}

func (v *validator) transitions(transitions []TransitionDefinition) {
	seen := make(map[transitionKey]bool)
	used := make(map[Event]bool)
	for i, t := range transitions {
		element := fmt.Sprintf("transitions[%d]", i)
		if len(t.From) == 0 {
			v.fault(element+".from", "no state is named")
		}
		if !v.events[t.Event] {
			v.fault(element+".event", "event %q is not defined", t.Event)
		}
		used[t.Event] = true
		v.definedState(element+".to", t.To)
		for j, s := range t.From {
			v.transitionSource(fmt.Sprintf("%s.from[%d]", element, j), transitionKey{s, t.Event}, seen)
		}
	}
	for e := range v.events {
		if !used[e] {
			v.fault("events", "event %q has no transition", e)
		}
	}
}

// transitionSource checks one source state of a transition.
func (v *validator) transitionSource(element string, t transitionKey, seen map[transitionKey]bool) {
	v.definedState(element, t.from)
	if v.final[t.from] {
		v.fault(element, "final state %q has a transition", t.from)
	}
	if seen[t] {
		v.fault(element, "event %q has two transitions from %q", t.event, t.from)
	}
	seen[t] = true
}

// reachability checks that every state is reachable and has a path to a final
// state.
func (v *validator) reachability(d *Definition) {
	forward := make(map[State][]State)
	backward := make(map[State][]State)
	for _, t := range d.Transitions {
		for _, s := range t.From {
			forward[s] = append(forward[s], t.To)
			backward[t.To] = append(backward[t.To], s)
		}
	}
	var finals []State
	for _, s := range d.States {
		if s.Final {
			finals = append(finals, s.State)
		}
	}
	reached := reachableFrom(forward, d.Initial)
	ending := reachableFrom(backward, finals...)
	for i, s := range d.States {
		element := fmt.Sprintf("states[%d].state", i)
		if !reached[s.State] {
			v.fault(element, "state %q is not reachable", s.State)
		}
		if !ending[s.State] {
			v.fault(element, "state %q has no path to a final state", s.State)
		}
	}
}

// reachableFrom returns the states that are reachable over edges from the given
// states, including these.
func reachableFrom(edges map[State][]State, from ...State) map[State]bool {
	reached := make(map[State]bool)
	for len(from) > 0 {
		s := from[len(from)-1]
		from = from[:len(from)-1]
		if !reached[s] {
			reached[s] = true
			from = append(from, edges[s]...)
		}
	}
	return reached
}
