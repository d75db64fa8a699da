package claim

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// This file defines idempotency keys that contain their creation time.

const (
	dateLayout = "2006-01-02"
	// maxZoneOffset is the largest time zone offset east of UTC.
	maxZoneOffset = 14 * time.Hour
)

// keyTime returns the earliest time at which a dated key can have been created.
// A claim made since then is stored until the key has expired. A key is dated
// when it is a version 7 UUID, or when it begins with a date and a slash, for
// example "2026-11-30/ban-4711".
func keyTime(key string) (time.Time, bool) {
	if day, _, ok := strings.Cut(key, "/"); ok {
		if t, err := time.Parse(dateLayout, day); err == nil {
			return t.Add(-maxZoneOffset), true
		}
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := u.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
