// Package sse splits streams of server-sent events into events, preserving all
// bytes, and reads the identifiers of the events.
package sse

import (
	"bytes"
	"io"
)

// This file defines the scanner.

const (
	readBytes = 4 << 10
	// maxEventBytes bounds the buffered part of an incomplete event.
	maxEventBytes = 512 << 10
)

// Event is a complete event, including its final blank line. ID is empty if the
// event has none. Data reports whether it has data: without, it is a comment or a setting.
type Event struct {
	Bytes []byte
	ID    string
	Data  bool
}

// Scanner reads events from a stream.
type Scanner struct {
	// Grow, when set, is called before the buffer grows from one size to another. If it
	// reports false, the event is too large.
	Grow   func(from, to int) bool
	source io.Reader
	buffer []byte
	next   int // end of the event that was returned last
	err    error
}

// NewScanner returns a scanner of source.
func NewScanner(source io.Reader) *Scanner { return &Scanner{source: source} }

// Next returns the next complete event, valid until the next call. At the end of
// the stream it returns the error of the source, such as io.EOF.
func (s *Scanner) Next() (Event, error) {
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.next:])]
	s.next = 0
	var found search
	for {
		if n := found.end(s.buffer); n > 0 {
			e, ok := parse(s.buffer[:n])
			if !ok {
				return Event{}, &Error{Op: "read event", Kind: KindInvalid}
			}
			s.next = n
			return e, nil
		}
		if s.err != nil {
			return Event{}, s.err
		}
		if len(s.buffer) > maxEventBytes {
			return Event{}, &Error{Op: "read event", Kind: KindTooLarge}
		}
		if !s.fill() {
			return Event{}, &Error{Op: "read event", Kind: KindTooLarge}
		}
	}
}

// Peek returns what the next call of Next returns.
func (s *Scanner) Peek() (Event, error) {
	e, err := s.Next()
	s.next = 0
	return e, err
}

// Buffered reports whether Next can return an event without reading.
func (s *Scanner) Buffered() bool { return new(search).end(s.buffer[s.next:]) > 0 }

// Remainder returns the buffered bytes after the event that was returned last.
func (s *Scanner) Remainder() []byte { return s.buffer[s.next:] }

// fill reads more of the stream, and reports whether there was room for it.
func (s *Scanner) fill() bool {
	n := len(s.buffer)
	if cap(s.buffer)-n < readBytes/2 {
		larger := 2*cap(s.buffer) + readBytes
		if s.Grow != nil && !s.Grow(cap(s.buffer), larger) {
			return false
		}
		s.buffer = append(make([]byte, 0, larger), s.buffer...)
	}
	m, err := s.source.Read(s.buffer[n:cap(s.buffer)])
	s.buffer = s.buffer[:n+m]
	s.err = err
	return true
}

// search is the progress of the search for the end of an event in a buffer.
type search struct {
	line int // start of the last line
	seen int // bytes of the buffer already searched
}

// end returns the length of the first event with its blank line, or 0 if the
// event is incomplete.
func (s *search) end(b []byte) int {
	for {
		j := bytes.IndexByte(b[s.seen:], '\n')
		if j < 0 {
			s.seen = len(b)
			return 0
		}
		line := bytes.TrimSuffix(b[s.line:s.seen+j], []byte("\r"))
		s.seen += j + 1
		s.line = s.seen
		if len(line) == 0 {
			return s.seen
		}
	}
}

// byteOrderMark may precede the first event.
var byteOrderMark = []byte("\ufeff")

// parse returns the event with the given bytes, whose last id field counts. It reports false
// if no line is a field of an event or a comment: then it is another kind of text.
func parse(b []byte) (Event, bool) {
	e := Event{Bytes: b}
	known, blank := false, true
	for line := range bytes.SplitSeq(bytes.TrimPrefix(b, byteOrderMark), []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		blank = false
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			e.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		case "data":
			e.Data = true
		case "", "event", "retry": // An empty name makes a comment.
		default:
			continue
		}
		known = true
	}
	return e, known || blank
}
