// Package fescuelatch defines the domain types and the interfaces that every
// program of the router shares.
//
// The packages below it are layered and depend in one direction only:
//
//	fescuelatch            domain types, interfaces, configuration
//	fescuelatch/chart      state charts that are read from files
//	fescuelatch/quality    learned quality and health of versions
//	fescuelatch/cascade    selection of versions for a request
//	fescuelatch/rollout    migration of a service to a new release
//	fescuelatch/gate       admission to the endpoints that a daemon owns
//	fescuelatch/ownership  assignment of endpoints to daemons of a failure domain
//	fescuelatch/decision   the pure decision core that combines the packages above
//	fescuelatch/keyvalue   helpers for any key-value service
//	fescuelatch/etcd       key-value client for etcd's JSON gateway
//	fescuelatch/platform   the adapter to the users' platform
//	fescuelatch/direct     the daemon on that platform
//	fescuelatch/engine, fescuelatch/service, fescuelatch/rating, fescuelatch/vmlist
//	                       clients of external systems
//	fescuelatch/peer, fescuelatch/caller, fescuelatch/operator
//	                       the servers of a daemon
//
// Libraries start no goroutines unless their documentation says so, read no
// clock and keep no global state: time and randomness are arguments.
package fescuelatch
