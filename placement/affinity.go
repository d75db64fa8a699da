package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines prefix affinity: rendezvous hashing of a prompt's prefix
// over the spots with spare capacity.

// affine returns the spot of the highest rendezvous score among those with
// enough spare capacity, or none. All daemons agree on the order of the same
// spots, and a spot that is short passes its prefixes on to different others.
//
// Several daemons send to spots that are not their own, and know of each
// other's sends with a lag only. A popular prefix is therefore shared there
// by the two spots of the highest scores, in proportion to their weights.
func (c *choice) affine(u float64) int {
	first, second := none, none
	highest, next := math.Inf(-1), math.Inf(-1)
	for i := range c.spots {
		if w := c.weight(i); w <= 0 || w < c.settings.AffinityFloor*c.mean {
			continue
		}
		switch s := score(c.request.Prefix, &c.spots[i]); {
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

// score returns the rendezvous score of a spot for a prefix.
func score(prefix uint64, s *fescuelatch.Spot) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name(s))
	return float64(d.Sum64()>>11) / (1 << 53)
}

// name identifies a spot.
func name(s *fescuelatch.Spot) string {
	if s.Endpoint != "" {
		return string(s.Endpoint)
	}
	return string(s.VM)
}
