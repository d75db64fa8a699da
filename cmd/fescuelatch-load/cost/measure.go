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

// This file defines the settings, phases and measurement of fleets.

// warmupTime is the delay between the start of a fleet and its first
// measurement. It excludes the cost of the start. Afterwards the engines are
// warm and their load is polled less often.
const warmupTime = 12 * time.Second

// Settings apply to all measurements.
type Settings struct {
	// Options configure the fleets; Dir holds a directory for each fleet.
	Options fleet.Options `json:"-"`
	// Window is the time over which each phase is measured.
	Window time.Duration `json:"window"`
	// Rate is the requests per second for each loaded daemon.
	Rate float64 `json:"requests-per-second-per-daemon"`
	Seed uint64  `json:"seed"`
	// Short and Long are the tokens per answer. Only the base size is
	// measured with long answers.
	Short int `json:"short-answer-tokens"`
	Long  int `json:"long-answer-tokens"`
	// Progress, if set, is called with the size before each measurement.
	Progress func(string) `json:"-"`
}

// Phase holds rates per second over a window, averaged over the daemons of a
// fleet. Platform is for the whole fleet.
type Phase struct {
	// Processor is the fraction of one core.
	Processor float64 `json:"processor"`
	// Resident is the memory in bytes at the end.
	Resident float64 `json:"resident-bytes"`
	// Control counts the bytes sent and received by kind of connection.
	Control map[string]float64 `json:"control-bytes"`
	// Requests counts the bytes of requests to endpoints and other daemons.
	Requests float64 `json:"request-bytes"`
	// Heartbeats counts the heartbeats sent.
	Heartbeats float64 `json:"heartbeats-sent"`
	// Platform counts the calls to the platform by kind.
	Platform map[string]float64 `json:"platform-calls"`
	// Answered and Tokens count the answered requests and their tokens.
	Answered float64 `json:"answered"`
	Tokens   float64 `json:"tokens"`
}

// Point holds the measurements of one fleet.
type Point struct {
	Size   Size   `json:"size"`
	Idle   Phase  `json:"idle"`
	Loaded Phase  `json:"loaded"`
	Long   *Phase `json:"long-answers,omitempty"`
}

// Run measures fleets of the given sizes one after the other, and the latency
// that a daemon adds.
func Run(ctx context.Context, s *Settings, sizes []Size) (*Result, error) {
	r := &Result{Settings: *s}
	for n, size := range sizes {
		if s.Progress != nil {
			s.Progress(size.String())
		}
		o := s.Options
		o.Configuration = size.Configuration()
		o.Dir = filepath.Join(s.Options.Dir, fmt.Sprint(n))
		f, err := fleet.Start(ctx, o)
		if err != nil {
			return nil, err
		}
		err = r.measureFleet(ctx, s, f, size, n == 0)
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return r, nil
}

// measureFleet measures one fleet. The first one is also measured with long
// answers, for latency and under the target's traffic.
func (r *Result) measureFleet(ctx context.Context, s *Settings, f *fleet.Fleet, size Size, first bool) error {
	if err := sleep(ctx, warmupTime); err != nil {
		return err
	}
	p := Point{Size: size}
	var err error
	if p.Idle, err = s.measurePhase(ctx, f, traffic{}); err != nil {
		return err
	}
	if p.Loaded, err = s.measurePhase(ctx, f, s.traffic(s.Short)); err != nil {
		return err
	}
	if first {
		long, err := s.measurePhase(ctx, f, s.traffic(s.Long))
		if err != nil {
			return err
		}
		p.Long = &long
		if r.Latency, err = compareLatency(ctx, f); err != nil {
			return err
		}
		if r.TargetTraffic, err = s.measureBusy(ctx, f, p.Idle); err != nil {
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

// sample holds counters summed over all daemons.
type sample struct {
	at       time.Time
	usage    fleet.Usage
	metrics  map[string]float64
	platform map[string]int64
}

func takeSample(ctx context.Context, f *fleet.Fleet) (*sample, error) {
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

// traffic is the load on each daemon: streamed answers of a fixed number of
// tokens. Zero tokens mean an idle daemon.
type traffic struct {
	rate    float64
	tokens  int
	timeout time.Duration
}

// answerTimeout bounds each request of a Point.
const answerTimeout = 10 * time.Second

func (s *Settings) traffic(tokens int) traffic {
	return traffic{rate: s.Rate, tokens: tokens, timeout: answerTimeout}
}

// measurePhase measures one window under traffic t.
func (s *Settings) measurePhase(ctx context.Context, f *fleet.Fleet, t traffic) (Phase, error) {
	from, err := takeSample(ctx, f)
	if err != nil {
		return Phase{}, err
	}
	var summary *load.Summary
	if t.tokens == 0 {
		err = sleep(ctx, s.Window)
	} else {
		summary, err = s.sendTraffic(ctx, f, t)
	}
	if err != nil {
		return Phase{}, err
	}
	to, err := takeSample(ctx, f)
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

// sendTraffic sends traffic t to all daemons.
func (s *Settings) sendTraffic(ctx context.Context, f *fleet.Fleet, t traffic) (*load.Summary, error) {
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

// Names or prefixes of a daemon's metrics.
const (
	controlSent      = "fescuelatch_control_bytes_sent{kind="
	controlReceived  = "fescuelatch_control_bytes_received{kind="
	requestsSent     = "fescuelatch_requests_bytes_sent"
	requestsReceived = "fescuelatch_requests_bytes_received"
	heartbeats       = "fescuelatch_heartbeats"
)

// difference returns the mean rates of n daemons between two samples.
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
		case strings.HasPrefix(k, requestsSent), strings.HasPrefix(k, requestsReceived):
			p.Requests += bytes
		}
	}
	for k, v := range to.platform {
		p.Platform[k] = float64(v-from.platform[k]) / all
	}
	return p
}
