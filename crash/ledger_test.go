package crash_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/crash"
)

// This file tests the conclusions of single ledgers.

var epoch = time.Unix(1000, 0)

func process(n int) fescuelatch.EndpointProcess {
	return fescuelatch.EndpointProcess{Endpoint: fescuelatch.EndpointID(fmt.Sprintf("i-%d", n)), Started: int64(n), Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func prompt(ids ...string) []fescuelatch.PromptPart {
	parts := make([]fescuelatch.PromptPart, 0, len(ids)+1)
	for _, id := range ids {
		parts = append(parts, fescuelatch.PromptPart{ID: id, Tokens: 10})
	}
	return append(parts, fescuelatch.PromptPart{ID: "own", Tokens: 5})
}

func request(id string, ids ...string) *fescuelatch.Request {
	return &fescuelatch.Request{ID: fescuelatch.RequestID(id), Parts: prompt(ids...)}
}

func newLedger() *crash.Ledger {
	return crash.NewLedger(rand.New(rand.NewPCG(1, 2)), func() int { return 4 })
}

// step is what a daemon sees at a time: a crash or an answer.
type step struct {
	at       time.Duration
	crashed  int // number of the process, or 0 for an answer
	prompt   []string
	underWay bool
}

// TestBlockedParts checks which parts one daemon holds responsible for crashes.
func TestBlockedParts(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name    string
		steps   []step
		blocked [][]string // parts of prompts
		free    [][]string
	}{
		{
			"three crashes with one part in common",
			[]step{{1 * s, 1, []string{"a", "x", "d1"}, false}, {2 * s, 2, []string{"a", "x", "d2"}, false}, {3 * s, 0, []string{"a", "d3"}, false}, {4 * s, 3, []string{"b", "x"}, false}},
			[][]string{{"x"}},
			[][]string{{"a"}, {"b"}, {"d1"}, {"d2"}, {"d3"}},
		},
		{
			"two crashes",
			[]step{{1 * s, 1, []string{"x"}, false}, {2 * s, 2, []string{"x"}, false}},
			nil,
			[][]string{{"x"}},
		},
		{
			"the same process is seen to crash in several attempts",
			[]step{{1 * s, 1, []string{"x"}, false}, {2 * s, 1, []string{"x"}, false}, {3 * s, 1, []string{"x"}, false}},
			nil,
			[][]string{{"x"}},
		},
		{
			"an answer in between",
			[]step{{1 * s, 1, []string{"x"}, false}, {2 * s, 2, []string{"x"}, false}, {3 * s, 0, []string{"x"}, false}, {4 * s, 3, []string{"x"}, false}},
			nil,
			[][]string{{"x"}},
		},
		{
			"an answer before",
			[]step{{0, 0, []string{"x"}, false}, {1 * s, 1, []string{"x"}, false}, {2 * s, 2, []string{"x"}, false}, {3 * s, 3, []string{"x"}, false}},
			nil,
			[][]string{{"x"}},
		},
		{
			"processes that end at the same moment",
			[]step{{1 * s, 1, []string{"x"}, false}, {1*s + 20*time.Millisecond, 2, []string{"x"}, false}, {1*s + 60*time.Millisecond, 3, []string{"x"}, false}, {1*s + 90*time.Millisecond, 4, []string{"x"}, false}},
			nil,
			[][]string{{"x"}},
		},
		{
			"answers that were under way",
			[]step{{1 * s, 1, []string{"x"}, true}, {2 * s, 2, []string{"x"}, true}, {3 * s, 3, []string{"x"}, true}},
			nil,
			[][]string{{"x"}},
		},
		{
			"two parts that are always together",
			[]step{{1 * s, 1, []string{"a", "x"}, false}, {2 * s, 2, []string{"a", "x"}, false}, {3 * s, 3, []string{"a", "x"}, false}},
			[][]string{{"a", "x"}, {"x", "a"}, {"a", "z", "x"}},
			[][]string{{"a"}, {"x"}, {"a", "z"}, {"z", "x"}},
		},
		{
			"two parts that are together until the last one crashes alone",
			[]step{{1 * s, 1, []string{"a", "x"}, false}, {2 * s, 2, []string{"a", "x"}, false}, {3 * s, 3, []string{"a", "x"}, false}, {4 * s, 4, []string{"b", "x"}, false}},
			[][]string{{"x"}, {"a", "x"}},
			[][]string{{"a"}, {"b"}},
		},
		{
			"two parts that are together until the first one crashes alone",
			[]step{{1 * s, 1, []string{"a", "x"}, false}, {2 * s, 2, []string{"a", "x"}, false}, {3 * s, 3, []string{"a", "x"}, false}, {4 * s, 4, []string{"a", "y"}, false}},
			[][]string{{"a"}, {"a", "x"}},
			[][]string{{"x"}, {"y"}},
		},
		{
			"two parts that are together until the last one is answered alone",
			[]step{{1 * s, 1, []string{"a", "x"}, false}, {2 * s, 2, []string{"a", "x"}, false}, {3 * s, 3, []string{"a", "x"}, false}, {4 * s, 0, []string{"b", "x"}, false}},
			[][]string{{"a"}, {"a", "x"}},
			[][]string{{"x"}, {"b"}},
		},
		{
			"two parts that are together until the first one is answered alone",
			[]step{{1 * s, 1, []string{"a", "x"}, false}, {2 * s, 2, []string{"a", "x"}, false}, {3 * s, 3, []string{"a", "x"}, false}, {4 * s, 0, []string{"a", "y"}, false}},
			[][]string{{"x"}, {"a", "x"}},
			[][]string{{"a"}, {"y"}},
		},
		{
			"a part with another one at three crashes, which others have as well",
			[]step{
				{1 * s, 1, []string{"x", "a"}, false},
				{1 * s, 1, []string{"y", "a"}, false},
				{2 * s, 2, []string{"x", "a"}, false},
				{2 * s, 2, []string{"z", "a"}, false},
				{3 * s, 3, []string{"x", "a"}, false},
				{3 * s, 3, []string{"w", "a"}, false},
			},
			[][]string{{"x", "a"}, {"x", "b", "a"}},
			[][]string{{"a"}, {"y", "a"}, {"v", "a"}},
		},
		{
			"a part of requests on the same endpoints",
			[]step{
				{1 * s, 1, []string{"x"}, false},
				{1 * s, 1, []string{"y"}, false},
				{2 * s, 2, []string{"x"}, false},
				{2 * s, 2, []string{"y"}, false},
				{3 * s, 3, []string{"x"}, false},
				{4 * s, 4, []string{"x"}, false},
				{5 * s, 5, []string{"y"}, false},
			},
			[][]string{{"x"}},
			[][]string{{"y"}},
		},
		{
			"two causes",
			[]step{
				{1 * s, 1, []string{"x"}, false},
				{2 * s, 2, []string{"x"}, false},
				{3 * s, 3, []string{"x"}, false},
				{4 * s, 4, []string{"y"}, false},
				{5 * s, 5, []string{"y"}, false},
				{6 * s, 6, []string{"y"}, false},
			},
			[][]string{{"x"}, {"y"}},
			nil,
		},
		{
			"the last part",
			[]step{{1 * s, 1, nil, false}, {2 * s, 2, nil, false}, {3 * s, 3, nil, false}},
			nil,
			[][]string{{"own"}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newLedger()
			now := epoch
			for _, s := range test.steps {
				now = epoch.Add(s.at)
				if s.crashed == 0 {
					l.Answered(now, request("r", s.prompt...))
				} else {
					l.Crashed(now, process(s.crashed), request("r", s.prompt...), s.underWay)
				}
			}
			for _, p := range test.blocked {
				for _, q := range []*fescuelatch.Request{request("r", p...), request("r", append([]string{"n"}, p...)...)} {
					_, blocked := l.Blocked(now, q)
					c.Check(blocked, qt.IsTrue, qt.Commentf("parts %v", q.Parts))
					c.Check(l.MayRepeat(now, q), qt.IsFalse)
				}
			}
			for _, p := range test.free {
				_, blocked := l.Blocked(now, request("r", p...))
				c.Check(blocked, qt.IsFalse, qt.Commentf("parts %v", p))
			}
		})
	}
}

// TestCauseIsNotRepeated checks that a request with a suspected part is not sent to
// another endpoint, while one that ran beside it is.
func TestCauseIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	l := newLedger()
	l.Crashed(epoch, process(1), request("r", "x"), false)
	l.Crashed(epoch, process(1), request("r", "y1"), false)
	c.Check(l.MayRepeat(epoch, request("1", "x")), qt.IsTrue)
	l.Crashed(epoch.Add(time.Second), process(2), request("r", "x"), false)
	l.Crashed(epoch.Add(time.Second), process(2), request("r", "y2"), false)
	c.Check(l.MayRepeat(epoch, request("1", "x")), qt.IsFalse)
	c.Check(l.MayRepeat(epoch, request("2", "y2")), qt.IsTrue)
}

// TestMemoryIsBounded checks that what a ledger keeps does not grow without bound.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	l := newLedger()
	now := epoch
	for n := range 2000 {
		now = now.Add(300 * time.Millisecond)
		l.Crashed(now, process(n), request("r", fmt.Sprintf("p%d", n), fmt.Sprintf("q%d", n/3)), false)
		l.Tick(now)
	}
	c.Check(l.BlockedParts() <= 256, qt.IsTrue, qt.Commentf("%d", l.BlockedParts()))
	l.Tick(now.Add(time.Hour))
	c.Check(l.BlockedParts(), qt.Equals, 0)
	c.Check(l.MayRepeat(now, request("r", "q0")), qt.IsTrue)
}
