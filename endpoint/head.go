package endpoint

import (
	"bytes"

	"github.com/pkg/errors"
)

// This file bounds the heads of answers, which net/http does not, and finds in them what it
// drops.

const (
	// maxHeadBytes and maxHeadLines bound the head of an answer. Many short lines take far more
	// memory than their bytes.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxInformational bounds the informational answers before an answer.
	maxInformational = 8
	// maxKeptBytes bounds how many of the bytes of an exchange up to the end of the answer's
	// head are kept.
	maxKeptBytes = 16 << 10
)

var (
	errHeadTooLong          = errors.New("too many bytes or lines before the end of the answer's head")
	errTooManyInformational = errors.New("too many informational answers")
)

// headBudget counts the bytes and lines received before the end of a head.
type headBudget struct {
	// active reports that a head is being read, of which bytes and lines have arrived.
	active       bool
	bytes, lines int
	// all counts the bytes of the exchange, and received holds them unless they are too many.
	all      int
	received []byte
}

// begin begins an exchange, and next the head of an answer.
func (h *headBudget) begin() { *h = headBudget{received: h.received[:0]} }

func (h *headBudget) next() { h.active, h.bytes, h.lines = true, 0, 0 }

// end ends a head.
func (h *headBudget) end() { h.active, h.bytes, h.lines = false, 0, 0 }

func (h *headBudget) add(b []byte) {
	if h.all += len(b); h.all <= maxKeptBytes {
		h.received = append(h.received, b...)
	}
	if h.active {
		h.bytes += len(b)
		h.lines += bytes.Count(b, []byte("\n"))
	}
}

func (h *headBudget) exceeded() bool { return h.bytes > maxHeadBytes || h.lines > maxHeadLines }

// announcesClose reports whether a head announces the end of its connection, as far as that is
// known. It is given by its place in what was received. An http.Response does not show it: the
// option is removed, and Close is set for all bodies that end with their connection.
func (h *headBudget) announcesClose(from, to int) bool {
	if h.all > maxKeptBytes {
		return false
	}
	for line := range bytes.Lines(h.received[from:to]) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Connection")) {
			continue
		}
		for option := range bytes.SplitSeq(value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(option), []byte("close")) {
				return true
			}
		}
	}
	return false
}
