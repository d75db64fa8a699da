// Package rating stands for the service that rates answers.
package rating

// This file defines how an answer shows whether it is good.

// Marker is the word that makes an answer bad. Stand-ins of engines put it
// into bad answers.
const Marker = "marker:bad"
