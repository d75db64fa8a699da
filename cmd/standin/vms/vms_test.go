package vms

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/cmd/standin/server/servertest"
)

func TestListLags(t *testing.T) {
	c := qt.New(t)
	const lag = 200 * time.Millisecond
	url := servertest.Start(c, New(Faults{Lag: lag}).Handler())
	set := time.Now()
	a := servertest.Post(url+"/vms", `{"vms":[{"id":"v1","state":"leaving","started":"2026-01-02T03:04:05Z"}]}`, nil)
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	var got []fescuelatch.ListedVM
	for len(got) == 0 && time.Since(set) < servertest.Timeout {
		time.Sleep(5 * time.Millisecond)
		got = get(url)
	}
	c.Assert(time.Since(set) >= lag, qt.IsTrue)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].ID, qt.Equals, "v1")
	c.Assert(got[0].State, qt.Equals, fescuelatch.ListedLeaving)
}

func get(url string) []fescuelatch.ListedVM {
	var l list
	servertest.Get(url+"/vms", &l)
	return l.VMs
}

func TestOutage(t *testing.T) {
	c := qt.New(t)
	url := servertest.Start(c, New(Faults{}).Handler())
	servertest.Post(url+"/faults", `{"outage":true}`, nil)
	c.Assert(servertest.Get(url+"/vms", nil).Status, qt.Equals, 0)
}
