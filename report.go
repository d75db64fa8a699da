package fescuelatch

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// This file defines the load reports of endpoints.

// LoadReport is the load that an endpoint reports. It arrives with a lag.
type LoadReport struct {
	Endpoint    EndpointID    `json:"endpoint"`
	Incarnation Incarnation   `json:"incarnation"`
	State       EndpointState `json:"state"`
	Running     int           `json:"running"`
	Waiting     int           `json:"waiting"`
	Slots       int           `json:"slots"`
	// ServiceTime is how long work takes at the endpoint at present, relative to its
	// usual time; zero if it is not reported.
	ServiceTime float64     `json:"service-time,omitempty"`
	Versions    []VersionID `json:"versions,omitempty"`
	Generated   time.Time   `json:"generated"`
}

// EndpointState is the state that an endpoint reports.
type EndpointState string

// States that endpoints report.
const (
	EndpointCold    EndpointState = "cold"
	EndpointWarm    EndpointState = "warm"
	EndpointLeaving EndpointState = "leaving"
)

// maxReportedCount bounds the counts of a report, so that their sum cannot
// overflow.
const maxReportedCount = 1 << 20

// MaxServiceTime bounds the relative service time of a report. An endpoint that is
// slower answers no request in time.
const MaxServiceTime = 100

type loadReportFields LoadReport

// UnmarshalJSON decodes and validates a report: its state must be known and
// its counts must be from 0 to 1,048,576. Its service time must be from 0 to
// MaxServiceTime.
func (r *LoadReport) UnmarshalJSON(b []byte) error {
	const op = "decode load report"
	var v loadReportFields
	if err := json.Unmarshal(b, &v); err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	switch v.State {
	case EndpointCold, EndpointWarm, EndpointLeaving:
	default:
		return &Error{Op: op, Kind: KindInvalid, Err: errors.Errorf("unknown state %q", v.State)}
	}
	if min(v.Running, v.Waiting, v.Slots) < 0 || max(v.Running, v.Waiting, v.Slots) > maxReportedCount {
		return &Error{Op: op, Kind: KindInvalid, Err: errors.New("a count is out of range")}
	}
	if v.ServiceTime < 0 || v.ServiceTime > MaxServiceTime {
		return &Error{Op: op, Kind: KindInvalid, Err: errors.New("the service time is out of range")}
	}
	*r = LoadReport(v)
	return nil
}
