// Package configstore stores configurations in the platform's key-value
// service and manages the active configuration of a daemon.
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
	// KindConflict means that another change with the same base was accepted
	// first. The proposed change was not accepted and never will be.
	KindConflict ErrorKind = "conflict"
	// KindInvalid means that the change was rejected as invalid.
	KindInvalid ErrorKind = "invalid"
	// KindUnavailable means that the platform is unavailable. The call had no
	// effect.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknown means that the change may have been accepted or may still
	// be. Proposing it again is safe and determines the outcome.
	KindUnknown ErrorKind = "unknown"
	// KindCorrupt means that the stored data is malformed or inconsistent.
	KindCorrupt ErrorKind = "corrupt"
	// KindMismatch means that an update does not apply to the active
	// configuration; the receiver requests a full configuration.
	KindMismatch ErrorKind = "mismatch"
	// KindNotReady means that too few daemons of the failure domain answered
	// to determine its active generation.
	KindNotReady ErrorKind = "not-ready"
)

// Error reports that operation Op failed.
type Error struct {
	Op   string
	Kind ErrorKind
	// Winner is the accepted change, with KindConflict. It is nil if that
	// change is no longer stored.
	Winner *fescuelatch.Change
	// Faults are the validation errors of the configuration, with KindInvalid.
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
// string.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// readError returns the error for a failed read.
func readError(op string, err error) error {
	var e *Error
	if errors.As(err, &e) {
		return err
	}
	return &Error{Op: op, Kind: KindUnavailable, RetryAfter: keyvalue.RetryAfter(err), Err: err}
}
