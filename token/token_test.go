package token_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"fescuelatch"
	"fescuelatch/token"

	qt "github.com/frankban/quicktest"
	"github.com/golang-jwt/jwt/v5"
	"github.com/pkg/errors"
)

const (
	secret1 = "first-secret-0001"
	secret2 = "second-secret-002"
)

var issued = time.Date(2026, 3, 2, 5, 0, 0, 0, time.UTC)

func claims() token.Claims {
	return token.Claims{Account: "desk", Version: "triage@3", Session: "s-1", Issued: issued}
}

func mustRing(t testing.TB, s string) token.Ring {
	t.Helper()
	r, err := token.ParseRing(s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func mustSign(t testing.TB, r token.Ring) string {
	t.Helper()
	s, err := r.Sign(claims())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func kindOf(err error) token.ErrorKind {
	var e *token.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	r := mustRing(t, "k1:"+secret1)
	got, err := r.Verify(mustSign(t, r), "desk")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, claims())
}

// TestRotation checks that keys can be rotated under traffic: daemons of one
// step accept tokens signed in the same step and in the adjacent steps.
func TestRotation(t *testing.T) {
	steps := []string{
		"k1:" + secret1,
		"k1:" + secret1 + ",k2:" + secret2,
		"k2:" + secret2 + ",k1:" + secret1,
		"k2:" + secret2,
	}
	for i, s := range steps {
		for _, j := range []int{i - 1, i, i + 1} {
			if j < 0 || j >= len(steps) {
				continue
			}
			t.Run(fmt.Sprintf("signed at %d, verified at %d", i, j), func(t *testing.T) {
				_, err := mustRing(t, steps[j]).Verify(mustSign(t, mustRing(t, s)), "desk")
				qt.Assert(t, err, qt.IsNil)
			})
		}
	}
}

func TestVerifyErrors(t *testing.T) {
	r := mustRing(t, "k1:"+secret1)
	good := mustSign(t, r)
	parts := strings.Split(good, ".")
	none := base64.RawURLEncoding.EncodeToString([]byte(`{"alg":"none","kid":"k1"}`))
	hs512 := jwt.NewWithClaims(jwt.SigningMethodHS512, jwt.MapClaims{"account": "desk", "version": "v", "jti": "s", "iat": 1})
	hs512.Header["kid"] = "k1"
	other, err := hs512.SignedString([]byte(secret1))
	qt.Assert(t, err, qt.IsNil)
	bare := jwt.NewWithClaims(jwt.SigningMethodHS256, jwt.MapClaims{"account": "desk"})
	bare.Header["kid"] = "k1"
	incomplete, err := bare.SignedString([]byte(secret1))
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		name, token string
		account     fescuelatch.AccountID
		kind        token.ErrorKind
	}{
		{"empty", "", "desk", token.KindMalformed},
		{"not a token", "session-17", "desk", token.KindMalformed},
		{"too long", strings.Repeat("a", token.MaxBytes+1), "desk", token.KindMalformed},
		{"unknown key", mustSign(t, mustRing(t, "k9:"+secret1)), "desk", token.KindUnknownKey},
		{"other secret", mustSign(t, mustRing(t, "k1:"+secret2)), "desk", token.KindBadSignature},
		{"changed claims", parts[0] + "." + base64.RawURLEncoding.EncodeToString([]byte(`{"account":"other"}`)) + "." + parts[2], "desk", token.KindBadSignature},
		{"no signature", none + "." + parts[1] + ".", "desk", token.KindBadSignature},
		{"other algorithm", other, "desk", token.KindBadSignature},
		{"missing claims", incomplete, "desk", token.KindMalformed},
		{"other account", good, "grants", token.KindOtherAccount},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			got, err := r.Verify(tc.token, tc.account)
			c.Assert(kindOf(err), qt.Equals, tc.kind, qt.Commentf("%v", err))
			c.Assert(got, qt.Equals, token.Claims{})
			c.Assert(strings.Contains(err.Error(), secret1), qt.IsFalse)
		})
	}
}

func TestSignErrors(t *testing.T) {
	c := qt.New(t)
	_, err := token.Ring{}.Sign(claims())
	c.Assert(kindOf(err), qt.Equals, token.KindUnknownKey)
	_, err = mustRing(t, "k1:"+secret1).Sign(token.Claims{Account: "desk"})
	c.Assert(kindOf(err), qt.Equals, token.KindMalformed)
	long := claims()
	long.Session = strings.Repeat("s", token.MaxBytes)
	_, err = mustRing(t, "k1:"+secret1).Sign(long)
	c.Assert(kindOf(err), qt.Equals, token.KindMalformed)
}

func TestParseRingErrors(t *testing.T) {
	tests := []struct{ name, text, message string }{
		{"empty", "", `parse: malformed: key 0 has no colon`},
		{"no colon", "k1:" + secret1 + "," + secret2, `parse: malformed: key 1 has no colon`},
		{"no identifier", ":" + secret1, `parse: malformed: key 0 has an identifier .*`},
		{"invalid identifier", "k 1:" + secret1, `parse: malformed: key 0 has an identifier .*`},
		{"short secret", "k1:short", `parse: malformed: key 0 has a secret of less than 16 bytes`},
		{"duplicate identifier", "k1:" + secret1 + ",k1:" + secret2, `parse: malformed: key 1 has the identifier of an earlier key`},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			r, err := token.ParseRing(tc.text)
			c.Assert(err, qt.ErrorMatches, tc.message)
			c.Assert(r.KeyIDs(), qt.HasLen, 0)
			c.Assert(strings.Contains(err.Error(), secret2), qt.IsFalse)
		})
	}
}

// TestRedaction checks that printing a ring does not expose its secrets.
func TestRedaction(t *testing.T) {
	c := qt.New(t)
	r := mustRing(t, "k1:"+secret1+",k2:"+secret2)
	var b bytes.Buffer
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		fmt.Fprintf(&b, verb+verb+"\n", r, struct{ R token.Ring }{r})
		fmt.Fprintf(&b, verb+"\n", &r)
	}
	slog.New(slog.NewJSONHandler(&b, nil)).Info("ring", "ring", r, "pointer", &r)
	slog.New(slog.NewTextHandler(&b, nil)).Info("ring", "in", struct{ R token.Ring }{r})
	c.Assert(json.NewEncoder(&b).Encode(map[string]any{"ring": r, "pointer": &r}), qt.IsNil)
	for _, secret := range []string{secret1, secret2, fmt.Sprintf("%x", secret1)} {
		c.Check(strings.Contains(b.String(), secret), qt.IsFalse)
	}
	c.Check(r.String(), qt.Equals, "ring[k1 k2]")
}

func FuzzVerify(f *testing.F) {
	r := mustRing(f, "k1:"+secret1)
	good := mustSign(f, r)
	for _, seed := range []string{"", ".", "..", "a.b.c", good, good[:len(good)-1], good + ".", strings.ToUpper(good)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := r.Verify(s, "desk")
		if err == nil && (s != good || got != claims()) {
			t.Fatalf("token %q accepted", s)
		}
		if err != nil && kindOf(err) == "" {
			t.Fatalf("unexpected error type: %v", err)
		}
	})
}

func FuzzParseRing(f *testing.F) {
	for _, seed := range []string{"", ":", ",", "k1:" + secret1, "k1:" + secret1 + ",k2:" + secret2, "k1:a:b:c,"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		r, err := token.ParseRing(s)
		if err != nil {
			return
		}
		if _, err := r.Verify(mustSign(t, r), "desk"); err != nil {
			t.Fatal(err)
		}
	})
}
