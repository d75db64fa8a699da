package daemon

import (
	"github.com/uber-go/tally/v4"

	"fescuelatch/peer"
)

// This file defines the metrics of what a daemon sends and receives. Control
// traffic is counted apart from the data of requests, because only the
// former has a budget that does not grow with the requests.

// TrafficKind names connections of one kind in metrics.
type TrafficKind string

// Kinds of connections. Data carries requests and their answers, to
// endpoints and to daemons that they are forwarded to.
const (
	TrafficPeer     TrafficKind = "peer"
	TrafficPlatform TrafficKind = "platform"
	TrafficList     TrafficKind = "list"
	TrafficRating   TrafficKind = "rating"
	TrafficReport   TrafficKind = "report"
	TrafficData     TrafficKind = "data"
)

// ControlTraffic returns the counters of control connections of one kind.
func ControlTraffic(s tally.Scope, k TrafficKind) peer.Traffic {
	return traffic(s, "control", k)
}

// DataTraffic returns the counters of the connections that carry requests.
func DataTraffic(s tally.Scope) peer.Traffic { return traffic(s, "requests", TrafficData) }

func traffic(s tally.Scope, class string, k TrafficKind) peer.Traffic {
	t := s.Tagged(map[string]string{"kind": string(k)})
	return peer.Traffic{Sent: t.Counter(class + "_bytes_sent"), Received: t.Counter(class + "_bytes_received")}
}
