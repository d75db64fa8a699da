// Package egress decides whether work leaves its failure domain, and how much of it.
// Traffic between failure domains is slower and costs money, while the endpoints at home
// may be too few.
//
// Prices compare the money of a crossing with the time that it saves, Sizes estimates the
// bytes of a request and its answer, and Share is the part of the work that home has no
// room for. All of it is pure: time is passed in, and nothing is sent.
package egress
