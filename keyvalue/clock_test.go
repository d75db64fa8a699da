package keyvalue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/keyvalue"
)

// This file tests the common time of daemons whose VM clocks differ.

func TestClock(t *testing.T) {
	noon := time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC)
	tests := []struct {
		name     string
		start    time.Time // VM clock of a daemon that starts at noon
		answered bool
		want     time.Time // common time an hour later
	}{
		{"correct", noon, true, noon.Add(time.Hour)},
		{"correct, no response", noon, false, noon.Add(time.Hour)},
		{"slightly wrong", noon.Add(time.Second), true, noon.Add(time.Hour + time.Second)},
		{"ahead", noon.Add(5 * time.Hour), true, noon.Add(time.Hour)},
		{"behind", noon.Add(-50 * time.Hour), true, noon.Add(time.Hour)},
		{"ahead, no response", noon.Add(5 * time.Hour), false, noon.Add(6 * time.Hour)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := keyvalue.NewClock(test.start)
			if test.answered {
				k.Synchronize(test.start.Add(time.Minute), noon.Add(time.Minute))
			}
			later := test.start.Add(time.Hour)
			c.Check(k.ToCommon(later), qt.Equals, test.want)
			c.Check(k.ToLocal(k.ToCommon(later)), qt.Equals, later)
		})
	}
}
