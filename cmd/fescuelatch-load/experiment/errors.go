package experiment

// This file defines the error type of this package and its kinds.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	// KindUnknown means that no experiment has the name.
	KindUnknown ErrorKind = "unknown-name"
	// KindTrial means that a trial could not be run.
	KindTrial ErrorKind = "trial"
	// KindReport means that a report could not be written.
	KindReport ErrorKind = "report"
)

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
