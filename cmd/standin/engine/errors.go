package engine

// This file defines the error type of this package.

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindDown means that the engine is down and closes connections.
	KindDown Kind = "down"
	// KindNotStarted means that the attempt got no slot: the wait queue was
	// full or the attempt was cancelled while it waited.
	KindNotStarted Kind = "not-started"
	// KindNotLoaded means that the version is not loaded.
	KindNotLoaded Kind = "not-loaded"
	// KindCancelled means that the attempt was cancelled while it ran.
	KindCancelled Kind = "cancelled"
	// KindWeights means that the weights could not be fetched.
	KindWeights Kind = "weights"
)

// Error reports that operation Op failed for a reason of kind Kind.
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
