package fescuelatch

import (
	"net/netip"
	"time"
)

// This file defines the rate limits that endpoints name.

// RateLimit is the rate of requests that an endpoint accepts from all daemons
// together. The zero value means any rate.
type RateLimit struct {
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"per-second"`
}

// LimitStatement is an endpoint's statement on its rate limit and the time at which
// it held.
type LimitStatement struct {
	Limit RateLimit
	At    time.Time
}

// EndpointProcess identifies one process of an endpoint.
type EndpointProcess struct {
	Endpoint EndpointID
	// Started distinguishes successive processes at the endpoint.
	Started int64
	Address netip.AddrPort
}
