// Package fescuelatch defines the domain types and the interfaces that every
// program of the router shares.
//
// The packages below it are layered and depend in one direction only:
//
//	fescuelatch            domain types, interfaces, configuration
//	fescuelatch/chart      state charts that are read from files
//	fescuelatch/quality    learned quality and health of versions
//	fescuelatch/cascade    choice of versions for a request
//	fescuelatch/rollout    how a service moves to a new release
//	fescuelatch/gate       admission to the endpoints that a daemon owns
//	fescuelatch/ownership  which daemon of a failure domain owns an endpoint
//	fescuelatch/decision   the pure decision core that joins the four above
//	fescuelatch/keyvalue   what works with any key-value service
//	fescuelatch/etcd       the client of such a service by etcd's JSON gateway
//	fescuelatch/platform   the adapter to the users' platform
//	fescuelatch/direct     the daemon on that platform
//	fescuelatch/engine, fescuelatch/service, fescuelatch/rating, fescuelatch/vmlist
//	                       clients of the systems that the router meets
//	fescuelatch/peer, fescuelatch/caller, fescuelatch/operator
//	                       the fronts of a daemon
//
// Libraries start no goroutines unless their documentation says so, read no
// clock and keep no global state: time and randomness are arguments.
package fescuelatch
