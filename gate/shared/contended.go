package shared

import "fescuelatch"

// This file defines for which versions the policies for scarce and uneven capacity are
// in force.

// contended reports whether the endpoints of v may be short of room, or differ in speed
// from moment to moment: the settings say so, or the endpoints share their machines.
func (g *Gate) contended(v fescuelatch.VersionID) bool {
	return g.settings.Contended || g.uneven[v.Model()]
}

// observeUneven records whether e reports with its load how long work takes there.
func (g *Gate) observeUneven(e *endpointLoad, reports bool) {
	if e.uneven != reports {
		e.uneven = reports
		g.refreshUneven()
	}
}

// refreshUneven updates the models of which a registered endpoint reports how long work takes.
func (g *Gate) refreshUneven() {
	clear(g.uneven)
	for _, e := range g.registered {
		if !e.uneven {
			continue
		}
		for _, v := range e.owned.Pool.Versions {
			g.uneven[v.Model()] = true
		}
	}
}
