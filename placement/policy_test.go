package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func own(id fescuelatch.EndpointID, spare int) fescuelatch.Target {
	return fescuelatch.Target{Endpoint: id, Local: true, Spare: spare, ReportedAt: epoch}
}

func local(id fescuelatch.VMID, spare int) fescuelatch.Target {
	return fescuelatch.Target{VM: id, Local: true, Spare: spare, ReportedAt: epoch}
}

func remote(id fescuelatch.VMID, spare int) fescuelatch.Target {
	return fescuelatch.Target{VM: id, Spare: spare, ReportedAt: epoch}
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name    string
		request fescuelatch.Request
		targets []fescuelatch.Target
		want    int
	}{
		{"no target", fescuelatch.Request{}, nil, none},
		{"own first", fescuelatch.Request{}, []fescuelatch.Target{remote("c", 90), local("b", 50), own("e1", 1)}, 2},
		{"own gate first", fescuelatch.Request{Prefix: 7}, []fescuelatch.Target{local("b", 50), {VM: "a", Own: true, Local: true, Spare: 1, ReportedAt: epoch}}, 1},
		{"own domain next", fescuelatch.Request{}, []fescuelatch.Target{remote("c", 90), local("b", 5), own("e1", 0)}, 1},
		{"elsewhere last", fescuelatch.Request{}, []fescuelatch.Target{remote("c", 90), local("b", 0), own("e1", 0)}, 0},
		{"no spare capacity: queue at an own endpoint", fescuelatch.Request{}, []fescuelatch.Target{remote("c", 0), own("e1", 0)}, 1},
		{"no spare capacity: queue in the own domain", fescuelatch.Request{}, []fescuelatch.Target{remote("c", 0), local("b", -9)}, 1},
		{"served only elsewhere: queue there", fescuelatch.Request{}, []fescuelatch.Target{remote("c", 0)}, 0},
		{"long queue elsewhere is not chosen", fescuelatch.Request{}, []fescuelatch.Target{remote("c", 0), remote("d", -5000)}, 0},
		{"forwarded is not forwarded again", fescuelatch.Request{Forwarded: true}, []fescuelatch.Target{remote("c", 90), local("b", 5), own("e1", 0)}, 2},
		{"forwarded without own endpoint", fescuelatch.Request{Forwarded: true}, []fescuelatch.Target{remote("c", 90), local("b", 5)}, none},
		{"sent attempts reduce spare capacity", fescuelatch.Request{}, []fescuelatch.Target{{VM: "b", Local: true, Spare: 3, Sent: 3, ReportedAt: epoch}, local("c", 1)}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p Policy
			for _, u := range []float64{0, 0.3, 0.6, 0.999} {
				qt.Assert(t, p.Choose(epoch, &test.request, test.targets, u), qt.Equals, test.want)
			}
		})
	}
}

func TestAffinity(t *testing.T) {
	c := qt.New(t)
	var p Policy
	targets := []fescuelatch.Target{own("e1", 2), own("e2", 2), own("e3", 2)}
	used := map[int]int{}
	for prefix := uint64(1); prefix <= 300; prefix++ {
		r := fescuelatch.Request{Prefix: prefix}
		first := p.Choose(epoch, &r, targets, 0.1)
		c.Assert(p.Choose(epoch.Add(time.Minute), &r, targets, 0.9), qt.Equals, first)
		used[first]++
		full := append([]fescuelatch.Target(nil), targets...)
		full[first].Spare = 0
		c.Assert(p.Choose(epoch, &r, full, 0.1), qt.Not(qt.Equals), first)
	}
	for i := range targets {
		c.Assert(used[i] > 60, qt.IsTrue, qt.Commentf("%v", used))
	}
}
