package asynclog

import "bytes"

// This file defines which lines are kept longer.

var (
	warning = []byte(`"level":"WARN"`)
	failure = []byte(`"level":"ERROR"`)
)

// important reports whether a JSON line of package slog is of a level above
// info. The level stands near the start of the line.
func important(line []byte) bool {
	head := line[:min(len(line), levelWithin)]
	return bytes.Contains(head, warning) || bytes.Contains(head, failure)
}

// levelWithin is the length in which the level of a line is found.
const levelWithin = 96
