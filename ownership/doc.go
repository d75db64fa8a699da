// Package ownership decides which daemon of a failure domain owns an
// endpoint. Only the owner sends work to the endpoint; the others forward.
//
// A Table is the state machine of one daemon. Daemons exchange heartbeats
// and acknowledgements, which the caller transports. The protocol and its
// reasons are described in docs/design/ownership.md.
//
// A Table is single-threaded, reads no clock and does no input or output.
// All times come from the monotonic clock of the daemon's own process;
// clocks of different daemons are never compared. After each input, and
// before it sends a reply, the caller passes Owned to its gate.
package ownership
