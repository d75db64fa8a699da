package failure

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests that each caller gets its own complete answer or an error.

// faultCount is the number of answers that a fault still affects.
type faultCount struct {
	Next int `json:"next"`
}

// answerFaults are the faults of an engine's answers. The zero value clears
// all earlier faults.
type answerFaults struct {
	Late         faultCount    `json:"late"`
	LateBy       time.Duration `json:"late-by"`
	Twice        faultCount    `json:"twice"`
	Crossed      faultCount    `json:"crossed"`
	CrossedAfter int           `json:"crossed-after"`
	Cut          faultCount    `json:"cut"`
	CutAfter     int           `json:"cut-after"`
	ErrorAfter   faultCount    `json:"error-after"`
}

// unlimitedFaults exceeds the number of answers in any test.
const unlimitedFaults = 1 << 20

// callAll makes concurrent calls, spread over the VMs in round-robin order. A
// call that was not run is retried a few times, as callers do.
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
				r := f.send(&chatRequest{
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

// TestAnswersUnderFaults injects one answer fault at a time into all engines
// and checks that each reply is the caller's own complete answer or reports a
// failure. Where a fault is recoverable, some replies must be complete.
func TestAnswersUnderFaults(t *testing.T) {
	c := qt.New(t)
	f := startTraffic(t, 2, 2)
	vms := []fescuelatch.VMID{"a-1", "a-2", "b-1"}
	for _, m := range vms {
		f.awaitServing(m)
	}
	tests := []struct {
		name    string
		faults  answerFaults
		stream  bool
		timeout time.Duration
		// want is a verdict that at least one reply must have.
		want verdict
	}{
		{"no fault", answerFaults{}, true, 4 * time.Second, verdictWhole},
		{"stream cut", answerFaults{Cut: faultCount{unlimitedFaults}, CutAfter: 3}, true, 4 * time.Second, verdictWhole},
		{"some streams cut before text", answerFaults{Cut: faultCount{1}}, true, 4 * time.Second, verdictWhole},
		{"answer cut", answerFaults{Cut: faultCount{unlimitedFaults}}, false, 4 * time.Second, verdictFailed},
		{"stream crossed", answerFaults{Crossed: faultCount{unlimitedFaults}, CrossedAfter: 3}, true, 4 * time.Second, verdictCut},
		{"stream crossed from the start", answerFaults{Crossed: faultCount{unlimitedFaults}}, true, 4 * time.Second, verdictFailed},
		{"answer crossed", answerFaults{Crossed: faultCount{unlimitedFaults}}, false, 4 * time.Second, verdictFailed},
		{"some answers crossed", answerFaults{Crossed: faultCount{2}}, false, 4 * time.Second, verdictWhole},
		{"stream twice", answerFaults{Twice: faultCount{unlimitedFaults}}, true, 4 * time.Second, verdictWhole},
		{"answer twice", answerFaults{Twice: faultCount{unlimitedFaults}}, false, 4 * time.Second, verdictWhole},
		{"stream late", answerFaults{Late: faultCount{unlimitedFaults}, LateBy: 2 * time.Second}, true, time.Second, verdictFailed},
		{"answer late", answerFaults{Late: faultCount{unlimitedFaults}, LateBy: 2 * time.Second}, false, time.Second, verdictFailed},
		{"error after the run", answerFaults{ErrorAfter: faultCount{unlimitedFaults}}, true, 4 * time.Second, verdictFailed},
		{"no fault any more", answerFaults{}, false, 4 * time.Second, verdictWhole},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			for _, e := range f.Configuration.Inventory.Endpoints {
				c.Assert(f.Faults(f.ctx, e.ID, test.faults), qt.IsNil)
			}
			s := f.callAll(strings.ReplaceAll(test.name, " ", "-"), 9, 6, test.stream, test.timeout, vms...)
			n := s.checkVerdicts(c)
			c.Check(n[test.want] > 0, qt.IsTrue, qt.Commentf("no reply is %s", test.want))
			f.checkOutcomes(c, s)
		})
	}
}

// checkOutcomes checks the reported outcomes against the logs of the engines:
// a request with the outcome "not run" was not started, a complete reply is
// reported as answered, and any other as unknown unless the connection broke.
func (f *traffic) checkOutcomes(c *qt.C, s *replies) {
	c.Helper()
	started := make(map[fescuelatch.RequestID]int)
	for _, e := range f.Configuration.Inventory.Endpoints {
		for _, r := range f.endpointLog(e.ID).Starts {
			if !r.Started.IsZero() {
				started[r.Request()]++
			}
		}
	}
	for _, r := range s.all {
		switch {
		case r.outcome == fescuelatch.OutcomeNotRun:
			c.Check(started[r.request], qt.Equals, 0, qt.Commentf("%s was run but reported as not run", r.request))
		case r.done:
			c.Check(r.outcome, qt.Equals, fescuelatch.OutcomeAnswered)
		case r.err == nil:
			c.Check(r.outcome, qt.Equals, fescuelatch.OutcomeUnknown, qt.Commentf("%s %s", r.request, r.code))
		}
	}
}

