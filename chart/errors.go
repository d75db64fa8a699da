package chart

import "fmt"

// This file defines the error type of this package and its kinds.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	// KindNoTransition means that the state has no transition for the event.
	KindNoTransition ErrorKind = "no-transition"
	// KindUnknownEvent means that the chart does not define the event.
	KindUnknownEvent ErrorKind = "unknown-event"
	// KindNoChart means that the Machine is the zero value.
	KindNoChart ErrorKind = "no-chart"
	// KindInvalid means that a file does not contain a valid chart.
	KindInvalid ErrorKind = "invalid"
)

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op    string
	Kind  ErrorKind
	Chart string
	State State
	Event Event
	Err   error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := e.Op + " " + e.Chart + ": " + string(e.Kind)
	if e.Event != "" {
		s += fmt.Sprintf(": event %q in state %q", e.Event, e.State)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
