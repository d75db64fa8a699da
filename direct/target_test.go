package direct_test

import (
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/platform/fakeplatform"
)

// This file tests the targets of requests.

// TestTargetReachesEndpoint guards against requests that run with another path than their caller's.
func TestTargetReachesEndpoint(t *testing.T) {
	s := newSite(t, "desk", 1)
	s.awaitReady()
	s.store.Put(fakeplatform.ConfigurationKey, strings.NewReplacer(`"/ban/"`, `"/"`, `"version":1,`, `"version":2,`).Replace(fakeplatform.Configuration(1, callerKey)))
	s.eventually(func() bool { return strings.Contains(s.status(), `"generation":2`) })
	for _, target := range []string{"/reader/41/ban", "//reader/41/ban", "///reader/41/ban", "//reader/41/ban?a=//b", "//once", "/a//b"} {
		a := s.raw("POST " + target + " HTTP/1.1\r\nHost: desk.example\r\nFescuelatch-Attempt-Id: x\r\nX-Api-Key: " + callerKey + "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody")
		s.Check(strings.HasPrefix(a, "HTTP/1.1 200 "), qt.IsTrue, qt.Commentf("%s", a))
		all := s.endpoints[0].Requests()
		s.Assert(len(all) > 0, qt.IsTrue)
		s.Check(all[len(all)-1].Target, qt.Equals, target)
		s.Check(all[len(all)-1].Host, qt.Equals, "desk.example")
		s.Check(all[len(all)-1].Body, qt.Equals, "body")
	}
}

// raw sends bytes on a new connection and returns all that comes back.
func (s *site) raw(request string) string {
	k, err := net.Dial("tcp", s.callers.String())
	s.Assert(err, qt.IsNil)
	defer func() { _ = k.Close() }()
	_, err = io.WriteString(k, request)
	s.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(k)
	s.Check(err, qt.IsNil)
	return string(answer)
}
