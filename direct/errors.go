package direct

// This file defines the error type of this package.

// ErrorKind classifies an Error.
type ErrorKind string

// Error kinds.
const (
	KindListen  ErrorKind = "listen"
	KindInvalid ErrorKind = "invalid"
	KindPeer    ErrorKind = "peer"
	KindStore   ErrorKind = "store"
	// KindUnreachable means that the daemon does not answer.
	KindUnreachable ErrorKind = "unreachable"
	// KindTimeout means that the daemon has not answered in time.
	KindTimeout ErrorKind = "timeout"
	// KindBusy means that the daemon answers another question, and KindUnready that it has
	// no configuration yet.
	KindBusy    ErrorKind = "busy"
	KindUnready ErrorKind = "not-ready"
	// KindUnsupported means that the daemon is of an older build.
	KindUnsupported ErrorKind = "unsupported"
)

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
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
