// Package secret defines a type for values that must not be printed.
package secret

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"log/slog"
)

// This file defines Secret, which is redacted by the common ways of printing.

// redacted replaces a secret in printed output.
const redacted = "[redacted]"

// Secret is a byte string that is formatted as "[redacted]" by fmt, by
// encoding/json and by log/slog. The zero value is the empty secret, which
// equals nothing.
type Secret struct{ value string }

// All ways of formatting are redacted.
var (
	_ fmt.Stringer   = Secret{}
	_ fmt.GoStringer = Secret{}
	_ fmt.Formatter  = Secret{}
	_ slog.LogValuer = Secret{}
)

// New returns the secret s.
func New(s string) Secret { return Secret{value: s} }

// Expose returns the secret itself, for use with an algorithm or protocol.
func (s Secret) Expose() string { return s.value }

// Len returns the number of bytes.
func (s Secret) Len() int { return len(s.value) }

// Equal compares s with other in a time that does not depend on their contents.
// The empty secret equals nothing, not even itself.
func (s Secret) Equal(other string) bool {
	a, b := sha256.Sum256([]byte(s.value)), sha256.Sum256([]byte(other))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && s.value != ""
}

// String returns a redaction.
func (s Secret) String() string { return redacted }

// GoString returns a redaction.
func (s Secret) GoString() string { return redacted }

// Format writes a redaction for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText returns a redaction.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// LogValue returns a redaction.
func (s Secret) LogValue() slog.Value { return slog.StringValue(redacted) }
