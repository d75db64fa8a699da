package etcd_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/keyvalue"
)

// This file tests which responses set the common clock.

func TestTimeOfAnswers(t *testing.T) {
	date := time.Date(2031, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := []struct {
		name  string
		date  string
		delay time.Duration
		used  bool
	}{
		{"date", date.Format(http.TimeFormat), 0, true},
		{"late response", date.Format(http.TimeFormat), 1200 * time.Millisecond, false},
		{"no date", "", 0, false},
		{"invalid date", "soon", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(test.delay)
				w.Header()["Date"] = nil
				if test.date != "" {
					w.Header().Set("Date", test.date)
				}
				_, _ = w.Write([]byte(`{}`))
			})
			client.Timeout = 5 * time.Second
			client.Clock = keyvalue.NewClock(time.Now())
			_, err := client.Get(context.Background(), "key")
			c.Assert(err, qt.IsNil)
			c.Check(client.Clock.Now().Sub(date) < time.Minute && client.Clock.Now().After(date), qt.Equals, test.used)
		})
	}
}
