// Package fleetkey proves between daemons that both belong to the fleet: by a
// shared key in a request header, and by mutual TLS where files are set.
package fleetkey

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"

	"fescuelatch/internal/secret"

	"github.com/pkg/errors"
)

// This file defines Keys, the fleet keys that a daemon presents and accepts.

// MinKeyBytes is the least length of a fleet key.
const MinKeyBytes = 16

const (
	header = "Authorization"
	scheme = "Bearer "
)

// Keys is an ordered list of fleet keys. The first is presented and all are
// accepted, so that the key is changed under traffic as a token.Ring is. Keys
// is frozen; the zero value presents nothing and accepts nothing.
type Keys struct{ keys []secret.Secret }

// Keys does not print itself.
var (
	_ fmt.Formatter  = Keys{}
	_ fmt.Stringer   = Keys{}
	_ slog.LogValuer = Keys{}
)

// ParseKeys parses "key,key". Errors name positions and never repeat the text.
func ParseKeys(s string) (Keys, error) {
	var k Keys
	for i, part := range strings.Split(s, ",") {
		part = strings.TrimSpace(part)
		if len(part) < MinKeyBytes {
			return Keys{}, malformed("parse", errors.Errorf("key %d has less than %d bytes", i, MinKeyBytes))
		}
		if strings.ContainsFunc(part, notHeaderSafe) {
			return Keys{}, malformed("parse", errors.Errorf("key %d has characters other than printable ASCII", i))
		}
		k.keys = append(k.keys, secret.New(part))
	}
	return k, nil
}

func notHeaderSafe(r rune) bool { return r <= ' ' || r > '~' }

func malformed(op string, err error) error {
	return &Error{Op: op, Kind: KindMalformed, Err: err}
}

// Present sets the proof of the first key in h.
func (k Keys) Present(h http.Header) {
	if len(k.keys) > 0 {
		h.Set(header, scheme+k.keys[0].Expose())
	}
}

// Check reports KindRefused unless h proves one of the keys. Its time depends
// on neither the content of the keys nor which of them matches.
func (k Keys) Check(h http.Header) error {
	presented, ok := strings.CutPrefix(h.Get(header), scheme)
	accepted := false
	for _, s := range k.keys {
		if s.Equal(presented) {
			accepted = true
		}
	}
	if !ok || !accepted || len(h.Values(header)) != 1 {
		return &Error{Op: "check", Kind: KindRefused}
	}
	return nil
}

// String returns a redaction.
func (k Keys) String() string { return fmt.Sprintf("keys[%d redacted]", len(k.keys)) }

// Format writes a redaction for every verb.
func (k Keys) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(k.String())) }

// MarshalText returns a redaction.
func (k Keys) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// LogValue returns a redaction.
func (k Keys) LogValue() slog.Value { return slog.StringValue(k.String()) }
