package token

// This file defines the error type of this package and its kinds.

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors of this package.
const (
	// KindMalformed means that a token or a list of keys cannot be read.
	KindMalformed ErrorKind = "malformed"
	// KindUnknownKey means that the ring lacks the token's key, or has no key
	// to sign with.
	KindUnknownKey ErrorKind = "unknown-key"
	// KindBadSignature means that the token was not signed with the key
	// that it names.
	KindBadSignature ErrorKind = "bad-signature"
	// KindOtherAccount means that the token belongs to another client
	// account.
	KindOtherAccount ErrorKind = "other-account"
)

// Error reports that operation Op failed for a reason of kind Kind. It holds
// neither secrets nor tokens.
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
