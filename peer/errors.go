// Package peer implements the protocol between daemons: heartbeats,
// configuration changes and copies of bills over net/rpc, and forwarded
// requests over HTTP, all on one listener.
package peer

// This file defines the error type of the package.

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindUnreachable Kind = "unreachable"
	KindTimeout     Kind = "timeout"
	KindRefused     Kind = "refused"
	KindInvalid     Kind = "invalid"
)

// Error reports that operation Op failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
