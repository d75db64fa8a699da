package ownership

import (
	"time"

	"github.com/pkg/errors"
)

// This file defines the times of the protocol.

// Default times of the protocol. TakeoverAfter exceeds LeaseFor by a quarter
// so that clocks whose rates differ by less than that are safe.
const (
	DefaultHeartbeatEvery = 500 * time.Millisecond
	DefaultLeaseFor       = 2 * time.Second
	DefaultTakeoverAfter  = 2500 * time.Millisecond
	DefaultReportLag      = 2 * time.Second
	DefaultGoneAfter      = 15 * time.Second
)

// Settings are the times of the protocol, the same at all daemons. A zero
// field stands for its default.
type Settings struct {
	// HeartbeatEvery is the interval of heartbeats to each member.
	HeartbeatEvery time.Duration
	// LeaseFor is how long an acknowledged heartbeat keeps a lease, counted
	// from its sending.
	LeaseFor time.Duration
	// TakeoverAfter is how long a member must be silent before another
	// claims its endpoints. It exceeds LeaseFor.
	TakeoverAfter time.Duration
	// ReportLag bounds the time after which work that was sent to an
	// endpoint shows in the load reports that are then read.
	ReportLag time.Duration
	// GoneAfter bounds the lag of the list of VMs: evidence that a VM is
	// gone counts only when the VM has been silent for as long.
	GoneAfter time.Duration
}

func (s Settings) withDefaults() Settings {
	or := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	or(&s.HeartbeatEvery, DefaultHeartbeatEvery)
	or(&s.LeaseFor, DefaultLeaseFor)
	or(&s.TakeoverAfter, DefaultTakeoverAfter)
	or(&s.ReportLag, DefaultReportLag)
	or(&s.GoneAfter, DefaultGoneAfter)
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
		return &Error{"check settings", KindInvalid, errors.New("report lag and silence of a gone VM are too short")}
	}
	return nil
}