// coldFault puts an engine into a cold start.
type coldFault struct {
	Cold coldStart `json:"cold"`
}

type coldStart struct {
	For            time.Duration `json:"for"`
	Unannounced    bool          `json:"unannounced"`
	NewIncarnation bool          `json:"new-incarnation"`
	Break          bool          `json:"break"`
}

// streamTokens is the length of a stream that outlasts faultDelay even on an
// otherwise idle engine.
const (
	streamTokens = 200
	faultDelay   = 400 * time.Millisecond
)

// TestStreamsWhenProcessesFail fails a process in the middle of streams. A
// stream must continue where it was or end as cut, without foreign text.
func TestStreamsWhenProcessesFail(t *testing.T) {
	c := qt.New(t)
	f := startTraffic(t, 2, 2)
	for _, m := range []fescuelatch.VMID{"a-1", "a-2", "b-1"} {
		f.awaitServing(m)
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
				start := coldStart{For: 200 * time.Millisecond, NewIncarnation: true, Break: true}
				if err := f.Faults(f.ctx, e.ID, coldFault{start}); err != nil {
					return err
				}
			}
			return nil
		}, verdictCut},
		{"owner is killed", func() error { return f.Kill(f.ctx, owner) }, verdictCut},
	}
	c.Run("callers give up", func(c *qt.C) {
		s := f.callAll("given-up", 4, 2*streamTokens, true, faultDelay, other, owner)
		n := s.checkVerdicts(c)
		c.Check(n[verdictCut] > 0, qt.IsTrue)
		// Uncanceled streams would run for at least another second; load
		// reports lag by 200 ms.
		time.Sleep(2 * reportLag)
		for _, e := range f.Configuration.Inventory.Endpoints {
			c.Check(f.runningAt(e), qt.Equals, 0, qt.Commentf("%s still runs attempts that no caller waits for", e.ID))
		}
	})
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			f.awaitCapacity(4)
			failed := make(chan error, 1)
			time.AfterFunc(faultDelay, func() { failed <- test.fail() })
			name := strings.ReplaceAll(test.name, " ", "-")
			s := f.callAll(name, 8, streamTokens, true, 6*time.Second, "b-1", other, owner)
			c.Assert(<-failed, qt.IsNil)
			n := s.checkVerdicts(c)
			c.Check(n[test.want] > 0, qt.IsTrue, qt.Commentf("no reply is %s", test.want))
			f.checkOutcomes(c, s)
			f.checkOneAttempt(c, s)
		})
	}
}

// reportLag is the delay of the engines' load reports.
const reportLag = 200 * time.Millisecond

// runningAt returns the number of running attempts that an engine reports.
func (f *traffic) runningAt(e fescuelatch.Endpoint) int {
	f.t.Helper()
	resp, err := f.http.Get("http://" + e.Address.String() + "/load")
	qt.Assert(f.t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	var r fescuelatch.LoadReport
	qt.Assert(f.t, json.NewDecoder(resp.Body).Decode(&r), qt.IsNil)
	return r.Running
}

// awaitCapacity waits until n concurrent calls are all answered.
func (f *traffic) awaitCapacity(n int) {
	f.t.Helper()
	k := 0
	f.waitFor(20*time.Second, "spare capacity", func() bool {
		k++
		s := f.callAll(fmt.Sprintf("spare-%d", k), n, 2, false, time.Second, "b-1")
		return count(s, (*reply).verdict)[verdictWhole] == n
	})
}

// checkOneAttempt checks that no engine receives another attempt of a stream
// after its first text has reached the caller.
func (f *traffic) checkOneAttempt(c *qt.C, s *replies) {
	c.Helper()
	begun := make(map[fescuelatch.RequestID]time.Time)
	for _, r := range s.all {
		if !r.firstText.IsZero() {
			begun[r.request] = r.firstText
		}
	}
	for _, e := range f.Configuration.Inventory.Endpoints {
		for _, r := range f.endpointLog(e.ID).Starts {
			at, ok := begun[r.Request()]
			c.Check(ok && r.At.After(at), qt.IsFalse, qt.Commentf("%s was retried as %s after its first text", r.Request(), r.Attempt))
		}
	}
}
