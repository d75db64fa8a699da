package token_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/token"
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

func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	r := mustRing(t, "k1:0123456789abcdef")
	s, err := r.Sign(claims())
	c.Assert(err, qt.IsNil)
	got, err := r.Verify(s, "desk")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, claims())
}
