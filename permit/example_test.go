package permit_test

import (
	"fmt"
	"maps"
	"time"

	"fescuelatch"
	"fescuelatch/permit"
)

func ExampleAllocator() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	limit := fescuelatch.RateLimit{Limited: true, PerSecond: 1}
	a := permit.NewAllocator()
	for i, vm := range []fescuelatch.VMID{"vm-1", "vm-2", "vm-1", "vm-2"} {
		now = now.Add(time.Second)
		r := a.Allot(now, 0, permit.Request{From: vm, Process: fescuelatch.EndpointProcess{Endpoint: "e"}, Want: 1, Limit: limit})
		fmt.Println(i, vm, r.Permits)
	}
	// Output:
	// 0 vm-1 0
	// 1 vm-2 0
	// 2 vm-1 1
	// 3 vm-2 1
}

func ExampleOrderOf() {
	members := map[fescuelatch.VMID]fescuelatch.DomainID{"vm-1": "a", "vm-2": "b", "vm-3": "b", "vm-4": "c"}
	for _, self := range []fescuelatch.VMID{"vm-1", "vm-2", "vm-3"} {
		o := permit.OrderOf("e", "b", self, maps.All(members))
		fmt.Println(o.Allocators, o.Position, o.Daemons)
	}
	// Output:
	// [vm-2 vm-3] 3 4
	// [vm-2 vm-3] 0 4
	// [vm-2 vm-3] 1 4
}
