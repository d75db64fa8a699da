package cost

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/fleet"
	"fescuelatch/load"
)

// This file defines the measurement of one fleet.

// settle passes between the start of a fleet and its first measurement: the
// engines have become warm and are not asked often for their load any more,
// and what the start cost is not counted.
const settle = 12 * time.Second

// Settings are those of all measurements.
type Settings struct {
	// Options are those of the fleets; Dir holds a directory for each.
	Options fleet.Options `json:"-"`
	// Window is the time over which each phase is measured.
	Window time.Duration `json:"window"`
	// Rate is the number of requests a second for each daemon when loaded.
	Rate float64 `json:"requests-per-second-per-daemon"`
	Seed uint64  `json:"seed"`
	// Short and Long are the tokens of an answer. Only the base size is
	// measured with long ones.
	Short int `json:"short-answer-tokens"`
	Long  int `json:"long-answer-tokens"`
	// Note, when set, is told of each measurement before it begins.
	Note func(string) `json:"-"`
}

// Phase is the mean over the daemons of a fleet and over a window, by the
// second, but for Platform, which is for the whole fleet.
type Phase struct {
	// Processor is the part of one core.
	Processor float64 `json:"processor"`
	// Resident is the memory in bytes at the end.
	Resident float64 `json:"resident-bytes"`
	// Control is the bytes sent and received by kind of connection.
	Control map[string]float64 `json:"control-bytes"`
	// Requests is the bytes of requests to endpoints and other daemons.
	Requests float64 `json:"request-bytes"`
	// Heartbeats is the number sent.
	Heartbeats float64 `json:"heartbeats-sent"`
	// Platform is the calls to the platform by kind.
	Platform map[string]float64 `json:"platform-calls"`
	// Answered and Tokens are the requests and tokens passed on.
	Answered float64 `json:"answered"`
	Tokens   float64 `json:"tokens"`
}

// Point is what one fleet gave.
type Point struct {
	Size   Size   `json:"size"`
	Idle   Phase  `json:"idle"`
	Loaded Phase  `json:"loaded"`
	Long   *Phase `json:"long-answers,omitempty"`
}

