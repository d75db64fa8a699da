package endpoint

import (
	"bytes"

	"github.com/pkg/errors"
)

// This file bounds the heads of answers, which net/http does not.

const (
	// maxHeadBytes and maxHeadLines bound the head of an answer. Many short lines take far more
	// memory than their bytes.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxInformational bounds the informational answers before an answer.
	maxInformational = 8
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
}

// begin begins the head of an answer, and end ends it.
func (h *headBudget) begin() { *h = headBudget{active: true} }

func (h *headBudget) end() { *h = headBudget{} }

func (h *headBudget) add(b []byte) {
	if h.active {
		h.bytes += len(b)
		h.lines += bytes.Count(b, []byte("\n"))
	}
}

func (h *headBudget) exceeded() bool { return h.bytes > maxHeadBytes || h.lines > maxHeadLines }
