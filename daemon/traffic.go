package daemon

import (
	"github.com/uber-go/tally/v4"

	"fescuelatch/peer"
)

// This file defines the traffic metrics of a daemon. Control traffic is counted
// apart from request data, because only control traffic has a budget that does
// not grow with the requests.

// TrafficKind is the kind of a connection in metrics.
type TrafficKind string

// Kinds of connections. TrafficData carries requests and answers, to and from
// endpoints and daemons that requests are forwarded to.
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
