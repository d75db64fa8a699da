// Package delta encodes values against earlier ones, of which they differ little.
package delta

import (
	"crypto/sha256"
	"encoding/hex"
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Error kinds.
const (
	KindEncoder ErrorKind = "encoder"
	KindInvalid ErrorKind = "invalid"
)

// Error reports that operation Op failed for a reason of kind Kind.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Digest identifies a value.
type Digest [sha256.Size]byte

// Sum returns the digest of a value.
func Sum(value []byte) Digest { return sha256.Sum256(value) }

// String returns the beginning of the digest.
func (d Digest) String() string { return hex.EncodeToString(d[:4]) }

const (
	// dictionaryID marks values encoded against another one.
	dictionaryID = 1
	// maxWindow bounds the distance at which an encoder finds repetitions, and with it
	// the memory that it takes.
	maxWindow = 8 << 20
)

// Encode encodes a value against a base, or by itself when the base is empty.
func Encode(base, value []byte) ([]byte, error) {
	window := max(zstd.MinWindowSize, min(maxWindow, 1<<bits.Len(uint(len(base)+len(value)))))
	o := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window), zstd.WithZeroFrames(true),
	}
	if len(base) > 0 {
		o = append(o, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, o...)
	if err != nil {
		return nil, &Error{"encode", KindEncoder, errors.WithStack(err)}
	}
	return e.EncodeAll(value, nil), nil
}

// Decode decodes a value of at most limit bytes that was encoded against a base. The
// result is that value only if its digest is right: a wrong base may yield another one.
func Decode(base, encoded []byte, limit int) ([]byte, error) {
	const op = "decode"
	o := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(limit)), zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(base) > 0 {
		o = append(o, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, o...)
	if err != nil {
		return nil, &Error{op, KindInvalid, errors.WithStack(err)}
	}
	defer d.Close()
	value, err := d.DecodeAll(encoded, nil)
	if err != nil {
		return nil, &Error{op, KindInvalid, errors.WithStack(err)}
	}
	return value, nil
}
