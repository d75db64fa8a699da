package direct

import "sync/atomic"

// This file bounds the memory that the answers of endpoints take together.

const (
	// maxAnswerMemory bounds the memory of all answers that are held: the smallest VMs have
	// about 100 MB for the whole daemon.
	maxAnswerMemory = 8 << 20
	// freeAnswerBytes is the memory of an answer that does not count. Most answers need less.
	freeAnswerBytes = 16 << 10
)

// answerMemory is the memory of the answers that are held. It is safe for concurrent use.
type answerMemory struct{ used atomic.Int64 }

// reserve reserves memory and reports whether there is enough.
func (m *answerMemory) reserve(bytes int) bool {
	if m.used.Add(int64(bytes)) <= maxAnswerMemory {
		return true
	}
	m.used.Add(-int64(bytes))
	return false
}

func (m *answerMemory) release(bytes int) { m.used.Add(-int64(bytes)) }

// answerBuffer is a buffer for the answer to a request. Its memory is reserved until the
// request has ended, or it is released.
type answerBuffer struct {
	memory   *answerMemory
	reserved atomic.Int64 // of all buffers of the request
}

// grow reserves the memory by which a buffer grows, and reports whether there is enough.
func (b *answerBuffer) grow(from, to int) bool {
	more := max(to-freeAnswerBytes, 0) - max(from-freeAnswerBytes, 0)
	if !b.memory.reserve(more) {
		return false
	}
	b.reserved.Add(int64(more))
	return true
}

// releaseAll releases the memory of all buffers.
func (b *answerBuffer) releaseAll() { b.memory.release(int(b.reserved.Swap(0))) }
