package main

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// This file tests the commands that show a daemon on the users' platform.

// newControlServer starts a fake of the control server of a daemon.
func newControlServer(t *testing.T) netip.AddrPort {
	answers := map[string]string{
		"/status": `{"vm":"vm-1","failure-domain":"a","state":"serving","ready":true,"generation":7,"store-age":"35ms","daemons":4,
			"endpoints":2,"open-requests":3,"roll-outs":{"lm":{"release":"v2","state":"trial","share":0.06}},"failure-domains-out":["b"]}`,
		"/state": `{"vm":"vm-1","endpoints":[{"endpoint":{"id":"i-1","failure-domain":"a","address":"10.0.0.1:80"},"service":"lm","release":"v1","slots":16,"age":"2s"}]}`,
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(answers[r.URL.Path]))
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func TestControl(t *testing.T) {
	tests := []struct {
		name string
		argv []string
		code exitCode
		out  string // part of the output
	}{
		{"status", []string{"status"}, exitOK, "generation 7 at vm-1 in a, serving, ready: yes, last store contact 35ms ago"},
		{"rollouts", []string{"status"}, exitOK, "trial"},
		{"failure domains out", []string{"status"}, exitOK, "failure domains out: b"},
		{"endpoints", []string{"status", "--endpoints"}, exitOK, "10.0.0.1:80"},
		{"JSON", []string{"--json", "status"}, exitOK, `"generation": 7`},
		{"dump", []string{"state", "dump"}, exitOK, `"i-1"`},
		{"no daemon", []string{"status"}, exitUnavailable, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			address := newControlServer(t).String()
			if tt.code == exitUnavailable {
				address = closedAddress(t)
			}
			got := invoke(t.Context(), "", append(tt.argv, "--control", address)...)
			c.Check(got.code, qt.Equals, tt.code, qt.Commentf("%s", got.err))
			c.Check(strings.Contains(got.out, tt.out), qt.IsTrue, qt.Commentf("%s", got.out))
		})
	}
}
