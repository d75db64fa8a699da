package admission

import "time"

// This file defines the promises of room to refused callers.

// promises counts the callers that were told to return and are not due yet, by rank.
// Callers return at any daemon, and each daemon promises from its own part of the room.
type promises struct {
	due [ranks]float64
	at  time.Time
}

// advance takes off the callers that are due by now, the most urgent first.
func (p *promises) advance(now time.Time, rate float64) {
	done := rate * now.Sub(p.at).Seconds()
	p.at = now
	for r := range p.due {
		n := min(done, p.due[r])
		p.due[r] -= n
		done -= n
	}
}

// next returns when a caller should return, at the given rate of promises, after those of
// its rank and of more urgent ones. It reports false, and promises nothing, if there is no
// room within most.
func (p *promises) next(now time.Time, rate float64, rank int, from, most time.Duration, u float64) (time.Duration, bool) {
	p.advance(now, rate)
	ahead := 0.0
	for r := range rank + 1 {
		ahead += p.due[r]
	}
	// The place within the interval of a promise is drawn, so that daemons do not
	// promise the same moments.
	after := from + time.Duration((ahead+u)/rate*float64(time.Second))
	if after > most {
		return 0, false
	}
	p.due[rank]++
	return after, true
}
