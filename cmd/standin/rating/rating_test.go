package rating

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/cmd/standin/server/servertest"
)

func TestScores(t *testing.T) {
	c := qt.New(t)
	url := servertest.Start(c, New(Faults{}).Handler())
	tests := []struct {
		faults, answer string
		score          float64
	}{
		{`{}`, "a b", scoreGood},
		{`{}`, "a " + Marker + " b", scoreBad},
		{`{"flip":1}`, "a b", scoreBad},
		{`{"flip":1}`, Marker, scoreGood},
	}
	for _, test := range tests {
		servertest.Post(url+"/faults", test.faults, nil)
		var got response
		a := servertest.Post(url+"/ratings", `{"version":"m@1","prompt":"p","answer":"`+test.answer+`"}`, &got)
		c.Assert(a.Status, qt.Equals, http.StatusOK)
		c.Assert(got.Score, qt.Equals, test.score)
	}
}

func TestNoise(t *testing.T) {
	c := qt.New(t)
	f := Faults{Noise: 0.2}
	seen := make(map[float64]bool)
	for range 1000 {
		s := f.score("a")
		c.Assert(s >= scoreGood-f.Noise && s <= 1, qt.IsTrue)
		seen[s] = true
	}
	c.Assert(len(seen) > 100, qt.IsTrue)
}

func TestLagAndOutage(t *testing.T) {
	c := qt.New(t)
	const lag = 50 * time.Millisecond
	url := servertest.Start(c, New(Faults{Lag: lag}).Handler())
	begin := time.Now()
	c.Assert(servertest.Post(url+"/ratings", `{}`, nil).Status, qt.Equals, http.StatusOK)
	c.Assert(time.Since(begin) >= lag, qt.IsTrue)
	servertest.Post(url+"/faults", `{"outage":true}`, nil)
	c.Assert(servertest.Post(url+"/ratings", `{}`, nil).Status, qt.Equals, 0)
}
