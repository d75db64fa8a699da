package daemon

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/peer"
)

// This file tests which daemons are chosen to hold copies of bills.

func TestSpreadOverDomains(t *testing.T) {
	tests := []struct {
		name   string
		vms    string // by rank; the first letter is the failure domain
		copies map[fescuelatch.DomainID]int
		want   string
	}{
		{"other domains first", "o1 a1 b1", nil, "a1 b1 o1"},
		{"two other domains", "a1 a2 b1 o1", nil, "a1 b1 o1 a2"},
		{"the own one before a second of another", "a1 a2 o1", nil, "a1 o1 a2"},
		{"by rank within", "b2 a1 b1 a2", nil, "b2 a1 b1 a2"},
		{"one has a copy", "a2 b1 o1", map[fescuelatch.DomainID]int{"a": 1}, "b1 o1 a2"},
		{"only the own one", "o1 o2", nil, "o1 o2"},
		{"nobody", "", nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			copies := make(map[fescuelatch.DomainID]int)
			for d, n := range test.copies {
				copies[d] = n
			}
			var hs []heard
			for _, vm := range strings.Fields(test.vms) {
				hs = append(hs, heard{hello: peer.Hello{VM: fescuelatch.VMID(vm), Domain: fescuelatch.DomainID(vm[:1])}})
			}
			var got []string
			for _, h := range spread(hs, "o", copies) {
				got = append(got, string(h.hello.VM))
			}
			c.Check(strings.Join(got, " "), qt.Equals, test.want)
		})
	}
}
