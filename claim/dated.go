package claim

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// This file defines idempotency keys that say when they were drawn.

const (
	dateLayout = "2006-01-02"
	// maxZone is how long before midnight UTC a day begins somewhere.
	maxZone = 14 * time.Hour
)

// keyTime returns the earliest time at which a dated key can have been drawn.
// A claim that was made since then is kept until the key has expired. A key is
// dated when it is a version 7 UUID, or when it begins with a date and a
// slash, for example "2026-11-30/ban-4711".
func keyTime(key string) (time.Time, bool) {
	if day, _, ok := strings.Cut(key, "/"); ok {
		if t, err := time.Parse(dateLayout, day); err == nil {
			return t.Add(-maxZone), true
		}
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := u.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
