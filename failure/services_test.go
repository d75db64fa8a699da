package failure

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/fleet"
)

// This file tests crossed, late and lost answers of plain services.

const (
	serviceCalls   = 12
	serviceTimeout = time.Second
)

// TestServiceAnswersUnderFaults injects one kind of answer fault at a time into
// all services. Each caller must get the answer to its own request or a correct
// outcome of "unknown" or "not run", and no ban may run twice.
func TestServiceAnswersUnderFaults(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startFleet(t)
	warmUp(ctx, c, f)
	always, half := faults{"probability": 1.0}, faults{"probability": 0.5}
	tests := []struct {
		name   string
		faults faults
		// some is an outcome that some bans must have, none one that no ban may
		// have.
		some, none fescuelatch.Outcome
	}{
		{"all crossed", faults{"crossed": always}, fescuelatch.OutcomeUnknown, fescuelatch.OutcomeAnswered},
		{"some crossed", faults{"crossed": half}, fescuelatch.OutcomeAnswered, ""},
		{"late beyond the deadline", faults{"late": always, "late-by": 2 * serviceTimeout}, fescuelatch.OutcomeUnknown, fescuelatch.OutcomeAnswered},
		{"some late and crossed", faults{"late": half, "late-by": 2 * serviceTimeout, "crossed": half}, fescuelatch.OutcomeUnknown, ""},
		{"some cut", faults{"cut": half}, fescuelatch.OutcomeUnknown, ""},
		{"no fault any more", faults{}, fescuelatch.OutcomeAnswered, fescuelatch.OutcomeUnknown},
	}
	none := faults{"crossed": faults{"probability": 0}, "late": faults{"probability": 0}, "cut": faults{"probability": 0}}
	for n, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			for _, e := range []fescuelatch.EndpointID{"a-desk", "b-desk"} {
				c.Assert(f.Faults(ctx, e, none), qt.IsNil)
				c.Assert(f.Faults(ctx, e, test.faults), qt.IsNil)
			}
			u := newCallers(c, f)
			timeout := serviceTimeout
			if len(test.faults) == 0 {
				timeout *= 4
			}
			for k := range serviceCalls {
				m := onceVMs[k%len(onceVMs)]
				nonce := fmt.Sprintf("service-%d-%d", n, k)
				u.start(call{vm: m, nonce: "ban-" + nonce, key: "ban-" + nonce, operation: "ban", timeout: timeout})
				u.start(call{vm: m, nonce: "lookup-" + nonce, operation: "lookup", timeout: timeout})
			}
			rs := u.all()
			bans := make(map[fescuelatch.Outcome]int)
			for _, r := range rs {
				if r.key != "" {
					bans[r.outcome]++
				}
			}
			c.Check(bans[test.some] > 0, qt.IsTrue, qt.Commentf("no ban is %q: %v", test.some, bans))
			c.Check(test.none != "" && bans[test.none] > 0, qt.IsFalse, qt.Commentf("%v", bans))
			// Repeats the keys in the other failure domain after the late
			// answers have arrived.
			if test.faults["late"] != nil {
				time.Sleep(serviceTimeout)
			}
			for _, r := range rs {
				if r.key != "" {
					u.start(call{vm: otherVM(r.vm), nonce: r.nonce, key: r.key, operation: "ban", timeout: serviceTimeout})
				}
			}
			checkServices(ctx, c, u.all(), executions(ctx, c, f))
			c.Logf("%v, first attempts of bans %v", tally(u.all()), bans)
		})
	}
}

// otherVM returns the VM with the same number in the other failure domain.
func otherVM(m fescuelatch.VMID) fescuelatch.VMID {
	return fescuelatch.VMID(strings.NewReplacer("a", "b", "b", "a").Replace(string(m)))
}

func checkServices(ctx context.Context, c *qt.C, rs []*callReply, done map[string][]fleet.Execution) {
	c.Helper()
	c.Assert(ctx.Err(), qt.IsNil)
	ran := make(map[fescuelatch.RequestID]bool)
	for _, es := range done {
		for _, e := range es {
			request, _, _ := strings.Cut(string(e.Attempt), ".")
			ran[fescuelatch.RequestID(request)] = true
		}
	}
	for _, r := range rs {
		c.Check(r.outcome, qt.Not(qt.Equals), fescuelatch.Outcome(""), qt.Commentf("%s", r))
		c.Check(r.outcome == fescuelatch.OutcomeAnswered && !r.whole, qt.IsFalse, qt.Commentf("%s", r))
		c.Check(r.outcome == fescuelatch.OutcomeNotRun && ran[r.request], qt.IsFalse, qt.Commentf("%s", r))
		if r.key != "" {
			c.Check(len(done[r.key]) <= 1, qt.IsTrue, qt.Commentf("%s", r))
		}
	}
}
