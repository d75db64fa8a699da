package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"fescuelatch"
	"fescuelatch/direct"
)

// This file defines where the explanations of several daemons differ. Endpoints that were chosen
// are not compared, as each daemon prefers those of its failure domain and draws.

// difference is something on which daemons do not agree.
type difference struct {
	Subject string       `json:"subject"`
	Values  []valueTotal `json:"values"`
}

// valueTotal is a value with the daemons that hold it.
type valueTotal struct {
	Value   string             `json:"value"`
	Daemons []fescuelatch.VMID `json:"daemons"`
}

// subjects returns what is compared of an explanation.
func subjects(x *direct.Explanation) map[string]string {
	values := map[string]string{
		"generation": fmt.Sprint(x.Generation), "verdict": string(x.Verdict), "reason": x.Reason, "cause": string(x.Cause),
		"plan": fmt.Sprint(x.Plan), "session release": string(x.Bound), "blocks": fmt.Sprint(len(x.Blocks)),
	}
	for id, r := range x.Rollouts {
		values["roll-out of "+string(id)] = fmt.Sprintf("%s to %s, share %.2f", r.State, r.Release, r.Share)
	}
	for _, v := range x.Versions {
		values["version "+string(v.Version)] = string(v.Excluded)
	}
	for i := range x.Choices {
		for _, o := range x.Choices[i].Candidates {
			values["endpoint "+string(o.Endpoint)] = string(o.Excluded)
		}
	}
	return values
}

// differences returns the subjects of which the daemons' values differ, in order.
func differences(answers []daemonAnswer) []difference {
	held := make(map[string]map[string][]fescuelatch.VMID)
	for _, a := range answers {
		if a.Explanation == nil {
			continue
		}
		for subject, value := range subjects(a.Explanation) {
			if held[subject] == nil {
				held[subject] = make(map[string][]fescuelatch.VMID)
			}
			held[subject][value] = append(held[subject][value], a.VM)
		}
	}
	all := []difference{}
	for _, subject := range slices.Sorted(maps.Keys(held)) {
		if len(held[subject]) < 2 {
			continue
		}
		d := difference{Subject: subject}
		for value, vms := range held[subject] {
			d.Values = append(d.Values, valueTotal{value, vms})
		}
		slices.SortFunc(d.Values, func(a, b valueTotal) int {
			return cmp.Or(cmp.Compare(len(b.Daemons), len(a.Daemons)), cmp.Compare(a.Value, b.Value))
		})
		all = append(all, d)
	}
	return all
}
