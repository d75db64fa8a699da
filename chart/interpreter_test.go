package chart

import "testing"

// BenchmarkInterpreter measures the stateless library without the transition
// table, for comparison with BenchmarkRequest.
func BenchmarkInterpreter(b *testing.B) {
	current := RequestReceived
	m := Request().interpreter(&current)
	b.ReportAllocs()
	for b.Loop() {
		current = RequestReceived
		for _, e := range []Event{EventPlan, EventQueue, EventDispatch, EventAnswer} {
			if err := m.Fire(e); err != nil {
				b.Fatal(err)
			}
		}
	}
}
