// Package fleetkey authenticates the daemons of a fleet to each other: by a
// shared key in a request header, and by mutual TLS if files are configured.
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

// MinKeyBytes is the minimum length of a fleet key.
const MinKeyBytes = 16

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// Keys is an ordered list of fleet keys. The first is presented and all are
// accepted, so that keys are rotated under traffic like those of a token.Ring.
// Keys is immutable; the zero value presents no key and accepts none.
type Keys struct{ keys []secret.Secret }

// Formatting Keys does not expose the keys.
var (
	_ fmt.Formatter  = Keys{}
	_ fmt.Stringer   = Keys{}
	_ slog.LogValuer = Keys{}
)

// ParseKeys parses "key,key". Errors give positions and never quote the text.
func ParseKeys(s string) (Keys, error) {
	var k Keys
	for i, part := range strings.Split(s, ",") {
		part = strings.TrimSpace(part)
		if len(part) < MinKeyBytes {
			return Keys{}, malformedError("parse", errors.Errorf("key %d has less than %d bytes", i, MinKeyBytes))
		}
		if strings.ContainsFunc(part, notHeaderSafe) {
			return Keys{}, malformedError("parse", errors.Errorf("key %d has characters other than printable ASCII", i))
		}
		k.keys = append(k.keys, secret.New(part))
	}
	return k, nil
}

func notHeaderSafe(r rune) bool { return r <= ' ' || r > '~' }

func malformedError(op string, err error) error {
	return &Error{Op: op, Kind: KindMalformed, Err: err}
}

// SetHeader sets the Authorization header of h to the first key.
func (k Keys) SetHeader(h http.Header) {
	if len(k.keys) > 0 {
		h.Set(authorizationHeader, bearerPrefix+k.keys[0].Expose())
	}
}

// Check reports KindRefused unless h presents one of the keys. Its running time
// depends neither on the content of the keys nor on which of them matches.
func (k Keys) Check(h http.Header) error {
	presented, ok := strings.CutPrefix(h.Get(authorizationHeader), bearerPrefix)
	accepted := false
	for _, s := range k.keys {
		if s.Equal(presented) {
			accepted = true
		}
	}
	if !ok || !accepted || len(h.Values(authorizationHeader)) != 1 {
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
