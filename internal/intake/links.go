package intake

import (
	"context"
	"sync"
)

// This file defines the memory of messages between daemons: those that arrive, and the answers
// that other daemons are slow to read.

const (
	// freeMessageBytes is the memory of a message that is part of that of its connection.
	freeMessageBytes = 8 << 10
	// messageFactor is what a message takes of each byte: itself, and what is decoded from it.
	messageFactor = 3
	// replyShare is the share of the machine's memory for answers to other daemons that are
	// being sent.
	replyShare = 1.0 / 12
)

// Message is the memory of a message that arrives on a connection between daemons. It is safe for
// concurrent use.
type Message struct {
	budget    *Budget
	interrupt func()

	mu    sync.Mutex
	bytes int
	held  *holding
}

// NewMessage returns the memory of a message. interrupt makes reads of its connection fail. It is
// called under the lock of the budget, and must not close a connection of its fronts.
func (b *Budget) NewMessage(interrupt func()) *Message {
	return &Message{budget: b, interrupt: interrupt}
}

// Grow reserves memory for more of the message, and reports whether there is enough.
func (m *Message) Grow(bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := max(m.bytes, freeMessageBytes)
	m.bytes += bytes
	if m.bytes <= before {
		return true
	}
	if m.held == nil {
		m.held = m.budget.open(KindMessage, "", m.interrupt)
	}
	return m.held.grow(messageFactor*(m.bytes-before), func() {})
}

// Complete records that the message is whole. It no longer gives way.
func (m *Message) Complete() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held != nil {
		m.held.complete()
	}
}

// Release releases the memory of the message, after which there may be another one.
func (m *Message) Release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes = 0
	if m.held != nil {
		m.held.release()
		m.held = nil
	}
}

// AwaitReply reserves the memory of an answer to another daemon, for which it waits until ctx
// ends, and reports whether there is enough. An answer of any size is sent while there is no other.
func (b *Budget) AwaitReply(ctx context.Context, bytes int) bool {
	for {
		b.mu.Lock()
		held := b.used[KindReply]
		if held == 0 || held+int64(bytes) <= int64(replyShare*float64(b.settings.Memory)) {
			b.used[KindReply] += int64(bytes)
			b.mu.Unlock()
			return true
		}
		released := b.replyReleased
		b.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			b.mu.Lock()
			b.refused[Refusal{KindReply, ReasonFull}]++
			b.mu.Unlock()
			return false
		}
	}
}

// ReleaseReply releases the memory of an answer to another daemon.
func (b *Budget) ReleaseReply(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[KindReply] -= int64(bytes)
	close(b.replyReleased)
	b.replyReleased = make(chan struct{})
}
