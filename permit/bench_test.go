package permit_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"fescuelatch"
	"fescuelatch/permit"
)

// BenchmarkAllot measures what an allocator spends on one request: the order of its
// daemons and the permits.
func BenchmarkAllot(b *testing.B) {
	for _, daemons := range []int{8, 195, 1100} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			members := make(map[fescuelatch.VMID]fescuelatch.DomainID, daemons)
			for i := range daemons {
				members[fescuelatch.VMID(fmt.Sprintf("vm-%d", i))] = fescuelatch.DomainID(fmt.Sprint(i % 21))
			}
			a := permit.NewAllocator()
			now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
			q := permit.Request{From: "vm-1", Process: fescuelatch.EndpointProcess{Endpoint: "e"}, Want: 1, Limit: fescuelatch.RateLimit{Limited: true, PerSecond: 10}}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(20 * time.Millisecond)
				a.Allot(now, permit.OrderOf("e", "3", "vm-7", maps.All(members)).Position, q)
			}
		})
	}
}
