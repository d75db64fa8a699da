package chart

import "testing"

// BenchmarkInterpreter measures the library without the table, to compare with
// BenchmarkRequest.
func BenchmarkInterpreter(b *testing.B) {
	present := RequestReceived
	m := Request().interpreter(&present)
	b.ReportAllocs()
	for b.Loop() {
		present = RequestReceived
		for _, e := range []Event{EventPlan, EventQueue, EventDispatch, EventAnswer} {
			if err := m.Fire(e); err != nil {
				b.Fatal(err)
			}
		}
	}
}
