package gate_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelatch"
	"fescuelatch/gate"
)

// This file checks invariants of an adaptive gate over random sequences of calls.

// gateModel is a caller's view of a gate.
type gateModel struct {
	gate    *gate.Adaptive
	now     time.Time
	next    int
	queued  map[fescuelatch.AttemptID]fescuelatch.Work
	running map[fescuelatch.AttemptID]fescuelatch.EndpointID
	at      map[fescuelatch.EndpointID]int
	owned   []fescuelatch.OwnedEndpoint
}

const (
	modelSlots = 4
	modelCold  = 2
)

// applyAdmissions checks decisions and applies them.
func (m *gateModel) applyAdmissions(t *rapid.T, as []fescuelatch.Admission) {
	for _, a := range as {
		w, ok := m.queued[a.Attempt]
		if !ok {
			t.Fatalf("decision on %s, which is not queued", a.Attempt)
		}
		delete(m.queued, a.Attempt)
		if a.Verdict == fescuelatch.AdmissionRefuse {
			continue
		}
		if w.Endpoint != "" && w.Endpoint != a.Endpoint {
			t.Fatalf("%s is bound to %s and starts at %s", a.Attempt, w.Endpoint, a.Endpoint)
		}
		m.running[a.Attempt] = a.Endpoint
		m.at[a.Endpoint]++
		m.checkStart(t, a)
	}
}

func (m *gateModel) checkStart(t *rapid.T, a fescuelatch.Admission) {
	for _, o := range m.owned {
		if o.Endpoint.ID != a.Endpoint {
			continue
		}
		if o.Out || m.now.Before(o.After) {
			t.Fatalf("%s starts at %s, which is closed", a.Attempt, a.Endpoint)
		}
		if n := m.at[a.Endpoint]; n > modelSlots {
			t.Fatalf("%d attempts run at %s", n, a.Endpoint)
		}
		return
	}
	t.Fatalf("%s starts at %s, which is not owned", a.Attempt, a.Endpoint)
}

func (m *gateModel) offer(t *rapid.T) {
	m.next++
	id := fmt.Sprint(m.next)
	w := work(id, fescuelatch.AccountID(fmt.Sprint("account-", rapid.IntRange(0, 3).Draw(t, "account"))))
	w.Request.Priority = fescuelatch.Priority(rapid.IntRange(-1, 1).Draw(t, "priority"))
	w.Share = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
	if d := rapid.IntRange(0, 20).Draw(t, "deadline"); d > 0 {
		w.Request.Deadline = m.now.Add(time.Duration(d) * time.Second)
	}
	if rapid.IntRange(0, 3).Draw(t, "bound") == 0 {
		w.Endpoint = "engine-0"
	}
	m.queued[w.Attempt] = w
	a := m.gate.Offer(m.now, w)
	if a.Verdict != fescuelatch.AdmissionQueue {
		m.applyAdmissions(t, []fescuelatch.Admission{a})
	}
}

func (m *gateModel) end(t *rapid.T) {
	id := fescuelatch.AttemptID(fmt.Sprint(rapid.IntRange(1, max(1, m.next)).Draw(t, "attempt")))
	r := fescuelatch.AttemptResult{Attempt: id, Version: testVersion}
	r.Status = rapid.SampledFrom([]fescuelatch.AttemptStatus{
		fescuelatch.AttemptAnswered, fescuelatch.AttemptBroken, fescuelatch.AttemptCancelled, fescuelatch.AttemptExpired, fescuelatch.AttemptNotStarted,
	}).Draw(t, "status")
	r.Total = time.Duration(rapid.IntRange(1, 3000).Draw(t, "total")) * time.Millisecond
	r.Overloaded = r.Status == fescuelatch.AttemptNotStarted
	delete(m.queued, id)
	if e, ok := m.running[id]; ok {
		delete(m.running, id)
		m.at[e]--
	}
	m.applyAdmissions(t, m.gate.End(m.now, r))
}

func (m *gateModel) report(t *rapid.T) {
	id := fescuelatch.EndpointID(fmt.Sprint("engine-", rapid.IntRange(0, 2).Draw(t, "engine")))
	m.applyAdmissions(t, m.gate.Report(m.now, fescuelatch.LoadReport{
		Endpoint:    id,
		Incarnation: fescuelatch.Incarnation(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "life"))),
		State: rapid.SampledFrom([]fescuelatch.EndpointState{
			fescuelatch.EndpointWarm, fescuelatch.EndpointWarm, fescuelatch.EndpointCold, fescuelatch.EndpointLeaving,
		}).Draw(t, "state"),
		Running:   rapid.IntRange(0, modelSlots).Draw(t, "running"),
		Generated: m.now,
	}))
}

func (m *gateModel) own(t *rapid.T) {
	m.owned = nil
	for i := range 3 {
		if rapid.IntRange(0, 3).Draw(t, "owned") == 0 {
			continue
		}
		o := owned(fmt.Sprint("engine-", i), modelSlots, modelCold)
		o.Share = rapid.SampledFrom([]float64{0, 0.5, 1, 1}).Draw(t, "share")
		o.After = m.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "after")) * time.Second)
		o.Out = rapid.IntRange(0, 4).Draw(t, "out") == 0
		m.owned = append(m.owned, o)
	}
	m.gate.SetOwned(m.now, m.owned)
}

// TestGateProperties checks that each attempt is decided once, that work starts only
// where it may, and that counts of work and slots are consistent.
func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{
			gate:    gate.NewAdaptive(settings),
			now:     epoch,
			queued:  make(map[fescuelatch.AttemptID]fescuelatch.Work),
			running: make(map[fescuelatch.AttemptID]fescuelatch.EndpointID),
			at:      make(map[fescuelatch.EndpointID]int),
		}
		m.own(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"end":    m.end,
			"report": m.report,
			"own":    m.own,
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "pass")) * time.Millisecond)
				m.applyAdmissions(t, m.gate.Poll(m.now))
			},
			"": func(t *rapid.T) {
				queued := 0
				for _, s := range m.gate.Spare(m.now) {
					queued += s.Queued
					if s.Free > s.Slots {
						t.Fatalf("more free slots than slots: %+v", s)
					}
				}
				if queued > settings.QueueLimit || queued > len(m.queued) {
					t.Fatalf("%d attempts are queued at the gate, %d in the model", queued, len(m.queued))
				}
			},
		})
		// Finally all queued work is refused or started.
		m.now = m.now.Add(time.Minute)
		m.gate.SetOwned(m.now, nil)
		m.owned = nil
		m.applyAdmissions(t, m.gate.Poll(m.now))
		if len(m.queued) > 0 {
			t.Fatalf("%d attempts were never decided", len(m.queued))
		}
	})
}
