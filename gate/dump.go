package gate

import (
	"time"

	"fescuelatch"
)

// This file defines the dump of an adaptive gate's state.

// EndpointDump is what a gate knows of one owned endpoint.
type EndpointDump struct {
	Endpoint fescuelatch.EndpointID `json:"endpoint"`
	Warm     bool                   `json:"warm"`
	// Suspected reports that the endpoint counts as cold against its word.
	Suspected bool `json:"suspected,omitempty"`
	Leaving   bool `json:"leaving,omitempty"`
	Out       bool `json:"out,omitempty"`
	// Since is when the endpoint became warm or cold, or came back.
	Since    time.Time `json:"since"`
	Reported time.Time `json:"reported"`
	Share    float64   `json:"share"`
	Bound    int       `json:"bound"`
	Running  int       `json:"running"`
	Others   int       `json:"others"`
	// FirstToken is the usual latency to the first token of streams when
	// warm, WholeAnswer that of whole answers to their end.
	FirstToken  time.Duration `json:"first-token"`
	WholeAnswer time.Duration `json:"whole-answer"`
}

// Dump returns the state of all owned endpoints, ordered by endpoint.
func (g *Adaptive) Dump(now time.Time) []EndpointDump {
	ds := make([]EndpointDump, len(g.sorted))
	for i, p := range g.sorted {
		ds[i] = EndpointDump{
			Endpoint:    p.owned.Endpoint.ID,
			Warm:        p.warmth.warm(),
			Suspected:   p.warmth.suspected(),
			Leaving:     p.warmth.leaving(),
			Out:         p.owned.Out,
			Since:       p.warmth.since,
			Reported:    p.warmth.reported,
			Share:       p.share,
			Bound:       p.bound(now),
			Running:     len(p.running),
			Others:      p.others,
			FirstToken:  p.warmth.usual.streamed.mean,
			WholeAnswer: p.warmth.usual.whole.mean,
		}
	}
	return ds
}
