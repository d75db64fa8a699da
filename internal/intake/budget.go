// Package intake bounds the memory and the connections that callers make a daemon hold: heads
// and bodies of requests while they arrive and until their requests have ended, answers that are
// not yet read, and the connections themselves.
package intake

import (
	"container/list"
	"sync"
	"time"

	"fescuelatch"
)

// This file defines the budget of memory, and who is refused when it is used up.

const (
	// memoryShare is the share of the machine's memory in the budget. The heap may be twice
	// what is in use, until the collector's limit is near.
	memoryShare = 1.0 / 6
	// defaultMemory is the memory of a machine if the settings do not name it.
	defaultMemory = 512 << 20
	// maxAnswerBytes bounds the part of the budget for answers, which takes at most half of it.
	maxAnswerBytes = 8 << 20
	// smallBytes is the size up to which bodies and heads may use all of the budget. Larger ones
	// leave smallShare of it.
	smallBytes = 64 << 10
	smallShare = 0.25
	// stallTime is the time without growth after which what still arrives gives way to others.
	stallTime = 200 * time.Millisecond
)

// Kind is what memory is held for.
type Kind string

// Kinds of memory.
const (
	KindBody   Kind = "body"
	KindHead   Kind = "head"
	KindAnswer Kind = "answer"
	// KindMessage is for messages of other daemons, and KindReply for answers to them.
	KindMessage Kind = "message"
	KindReply   Kind = "reply"
)

// Kinds returns the kinds of memory.
func Kinds() []Kind { return []Kind{KindBody, KindHead, KindAnswer, KindMessage, KindReply} }

// Reason is why something was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonStalled means that it made no progress, and others needed its memory or its
	// connection.
	ReasonStalled Reason = "stalled"
	// ReasonShare means that its account held more than others, which needed memory.
	ReasonShare Reason = "share"
	// ReasonFull means that nothing else could give way.
	ReasonFull Reason = "full"
	// ReasonIdle means that a connection without a request gave way to a new one, and
	// ReasonUnread that one did whose answer was not read.
	ReasonIdle   Reason = "idle"
	ReasonUnread Reason = "unread"
	// ReasonEnding means that a connection gave way whose last answer had been written.
	ReasonEnding Reason = "ending"
)

// Settings describe the machine. Zero values mean defaults.
type Settings struct {
	// Memory is that of the machine, in bytes.
	Memory int64
	// Descriptors is the maximum number of open descriptors.
	Descriptors int
}

// Refusal identifies a counter of refusals.
type Refusal struct {
	Kind   Kind
	Reason Reason
}

// Usage is the state of a budget.
type Usage struct {
	Limit, AnswerLimit int64
	Used               map[Kind]int64
	Connections, Most  int
	// Links is the number of links between daemons, which Connections does not count.
	Links int
	// Account holds most of the memory of bodies, and AccountBytes is what it holds.
	Account      fescuelatch.AccountID
	AccountBytes int64
	// Refused counts the refusals so far.
	Refused map[Refusal]int64
}

// Budget is the memory that callers may make a daemon hold. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	settings Settings
	used     map[Kind]int64
	// arriving holds what has not arrived as a whole, the least recently grown first.
	arriving *list.List
	accounts map[fescuelatch.AccountID]int64
	fairness fairness
	refused  map[Refusal]int64
	// connections is their number by front.
	connections map[*Connections]int
	links       int
	// replyReleased is closed when the memory of an answer to another daemon is released.
	replyReleased chan struct{}
}

// NewBudget returns a budget for a machine.
func NewBudget(s Settings) *Budget {
	b := &Budget{
		used: make(map[Kind]int64), arriving: list.New(), accounts: make(map[fescuelatch.AccountID]int64),
		refused: make(map[Refusal]int64), connections: make(map[*Connections]int),
		replyReleased: make(chan struct{}), fairness: newFairness(),
	}
	b.Set(s)
	return b
}

