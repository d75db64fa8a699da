package inventory

import (
	"fmt"
	"strings"
)

// This file defines faults of operators' files and the error type of this
// package.

// Position is a location in a file. Line and Column count from 1; zero means
// unknown.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns the position as "file:line:column" without unknown parts.
func (p Position) String() string {
	switch {
	case p.Line == 0:
		return p.File
	case p.Column == 0:
		return fmt.Sprintf("%s:%d", p.File, p.Line)
	default:
		return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
}

// Fault is one fault in the files. Field is the path of the field, for
// example "endpoints[kgl-a-worker-1].pool"; it is empty when the fault
// concerns a file as a whole.
type Fault struct {
	Position
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the position, the field and the message.
func (f Fault) String() string {
	var parts []string
	for _, s := range []string{f.Position.String(), f.Field, f.Message} {
		if s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, ": ")
}

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	// KindRead means that a file could not be read.
	KindRead ErrorKind = "read"
	// KindFaults means that the files were read and contain faults.
	KindFaults ErrorKind = "faults"
	// KindWrite means that a configuration could not be written.
	KindWrite ErrorKind = "write"
)

// Error reports that operation Op failed for a reason of kind Kind. Faults
// lists all faults found if Kind is KindFaults.
type Error struct {
	Op     string
	Kind   ErrorKind
	Faults []Fault
	Err    error
}

// Error implements the error interface. It lists all faults, one per line.
func (e *Error) Error() string {
	if e.Kind != KindFaults {
		return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
	}
	lines := []string{fmt.Sprintf("%s: %d faults", e.Op, len(e.Faults))}
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
