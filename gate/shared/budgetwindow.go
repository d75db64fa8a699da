package shared

import "time"

// This file defines the sliding windows by which the retry budget counts.

// counts are those of one step. Failures also count if not repeated.
type counts struct{ requests, repeats, failures float64 }

func (c *counts) add(o counts) {
	c.requests += o.requests
	c.repeats += o.repeats
	c.failures += o.failures
}

// window counts by steps, of which it keeps the latest.
type window struct {
	steps     []counts
	current   int
	stepStart time.Time // start of the current step
}

func newWindow(now time.Time, steps int) window {
	return window{steps: make([]counts, steps), stepStart: now}
}

func (w *window) advance(now time.Time, step time.Duration) {
	for n := 0; now.Sub(w.stepStart) >= step; n++ {
		if n == len(w.steps) {
			w.stepStart = now
			return
		}
		w.current = (w.current + 1) % len(w.steps)
		w.steps[w.current] = counts{}
		w.stepStart = w.stepStart.Add(step)
	}
}

func (w *window) add(c counts) { w.steps[w.current].add(c) }

// sum returns the counts of the steps from one age to before another; the current step
// has age 0.
func (w *window) sum(from, to int) counts {
	var c counts
	for age := from; age < min(to, len(w.steps)); age++ {
		c.add(w.steps[(w.current+len(w.steps)-age)%len(w.steps)])
	}
	return c
}
