// Package token signs and verifies session tokens. A token carries the version
// of its session, so that no entry VM has to store the session.
package token

import (
	"fmt"
	"log/slog"
	"regexp"
	"strings"

	"fescuelatch/internal/secret"

	"github.com/pkg/errors"
)

// This file defines Ring, the keys that sign and verify tokens, and its parser.

// MinSecretBytes is the minimum length of a key's secret.
const MinSecretBytes = 16

// Ring is an ordered list of keys. The first signs and all verify, so that
// keys are rotated under traffic in three steps: append the new key on all
// daemons, move it to the front on all daemons, remove the old key once its
// tokens have been replaced. A ring is immutable; the zero value has no keys and
// accepts no token.
type Ring struct{ keys []key }

type key struct {
	id     string
	secret secret.Secret
}

// Formatting a ring does not expose its secrets.
var (
	_ fmt.Formatter  = Ring{}
	_ fmt.Stringer   = Ring{}
	_ slog.LogValuer = Ring{}
)

// keyIDPattern restricts key identifiers to characters that need no escaping.
var keyIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// ParseRing parses "kid:secret,kid:secret". Secrets contain no comma. Errors
// give positions and never quote the text.
func ParseRing(s string) (Ring, error) {
	var r Ring
	for i, part := range strings.Split(s, ",") {
		id, value, ok := strings.Cut(strings.TrimSpace(part), ":")
		switch {
		case !ok:
			return Ring{}, malformedKeyError(i, "has no colon")
		case !keyIDPattern.MatchString(id):
			return Ring{}, malformedKeyError(i, "has an identifier that is empty, too long or has other characters than letters, digits, '.', '_' and '-'")
		case len(value) < MinSecretBytes:
			return Ring{}, malformedKeyError(i, fmt.Sprintf("has a secret of less than %d bytes", MinSecretBytes))
		case r.findKey(id) != nil:
			return Ring{}, malformedKeyError(i, "has the identifier of an earlier key")
		}
		r.keys = append(r.keys, key{id: id, secret: secret.New(value)})
	}
	return r, nil
}

func malformedKeyError(i int, problem string) error {
	return &Error{Op: "parse", Kind: KindMalformed, Err: errors.Errorf("key %d %s", i, problem)}
}

// findKey returns the key with the given identifier, or nil.
func (r Ring) findKey(id string) *key {
	for i := range r.keys {
		if r.keys[i].id == id {
			return &r.keys[i]
		}
	}
	return nil
}

// KeyIDs returns the identifiers of the keys, the signing one first.
func (r Ring) KeyIDs() []string {
	ids := make([]string, len(r.keys))
	for i, k := range r.keys {
		ids[i] = k.id
	}
	return ids
}

// String returns the identifiers of the keys without their secrets.
func (r Ring) String() string { return "ring[" + strings.Join(r.KeyIDs(), " ") + "]" }

// Format writes String for every verb.
func (r Ring) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(r.String())) }

// MarshalText returns String.
func (r Ring) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// LogValue returns String.
func (r Ring) LogValue() slog.Value { return slog.StringValue(r.String()) }
