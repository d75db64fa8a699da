package cost

import (
	"context"
	"fmt"
	"math"
	"time"

	"fescuelatch/fleet"
)

// This file defines the measurement of daemons that get as many requests and
// tokens as the target gives each.

// busyTimeout bounds one of the target's answers.
const busyTimeout = 30 * time.Second

// Busy is what a daemon costs under the target's traffic, in the fleet of the
// base size.
type Busy struct {
	// Offered is the requests a second for each daemon.
	Offered float64 `json:"offered-per-second-per-daemon"`
	// AnswerTokens are the tokens of an answer.
	AnswerTokens int `json:"tokens-an-answer"`
	// Idle is the part of a core that the daemon took before, without load.
	Idle  float64 `json:"idle-processor"`
	Phase Phase   `json:"phase"`
}

// busy measures one window. What is answered a second is less than what is
// offered, because the window ends with the last answer.
func (s *Settings) busy(ctx context.Context, f *fleet.Fleet, idle Phase) (Busy, error) {
	b := Busy{
		Idle:         idle.Processor,
		Offered:      LongRun.Requests / LongRun.Daemons,
		AnswerTokens: int(math.Round(LongRun.Tokens / LongRun.Requests)),
	}
	var err error
	b.Phase, err = s.phase(ctx, f, traffic{rate: b.Offered, tokens: b.AnswerTokens, timeout: busyTimeout})
	return b, err
}

// processorOf returns the part of a core that the target's traffic takes,
// beyond what an idle daemon does: what was measured, scaled from the tokens
// that passed to those of the target.
func (r *Result) processorOf(tokens float64) float64 {
	p := &r.Busy.Phase
	if p.Tokens == 0 {
		return 0
	}
	return (p.Processor - r.Busy.Idle) * tokens / p.Tokens
}

func (r *Result) busyTable() string {
	p := &r.Busy.Phase
	tokens := LongRun.Tokens / LongRun.Daemons
	return rows(
		row{fmt.Sprintf("streamed answers of %d tokens, %s a second offered to each of two daemons", r.Busy.AnswerTokens, number(r.Busy.Offered)), "for each daemon"},
		row{"answers a second", number(p.Answered)},
		row{"tokens a second", number(p.Tokens)},
		row{"processor time", percent(p.Processor) + " of a core"},
		row{"of it for a token, with its share of the request", micros(r.processorOf(1))},
		row{"memory", megabytes(p.Resident)},
		row{fmt.Sprintf("scaled to the target's %s tokens a second", number(tokens)), percent(r.processorOf(tokens)) + " of a core"},
	)
}
