package asynclog

import "bytes"

// This file defines which lines take precedence when the queue fills up.

var (
	warnLevel  = []byte(`"level":"WARN"`)
	errorLevel = []byte(`"level":"ERROR"`)
)

// aboveInfo reports whether a JSON line of package slog has a level above info.
// The level is near the start of the line.
func aboveInfo(line []byte) bool {
	head := line[:min(len(line), levelSearchBytes)]
	return bytes.Contains(head, warnLevel) || bytes.Contains(head, errorLevel)
}

// levelSearchBytes is the length of the prefix searched for the level.
const levelSearchBytes = 96
