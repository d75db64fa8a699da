package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines prefix affinity: rendezvous hashing of a prompt's prefix
// over the spots with spare capacity.

// affine returns the spot of the highest rendezvous score. All daemons agree
// on the order of the same spots, and a spot that is full passes its prefixes
// on to different others.
func (c *choice) affine() int {
	chosen, highest := none, math.Inf(-1)
	for i := range c.spots {
		if c.spare(i) <= 0 {
			continue
		}
		if s := score(c.request.Prefix, &c.spots[i]); s > highest {
			chosen, highest = i, s
		}
	}
	return chosen
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
