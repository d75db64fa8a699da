package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file ranks the members for an endpoint by rendezvous hashing, so that
// a member that leaves or returns moves only the endpoints for which it ranks
// first.

// rank orders members for endpoint e, the preferred owner first.
func rank(e fescuelatch.EndpointID, members []*member) []*member {
	weights := make(map[*member]uint64, len(members))
	for _, m := range members {
		weights[m] = weight(e, m.vm)
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b *member) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a.vm, b.vm))
	})
	return order
}

func weight(e fescuelatch.EndpointID, m fescuelatch.VMID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest do not fail. The separator makes pairs unambiguous.
	_, _ = d.WriteString(string(e))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(m))
	return d.Sum64()
}
