package failure

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests that each caller gets its own whole answer, or is told.

// answerChance is a fault's number of occasions.
type answerChance struct {
	Next int `json:"next"`
}

// answerFaults are the faults of the answers of an engine. Without a fault,
// none is left over from before.
type answerFaults struct {
	Late         answerChance  `json:"late"`
	LateBy       time.Duration `json:"late-by"`
	Twice        answerChance  `json:"twice"`
	Crossed      answerChance  `json:"crossed"`
	CrossedAfter int           `json:"crossed-after"`
	Cut          answerChance  `json:"cut"`
	CutAfter     int           `json:"cut-after"`
	ErrorAfter   answerChance  `json:"error-after"`
}

// manyOccasions exceeds the answers of any test.
const manyOccasions = 1 << 20

// callAll makes calls from many callers at once, at VMs in turn. A call that
// was not run is repeated a few times, as callers do.
func (f *traffic) callAll(name string, calls, tokens int, stream bool, timeout time.Duration, vms ...fescuelatch.VMID) *replies {
	const (
		repeats = 12
		pause   = 200 * time.Millisecond
	)
	s := new(replies)
	var wg sync.WaitGroup
	for n := range calls {
		wg.Go(func() {
			for k := range repeats {
				r := f.send(&ask{
					vm: vms[n%len(vms)], nonce: fmt.Sprintf("%s-%d-%d", name, n, k), tokens: tokens, stream: stream, timeout: timeout,
				})
				s.add(r)
				if r.outcome != fescuelatch.OutcomeNotRun {
					return
				}
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return s
}

// TestAnswersUnderFaults makes every engine answer with one fault and checks
// that each reply is the caller's own whole answer or says that it is not.
// Where the fault can be made up for, some replies must be whole.
func TestAnswersUnderFaults(t *testing.T) {
	c := qt.New(t)
	f := startTraffic(t, 2, 2)
	vms := []fescuelatch.VMID{"a-1", "a-2", "b-1"}
	for _, m := range vms {
		f.served(m)
	}
	tests := []struct {
		name    string
		faults  answerFaults
		stream  bool
		timeout time.Duration
		// want is a verdict that must occur.
		want verdict
	}{
		{"no fault", answerFaults{}, true, 4 * time.Second, verdictWhole},
		{"stream cut", answerFaults{Cut: answerChance{manyOccasions}, CutAfter: 3}, true, 4 * time.Second, verdictWhole},
		{"some streams cut before text", answerFaults{Cut: answerChance{1}}, true, 4 * time.Second, verdictWhole},
		{"answer cut", answerFaults{Cut: answerChance{manyOccasions}}, false, 4 * time.Second, verdictFailed},
		{"stream crossed", answerFaults{Crossed: answerChance{manyOccasions}, CrossedAfter: 3}, true, 4 * time.Second, verdictCut},
		{"stream crossed from the start", answerFaults{Crossed: answerChance{manyOccasions}}, true, 4 * time.Second, verdictFailed},
		{"answer crossed", answerFaults{Crossed: answerChance{manyOccasions}}, false, 4 * time.Second, verdictFailed},
		{"some answers crossed", answerFaults{Crossed: answerChance{2}}, false, 4 * time.Second, verdictWhole},
		{"stream twice", answerFaults{Twice: answerChance{manyOccasions}}, true, 4 * time.Second, verdictWhole},
		{"answer twice", answerFaults{Twice: answerChance{manyOccasions}}, false, 4 * time.Second, verdictWhole},
		{"stream late", answerFaults{Late: answerChance{manyOccasions}, LateBy: 2 * time.Second}, true, time.Second, verdictFailed},
		{"answer late", answerFaults{Late: answerChance{manyOccasions}, LateBy: 2 * time.Second}, false, time.Second, verdictFailed},
		{"error after the run", answerFaults{ErrorAfter: answerChance{manyOccasions}}, true, 4 * time.Second, verdictFailed},
		{"no fault any more", answerFaults{}, false, 4 * time.Second, verdictWhole},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			for _, e := range f.Configuration.Inventory.Endpoints {
				c.Assert(f.Faults(f.ctx, e.ID, test.faults), qt.IsNil)
			}
			s := f.callAll(strings.ReplaceAll(test.name, " ", "-"), 9, 6, test.stream, test.timeout, vms...)
			n := s.checkOwn(c)
			c.Check(n[test.want] > 0, qt.IsTrue, qt.Commentf("no reply is %s", test.want))
			f.checkOutcomes(c, s)
		})
	}
}

// checkOutcomes checks what replies say of themselves against the receipts
// of the engines: a reply that says "not run" was not run, and the text of a
// stream is that of one attempt.
func (f *traffic) checkOutcomes(c *qt.C, s *replies) {
	c.Helper()
	started := make(map[fescuelatch.RequestID]int)
	for _, e := range f.Configuration.Inventory.Endpoints {
		for _, r := range f.log(e.ID).Starts {
			if !r.Started.IsZero() {
				started[r.Request()]++
			}
		}
	}
	for _, r := range s.all {
		switch {
		case r.outcome == fescuelatch.OutcomeNotRun:
			c.Check(started[r.request], qt.Equals, 0, qt.Commentf("%s was run and told not to be", r.request))
		case r.done:
			c.Check(r.outcome, qt.Equals, fescuelatch.OutcomeAnswered)
		case r.err == nil:
			c.Check(r.outcome, qt.Equals, fescuelatch.OutcomeUnknown, qt.Commentf("%s %s", r.request, r.code))
		}
	}
}

// coldFault turns an engine cold.
type coldFault struct {
	Cold coldTurn `json:"cold"`
}

type coldTurn struct {
	For            time.Duration `json:"for"`
	Unannounced    bool          `json:"unannounced"`
	NewIncarnation bool          `json:"new-incarnation"`
	Break          bool          `json:"break"`
}

// streamTokens is the length of a stream that runs for longer than
// untilFault even when it is alone.
const (
	streamTokens = 200
	untilFault   = 400 * time.Millisecond
)

// TestStreamsWhenProcessesFail fails a process in the middle of streams. A
// stream may go on where it was, or ends as cut; nothing is added to it.
func TestStreamsWhenProcessesFail(t *testing.T) {
	c := qt.New(t)
	f := startTraffic(t, 2, 2)
	for _, m := range []fescuelatch.VMID{"a-1", "a-2", "b-1"} {
		f.served(m)
	}
	owner := f.owner("a-1", "e-1")
	c.Assert(owner, qt.Not(qt.Equals), fescuelatch.VMID(""))
	other := fescuelatch.VMID("a-1")
	if owner == other {
		other = "a-2"
	}
	tests := []struct {
		name string
		fail func() error
		want verdict
	}{
		{"owner pauses and resumes", func() error {
			if err := f.Pause(owner); err != nil {
				return err
			}
			time.Sleep(time.Second)
			return f.Resume(owner)
		}, verdictWhole},
		{"engines restart", func() error {
			for _, e := range f.Configuration.Inventory.Endpoints {
				turn := coldTurn{For: 200 * time.Millisecond, NewIncarnation: true, Break: true}
				if err := f.Faults(f.ctx, e.ID, coldFault{turn}); err != nil {
					return err
				}
			}
			return nil
		}, verdictCut},
		{"owner is killed", func() error { return f.Kill(f.ctx, owner) }, verdictCut},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			f.awaitSpare(4)
			failed := make(chan error, 1)
			time.AfterFunc(untilFault, func() { failed <- test.fail() })
			name := strings.ReplaceAll(test.name, " ", "-")
			s := f.callAll(name, 8, streamTokens, true, 6*time.Second, "b-1", other, owner)
			c.Assert(<-failed, qt.IsNil)
			n := s.checkOwn(c)
			c.Check(n[test.want] > 0, qt.IsTrue, qt.Commentf("no reply is %s", test.want))
			f.checkOutcomes(c, s)
			f.checkOneAttempt(c, s)
		})
	}
}

// awaitSpare waits until n calls at once are answered.
func (f *traffic) awaitSpare(n int) {
	f.t.Helper()
	k := 0
	f.within(20*time.Second, "spare capacity", func() bool {
		k++
		s := f.callAll(fmt.Sprintf("spare-%d", k), n, 2, false, time.Second, "b-1")
		return count(s, (*reply).verdict)[verdictWhole] == n
	})
}

// checkOneAttempt checks that no engine receives another attempt of a stream
// that has begun to reach its caller.
func (f *traffic) checkOneAttempt(c *qt.C, s *replies) {
	c.Helper()
	begun := make(map[fescuelatch.RequestID]time.Time)
	for _, r := range s.all {
		if !r.begun.IsZero() {
			begun[r.request] = r.begun
		}
	}
	for _, e := range f.Configuration.Inventory.Endpoints {
		for _, r := range f.log(e.ID).Starts {
			at, ok := begun[r.Request()]
			c.Check(ok && r.At.After(at), qt.IsFalse, qt.Commentf("%s went on as %s", r.Request(), r.Attempt))
		}
	}
}
