package endpoint

import (
	"errors"
	"net"
	"syscall"
)

// This file defines the error type of this package.

// ErrorKind classifies an Error by whether the request may have run.
type ErrorKind string

// Kinds of errors.
const (
	// KindUnsent means that nothing was sent.
	KindUnsent ErrorKind = "unsent"
	// KindUnreachable means that no connection could be opened. Nothing was
	// sent.
	KindUnreachable ErrorKind = "unreachable"
	// KindBroken means that the exchange was interrupted or invalid. The
	// request may have run.
	KindBroken ErrorKind = "broken"
	// KindInactive means that the inactivity timeout expired. The request may
	// have run.
	KindInactive ErrorKind = "silent"
	// KindCancelled means that the context was canceled.
	KindCancelled ErrorKind = "cancelled"
	// KindExpired means that the context's deadline passed.
	KindExpired ErrorKind = "expired"
)

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := "endpoint: " + e.Op + ": " + string(e.Kind)
	if e.Err == nil {
		return s
	}
	return s + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain. An error of
// another type counts as KindBroken, the weakest guarantee.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindBroken
}

// Refused reports whether no process listened at the address of an endpoint.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func kindOf(err error) ErrorKind {
	var n net.Error
	if errors.As(err, &n) && n.Timeout() {
		return KindInactive
	}
	return KindBroken
}
