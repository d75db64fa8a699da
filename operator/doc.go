// Package operator is the front that operators use: the HTTP handlers of a
// daemon and the client of the command line.
package operator
