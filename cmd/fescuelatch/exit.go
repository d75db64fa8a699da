package main

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/direct"
	"fescuelatch/inventory"
	"fescuelatch/operator"
)

// This file defines the exit codes and the output of failed commands.

type exitCode int

// Exit codes. They are documented in docs/OPERATIONS.md and in --help.
const (
	exitOK          exitCode = 0
	exitUsage       exitCode = 1
	exitFaults      exitCode = 2
	exitConflict    exitCode = 3
	exitNotActive   exitCode = 4
	exitUnavailable exitCode = 5
	exitUnknown     exitCode = 6
)

const exitHelp = `Exit codes:
  0  done
  1  wrong usage, refused key, not confirmed, or a question that the
     daemon cannot answer; nothing was changed
  2  faults in the files or in the resulting configuration; nothing was changed
  3  another change came first; nothing was changed
  4  accepted, but not in force everywhere by the deadline
  5  the platform or all daemons are unavailable; nothing was changed
  6  outcome unknown: the change may have taken effect`

// errorKind classifies a commandError.
type errorKind string

const (
	kindUsage        errorKind = "usage"
	kindNotConfirmed errorKind = "not-confirmed"
	kindStale        errorKind = "stale-base"
	kindNotActive    errorKind = "not-in-force"
)

// commandError reports that operation Op failed with an error of kind Kind.
type commandError struct {
	Op   string
	Kind errorKind
	Err  error
}

// Error implements the error interface.
func (e *commandError) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *commandError) Unwrap() error { return e.Err }

func usageError(op string, err error) error { return &commandError{Op: op, Kind: kindUsage, Err: err} }

// exitCodeOf returns the exit code and the kind of err.
func exitCodeOf(err error) (exitCode, string) {
	var c *commandError
	var i *inventory.Error
	var o *operator.Error
	var d *direct.Error
	switch {
	case errors.As(err, &c):
		return c.Kind.code(), string(c.Kind)
	case errors.As(err, &i):
		if i.Kind == inventory.KindFaults {
			return exitFaults, string(i.Kind)
		}
		return exitUsage, string(i.Kind)
	case errors.As(err, &o):
		return operatorExitCode(o.Kind), string(o.Kind)
	case errors.As(err, &d):
		return directExitCode(d.Kind), string(d.Kind)
	default:
		return exitUsage, string(kindUsage)
	}
}

func (k errorKind) code() exitCode {
	switch k {
	case kindStale:
		return exitConflict
	case kindNotActive:
		return exitNotActive
	default:
		return exitUsage
	}
}

func directExitCode(k direct.ErrorKind) exitCode {
	switch k {
	case direct.KindUnreachable, direct.KindBusy, direct.KindUnready:
		return exitUnavailable
	default:
		return exitUsage
	}
}

func operatorExitCode(k operator.ErrorKind) exitCode {
	switch k {
	case operator.KindInvalid, operator.KindUnauthorized:
		return exitUsage
	case operator.KindFaults:
		return exitFaults
	case operator.KindConflict:
		return exitConflict
	case operator.KindUnknown:
		return exitUnknown
	default:
		return exitUnavailable
	}
}

// errorReport is the JSON output of an error.
type errorReport struct {
	Kind    string              `json:"kind"`
	Message string              `json:"message"`
	Faults  []inventory.Fault   `json:"faults,omitempty"`
	Winner  *fescuelatch.Change `json:"winner,omitempty"`
}

// fail writes err and returns its exit code.
func (s *session) fail(err error) exitCode {
	code, kind := exitCodeOf(err)
	if s.args == nil || !s.args.JSON {
		_, _ = fmt.Fprintf(s.err, "fescuelatch: %v\n", err)
		return code
	}
	f := errorReport{Kind: kind, Message: err.Error()}
	var i *inventory.Error
	if errors.As(err, &i) {
		f.Faults = i.Faults
	}
	var o *operator.Error
	if errors.As(err, &o) {
		f.Winner = o.Winner
		for _, ft := range o.Faults {
			f.Faults = append(f.Faults, inventory.Fault{Field: ft.Path, Message: ft.Message})
		}
	}
	_ = json.NewEncoder(s.out).Encode(struct {
		Error errorReport `json:"error"`
	}{f})
	return code
}
