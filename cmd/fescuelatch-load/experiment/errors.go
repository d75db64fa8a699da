package experiment

// This file defines the error type and its kinds.

// ErrorKind classifies an Error.
type ErrorKind string

// Error kinds.
const (
	// KindUnknown means that no experiment has the name.
	KindUnknown ErrorKind = "unknown-name"
	// KindTrial means that a trial could not be run.
	KindTrial ErrorKind = "trial"
	// KindReport means that a report could not be written.
	KindReport ErrorKind = "report"
)

// Error reports that operation Op failed with an error of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
