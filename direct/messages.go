package direct

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"fescuelatch/internal/intake"
)

// This file defines how messages of another daemon are read. Package gob reserves memory as soon
// as the length of a message is known, and accepts lengths of up to a gigabyte, so that it is
// given whole messages of bounded length.

const (
	// maxMessageBytes bounds a message, which may hold the whole store with a configuration of
	// a few megabytes.
	maxMessageBytes = 32 << 20
	// maxCallBytes bounds a call. The largest have maxPermitRequests requests.
	maxCallBytes = 128 << 10
	// maxTypeBytes bounds the definitions of types on a connection, which are kept until it
	// is closed.
	maxTypeBytes = 64 << 10
	// messagePartBytes is how much of a message is read at a time, and maxKeptBytes the
	// largest buffer that is kept for the next message.
	messagePartBytes = 16 << 10
	maxKeptBytes     = 64 << 10
	// smallCallBytes is the size up to which messages are decoded side by side.
	smallCallBytes = 8 << 10
	// maxShortLength is the largest number that gob encodes in one byte, and maxLengthBytes
	// the most bytes that follow the first one of a longer number.
	maxShortLength = 0x7f
	maxLengthBytes = 8
)

// messageReader reads whole messages.
type messageReader struct {
	source *bufio.Reader
	// limit bounds a message in bytes, and memory counts it unless it is nil.
	limit  uint64
	memory *intake.Message
	// whole is what is left of the last message, and types the size of the type definitions
	// so far.
	whole *bytes.Buffer
	types uint64
	// decoding, unless it is nil, is held while a message that is not small is decoded, as its
	// elements may take much more memory than they have bytes. locked reports that it is held.
	decoding sync.Locker
	locked   bool
}

func newMessageReader(source *bufio.Reader, limit uint64, memory *intake.Message) *messageReader {
	return &messageReader{source: source, limit: limit, memory: memory, whole: new(bytes.Buffer)}
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if err := m.fill(); err != nil {
		return 0, err
	}
	return m.whole.Read(p) //nolint:wrapcheck // The buffer is not empty.
}

// ReadByte implements io.ByteReader, without which gob adds a buffer.
func (m *messageReader) ReadByte() (byte, error) {
	if err := m.fill(); err != nil {
		return 0, err
	}
	return m.whole.ReadByte() //nolint:wrapcheck // The buffer is not empty.
}

// fill reads a message if nothing is left of the last one.
func (m *messageReader) fill() error {
	const op = "read from peer"
	if m.whole.Len() > 0 {
		return nil
	}
	m.decoded()
	if m.whole.Cap() > maxKeptBytes {
		m.whole = new(bytes.Buffer)
	}
	m.whole.Reset()
	if m.memory != nil {
		m.memory.Release()
	}
	length, err := m.readLength()
	if err != nil {
		return err
	}
	if length > m.limit {
		return &Error{op, KindPeer, errors.Errorf("message of %d bytes exceeds the size limit", length)}
	}
	start := m.whole.Len()
	for left := length; left > 0; {
		part := min(left, messagePartBytes)
		if m.memory != nil && !m.memory.Grow(int(part)) { //nolint:gosec // A part is small.
			return &Error{op, KindPeer, errors.Errorf("no memory for a message of %d bytes", length)}
		}
		if _, err := io.CopyN(m.whole, m.source, int64(part)); err != nil { //nolint:gosec // A part is small.
			return &Error{op, KindPeer, err}
		}
		left -= part
	}
	if m.memory != nil {
		m.memory.Complete()
	}
	if definesType(m.whole.Bytes()[start:]) {
		if m.types += length; m.types > maxTypeBytes {
			return &Error{op, KindPeer, errors.New("definitions of types exceed the size limit")}
		}
	}
	if m.decoding != nil && length > smallCallBytes {
		m.decoding.Lock()
		m.locked = true
	}
	return nil
}

// decoded records that the last message was decoded.
func (m *messageReader) decoded() {
	if m.locked {
		m.locked = false
		m.decoding.Unlock()
	}
}

// readLength reads the length of the next message, which becomes part of it.
func (m *messageReader) readLength() (uint64, error) {
	first, err := m.source.ReadByte()
	if err != nil {
		return 0, err //nolint:wrapcheck // net/rpc expects the connection's own errors.
	}
	m.whole.WriteByte(first)
	if first <= maxShortLength {
		return uint64(first), nil
	}
	n := bytesAfter(first)
	if n > maxLengthBytes {
		return 0, &Error{"read from peer", KindPeer, errors.New("message of an invalid length")}
	}
	length := uint64(0)
	for range n {
		b, err := m.source.ReadByte()
		if err != nil {
			return 0, &Error{"read from peer", KindPeer, err}
		}
		m.whole.WriteByte(b)
		length = length<<8 | uint64(b)
	}
	return length, nil
}

// bytesAfter returns how many bytes follow the first one of a longer number, which is their negated
// number.
func bytesAfter(first byte) int { return 0x100 - int(first) }

// definesType reports whether a message defines a type: it then begins with a negative number,
// whose sign is its lowest bit.
func definesType(message []byte) bool {
	if len(message) == 0 {
		return false
	}
	first := message[0]
	if first <= maxShortLength {
		return first&1 != 0
	}
	n := bytesAfter(first)
	return n < len(message) && message[n]&1 != 0
}
