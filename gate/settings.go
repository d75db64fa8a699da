package gate

import "time"

// This file defines the settings of an adaptive gate.

// Default settings.
const (
	defaultReportLag     = 2 * time.Second
	defaultReportTimeout = 5 * time.Second
	defaultRampTime      = 10 * time.Second
)

// Settings are the settings of an adaptive gate. A zero field stands for its
// default.
type Settings struct {
	// QueueLimit bounds the queued attempts.
	QueueLimit int
	// ReportLag bounds the time until work that was sent to an endpoint
	// shows in the load reports that arrive.
	ReportLag time.Duration
	// ReportTimeout is how long an endpoint may go without a new report
	// before it counts as cold.
	ReportTimeout time.Duration
	// RampTime is the time from the cold to the full number of slots.
	RampTime time.Duration
}

func (s Settings) withDefaults() Settings {
	or := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	or(&s.ReportLag, defaultReportLag)
	or(&s.ReportTimeout, defaultReportTimeout)
	or(&s.RampTime, defaultRampTime)
	if s.QueueLimit == 0 {
		s.QueueLimit = defaultQueueLimit
	}
	return s
}
