// Package configstore keeps configurations at the platform's key-value
// service and the configuration in force in a daemon.
package configstore

import (
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/keyvalue"
)

// This file defines the error type of this package.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors.
const (
	// KindConflict means that another change won the generation. The change
	// was not accepted and never will be.
	KindConflict ErrorKind = "conflict"
	// KindInvalid means that the change was refused. It was not accepted.
	KindInvalid ErrorKind = "invalid"
	// KindUnavailable means that the platform is away. The call has changed
	// nothing.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknown means that the change may have been accepted, or may yet
	// be. Proposing the same change again is safe and tells.
	KindUnknown ErrorKind = "unknown"
	// KindCorrupt means that what is stored contradicts itself.
	KindCorrupt ErrorKind = "corrupt"
	// KindMismatch means that an update does not fit what is held; the
	// receiver asks for a full configuration.
	KindMismatch ErrorKind = "mismatch"
	// KindNotReady means that too few daemons of the failure domain could be
	// asked to be sure of the generation that it had in force.
	KindNotReady ErrorKind = "not-ready"
)

// Error reports that operation Op failed.
type Error struct {
	Op   string
	Kind ErrorKind
	// Winner is the change that won, with KindConflict. It is nil when that
	// change is no longer stored.
	Winner *fescuelatch.Change
	// Faults are those of a refused configuration, with KindInvalid.
	Faults     []fescuelatch.Fault
	RetryAfter time.Duration
	Err        error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "configstore: " + e.Op + ": " + string(e.Kind)
	if e.Winner != nil {
		s += ": change " + string(e.Winner.ID) + " by " + e.Winner.Author + " won"
	}
	if len(e.Faults) > 0 {
		s += ": " + e.Faults[0].String()
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain, or the empty
// kind.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// unreadable returns the error for a failed read.
func unreadable(op string, err error) error {
	var e *Error
	if errors.As(err, &e) {
		return err
	}
	return &Error{Op: op, Kind: KindUnavailable, RetryAfter: keyvalue.RetryAfter(err), Err: err}
}
