package fleet

// This file defines the error type of this package and its kinds.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	// KindConfiguration means that the configuration cannot run here.
	KindConfiguration ErrorKind = "configuration"
	// KindProcess means that a process failed or could not be controlled.
	KindProcess ErrorKind = "process"
	// KindTimeout means that a process was not ready in time.
	KindTimeout ErrorKind = "timeout"
	// KindRefused means that a process returned an error or invalid data.
	KindRefused ErrorKind = "refused"
	// KindUnknown means that the named VM, endpoint or failure domain does
	// not exist.
	KindUnknown ErrorKind = "unknown-name"
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