// Run measures fleets of all sizes, one after the other, and the latency
// that a daemon adds.
func Run(ctx context.Context, s *Settings, sizes []Size) (*Result, error) {
	r := &Result{Settings: *s}
	for n, size := range sizes {
		if s.Note != nil {
			s.Note(size.String())
		}
		o := s.Options
		o.Configuration = size.Configuration()
		o.Dir = filepath.Join(s.Options.Dir, fmt.Sprint(n))
		f, err := fleet.Start(ctx, o)
		if err != nil {
			return nil, err
		}
		err = r.add(ctx, s, f, size, n == 0)
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return r, nil
}

// add measures one fleet. The first one is also measured with long answers
// and for latency.
func (r *Result) add(ctx context.Context, s *Settings, f *fleet.Fleet, size Size, first bool) error {
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	p := Point{Size: size}
	var err error
	if p.Idle, err = s.phase(ctx, f, traffic{}); err != nil {
		return err
	}
	if p.Loaded, err = s.phase(ctx, f, s.traffic(s.Short)); err != nil {
		return err
	}
	if first {
		long, err := s.phase(ctx, f, s.traffic(s.Long))
		if err != nil {
			return err
		}
		p.Long = &long
		if r.Latency, err = compareLatency(ctx, f); err != nil {
			return err
		}
		if r.Busy, err = s.busy(ctx, f, p.Idle); err != nil {
			return err
		}
	}
	r.Points = append(r.Points, p)
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// sample is the sum over all daemons at one time.
type sample struct {
	at       time.Time
	usage    fleet.Usage
	metrics  map[string]float64
	platform map[string]int64
}

func read(ctx context.Context, f *fleet.Fleet) (*sample, error) {
	s := &sample{at: time.Now(), metrics: make(map[string]float64)}
	for _, m := range f.Configuration.Inventory.VMs {
		u, err := f.Usage(m.ID)
		if err != nil {
			return nil, err
		}
		s.usage.Processor += u.Processor
		s.usage.Resident += u.Resident
		values, err := f.Metrics(ctx, m.ID)
		if err != nil {
			return nil, err
		}
		for k, v := range values {
			s.metrics[k] += v
		}
	}
	var err error
	s.platform, err = f.PlatformCalls(ctx)
	return s, err
}

// traffic is what each daemon gets: streamed answers of a number of tokens.
// Without tokens it is idle.
type traffic struct {
	rate    float64
	tokens  int
	timeout time.Duration
}

// answerTimeout is that of the points' requests.
const answerTimeout = 10 * time.Second

func (s *Settings) traffic(tokens int) traffic {
	return traffic{rate: s.Rate, tokens: tokens, timeout: answerTimeout}
}

// phase measures one window.
func (s *Settings) phase(ctx context.Context, f *fleet.Fleet, t traffic) (Phase, error) {
	from, err := read(ctx, f)
	if err != nil {
		return Phase{}, err
	}
	var summary *load.Summary
	if t.tokens == 0 {
		err = sleep(ctx, s.Window)
	} else {
		summary, err = s.send(ctx, f, t)
	}
	if err != nil {
		return Phase{}, err
	}
	to, err := read(ctx, f)
	if err != nil {
		return Phase{}, err
	}
	p := difference(from, to, len(f.Configuration.Inventory.VMs))
	if summary != nil {
		seconds := to.at.Sub(from.at).Seconds() * float64(len(f.Configuration.Inventory.VMs))
		p.Answered = float64(summary.Outcomes[fescuelatch.OutcomeAnswered]) / seconds
		p.Tokens = p.Answered * float64(t.tokens)
	}
	return p, nil
}

// send loads all daemons.
func (s *Settings) send(ctx context.Context, f *fleet.Fleet, t traffic) (*load.Summary, error) {
	c := f.Configuration
	p := &load.Profile{
		Rate: t.rate * float64(len(c.Inventory.VMs)), Duration: s.Window, Seed: s.Seed, Run: fmt.Sprint("cost-", t.tokens),
		Accounts: load.AccountsOf(c, f.Keys),
		Mix:      load.Mix{Streamed: 1, MinTokens: t.tokens, MaxTokens: t.tokens, Timeout: t.timeout},
	}
	calls, err := load.Plan(p)
	if err != nil {
		return nil, err
	}
	u := load.Runner{Keys: f.Keys}
	for _, m := range c.Inventory.VMs {
		u.Targets = append(u.Targets, load.Target{Caller: m.Caller})
	}
	_, summary := u.Run(ctx, calls)
	return summary, nil
}

// Names of a daemon's metrics.
const (
	controlSent     = "fescuelatch_control_bytes_sent{kind="
	controlReceived = "fescuelatch_control_bytes_received{kind="
	requestsSent    = "fescuelatch_requests_bytes_sent"
	requestsBack    = "fescuelatch_requests_bytes_received"
	heartbeats      = "fescuelatch_heartbeats"
)

// difference returns the means of what n daemons did between two samples.
func difference(from, to *sample, n int) Phase {
	all := to.at.Sub(from.at).Seconds()
	each := all * float64(n)
	p := Phase{
		Processor:  (to.usage.Processor - from.usage.Processor).Seconds() / each,
		Resident:   float64(to.usage.Resident) / float64(n),
		Heartbeats: (to.metrics[heartbeats] - from.metrics[heartbeats]) / each,
		Control:    make(map[string]float64),
		Platform:   make(map[string]float64),
	}
	for k, v := range to.metrics {
		bytes := (v - from.metrics[k]) / each
		switch {
		case strings.HasPrefix(k, controlSent), strings.HasPrefix(k, controlReceived):
			kind := strings.Trim(k[strings.IndexByte(k, '=')+1:], `"}`)
			p.Control[kind] += bytes
		case strings.HasPrefix(k, requestsSent), strings.HasPrefix(k, requestsBack):
			p.Requests += bytes
		}
	}
	for k, v := range to.platform {
		p.Platform[k] = float64(v-from.platform[k]) / all
	}
	return p
}
