package intake

import (
	"errors"
	"io"

	"fescuelatch"
)

// This file defines the bodies of requests, which may have to be sent more than once.

const (
	// firstSegmentBytes bounds the first segment of a body whose length is announced, and
	// minSegmentBytes and maxSegmentBytes the later ones. A segment is not larger than all
	// before it, so that memory grows with what has arrived.
	firstSegmentBytes = 16 << 10
	minSegmentBytes   = 4 << 10
	maxSegmentBytes   = 64 << 10
)

// Body is a whole body. Its memory is reserved until it is released.
type Body struct {
	segments [][]byte
	length   int
	holding  *holding
}

// Incoming is a body to be read.
type Incoming struct {
	io.Reader
	// Announced is its length, or negative if it is not known.
	Announced int64
	// Limit is the longest that is read.
	Limit   int64
	Account fescuelatch.AccountID
	// Interrupt makes reads fail. It must not block.
	Interrupt func()
}

// Read reads a body whole. Its errors are of type *Error.
func (b *Budget) Read(in Incoming) (*Body, error) {
	if in.Announced > in.Limit {
		return nil, &Error{Op: "read body", Kind: ErrTooLarge}
	}
	k := new(Body)
	k.holding = b.open(KindBody, in.Account, func() {
		k.segments = nil
		in.Interrupt()
	})
	k.holding.announced = in.Announced
	err := k.readFrom(in)
	if !k.holding.complete() {
		return nil, &Error{"read body", ErrRefused, err, k.holding.returnAfter}
	}
	if err != nil {
		k.Release()
		return nil, err
	}
	return k, nil
}

func (k *Body) readFrom(in Incoming) error {
	var free []byte
	var last [1]byte
	at := -1   // the number of the segment that is being filled
	fresh := 0 // bytes since the arrival was last seen to go on
	for {
		if len(free) == 0 && int64(k.length) == in.Announced {
			free = last[:] // Only the end can follow.
		}
		if len(free) == 0 {
			size := k.nextSegment(in)
			if !k.holding.grow(size, func() {
				free = make([]byte, size)
				k.segments = append(k.segments, free)
			}) {
				return &Error{Op: "read body", Kind: ErrRefused}
			}
			at++
		}
		n, err := in.Read(free)
		free = free[n:]
		k.length += n
		if fresh += n; fresh >= minSegmentBytes {
			fresh = 0
			k.holding.goOn()
		}
		switch {
		case int64(k.length) > in.Limit || in.Announced >= 0 && int64(k.length) > in.Announced:
			return &Error{Op: "read body", Kind: ErrTooLarge}
		case errors.Is(err, io.EOF):
			return k.trim(at, len(free))
		case err != nil:
			return &Error{Op: "read body", Kind: ErrRead, Err: err}
		}
	}
}

// nextSegment returns the size of the next segment.
func (k *Body) nextSegment(in Incoming) int {
	size := min(max(k.length, minSegmentBytes), maxSegmentBytes)
	if in.Announced < 0 {
		return size
	}
	if k.length == 0 {
		size = firstSegmentBytes
	}
	return int(min(int64(size), in.Announced-int64(k.length)))
}

// trim cuts off what the last segment lacks.
func (k *Body) trim(at, unused int) error {
	b := k.holding.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if at >= 0 && at < len(k.segments) && k.length < k.capacity() {
		s := k.segments[at]
		k.segments[at] = s[:len(s)-unused]
	}
	return nil
}

func (k *Body) capacity() int {
	n := 0
	for _, s := range k.segments {
		n += len(s)
	}
	return n
}

// Release releases the memory of the body, which must not be used any more. It has no effect if
// there is no body.
func (k *Body) Release() {
	if k == nil || k.holding == nil {
		return
	}
	k.holding.release()
}

// Segments returns the body in parts, which must not be changed.
func (k *Body) Segments() [][]byte {
	if k == nil {
		return nil
	}
	return k.segments
}
