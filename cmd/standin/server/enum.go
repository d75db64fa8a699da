package server

import (
	"fmt"
	"slices"
)

// This file defines the decoding of enumerated values.

// DecodeOneOf sets v to text if text is one of the allowed values.
func DecodeOneOf[T ~string](v *T, text []byte, allowed ...T) error {
	t := T(text)
	if !slices.Contains(allowed, t) {
		return &Error{Op: "decode", Kind: KindInvalid, Err: fmt.Errorf("%q is not one of %q", t, allowed)}
	}
	*v = t
	return nil
}
