package daemon

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/peer"
)

// This file tests the selection of daemons that hold copies of bills.

func TestSpreadOverDomains(t *testing.T) {
	tests := []struct {
		name   string
		vms    string // by rank; the first letter is the failure domain
		copies map[fescuelatch.DomainID]int
		want   string
	}{
		{"other domains first", "o1 a1 b1", nil, "a1 b1 o1"},
		{"two other domains", "a1 a2 b1 o1", nil, "a1 b1 o1 a2"},
		{"own domain before a second copy elsewhere", "a1 a2 o1", nil, "a1 o1 a2"},
		{"by rank within a domain", "b2 a1 b1 a2", nil, "b2 a1 b1 a2"},
		{"one domain has a copy", "a2 b1 o1", map[fescuelatch.DomainID]int{"a": 1}, "b1 o1 a2"},
		{"only the own domain", "o1 o2", nil, "o1 o2"},
		{"no daemons", "", nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			copies := make(map[fescuelatch.DomainID]int)
			for d, n := range test.copies {
				copies[d] = n
			}
			var hs []peerState
			for _, vm := range strings.Fields(test.vms) {
				hs = append(hs, peerState{hello: peer.Hello{VM: fescuelatch.VMID(vm), Domain: fescuelatch.DomainID(vm[:1])}})
			}
			var got []string
			for _, h := range spread(hs, "o", copies) {
				got = append(got, string(h.hello.VM))
			}
			c.Check(strings.Join(got, " "), qt.Equals, test.want)
		})
	}
}

func TestCopiesThatCount(t *testing.T) {
	tests := []struct {
		name     string
		eligible string // failure domains
		copies   string // failure domains that already have a copy
		held     string // new holders; the first letter is the failure domain
		want     string
	}{
		{"two failure domains", "a b", "", "a1 b1", "a1 b1"},
		{"both in one domain, no reply from the other", "a b", "", "b1 b2", "b1"},
		{"second copy in the same domain", "a b", "b", "b2", ""},
		{"second copy in another domain", "a b", "b", "a1", "a1"},
		{"only one failure domain", "b", "", "b1 b2", "b1 b2"},
		{"all failure domains have a copy", "a b", "a", "b1 b2", "b1 b2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			copies := make(map[fescuelatch.DomainID]int)
			for _, d := range strings.Fields(test.copies) {
				copies[fescuelatch.DomainID(d)]++
			}
			var eligible []fescuelatch.DomainID
			for _, d := range strings.Fields(test.eligible) {
				eligible = append(eligible, fescuelatch.DomainID(d))
			}
			var r holdResult
			for _, vm := range strings.Fields(test.held) {
				r.add(peer.Hello{Incarnation: fescuelatch.Incarnation(vm), Domain: fescuelatch.DomainID(vm[:1])}, nil)
			}
			got, err := r.get(len(r.holders), copies, eligible)
			c.Assert(err, qt.IsNil)
			var names []string
			for _, i := range got {
				names = append(names, string(i))
			}
			c.Check(strings.Join(names, " "), qt.Equals, test.want)
		})
	}
}
