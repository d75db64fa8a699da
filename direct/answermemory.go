package direct

import (
	"sync/atomic"

	"fescuelatch/internal/intake"
)

// This file defines the memory that the answers of endpoints to a request take.

// freeAnswerBytes is the memory of an answer that does not count. Most answers need less.
const freeAnswerBytes = 16 << 10

// answerBuffer is a buffer for the answer to a request. Its memory is reserved until the
// request has ended, or it is released.
type answerBuffer struct {
	memory   *intake.Budget
	reserved atomic.Int64 // of all buffers of the request
}

// grow reserves the memory by which a buffer grows, and reports whether there is enough.
func (b *answerBuffer) grow(from, to int) bool {
	more := max(to-freeAnswerBytes, 0) - max(from-freeAnswerBytes, 0)
	if more == 0 {
		return true
	}
	if !b.memory.ReserveAnswer(more) {
		return false
	}
	b.reserved.Add(int64(more))
	return true
}

// releaseAll releases the memory of all buffers.
func (b *answerBuffer) releaseAll() {
	if n := b.reserved.Swap(0); n != 0 {
		b.memory.ReleaseAnswer(int(n))
	}
}