// Set replaces the settings. What is held stays so.
func (b *Budget) Set(s Settings) {
	if s.Memory <= 0 {
		s.Memory = defaultMemory
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
}

// limits returns the limit on answers, and that on all else.
func (b *Budget) limits() (answers, arrivals int64) {
	total := int64(memoryShare * float64(b.settings.Memory))
	answers = min(maxAnswerBytes, total/2)
	return answers, total - answers
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{Used: make(map[Kind]int64, len(b.used)), Refused: make(map[Refusal]int64, len(b.refused))}
	u.AnswerLimit, u.Limit = b.limits()
	for k, n := range b.used {
		u.Used[k] = n
	}
	for r, n := range b.refused {
		u.Refused[r] = n
	}
	for c, n := range b.connections {
		u.Connections += n
		u.Most += c.most(b.settings)
	}
	u.Links = b.links
	u.Account, u.AccountBytes = b.largestAccount()
	return u
}

// ReserveAnswer reserves memory for answers and reports whether there is enough. What does not
// fit is passed on as it arrives.
func (b *Budget) ReserveAnswer(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit, _ := b.limits(); bytes > 0 && b.used[KindAnswer]+int64(bytes) > limit {
		b.refused[Refusal{KindAnswer, ReasonFull}]++
		return false
	}
	b.used[KindAnswer] += int64(bytes)
	return true
}

// ReleaseAnswer releases memory of answers.
func (b *Budget) ReleaseAnswer(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[KindAnswer] -= int64(bytes)
}

// holding is the memory of one head or body.
type holding struct {
	budget  *Budget
	kind    Kind
	account fescuelatch.AccountID
	// evict ends the arrival and drops what has arrived. It must not block.
	evict func()

	// The budget's lock guards the fields below.
	bytes   int64
	grownAt time.Time
	// place is that among the arrivals, and evicted reports that the holding was made to give
	// way.
	place   *list.Element
	evicted bool
	// openedAt is when the arrival began, and announced its size as far as it is known. whole
	// reports that it has ended.
	openedAt  time.Time
	announced int64
	whole     bool
	// returnAfter is when there will be memory for it if it was refused.
	returnAfter time.Duration
}

// open begins an arrival.
func (b *Budget) open(kind Kind, account fescuelatch.AccountID, evict func()) *holding {
	now := time.Now()
	h := &holding{budget: b, kind: kind, account: account, evict: evict, grownAt: now, openedAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.place = b.arriving.PushBack(h)
	return h
}

// grow reserves memory for more of an arrival, and calls held under the budget's lock if there
// is enough.
func (h *holding) grow(bytes int, held func()) bool {
	b, now := h.budget, time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return false
	}
	limit := b.limitOf(h.kind)
	if h.bytes+int64(bytes) > smallBytes {
		limit -= int64(smallShare * float64(limit))
	}
	for b.exceedsShare(now, h, int64(bytes)) {
		if !b.evictStalledOf(now, h) {
			b.refuse(h, ReasonShare)
			return false
		}
	}
	for b.usedBy(h.kind)+int64(bytes) > limit {
		if !b.makeWay(now, h) {
			b.refuse(h, ReasonFull)
			return false
		}
	}
	h.grownAt = now
	b.arriving.MoveToBack(h.place)
	b.add(h, int64(bytes))
	held()
	return true
}

// goOn records that more of an arrival has come, in memory that is reserved already.
func (h *holding) goOn() {
	b, now := h.budget, time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.place != nil {
		h.grownAt = now
		b.arriving.MoveToBack(h.place)
	}
}

// limitOf returns the limit on arrivals of a kind. Messages have one of their own: callers that hold
// all of theirs must not cut daemons off from each other.
func (b *Budget) limitOf(k Kind) int64 {
	if k == KindMessage {
		return int64(messageShare * float64(b.settings.Memory))
	}
	_, limit := b.limits()
	return limit
}

// usedBy returns the memory of what has arrived or arrives within the same limit as a kind.
func (b *Budget) usedBy(k Kind) int64 {
	if k == KindMessage {
		return b.used[KindMessage]
	}
	return b.used[KindBody] + b.used[KindHead]
}

func (b *Budget) add(h *holding, bytes int64) {
	h.bytes += bytes
	b.used[h.kind] += bytes
	if h.kind != KindBody {
		return
	}
	if b.accounts[h.account] += bytes; b.accounts[h.account] == 0 {
		delete(b.accounts, h.account)
	}
}

// makeWay evicts an arrival in favour of another one, and reports whether there was one to evict:
// one that makes no progress, or one of the account that holds most. What has arrived as a whole
// is not evicted, as its request may be under way.
func (b *Budget) makeWay(now time.Time, h *holding) bool {
	if b.evictStalled(now, h) {
		return true
	}
	if h.kind != KindBody {
		return false
	}
	largest, _ := b.largestAccount()
	if largest == h.account {
		return false
	}
	for e := b.arriving.Front(); e != nil; e = e.Next() {
		if o := e.Value.(*holding); o.kind == KindBody && o.account == largest && o.bytes > 0 {
			b.refuse(o, ReasonShare)
			return true
		}
	}
	return false
}

// evictStalled evicts the arrival other than h, within the same limit, that has not grown for longest,
// if that is long. Without h it is one of a caller.
func (b *Budget) evictStalled(now time.Time, h *holding) bool {
	message := h != nil && h.kind == KindMessage
	for e := b.arriving.Front(); e != nil; e = e.Next() {
		o := e.Value.(*holding)
		if now.Sub(o.grownAt) < stallTime {
			return false
		}
		if o != h && (o.kind == KindMessage) == message {
			b.refuse(o, ReasonStalled)
			return true
		}
	}
	return false
}

func (b *Budget) largestAccount() (largest fescuelatch.AccountID, bytes int64) {
	for a, n := range b.accounts {
		if n > bytes {
			largest, bytes = a, n
		}
	}
	return largest, bytes
}

// refuse ends an arrival.
func (b *Budget) refuse(h *holding, r Reason) {
	b.refused[Refusal{h.kind, r}]++
	if h.kind == KindBody {
		h.returnAfter = b.fairness.refuse(time.Now(), h.account, r, max(h.announced, h.bytes), b.usedBy(KindBody))
	}
	h.evicted = true
	b.drop(h)
	h.evict()
}

// drop releases the memory of a holding.
func (b *Budget) drop(h *holding) {
	if h.place != nil {
		b.arriving.Remove(h.place)
		h.place = nil
	}
	b.add(h, -h.bytes)
}

// complete ends an arrival, whose memory stays reserved, and reports whether it is whole.
func (h *holding) complete() bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.place != nil {
		b.arriving.Remove(h.place)
		h.place = nil
	}
	h.whole = !h.evicted
	return h.whole
}

// isEvicted reports whether the holding had to give way.
func (h *holding) isEvicted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// release releases the memory of a holding.
func (h *holding) release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.whole && h.kind == KindBody && h.bytes > 0 {
		b.fairness.observe(time.Since(h.openedAt))
	}
	b.drop(h)
}
