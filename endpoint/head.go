package endpoint

import "github.com/pkg/errors"

// This file defines the bound on the heads of answers, which net/http does not
// bound by itself.

// maxHeadBytes bounds what is received of one exchange before its answer has
// begun, answers to other requests included.
const maxHeadBytes = 256 << 10

var errLongHead = errors.New("the answer does not begin within its bound")

// headBudget counts the bytes that are received while a head is awaited.
type headBudget struct {
	awaited bool
	bytes   int
}

func (h *headBudget) begin() { *h = headBudget{awaited: true} }

func (h *headBudget) end() { *h = headBudget{} }

func (h *headBudget) add(n int) {
	if h.awaited {
		h.bytes += n
	}
}

func (h *headBudget) exceeded() bool { return h.bytes > maxHeadBytes }
