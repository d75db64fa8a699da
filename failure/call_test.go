package failure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/fleet"
	"fescuelatch/load"
)

// This file defines the callers of the tests and the replies they receive.

// callGrace is the time a caller waits beyond the timeout of its request.
const callGrace = 3 * time.Second

// call is a request to the daemon of one VM.
type call struct {
	vm    fescuelatch.VMID
	nonce string
	key   string
	// operation belongs to the service "desk"; if empty, the call is a chat
	// completion.
	operation fescuelatch.OperationID
	streamed  bool
	timeout   time.Duration
}

const callTokens = 6

// callReply is the reply to a call. The outcome is empty if the connection
// broke or no daemon answered.
type callReply struct {
	call
	sent       time.Time
	total      time.Duration
	status     int
	outcome    fescuelatch.Outcome
	request    fescuelatch.RequestID
	retryAfter time.Duration
	code       string
	// whole reports whether the answer is complete and belongs to this call.
	whole bool
	err   error
}

func (r *callReply) String() string {
	return fmt.Sprintf("%s %s key %q nonce %q: status %d outcome %q code %q after %v: %v",
		r.vm, r.request, r.key, r.nonce, r.status, r.outcome, r.code, r.total.Round(time.Millisecond), r.err)
}

// callers sends calls to the daemons of a fleet and keeps all replies.
type callers struct {
	fleet  *fleet.Fleet
	client *http.Client

	wg      sync.WaitGroup
	mu      sync.Mutex
	replies []*callReply
}

func newCallers(c *qt.C, f *fleet.Fleet) *callers {
	u := &callers{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	c.Cleanup(u.client.CloseIdleConnections)
	return u
}

// start sends a call in the background.
func (u *callers) start(c call) { u.wg.Go(func() { u.send(c) }) }

// send sends a call once and returns its reply.
func (u *callers) send(c call) *callReply {
	if c.timeout == 0 {
		c.timeout = 3 * time.Second
	}
	r := &callReply{call: c, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+callGrace)
	defer cancel()
	resp, err := u.client.Do(u.request(ctx, &c))
	if err == nil {
		err = r.read(resp)
	}
	r.err = err
	r.total = time.Since(r.sent)
	u.mu.Lock()
	u.replies = append(u.replies, r)
	u.mu.Unlock()
	return r
}

func (u *callers) request(ctx context.Context, c *call) *http.Request {
	path, body := "/v1/chat/completions", fmt.Sprintf(
		`{"model":"auto","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"nonce:%s text"}]}`,
		callTokens, c.streamed, c.nonce)
	if c.operation != "" {
		path, body = "/v1/services/desk/"+string(c.operation), fmt.Sprintf(`{"nonce":%q}`, c.nonce)
	}
	var to fescuelatch.VM
	for _, m := range u.fleet.Configuration.Inventory.VMs {
		if m.ID == c.vm {
			to = m
		}
	}
	// The opaque body keeps the HTTP client from retrying by itself.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Caller.String()+path,
		io.NopCloser(bytes.NewReader([]byte(body))))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+u.fleet.Keys["daily"])
	req.Header.Set(caller.HeaderTimeout, c.timeout.String())
	if c.key != "" {
		req.Header.Set(caller.HeaderIdempotencyKey, c.key)
	}
	return req
}

func (r *callReply) read(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	r.status = resp.StatusCode
	h := resp.Header
	r.request = fescuelatch.RequestID(h.Get(caller.HeaderRequestID))
	r.outcome = fescuelatch.Outcome(h.Get(caller.HeaderOutcome) + resp.Trailer.Get(caller.HeaderOutcome))
	if n, err := strconv.Atoi(h.Get(caller.HeaderRetryAfter)); err == nil {
		r.retryAfter = time.Duration(n) * time.Second
	}
	if err != nil {
		// A truncated response is not an answer, whatever its header says.
		r.outcome = ""
		return err
	}
	if r.status == http.StatusOK {
		r.whole = r.isWhole(string(b))
		return nil
	}
	var e struct {
		Error struct{ Code string }
	}
	err = json.Unmarshal(b, &e)
	r.code = e.Error.Code
	return err
}

// isWhole reports whether a body is a complete answer to this call.
func (r *callReply) isWhole(body string) bool {
	if r.operation != "" {
		var a struct{ Nonce string }
		return json.Unmarshal([]byte(body), &a) == nil && a.Nonce == r.nonce
	}
	if r.streamed {
		return wholeStream(body, r.nonce)
	}
	var a chatChoices
	return json.Unmarshal([]byte(body), &a) == nil && load.CheckAnswer(a.text(), r.nonce, callTokens) == load.FaultNone
}

type chatChoices struct {
	Choices []struct {
		Message, Delta struct{ Content string }
	}
}

func (a *chatChoices) text() string {
	var b strings.Builder
	for _, c := range a.Choices {
		b.WriteString(c.Message.Content + c.Delta.Content)
	}
	return b.String()
}

func wholeStream(body, nonce string) bool {
	var text strings.Builder
	done := false
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var a chatChoices
		if json.Unmarshal([]byte(data), &a) != nil {
			return false
		}
		text.WriteString(a.text())
	}
	return done && load.CheckAnswer(text.String(), nonce, callTokens) == load.FaultNone
}

// all waits for all calls and returns their replies.
func (u *callers) all() []*callReply {
	u.wg.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*callReply(nil), u.replies...)
}

// executions returns the executions of plain services by idempotency key.
func executions(ctx context.Context, c *qt.C, f *fleet.Fleet) map[string][]fleet.Execution {
	c.Helper()
	logs, err := f.EndpointLogs(ctx)
	c.Assert(err, qt.IsNil)
	m := make(map[string][]fleet.Execution)
	for _, l := range logs {
		for _, e := range l.Executions {
			m[e.Key] = append(m[e.Key], e)
		}
	}
	return m
}

// warmUpNonce is the nonce of the warmUp requests, all of them idempotent.
const warmUpNonce = "warm-up"

// warmUp waits until every daemon answers model and service requests.
func warmUp(ctx context.Context, c *qt.C, f *fleet.Fleet) {
	c.Helper()
	u := newCallers(c, f)
	for _, m := range f.Configuration.Inventory.VMs {
		for _, o := range []fescuelatch.OperationID{"", "lookup"} {
			for u.send(call{vm: m.ID, nonce: warmUpNonce, operation: o}).outcome != fescuelatch.OutcomeAnswered {
				c.Assert(ctx.Err(), qt.IsNil)
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// tally counts replies by outcome, with "none" for an empty one.
func tally(rs []*callReply) map[string]int {
	m := make(map[string]int)
	for _, r := range rs {
		o := string(r.outcome)
		if o == "" {
			o = "none"
		}
		m[o]++
	}
	return m
}
