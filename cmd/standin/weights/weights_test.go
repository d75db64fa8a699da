package weights

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/cmd/standin/server/servertest"
)

func TestRate(t *testing.T) {
	c := qt.New(t)
	url := servertest.Start(c, New(Faults{Rate: 0.01, Size: 100}).Handler())
	a := servertest.Get(url+"/weights/m@1", nil)
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	c.Assert(a.Body, qt.HasLen, 100)
	a = servertest.Get(url+"/weights/m@1", nil)
	c.Assert(a.Status, qt.Equals, http.StatusTooManyRequests)
	c.Assert(a.Header.Get("Retry-After"), qt.Equals, retryAfter)
	servertest.Post(url+"/faults", `{"rate":0}`, nil)
	c.Assert(servertest.Get(url+"/weights/m@1", nil).Status, qt.Equals, http.StatusOK)
}
