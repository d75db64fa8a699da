package operator

import (
	"fmt"
	"time"

	"fescuelatch"
)

// This file defines the error type of this package. Handlers map it to HTTP
// statuses, and the client maps them back.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	// KindInvalid means that the request itself is invalid.
	KindInvalid ErrorKind = "invalid"
	// KindUnauthorized means that the operator key is missing or wrong.
	KindUnauthorized ErrorKind = "unauthorized"
	// KindConflict means that another change has the generation. The
	// proposed change has no effect and never will have.
	KindConflict ErrorKind = "conflict"
	// KindFaults means that the resulting configuration is not valid.
	KindFaults ErrorKind = "faults"
	// KindUnavailable means that nothing was done because the platform or
	// the daemon is unavailable.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknown means that a change may have taken effect.
	KindUnknown ErrorKind = "unknown"
	// KindInternal means that the daemon had an internal error.
	KindInternal ErrorKind = "internal"
)

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
	// Winner is the change that has the generation, set with KindConflict.
	Winner *fescuelatch.Change
	// Faults is set with KindFaults.
	Faults []fescuelatch.Fault
	// RetryAfter is the suggested delay, set with KindUnavailable.
	RetryAfter time.Duration
	Err        error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := e.Op + ": " + string(e.Kind)
	if e.Winner != nil {
		s += fmt.Sprintf(": generation %d is change %s of %s", e.Winner.Generation(), e.Winner.ID, e.Winner.Author)
	}
	for _, f := range e.Faults {
		s += "; " + f.String()
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
