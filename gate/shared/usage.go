package shared

import (
	"time"

	"fescuelatch"
	"fescuelatch/admission"
	"fescuelatch/usage"
)

// This file defines what the gate tells other daemons of the work of accounts, and what it
// learns from them.

// SharesUsage reports whether what other daemons did can change decisions: room may be short,
// or endpoints share their machines.
func (g *Gate) SharesUsage() bool { return g.settings.Contended || len(g.uneven) > 0 }

// Work returns the work that has been started lately for models short of room: that of all
// accounts, and that of a number of them.
func (g *Gate) Work(now time.Time, most int) (map[fescuelatch.ModelID]usage.Work, usage.ByAccount) {
	return g.contention.Work(now, most)
}

// SetOthers replaces what is known of the work at other daemons, as of a time, and returns the
// accounts that are found over their share by it.
func (g *Gate) SetOthers(now, at time.Time, t usage.Totals) []admission.Finding {
	return g.contention.SetOthers(now, at, t)
}
