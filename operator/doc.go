// Package operator implements the operator API: the HTTP handlers of a daemon
// and the client used by the command line.
package operator
