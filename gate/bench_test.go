package gate_test

import (
	"fmt"
	"testing"
	"time"

	"fescuelatch"
	"fescuelatch/gate"
)

// This file measures the cost of a request at a gate that owns all endpoints of a
// large failure domain.

const benchEndpoints = 167

func BenchmarkOfferEndAdaptive(b *testing.B) {
	benchmarkOfferEnd(b, gate.NewAdaptive(gate.Settings{}))
}

func BenchmarkOfferEndFixed(b *testing.B) { benchmarkOfferEnd(b, new(gate.Fixed)) }

func benchmarkOfferEnd(b *testing.B, g fescuelatch.Gate) {
	var os []fescuelatch.OwnedEndpoint
	for i := range benchEndpoints {
		os = append(os, owned(fmt.Sprint("engine-", i), 8, 2))
	}
	g.SetOwned(epoch, os)
	now := at(time.Minute)
	w := work("attempt", "large")
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if a := g.Offer(now, w); a.Verdict != fescuelatch.AdmissionStart {
			b.Fatal(a)
		}
		g.FirstToken(now, w.Attempt)
		g.End(now, fescuelatch.AttemptResult{
			Attempt: w.Attempt, Version: testVersion, Status: fescuelatch.AttemptAnswered, Total: time.Second,
		})
	}
}

// BenchmarkPollQueue polls a gate with a full queue and busy endpoints.
func BenchmarkPollQueue(b *testing.B) {
	g := gate.NewAdaptive(gate.Settings{})
	g.SetOwned(epoch, []fescuelatch.OwnedEndpoint{owned("engine", 1, 1)})
	now := at(time.Minute)
	for i := range 512 {
		g.Offer(now, work(fmt.Sprint(i), fescuelatch.AccountID(fmt.Sprint("account-", i%10))))
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		g.Poll(now)
	}
}
