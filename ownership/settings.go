package ownership

import (
	"time"

	"github.com/pkg/errors"
)

// This file defines the timing settings of the protocol.

// Default times of the protocol. TakeoverAfter exceeds LeaseFor by a quarter,
// which is safe for clocks whose rates differ by less than a quarter.
const (
	DefaultHeartbeatEvery = 500 * time.Millisecond
	DefaultLeaseFor       = 2 * time.Second
	DefaultTakeoverAfter  = 2500 * time.Millisecond
	DefaultReportLag      = 2 * time.Second
	DefaultGoneAfter      = 15 * time.Second
)

// Settings are the times of the protocol, the same for all daemons. A zero
// field means its default.
type Settings struct {
	// HeartbeatEvery is the interval of heartbeats to each member.
	HeartbeatEvery time.Duration
	// LeaseFor is the duration of a lease, counted from the sending of the
	// heartbeat whose acknowledgement grants it.
	LeaseFor time.Duration
	// TakeoverAfter is the inactivity timeout after which another member
	// claims a member's endpoints. It exceeds LeaseFor.
	TakeoverAfter time.Duration
	// ReportLag bounds the time from sending work to an endpoint until load
	// reports that are read include that work.
	ReportLag time.Duration
	// GoneAfter bounds the lag of the list of VMs. A VM that the list lacks
	// is considered gone only after this time without messages from it.
	GoneAfter time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&s.HeartbeatEvery, DefaultHeartbeatEvery)
	setDefault(&s.LeaseFor, DefaultLeaseFor)
	setDefault(&s.TakeoverAfter, DefaultTakeoverAfter)
	setDefault(&s.ReportLag, DefaultReportLag)
	setDefault(&s.GoneAfter, DefaultGoneAfter)
	return s
}

// Check reports KindInvalid when the times are not safe together.
func (s Settings) Check() error {
	s = s.withDefaults()
	switch {
	case s.HeartbeatEvery <= 0 || s.LeaseFor <= s.HeartbeatEvery:
		return &Error{"check settings", KindInvalid, errors.New("lease must outlast a positive heartbeat interval")}
	case s.TakeoverAfter <= s.LeaseFor:
		return &Error{"check settings", KindInvalid, errors.New("takeover must come after the lease has ended")}
	case s.ReportLag <= 0 || s.GoneAfter < s.TakeoverAfter:
		return &Error{"check settings", KindInvalid, errors.New("report lag must be positive and GoneAfter at least TakeoverAfter")}
	}
	return nil
}
