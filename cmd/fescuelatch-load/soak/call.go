package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fescuelatch/internal/process"
	"fescuelatch/platform/fakeplatform"
)

// This file defines calls and the checks of their answers.

const (
	serviceDesk  = "desk"
	serviceModel = "lm"

	// headerModel names a model, or anyModel.
	headerModel = "Fescuelatch-Model"
	anyModel    = "*"
	modelSmall  = "small"

	// headerPrompt holds the parts of a call's prompt.
	headerPrompt = "Fescuelatch-Prefix-Hash"

	callTimeout = 3 * time.Second
	// callSlack is the time by which a call may exceed its deadline.
	callSlack = 1500 * time.Millisecond
)

// kind describes a kind of call.
type kind struct {
	name, method, host, path string
	atMostOnce, streamed     bool
}

// kinds returns one kind of call for each route of the configuration.
func kinds() []kind {
	return []kind{
		{"ban", http.MethodPost, "desk.example", "/ban/", true, false},
		{"lookup", http.MethodGet, "desk.example", "/look/", false, false},
		{"resumable stream", http.MethodPost, "lm.example", "/write/", false, true},
		{"stream", http.MethodPost, "lm.example", "/whole/", false, true},
	}
}

// call is a call and its result as seen by the caller.
type call struct {
	kind
	nonce   string
	fixed   *repeated // what it repeats, or nil
	probe   *routeProbe
	process *process.Process // of the target when the call was sent
	target  *daemon
	build   build // of the target when the call was sent
	key     int   // number of the key that it sent
	prompt  string
	model   string
	sent    time.Time
	elapsed time.Duration
	// status is 0 if no response arrived; err says why the answer is
	// incomplete.
	status int
	after  time.Duration // as a refusal says
	err    error
	body   string
	gaveUp bool // the caller did not wait longer
	writes writes
}

func (c *call) String() string {
	return fmt.Sprintf("%s %s to %s%s: status %d after %v: %v", c.name, c.nonce, c.target.VM, c.build, c.status, c.elapsed.Round(time.Millisecond), c.err)
}

// send makes the call and reads its whole answer.
func (c *call) send(ctx context.Context, client http.RoundTripper) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+2*callSlack)
	defer cancel()
	defer func() { c.gaveUp = ctx.Err() != nil }()
	c.sent = time.Now()
	c.process, c.build = c.target.current()
	defer func() { c.elapsed = time.Since(c.sent) }()
	q, err := fakeplatform.NewCall(ctx, c.target.Callers, c.method, c.host, c.path+c.tail(), c.nonce, keyOf(c.key), callTimeout)
	if err != nil {
		c.err = err
		return
	}
	if c.fixed != nil && c.fixed.body != "" {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader(c.fixed.body)), int64(len(c.fixed.body))
	}
	if c.model != "" {
		q.Header.Set(headerModel, c.model)
	}
	if c.prompt != "" {
		q.Header.Set(headerPrompt, c.prompt)
	}
	res, err := client.RoundTrip(c.writes.trace(q))
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	c.status = res.StatusCode
	after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // Most answers have none.
	c.after = time.Duration(after * float64(time.Second))
	b, err := io.ReadAll(res.Body)
	c.body, c.err = string(b), err
}

// keyOf returns the account's key number n.
func keyOf(n int) string { return fmt.Sprintf("key-%d", n) }

// usesKey reports whether an account has the call's key while key n is active.
func (c *call) usesKey(n int) bool { return c.key == n || c.key == otherAccountKey }

// answered reports whether the call got a complete answer.
func (c *call) answered() bool { return c.status == http.StatusOK && c.err == nil }

// fault describes what is wrong with the content of the answer, if anything. A
// truncated answer is no fault if the caller saw it end with an error.
func (c *call) fault() string {
	if c.status != http.StatusOK {
		return ""
	}
	want := c.nonce
	if c.streamed {
		var b strings.Builder
		for n := 1; n <= streamEvents; n++ {
			b.WriteString(event(n, c.nonce))
		}
		want = b.String()
	}
	switch {
	case c.err == nil && c.body != want:
		return fmt.Sprintf("complete answer has wrong or foreign content: %.200q", c.body)
	case c.err != nil && !strings.HasPrefix(want, c.body):
		return fmt.Sprintf("partial answer has wrong or foreign content: %.200q", c.body)
	}
	return ""
}
