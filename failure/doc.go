// Package failure tests the guarantees of the router with fleets of real
// processes that are killed, paused, partitioned and stopped. The package
// contains only tests.
package failure
