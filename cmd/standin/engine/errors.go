package engine

// This file defines the error type of this package.

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindDown means that the engine is down and breaks connections.
	KindDown Kind = "down"
	// KindFull means that the wait queue is full; nothing was started.
	KindFull Kind = "full"
	// KindNotLoaded means that the version is not loaded.
	KindNotLoaded Kind = "not-loaded"
	// KindCancelled means that the attempt was cancelled.
	KindCancelled Kind = "cancelled"
	// KindWeights means that the weight store gave no weights.
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
