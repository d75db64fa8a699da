package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines prefix affinity: rendezvous hashing of prompt prefixes over
// the targets with spare capacity.

// affinityTarget returns the target with the highest rendezvous score among those
// with enough spare capacity, or none. All daemons rank targets equally, and the
// prefixes of a target without capacity spread over the others.
//
// Other daemons' targets are shared by several senders, which see each other's
// attempts only with a lag. A popular prefix is therefore split there between
// the two targets with the highest scores, in proportion to weight.
func (c *choice) affinityTarget(u float64) int {
	first, second := none, none
	highest, next := math.Inf(-1), math.Inf(-1)
	for i := range c.targets {
		if w := c.weight(i); w <= 0 || w < c.settings.AffinityFloor*c.mean {
			continue
		}
		switch s := score(c.request.Prefix, &c.targets[i]); {
		case s > highest:
			second, next = first, highest
			first, highest = i, s
		case s > next:
			second, next = i, s
		}
	}
	if c.tier == tierOwn || second == none {
		return first
	}
	if a, b := c.weight(first), c.weight(second); u*(a+b) >= a {
		return second
	}
	return first
}

// score returns the rendezvous score of a target for a prefix, in [0, 1).
func score(prefix uint64, s *fescuelatch.Target) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(targetID(s))
	return float64(d.Sum64()>>11) / (1 << 53)
}

// targetID returns the identifier of a target.
func targetID(s *fescuelatch.Target) string {
	if s.Endpoint != "" {
		return string(s.Endpoint)
	}
	return string(s.VM)
}
