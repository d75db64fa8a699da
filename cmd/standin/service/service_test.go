package service

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/cmd/standin/server/servertest"
)

func startService(c *qt.C, s Settings) (*Service, string) {
	v := New(s)
	return v, servertest.Start(c, v.Handler())
}

func issue(url, attempt, key, nonce string, out any) servertest.Response {
	header := []string{"X-Request-Id", attempt}
	if key != "" {
		header = append(header, "Idempotency-Key", key)
	}
	return servertest.Do(http.MethodPost, url+"/v1/services/ban/issue", `{"nonce":"`+nonce+`"}`, header, out)
}

func TestExecutions(t *testing.T) {
	c := qt.New(t)
	_, url := startService(c, Settings{Slots: 2})
	var a callResponse
	c.Assert(issue(url, "a1", "", "n1", &a).Status, qt.Equals, http.StatusOK)
	c.Assert(a, qt.Equals, callResponse{Nonce: "n1", Attempt: "a1", Result: resultDone})
	issue(url, "a2", "k", "n2", nil)
	issue(url, "a3", "k", "n2", nil)
	var got struct {
		Executions []execution `json:"executions"`
	}
	servertest.Get(url+"/executions", &got)
	var keys []string
	for _, e := range got.Executions {
		c.Assert(e.Service, qt.Equals, fescuelatch.ServiceID("ban"))
		c.Assert(e.Operation, qt.Equals, fescuelatch.OperationID("issue"))
		keys = append(keys, e.Key)
	}
	c.Assert(keys, qt.DeepEquals, []string{"n1", "k", "k"})
	c.Assert(got.Executions[2].Attempt, qt.Equals, fescuelatch.AttemptID("a3"))
}

func TestFaults(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		fault    string
		status   int // 0: the connection is closed
		executed int
	}{
		{"cut", 0, 1},
		{"cut-before", 0, 0},
		{"error-before", http.StatusInternalServerError, 0},
		{"error-after", http.StatusInternalServerError, 1},
		{"unavailable", http.StatusServiceUnavailable, 0},
	}
	for _, test := range tests {
		_, url := startService(c, Settings{Slots: 1})
		servertest.Post(url+"/faults", `{"`+test.fault+`":{"next":1}}`, nil)
		comment := qt.Commentf("%s", test.fault)
		c.Assert(issue(url, "a1", "", "n", nil).Status, qt.Equals, test.status, comment)
		var got counts
		servertest.Get(url+"/counts", &got)
		c.Assert(got.Executions, qt.Equals, test.executed, comment)
		c.Assert(issue(url, "a2", "", "n", nil).Status, qt.Equals, http.StatusOK, comment)
	}
}

func TestCrossedAndLate(t *testing.T) {
	c := qt.New(t)
	_, url := startService(c, Settings{Slots: 1})
	issue(url, "a1", "", "n1", nil)
	servertest.Post(url+"/faults", `{"crossed":{"next":1},"late":{"next":1},"late-by":50000000}`, nil)
	var a callResponse
	begin := time.Now()
	r := issue(url, "a2", "", "n2", &a)
	c.Assert(time.Since(begin) >= 50*time.Millisecond, qt.IsTrue)
	c.Assert(a.Nonce, qt.Equals, "n1")
	c.Assert(r.Header.Get("X-Request-Id"), qt.Equals, "a1")
}

func TestSlots(t *testing.T) {
	c := qt.New(t)
	s, url := startService(c, Settings{Slots: 1, ServiceTime: time.Second})
	first := make(chan int, 1)
	go func() { first <- issue(url, "a1", "", "n1", nil).Status }()
	for s.report().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	r := issue(url, "a2", "", "n2", nil)
	c.Assert(r.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(r.Header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(<-first, qt.Equals, http.StatusOK)
	c.Assert(s.report().Running, qt.Equals, 0)
}

func TestColdFallOver(t *testing.T) {
	c := qt.New(t)
	s, url := startService(c, Settings{Slots: 4, ColdSlots: 1, ColdStart: time.Hour, FallOver: time.Hour, ServiceTime: time.Hour})
	first := make(chan int, 1)
	go func() { first <- issue(url, "a1", "", "n1", nil).Status }()
	for s.report().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	for i := range 2 {
		c.Assert(issue(url, fmt.Sprint("b", i), "", "n2", nil).Status, qt.Equals, 0)
	}
	c.Assert(<-first, qt.Equals, 0)
	var got counts
	servertest.Get(url+"/counts", &got)
	c.Assert(got, qt.Equals, counts{Calls: 2, Executions: 1, FallOvers: 1, MaxCold: 2, MaxRunning: 1})
}
