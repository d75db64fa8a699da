package chart

import (
	"context"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
)

// This file parses a chart's file and compiles it to a transition table.

// Parse decodes and compiles the chart in data. The file name is only used in
// error messages and by File.
func Parse(file string, data []byte) (*Chart, error) {
	var d Definition
	if err := yaml.UnmarshalWithOptions(data, &d, yaml.Strict()); err != nil {
		return nil, &Error{Op: "parse", Kind: KindInvalid, Chart: file, Err: err}
	}
	if f := d.Validate(file); len(f) > 0 {
		return nil, &Error{
			Op: "parse", Kind: KindInvalid, Chart: file,
			Err: errors.Errorf("%d faults, first: %v", len(f), f[0]),
		}
	}
	return compile(file, d)
}

// mustLoad compiles an embedded chart. It panics on a fault, which the tests of
// this package rule out.
func mustLoad(file string) *Chart {
	data, err := files.ReadFile(file)
	if err != nil {
		panic(err)
	}
	c, err := Parse(file, data)
	if err != nil {
		panic(err)
	}
	return c
}

func compile(file string, d Definition) (*Chart, error) {
	c := &Chart{
		definition: d,
		file:       file,
		stateIndex: make(map[State]int),
		eventIndex: make(map[Event]int),
	}
	for i, s := range d.States {
		c.states = append(c.states, s.State)
		c.stateIndex[s.State] = i
		c.final = append(c.final, s.Final)
	}
	for i, e := range d.Events {
		c.events = append(c.events, e.Event)
		c.eventIndex[e.Event] = i
	}
	c.initial = c.stateIndex[d.Initial]
	return c, c.tabulate()
}

// tabulate fires every event in every state of the interpreter and records the
// resulting state.
func (c *Chart) tabulate() error {
	var current State
	m := c.interpreter(&current)
	for _, s := range c.states {
		row := make([]int, len(c.events))
		for j, e := range c.events {
			current = s
			next, err := fire(m, &current, e)
			if err != nil {
				return &Error{Op: "compile", Kind: KindInvalid, Chart: c.Name(), State: s, Event: e, Err: err}
			}
			row[j] = noTransition
			if next != "" {
				row[j] = c.stateIndex[next]
			}
		}
		c.next = append(c.next, row)
	}
	return nil
}

// fire returns the state after e, or the empty state if e is not permitted.
func fire(m *stateless.StateMachine, current *State, e Event) (State, error) {
	ok, err := m.CanFire(e)
	if err != nil || !ok {
		return "", err
	}
	if err := m.Fire(e); err != nil {
		return "", err
	}
	return *current, nil
}

// interpreter returns a stateless.StateMachine that keeps its state in current.
func (c *Chart) interpreter(current *State) *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return *current, nil },
		func(_ context.Context, s stateless.State) error {
			*current = s.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	for _, t := range c.definition.Transitions {
		for _, s := range t.From {
			if s == t.To {
				m.Configure(s).PermitReentry(t.Event)
			} else {
				m.Configure(s).Permit(t.Event, t.To)
			}
		}
	}
	return m
}
