package direct

import (
	"context"
	"time"

	"fescuelatch"
	"fescuelatch/egress"
	"fescuelatch/gate/shared"
	"fescuelatch/internal/pause"
)

// This file defines what operators see of the work that leaves its failure domain.

// departureInterval is the interval at which the work that leaves is reported. It bounds the
// log lines: one for each version.
const departureInterval = time.Second

// reportDepartures reports which work leaves its failure domain until ctx ends.
func (d *Daemon) reportDepartures(ctx context.Context) {
	known := make(map[fescuelatch.VersionID]shared.Departure)
	for d.options.Prices != nil && pause.For(ctx, departureInterval) {
		d.mu.Lock()
		all := d.gate.Departures()
		d.mu.Unlock()
		current := make(map[fescuelatch.VersionID]shared.Departure, len(all))
		for _, p := range all {
			current[p.Version] = p
			d.reportDeparture(p, known[p.Version])
			delete(known, p.Version)
		}
		for _, p := range known {
			d.metrics.updateDeparture(shared.Departure{Version: p.Version}, p)
		}
		known = current
	}
}

// reportDeparture updates the metrics of a version, and logs the reason if it has changed.
func (d *Daemon) reportDeparture(p, previous shared.Departure) {
	d.metrics.updateDeparture(p, previous)
	if p.Reason == previous.Reason || previous.Reason == "" && p.Reason == egress.ReasonRoom {
		return
	}
	shares := make(map[fescuelatch.DomainID]float64, len(p.Parts))
	for _, s := range p.Parts {
		shares[s.Domain] = s.Share
	}
	d.log.Info("reason for leaving the failure domain changed", "version", p.Version, "reason", p.Reason, "previous", previous.Reason,
		"busy", p.Home.Busy, "slots", p.Home.Slots, "shares", shares)
}

// recordTraffic records the traffic of an attempt at an endpoint.
func (t *attempt) recordTraffic(r fescuelatch.AttemptResult) {
	if t.delegate != "" || t.transferred == 0 {
		return
	}
	d := t.request.daemon
	d.mu.Lock()
	to := d.gate.Transferred(t.start.Attempt, t.transferred, r.Status == fescuelatch.AttemptAnswered)
	d.mu.Unlock()
	if to != "" {
		d.metrics.countCrossing(to, t.transferred)
	}
}
