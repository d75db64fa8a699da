package gate

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

// This file tests the sum of the free capacity of endpoints.

func TestSpareTable(t *testing.T) {
	small := fescuelatch.Pool{ID: "small", Versions: []fescuelatch.VersionID{"m@2", "m@1"}}
	large := fescuelatch.Pool{ID: "large", Versions: []fescuelatch.VersionID{"m@2"}}
	desk := fescuelatch.Pool{ID: "desk", Service: "desk"}
	type endpoint struct {
		pool        fescuelatch.Pool
		slots, free int
	}
	tests := []struct {
		name      string
		endpoints []endpoint
		queued    map[target]int
		want      []fescuelatch.Spare
	}{
		{"none", nil, nil, []fescuelatch.Spare{}},
		{"one pool", []endpoint{{small, 4, 1}, {small, 4, 2}}, nil, []fescuelatch.Spare{
			{Version: "m@1", Free: 3, Slots: 8},
			{Version: "m@2", Free: 3, Slots: 8},
		}},
		{"pools that share a version", []endpoint{{large, 10, 5}, {small, 4, 1}, {desk, 2, 2}, {large, 10, 0}}, nil, []fescuelatch.Spare{
			{Service: "desk", Free: 2, Slots: 2},
			{Version: "m@1", Free: 1, Slots: 4},
			{Version: "m@2", Free: 6, Slots: 24},
		}},
		{
			"queued work counts once",
			[]endpoint{{large, 1, -1}, {small, 1, 0}},
			map[target]int{{version: "m@2"}: 3, {version: "gone"}: 9},
			[]fescuelatch.Spare{
				{Version: "m@1", Slots: 1},
				{Version: "m@2", Slots: 2, Queued: 3},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var s spareTable
			for _, e := range test.endpoints {
				s.addSlots(e.pool, e.slots, e.free)
			}
			for k, n := range test.queued {
				s.addQueued(k, n)
			}
			c.Assert(s.list(), qt.DeepEquals, test.want)
		})
	}
}
