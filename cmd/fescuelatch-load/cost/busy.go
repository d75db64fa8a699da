package cost

import (
	"context"
	"fmt"
	"math"
	"time"

	"fescuelatch/fleet"
)

// This file defines the measurement of daemons under the target's rate of
// requests and tokens for each daemon.

// busyTimeout bounds one request of the target's traffic.
const busyTimeout = 30 * time.Second

// Busy is the resource usage of a daemon under the target's traffic, in the
// fleet of the base size.
type Busy struct {
	// Offered is the request rate per second for each daemon.
	Offered float64 `json:"offered-per-second-per-daemon"`
	// AnswerTokens is the number of tokens in an answer.
	AnswerTokens int `json:"tokens-an-answer"`
	// Idle is the fraction of a core that the daemon used before, without load.
	Idle  float64 `json:"idle-processor"`
	Phase Phase   `json:"phase"`
}

// measureBusy measures one window. The answer rate is below the offered rate
// because the window ends with the last answer.
func (s *Settings) measureBusy(ctx context.Context, f *fleet.Fleet, idle Phase) (Busy, error) {
	b := Busy{
		Idle:         idle.Processor,
		Offered:      LongTermTarget.Requests / LongTermTarget.Daemons,
		AnswerTokens: int(math.Round(LongTermTarget.Tokens / LongTermTarget.Requests)),
	}
	var err error
	b.Phase, err = s.measurePhase(ctx, f, traffic{rate: b.Offered, tokens: b.AnswerTokens, timeout: busyTimeout})
	return b, err
}

// trafficProcessor returns the fraction of a core that traffic of the given
// tokens per second adds to an idle daemon, scaled from the measurement.
func (r *Result) trafficProcessor(tokens float64) float64 {
	p := &r.TargetTraffic.Phase
	if p.Tokens == 0 {
		return 0
	}
	return (p.Processor - r.TargetTraffic.Idle) * tokens / p.Tokens
}

func (r *Result) busyTable() string {
	p := &r.TargetTraffic.Phase
	tokens := LongTermTarget.Tokens / LongTermTarget.Daemons
	return formatTable(
		row{fmt.Sprintf("streamed answers of %d tokens, %s a second offered to each of two daemons", r.TargetTraffic.AnswerTokens, number(r.TargetTraffic.Offered)), "for each daemon"},
		row{"answers a second", number(p.Answered)},
		row{"tokens a second", number(p.Tokens)},
		row{"processor time", percent(p.Processor) + " of a core"},
		row{"of it for a token, with its share of the request", microseconds(r.trafficProcessor(1))},
		row{"memory", megabytes(p.Resident)},
		row{fmt.Sprintf("scaled to the target's %s tokens a second", number(tokens)), percent(r.trafficProcessor(tokens)) + " of a core"},
	)
}
