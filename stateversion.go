package fescuelatch

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// This file defines StateVersion, by which daemons compare what they know of a store.

// StateVersion is a version of the known state of a store. The zero value is that of a
// daemon that does not tell it.
type StateVersion struct {
	// Era and Revision are those of the store up to which all changes are known.
	Era      int64
	Revision int64
	// Generation is that of the deployment in force, which outlives the era in which it
	// was read.
	Generation Generation
}

// IsZero reports whether v is unknown.
func (v StateVersion) IsZero() bool { return v == StateVersion{} }

// Covers reports whether a daemon at v knows all that led to o. A later era of the store reuses
// revisions.
func (v StateVersion) Covers(o StateVersion) bool {
	if v.Generation < o.Generation {
		return false
	}
	if v.Era != o.Era && v.Era != 0 && o.Era != 0 {
		return v.Era > o.Era
	}
	return v.Revision >= o.Revision
}

// Join returns the least version that covers both v and o.
func (v StateVersion) Join(o StateVersion) StateVersion {
	later := v
	if later.Generation = 0; !later.Covers(StateVersion{Era: o.Era, Revision: o.Revision}) {
		later = o
	}
	later.Generation = max(v.Generation, o.Generation)
	return later
}

// MarshalText implements encoding.TextMarshaler: "ERA.REVISION.GENERATION".
func (v StateVersion) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d.%d.%d", v.Era, v.Revision, v.Generation), nil
}

// UnmarshalText implements encoding.TextUnmarshaler and checks the numbers.
func (v *StateVersion) UnmarshalText(b []byte) error {
	const (
		op    = "decode state version"
		parts = 3
	)
	numbers := strings.Split(string(b), ".")
	if len(numbers) != parts {
		return &Error{op, KindInvalid, errors.Errorf("%.40q does not have %d numbers", b, parts)}
	}
	era, err := strconv.ParseInt(numbers[0], 10, 64)
	if err != nil || era < 0 {
		return &Error{op, KindInvalid, errors.Errorf("era %.20q is not a whole number", numbers[0])}
	}
	revision, err := strconv.ParseInt(numbers[1], 10, 64)
	if err != nil || revision < 0 {
		return &Error{op, KindInvalid, errors.Errorf("revision %.20q is not a whole number", numbers[1])}
	}
	generation, err := strconv.ParseUint(numbers[2], 10, 64)
	if err != nil {
		return &Error{op, KindInvalid, errors.Errorf("generation %.20q is not a whole number", numbers[2])}
	}
	*v = StateVersion{era, revision, Generation(generation)}
	return nil
}
