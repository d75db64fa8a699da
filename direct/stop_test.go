package direct_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// This file tests planned stops while requests are being sent.

// keepAliveConn is a caller's connection with several requests in succession.
type keepAliveConn struct {
	net.Conn
	answers *bufio.Reader
}

func (s *site) dialKeepAlive() *keepAliveConn {
	s.Helper()
	k, err := net.Dial("tcp", s.callers.String())
	s.Assert(err, qt.IsNil)
	s.Cleanup(func() { _ = k.Close() })
	return &keepAliveConn{k, bufio.NewReader(k)}
}

// request returns the bytes of a caller's request.
func request(id string, deadline time.Duration) string {
	return fmt.Sprintf("POST /ban/ HTTP/1.1\r\nHost: desk.example\r\nFescuelatch-Attempt-Id: %s\r\n"+
		"Fescuelatch-Deadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: 4\r\n\r\nbody", id, deadline.Milliseconds(), callerKey)
}

// answer reads the answer to the last request.
func (k *keepAliveConn) answer() (*http.Response, error) {
	if err := k.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(k.answers, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res, err
}

// TestStopDuringRequest checks that a request of which the daemon has read a part
// is answered although the daemon closes its idle connections. A request that may
// take longer than the time left to the daemon is refused as not run.
func TestStopDuringRequest(t *testing.T) {
	tests := []struct {
		name  string
		first int // bytes that arrive before the connections are closed
		time  time.Duration
		want  int
	}{
		{"a few bytes have arrived", 5, time.Second, http.StatusOK},
		{"a part of the header has arrived", 60, time.Second, http.StatusOK},
		{"the body is missing", len(request("second", time.Second)) - 4, time.Second, http.StatusOK},
		{"it may take too long", 60, 2 * time.Second, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const grace = 4 * time.Second
			s := newSiteWithGrace(t, "desk", 1, grace)
			s.awaitReady()
			kept, idle := s.dialKeepAlive(), s.dialKeepAlive()
			for i, k := range []*keepAliveConn{kept, idle} {
				_, err := io.WriteString(k, request(fmt.Sprint("first-", i), time.Second))
				s.Assert(err, qt.IsNil)
				res, err := k.answer()
				s.Assert(err, qt.IsNil)
				s.Check(res.Close, qt.IsFalse)
			}
			s.stop()
			time.Sleep(grace/2 - 100*time.Millisecond)
			r := request("second", test.time)
			_, err := io.WriteString(kept, r[:test.first])
			s.Assert(err, qt.IsNil)
			time.Sleep(300 * time.Millisecond)
			_, err = idle.answers.Peek(1)
			s.Check(err, qt.Equals, io.EOF, qt.Commentf("idle connection not closed gracefully"))
			_, err = io.WriteString(kept, r[test.first:])
			s.Assert(err, qt.IsNil)
			res, err := kept.answer()
			s.Assert(err, qt.IsNil)
			s.Check(res.StatusCode, qt.Equals, test.want)
			s.Check(res.Close, qt.IsTrue)
			<-s.stopped
		})
	}
}
