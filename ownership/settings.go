package ownership

import (
	"time"

	"github.com/pkg/errors"
)

// This file defines the timing settings of the protocol.

// Default times of the protocol. TakeoverTimeout exceeds LeaseDuration by a quarter,
// which is safe for clocks whose rates differ by less than a quarter.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultLeaseDuration     = 2 * time.Second
	DefaultTakeoverTimeout   = 2500 * time.Millisecond
	DefaultReportLag         = 2 * time.Second
	DefaultMaxListLag        = 15 * time.Second
)

// Settings are the times of the protocol, the same for all daemons. A zero
// field means its default.
type Settings struct {
	// HeartbeatInterval is the interval of heartbeats to each member.
	HeartbeatInterval time.Duration
	// LeaseDuration is the duration of a lease, counted from the sending of the
	// heartbeat whose acknowledgement grants it.
	LeaseDuration time.Duration
	// TakeoverTimeout is the inactivity timeout after which another member
	// claims a member's endpoints. It exceeds LeaseDuration.
	TakeoverTimeout time.Duration
	// ReportLag bounds the time from sending work to an endpoint until load
	// reports that are read include that work.
	ReportLag time.Duration
	// MaxListLag bounds the lag of the list of VMs. A VM that the list lacks
	// is considered gone only after this time without messages from it.
	MaxListLag time.Duration
}

func (s Settings) withDefaults() Settings {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&s.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&s.LeaseDuration, DefaultLeaseDuration)
	setDefault(&s.TakeoverTimeout, DefaultTakeoverTimeout)
	setDefault(&s.ReportLag, DefaultReportLag)
	setDefault(&s.MaxListLag, DefaultMaxListLag)
	return s
}

// Check reports KindInvalid when the times are not safe together.
func (s Settings) Check() error {
	s = s.withDefaults()
	switch {
	case s.HeartbeatInterval <= 0 || s.LeaseDuration <= s.HeartbeatInterval:
		return &Error{"check settings", KindInvalid, errors.New("lease must outlast a positive heartbeat interval")}
	case s.TakeoverTimeout <= s.LeaseDuration:
		return &Error{"check settings", KindInvalid, errors.New("takeover must come after the lease has ended")}
	case s.ReportLag <= 0 || s.MaxListLag < s.TakeoverTimeout:
		return &Error{"check settings", KindInvalid, errors.New("report lag must be positive and MaxListLag at least TakeoverTimeout")}
	}
	return nil
}
