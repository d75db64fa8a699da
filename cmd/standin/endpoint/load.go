package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"fescuelatch"
	"fescuelatch/cmd/standin/server"
)

// This file defines load reports.

// retryAfter is the Retry-After value for a request that is not started.
const retryAfter = "1" // seconds

// LoadReports serves the load report with a lag.
type LoadReports struct {
	// Lag returns the lag, Report the current report.
	Lag    func() time.Duration
	Report func() fescuelatch.LoadReport

	samples server.LaggingValue[fescuelatch.LoadReport]
}

// Sample samples the report until ctx ends.
func (l *LoadReports) Sample(ctx context.Context) { l.samples.Sample(ctx, l.Lag, l.Report) }

// ServeHTTP responds with the lagging report.
func (l *LoadReports) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	lag := l.Lag()
	r := l.samples.At(time.Now().Add(-lag))
	if lag == 0 || r.Generated.IsZero() {
		r = l.Report()
	}
	server.WriteJSON(w, http.StatusOK, r)
}

// State returns the state that an endpoint reports.
func State(c *ColdStart, leaving bool, now time.Time) fescuelatch.EndpointState {
	switch {
	case leaving:
		return fescuelatch.EndpointLeaving
	case c.ReportedCold(now):
		return fescuelatch.EndpointCold
	}
	return fescuelatch.EndpointWarm
}

// NewIncarnation returns the identifier of a new process.
func NewIncarnation() fescuelatch.Incarnation {
	return fescuelatch.Incarnation(uuid.NewString())
}

// SetRetryAfter sets Retry-After on the response to a request that was not
// started.
func SetRetryAfter(w http.ResponseWriter) { w.Header().Set("Retry-After", retryAfter) }
