package fleet

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// This file tests the reading of a daemon's resource usage.

func TestParseTicks(t *testing.T) {
	tests := []struct {
		name, stat string
		ticks      int64
		bad        bool
	}{
		{"plain", "12 (fescuelatchd) S 1 12 12 0 -1 4194304 900 0 0 0 37 5 0 0 20 0", 42, false},
		{"name with spaces", "12 (a b) c) S 1 12 12 0 -1 4194304 900 0 0 0 1 2 0 0 20 0", 3, false},
		{"short", "12 (fescuelatchd) S 1", 0, true},
		{"not a number", "12 (x) S 1 12 12 0 -1 4194304 900 0 0 0 x 5 0", 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n, err := parseTicks([]byte(test.stat))
			c.Assert(err != nil, qt.Equals, test.bad)
			if !test.bad {
				c.Assert(n, qt.Equals, test.ticks)
			}
		})
	}
}

func TestParseResident(t *testing.T) {
	c := qt.New(t)
	n, err := parseResident([]byte("Name:\tx\nVmRSS:\t   20480 kB\nThreads:\t9\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, int64(20480*1024))
	_, err = parseResident([]byte("Name:\tx\n"))
	c.Assert(err, qt.IsNotNil)
}

func TestParseMetrics(t *testing.T) {
	c := qt.New(t)
	m, err := parseMetrics(strings.NewReader("# TYPE a counter\na{kind=\"peer\"} 12\nb 1.5e+06\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(m, qt.DeepEquals, map[string]float64{`a{kind="peer"}`: 12, "b": 1.5e6})
}
