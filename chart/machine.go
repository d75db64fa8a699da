package chart

// This file defines Machine, an instance of a chart.

// Machine holds the current state of a chart instance. It is not safe for
// concurrent use.
// The zero value has no chart and accepts no event.
type Machine struct {
	chart *Chart
	state int
}

// State returns the current state.
func (m *Machine) State() State {
	if m.chart == nil {
		return ""
	}
	return m.chart.states[m.state]
}

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart != nil && m.chart.final[m.state] }

// Can reports whether Fire would accept e.
func (m *Machine) Can(e Event) bool {
	if m.chart == nil {
		return false
	}
	j, ok := m.chart.eventIndex[e]
	return ok && m.chart.next[m.state][j] != noTransition
}

// Fire makes the transition of event e. If the current state has none, it
// returns an *Error and leaves the machine unchanged.
func (m *Machine) Fire(e Event) error {
	if m.chart == nil {
		return &Error{Op: "fire", Kind: KindNoChart, Event: e}
	}
	j, ok := m.chart.eventIndex[e]
	if !ok {
		return m.fail(KindUnknownEvent, e)
	}
	next := m.chart.next[m.state][j]
	if next == noTransition {
		return m.fail(KindNoTransition, e)
	}
	m.state = next
	return nil
}

func (m *Machine) fail(k ErrorKind, e Event) error {
	return &Error{Op: "fire", Kind: k, Chart: m.chart.Name(), State: m.State(), Event: e}
}
