// Package direct runs a daemon on a platform that registers the endpoints,
// keeps the deployment in its store, and balances callers over the daemons.
// Every daemon sends to every endpoint itself. The decisions are those of
// package decision with a gate that shares the endpoints with the other
// daemons.
//
// What a daemon believes comes from the store, which it follows, and from the
// endpoints' answers. While the store is away it goes on with what it knows.
package direct
