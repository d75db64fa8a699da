package gate_test

import (
	"fmt"
	"time"

	"fescuelatch"
	"fescuelatch/gate"
)

func ExampleAdaptive() {
	g := gate.NewAdaptive(gate.Settings{})
	start := time.Unix(1_000_000, 0)
	g.SetOwned(start, []fescuelatch.OwnedEndpoint{owned("engine", 8, 1)})

	// The state of the endpoint is unknown yet, so it counts as cold.
	now := start.Add(time.Second)
	g.Report(now, fescuelatch.LoadReport{Endpoint: "engine", State: fescuelatch.EndpointWarm, Generated: now})
	fmt.Println(g.Offer(now, work("a", "large")).Verdict)
	fmt.Println(g.Offer(now, work("b", "large")).Verdict)

	// A later report is accepted, and work is admitted gradually.
	now = start.Add(3 * time.Second)
	g.Report(now, fescuelatch.LoadReport{Endpoint: "engine", State: fescuelatch.EndpointWarm, Running: 1, Generated: now})
	for _, a := range g.Poll(now.Add(2 * time.Second)) {
		fmt.Println(a.Attempt, a.Verdict, a.Endpoint)
	}
	d := g.Dump(now)[0]
	fmt.Println(d.Warm, d.Running, d.Others)
	// Output:
	// start
	// queue
	// b start engine
	// true 2 0
}
