package chart_test

import (
	"fmt"

	"fescuelatch/chart"
)

func ExampleMachine_Fire() {
	m := chart.Request().New()
	fmt.Println(m.Fire(chart.EventPlan), m.State())
	fmt.Println(m.Fire(chart.EventAnswer), m.State())
	// Output:
	// <nil> planning
	// fire request: no-transition: event "answer" in state "planning" planning
}
