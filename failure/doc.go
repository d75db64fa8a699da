// Package failure tests the promises of the router against fleets of real
// processes while these are killed, paused, separated and stopped. It holds
// only tests.
package failure
