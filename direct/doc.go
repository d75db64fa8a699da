// Package direct runs a daemon on a platform that registers the endpoints,
// keeps the deployment in its store, and balances callers over the daemons.
// Every daemon sends requests to all endpoints directly. Package decision makes
// the decisions, with a gate that shares the endpoints with the other daemons.
//
// A daemon takes its state from the store, which it watches, and from the
// endpoints' answers. While the store is unavailable it continues with its last
// known state.
package direct
