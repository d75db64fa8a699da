// Package rating simulates the service that rates answers.
package rating

// This file defines the marker of bad answers.

// Marker is the word that marks an answer as bad. The engine stand-in adds it
// to bad answers.
const Marker = "marker:bad"
