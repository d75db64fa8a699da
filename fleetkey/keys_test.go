package fleetkey_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"fescuelatch/fleetkey"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

const (
	key1 = "first-fleet-key-1"
	key2 = "second-fleet-key2"
)

func mustKeys(t testing.TB, s string) fleetkey.Keys {
	t.Helper()
	k, err := fleetkey.ParseKeys(s)
	qt.Assert(t, err, qt.IsNil)
	return k
}

func TestCheck(t *testing.T) {
	both := mustKeys(t, key2+", "+key1)
	tests := []struct {
		name   string
		keys   fleetkey.Keys
		header http.Header
		ok     bool
	}{
		{"first key", both, http.Header{"Authorization": {"Bearer " + key2}}, true},
		{"older key", both, http.Header{"Authorization": {"Bearer " + key1}}, true},
		{"other key", mustKeys(t, key1), http.Header{"Authorization": {"Bearer " + key2}}, false},
		{"prefix of a key", both, http.Header{"Authorization": {"Bearer " + key1[:16]}}, false},
		{"no header", both, http.Header{}, false},
		{"no scheme", both, http.Header{"Authorization": {key1}}, false},
		{"other scheme", both, http.Header{"Authorization": {"Basic " + key1}}, false},
		{"two headers", both, http.Header{"Authorization": {"Bearer " + key1, "Bearer x"}}, false},
		{"empty key", both, http.Header{"Authorization": {"Bearer "}}, false},
		{"zero keys", fleetkey.Keys{}, http.Header{"Authorization": {"Bearer "}}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.keys.Check(tc.header)
			if tc.ok {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			var e *fleetkey.Error
			qt.Assert(t, errors.As(err, &e), qt.IsTrue)
			qt.Assert(t, e.Kind, qt.Equals, fleetkey.KindRefused)
		})
	}
}

func TestParseKeysErrors(t *testing.T) {
	tests := []struct{ name, text, message string }{
		{"empty", "", `parse: malformed: key 0 has less than 16 bytes`},
		{"short", key1 + ",short", `parse: malformed: key 1 has less than 16 bytes`},
		{"space", "has a space in the key", `parse: malformed: key 0 has characters other .*`},
		{"line break", "has-a-line-break\nX: y", `parse: malformed: key 0 has characters other .*`},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := fleetkey.ParseKeys(tc.text)
			qt.Assert(t, err, qt.ErrorMatches, tc.message)
		})
	}
}

func TestRedaction(t *testing.T) {
	c := qt.New(t)
	k := mustKeys(t, key1)
	var b bytes.Buffer
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		fmt.Fprintf(&b, verb+verb+verb, k, &k, struct{ K fleetkey.Keys }{k})
	}
	slog.New(slog.NewJSONHandler(&b, nil)).Info("keys", "keys", k, "in", struct{ K fleetkey.Keys }{k})
	c.Assert(json.NewEncoder(&b).Encode(k), qt.IsNil)
	c.Assert(strings.Contains(b.String(), key1), qt.IsFalse)
	c.Assert(strings.Contains(b.String(), fmt.Sprintf("%x", key1)), qt.IsFalse)
}

func ExampleKeys_Check() {
	old, _ := fleetkey.ParseKeys("an-example-fleet-key")
	rotated, _ := fleetkey.ParseKeys("another-example-fleet-key,an-example-fleet-key")
	h := make(http.Header)
	old.SetHeader(h)
	fmt.Println(rotated.Check(h))
	rotated.SetHeader(h)
	fmt.Println(old.Check(h))
	// Output:
	// <nil>
	// check: refused
}
