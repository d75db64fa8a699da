// Package gate admits attempts to the endpoints that a daemon owns.
//
// Two implementations of fescuelatch.Gate are provided. Adaptive bounds the
// work at each endpoint by its observed capacity, detects cold starts and shares
// the slots fairly between client accounts. Fixed uses the configured slots in
// order of arrival and is the baseline that Adaptive is compared with.
//
// Both are single-threaded, read no clock and draw no random numbers.
package gate

import "fescuelatch"

var (
	_ fescuelatch.Gate = (*Adaptive)(nil)
	_ fescuelatch.Gate = (*Fixed)(nil)
)
