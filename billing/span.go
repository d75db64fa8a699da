package billing

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// This file defines sets of sequence numbers.

// span is the range of sequences from First to Last, inclusive.
type span struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// spans is a set of sequences as ordered, disjoint, non-adjacent ranges.
type spans []span

// UnmarshalJSON implements json.Unmarshaler and checks the order.
func (s *spans) UnmarshalJSON(b []byte) error {
	type plain spans
	if err := json.Unmarshal(b, (*plain)(s)); err != nil {
		return err
	}
	var last uint64
	for i, p := range *s {
		if p.First == 0 || p.First > p.Last || i > 0 && p.First <= last+1 {
			return errors.Errorf("span %d to %d is out of order", p.First, p.Last)
		}
		last = p.Last
	}
	return nil
}

// has reports whether n is in the set.
func (s spans) has(n uint64) bool {
	i := sort.Search(len(s), func(i int) bool { return s[i].Last >= n })
	return i < len(s) && s[i].First <= n
}

// with returns the union of the set and n.
func (s spans) with(n uint64) spans {
	if s.has(n) {
		return s
	}
	i := sort.Search(len(s), func(i int) bool { return s[i].First > n })
	joinsLeft := i > 0 && s[i-1].Last+1 == n
	joinsRight := i < len(s) && n+1 == s[i].First
	out := make(spans, 0, len(s)+1)
	out = append(out, s...)
	switch {
	case joinsLeft && joinsRight:
		out[i-1].Last = out[i].Last
		return append(out[:i], out[i+1:]...)
	case joinsLeft:
		out[i-1].Last = n
	case joinsRight:
		out[i].First = n
	default:
		out = append(out, span{})
		copy(out[i+1:], out[i:])
		out[i] = span{First: n, Last: n}
	}
	return out
}
