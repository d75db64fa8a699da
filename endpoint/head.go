package endpoint

import "github.com/pkg/errors"

// This file bounds the heads of answers, which net/http does not.

// maxHeadBytes bounds the bytes received in one exchange up to the end of the
// answer's head, including answers to other requests.
const maxHeadBytes = 256 << 10

var errHeadTooLong = errors.New("too many bytes before the end of the answer's head")

// headBudget counts the bytes received before the end of a head.
type headBudget struct {
	active bool
	bytes  int
}

func (h *headBudget) begin() { *h = headBudget{active: true} }

func (h *headBudget) end() { *h = headBudget{} }

func (h *headBudget) add(n int) {
	if h.active {
		h.bytes += n
	}
}

func (h *headBudget) exceeded() bool { return h.bytes > maxHeadBytes }
