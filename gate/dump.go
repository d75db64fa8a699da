package gate

import (
	"time"

	"fescuelatch"
)

// This file defines the dump of an adaptive gate's state.

// EndpointDump is the state of one owned endpoint at a gate.
type EndpointDump struct {
	Endpoint fescuelatch.EndpointID `json:"endpoint"`
	Warm     bool                   `json:"warm"`
	// Suspected reports that the endpoint reports warm but counts as cold.
	Suspected bool `json:"suspected,omitempty"`
	Leaving   bool `json:"leaving,omitempty"`
	Out       bool `json:"out,omitempty"`
	// Since is when the endpoint became warm or cold, or returned.
	Since    time.Time `json:"since"`
	Reported time.Time `json:"reported"`
	Share    float64   `json:"share"`
	Bound    int       `json:"bound"`
	Running  int       `json:"running"`
	Others   int       `json:"others"`
	// FirstToken is the usual latency of streams to the first token when
	// warm, WholeAnswer that of whole answers to their end.
	FirstToken  time.Duration `json:"first-token"`
	WholeAnswer time.Duration `json:"whole-answer"`
}

// Dump returns the state of all owned endpoints, ordered by endpoint.
func (g *Adaptive) Dump(now time.Time) []EndpointDump {
	ds := make([]EndpointDump, len(g.sorted))
	for i, e := range g.sorted {
		ds[i] = EndpointDump{
			Endpoint:    e.owned.Endpoint.ID,
			Warm:        e.warmth.warm(),
			Suspected:   e.warmth.suspected(),
			Leaving:     e.warmth.leaving(),
			Out:         e.owned.Out,
			Since:       e.warmth.since,
			Reported:    e.warmth.reported,
			Share:       e.share,
			Bound:       e.bound(now),
			Running:     len(e.running),
			Others:      e.others,
			FirstToken:  e.warmth.usual.streamed.mean,
			WholeAnswer: e.warmth.usual.whole.mean,
		}
	}
	return ds
}
