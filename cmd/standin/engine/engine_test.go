package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/cmd/standin/rating"
	"fescuelatch/cmd/standin/server/servertest"
	"fescuelatch/cmd/standin/weights"
)

const version = "m@1"

// fastSettings configure an engine that responds without delay.
func fastSettings() Settings {
	return Settings{
		Endpoint: "e1",
		Versions: []fescuelatch.VersionID{version},
		Slots:    4,
		Queue:    8,
		FallOver: time.Hour,
	}
}

// slowSettings configure an engine whose responses take long.
func slowSettings() Settings {
	s := fastSettings()
	s.BetweenTokens = 20 * time.Millisecond
	return s
}

func startEngine(c *qt.C, s Settings) (*Engine, string) {
	e := New(s, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go e.Sample(ctx)
	return e, servertest.Start(c, e.Handler())
}

func body(nonce string, tokens int, extra string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"nonce:%s text"}],"max_tokens":%d%s}`,
		version, nonce, tokens, extra)
}

const streamed = `,"stream":true,"stream_options":{"include_usage":true}`

func complete(url, attempt, body string) servertest.Response {
	return servertest.Do(http.MethodPost, url+"/v1/chat/completions", body, []string{"X-Request-Id", attempt}, nil)
}

// eventData returns the data of the server-sent eventData in a body.
func eventData(body string) []string {
	var es []string
	for _, l := range strings.Split(body, "\n") {
		if d, ok := strings.CutPrefix(l, "data: "); ok {
			es = append(es, d)
		}
	}
	return es
}

// eventually waits until ok holds.
func eventually(c *qt.C, ok func() bool) {
	end := time.Now().Add(servertest.Timeout)
	for !ok() {
		if time.Now().After(end) {
			c.Fatal("timeout")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestWholeAnswer(t *testing.T) {
	c := qt.New(t)
	_, url := startEngine(c, fastSettings())
	a := complete(url, "a1", body("77", 2, ""))
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	var got completion
	c.Assert(json.Unmarshal([]byte(a.Body), &got), qt.IsNil)
	c.Assert(got.ID, qt.Equals, "a1")
	c.Assert(string(got.Choices[0].Message.Content), qt.Equals, "nonce:77 w0 w1 end:77")
	c.Assert(*got.Usage, qt.Equals, usage{PromptTokens: 2, CompletionTokens: 4, TotalTokens: 6})
}

func TestStreamedAnswer(t *testing.T) {
	c := qt.New(t)
	_, url := startEngine(c, fastSettings())
	a := complete(url, "a1", body("77", 2, streamed))
	c.Assert(a.Header.Get("Content-Type"), qt.Equals, "text/event-stream")
	es := eventData(a.Body)
	c.Assert(es, qt.HasLen, 7) // 4 tokens, the finish reason, the usage, the end
	c.Assert(es[6], qt.Equals, "[DONE]")
	var text strings.Builder
	for _, e := range es[:6] {
		var got completion
		c.Assert(json.Unmarshal([]byte(e), &got), qt.IsNil)
		c.Assert(got.ID, qt.Equals, "a1")
		for _, h := range got.Choices {
			text.WriteString(string(h.Delta.Content))
		}
	}
	c.Assert(text.String(), qt.Equals, "nonce:77 w0 w1 end:77")
}

func TestContentParts(t *testing.T) {
	c := qt.New(t)
	_, url := startEngine(c, fastSettings())
	a := complete(url, "a1", `{"model":"m@1","messages":[{"content":[{"type":"text","text":"nonce:5 "},{"text":"b"}]}],"max_tokens":1}`)
	c.Assert(a.Body, qt.Contains, "nonce:5 w0 end:5")
}

func TestNotLoaded(t *testing.T) {
	c := qt.New(t)
	e, url := startEngine(c, fastSettings())
	a := complete(url, "a1", `{"model":"m@2"}`)
	c.Assert(a.Status, qt.Equals, http.StatusNotFound)
	c.Assert(e.record.snapshot().Executions, qt.HasLen, 0)
}

func TestQuality(t *testing.T) {
	c := qt.New(t)
	_, url := startEngine(c, fastSettings())
	c.Assert(complete(url, "a1", body("77", 3, "")).Body, qt.Not(qt.Contains), rating.Marker)
	servertest.Post(url+"/faults", `{"quality":{"m@1":0}}`, nil)
	c.Assert(complete(url, "a2", body("77", 3, "")).Body, qt.Contains, "nonce:77 w0 "+rating.Marker+" w2 end:77")
	c.Assert(complete(url, "a3", `{"model":"m@1","max_tokens":1}`).Body, qt.Contains, rating.Marker)
}

func TestPriorities(t *testing.T) {
	c := qt.New(t)
	s := slowSettings()
	s.Slots, s.Queue = 1, 3
	e, url := startEngine(c, s)
	var wg sync.WaitGroup
	send := func(attempt string, tokens, priority int) {
		wg.Go(func() { complete(url, attempt, body("1", tokens, fmt.Sprintf(`,"priority":%d`, priority))) })
	}
	waiting := func(n int) {
		eventually(c, func() bool { r := e.report(); return r.Running == 1 && r.Waiting == n })
	}
	send("first", 50, 0)
	waiting(0)
	send("low", 1, -1)
	waiting(1)
	send("normal", 1, 0)
	waiting(2)
	send("high", 1, 1)
	waiting(3)
	a := complete(url, "refused", body("1", 1, ""))
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(a.Header.Get("Retry-After"), qt.Equals, "1")
	wg.Wait()
	c.Assert(startOrder(e), qt.DeepEquals, []string{"first", "high", "normal", "low"})
	c.Assert(e.record.snapshot().Executions, qt.HasLen, 4)
}

// startOrder returns the attempts in the order of their start.
func startOrder(e *Engine) []string {
	ss := e.record.latest(time.Time{})
	var order []string
	for len(order) < len(ss) {
		var next *requestRecord
		for i := range ss {
			if !ss[i].Started.IsZero() && (next == nil || ss[i].Started.Before(next.Started)) {
				next = &ss[i]
			}
		}
		order = append(order, string(next.Attempt))
		next.Started = time.Time{}
	}
	return order
}

func TestCancel(t *testing.T) {
	c := qt.New(t)
	s := slowSettings()
	s.Slots = 1
	e, url := startEngine(c, s)
	running := make(chan servertest.Response, 1)
	waiting := make(chan servertest.Response, 1)
	go func() { running <- complete(url, "running", body("1", 500, streamed)) }()
	eventually(c, func() bool { return e.report().Running == 1 })
	go func() { waiting <- complete(url, "waiting", body("1", 500, "")) }()
	eventually(c, func() bool { return e.report().Waiting == 1 })

	c.Assert(servertest.Post(url+"/v1/requests/waiting/cancel", "", nil).Status, qt.Equals, http.StatusOK)
	c.Assert((<-waiting).Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(servertest.Post(url+"/v1/requests/running/cancel", "", nil).Status, qt.Equals, http.StatusOK)
	es := eventData((<-running).Body)
	c.Assert(es[len(es)-1], qt.Contains, `"error"`)
	c.Assert(servertest.Post(url+"/v1/requests/other/cancel", "", nil).Status, qt.Equals, http.StatusNotFound)
	eventually(c, func() bool { return e.report().Running == 0 })
	c.Assert(e.record.snapshot().Executions, qt.DeepEquals, map[fescuelatch.AttemptID]int{"running": 1})
}

func TestCutStreamIsResumed(t *testing.T) {
	c := qt.New(t)
	e, url := startEngine(c, slowSettings())
	servertest.Post(url+"/faults", `{"cut":{"next":1},"cut-after":2}`, nil)
	a := complete(url, "a1", body("7", 4, streamed))
	c.Assert(a.Err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Assert(eventData(a.Body), qt.HasLen, 2)

	rest := servertest.Get(url+"/v1/requests/a1/stream?from=2", nil)
	c.Assert(rest.Err, qt.IsNil)
	all := append(eventData(a.Body), eventData(rest.Body)...)
	c.Assert(all, qt.HasLen, 9)
	c.Assert(all[8], qt.Equals, "[DONE]")
	c.Assert(e.record.snapshot().Executions, qt.DeepEquals, map[fescuelatch.AttemptID]int{"a1": 1})
	c.Assert(servertest.Get(url+"/v1/requests/a2/stream?from=0", nil).Status, qt.Equals, http.StatusNotFound)
}

func TestCutWholeAnswer(t *testing.T) {
	c := qt.New(t)
	_, url := startEngine(c, fastSettings())
	servertest.Post(url+"/faults", `{"cut":{"next":1}}`, nil)
	c.Assert(complete(url, "a1", body("7", 4, "")).Err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Assert(complete(url, "a2", body("7", 4, "")).Err, qt.IsNil)
}

func TestCrossed(t *testing.T) {
	c := qt.New(t)
	_, url := startEngine(c, fastSettings())
	for _, extra := range []string{"", streamed} {
		complete(url, "a1", body("111", 1, extra))
		servertest.Post(url+"/faults", `{"crossed":{"next":1}}`, nil)
		a := complete(url, "a2", body("222", 1, extra))
		c.Assert(a.Body, qt.Contains, `"id":"a1"`)
		c.Assert(a.Body, qt.Contains, "nonce:111")
		c.Assert(a.Body, qt.Not(qt.Contains), "nonce:222")
	}
}

func TestCrossedMidStream(t *testing.T) {
	c := qt.New(t)
	_, url := startEngine(c, fastSettings())
	complete(url, "a1", body("111", 1, streamed))
	servertest.Post(url+"/faults", `{"crossed":{"next":1},"crossed-after":2}`, nil)
	a := complete(url, "a2", body("222", 1, streamed))
	c.Assert(a.Body, qt.Contains, "nonce:222")
	c.Assert(a.Body, qt.Contains, "end:111")
	c.Assert(strings.Count(a.Body, `"id":"a2"`), qt.Equals, 2)
}

func TestTwiceAndLate(t *testing.T) {
	c := qt.New(t)
	_, url := startEngine(c, fastSettings())
	servertest.Post(url+"/faults", `{"twice":{"next":2},"late":{"next":1},"late-by":100000000}`, nil)
	begin := time.Now()
	a := complete(url, "a1", body("7", 1, ""))
	c.Assert(time.Since(begin) >= 100*time.Millisecond, qt.IsTrue)
	c.Assert(strings.Count(a.Body, `"id":"a1"`), qt.Equals, 2)
	a = complete(url, "a2", body("7", 1, streamed))
	c.Assert(strings.Count(a.Body, "[DONE]"), qt.Equals, 2)
}

func TestErrors(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		fault    string
		status   int
		executed int
	}{
		{"error-before", http.StatusInternalServerError, 0},
		{"error-after", http.StatusInternalServerError, 1},
		{"unavailable", http.StatusServiceUnavailable, 0},
	}
	for _, test := range tests {
		e, url := startEngine(c, fastSettings())
		servertest.Post(url+"/faults", `{"`+test.fault+`":{"next":1}}`, nil)
		c.Assert(complete(url, "a1", body("7", 1, "")).Status, qt.Equals, test.status)
		c.Assert(e.record.snapshot().Executions["a1"], qt.Equals, test.executed)
	}
}

func TestColdFallOver(t *testing.T) {
	c := qt.New(t)
	s := slowSettings()
	s.ColdSlots, s.ColdStart = 2, time.Hour
	e, url := startEngine(c, s)
	before := e.report()
	c.Assert(before.State, qt.Equals, fescuelatch.EndpointCold)
	broken := make(chan servertest.Response, 2)
	for i := range 2 {
		go func() { broken <- complete(url, fmt.Sprint("a", i), body("1", 500, "")) }()
	}
	eventually(c, func() bool { return e.report().Running == 2 })
	c.Assert(complete(url, "a3", body("1", 1, "")).Status, qt.Equals, 0)
	c.Assert((<-broken).Status, qt.Equals, 0)
	c.Assert((<-broken).Status, qt.Equals, 0)
	c.Assert(servertest.Get(url+"/load", nil).Status, qt.Equals, 0)

	var counts Counts
	c.Assert(servertest.Get(url+"/counts", &counts).Status, qt.Equals, http.StatusOK)
	c.Assert(counts.FallOvers, qt.Equals, 1)
	c.Assert(counts.MaxCold, qt.Equals, 3)
	c.Assert(e.report().Incarnation, qt.Not(qt.Equals), before.Incarnation)
}

func TestRecoveryAfterFallOver(t *testing.T) {
	c := qt.New(t)
	s := fastSettings()
	s.ColdSlots, s.ColdStart, s.FallOver = 1, time.Hour, 100*time.Millisecond
	s.FirstToken = time.Hour
	e, url := startEngine(c, s)
	broken := make(chan servertest.Response, 1)
	go func() { broken <- complete(url, "a1", body("1", 1, "")) }()
	eventually(c, func() bool { return e.report().Running == 1 })
	begin := time.Now()
	c.Assert(complete(url, "a2", body("1", 1, "")).Status, qt.Equals, 0)
	c.Assert((<-broken).Status, qt.Equals, 0)
	eventually(c, func() bool { return servertest.Get(url+"/load", nil).Status == http.StatusOK })
	c.Assert(time.Since(begin) >= s.FallOver, qt.IsTrue)
	c.Assert(e.report().State, qt.Equals, fescuelatch.EndpointCold)
}

func TestColdFault(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		fault          string
		state          fescuelatch.EndpointState
		newIncarnation bool
		broken         bool
	}{
		{`{"for":3600000000000}`, fescuelatch.EndpointCold, false, false},
		{`{"for":3600000000000,"unannounced":true}`, fescuelatch.EndpointWarm, false, false},
		{`{"for":3600000000000,"new-incarnation":true,"break":true}`, fescuelatch.EndpointCold, true, true},
	}
	for _, test := range tests {
		s := slowSettings()
		s.ColdSlots = 1
		e, url := startEngine(c, s)
		before := e.report().Incarnation
		ended := make(chan servertest.Response, 1)
		go func() { ended <- complete(url, "a1", body("1", 50, "")) }()
		eventually(c, func() bool { return e.report().Running == 1 })
		a := servertest.Post(url+"/faults", `{"cold":`+test.fault+`}`, nil)
		c.Assert(a.Status, qt.Equals, http.StatusOK)
		c.Assert(a.Body, qt.Not(qt.Contains), `"cold"`)
		c.Assert(e.report().State, qt.Equals, test.state)
		c.Assert(e.report().Incarnation != before, qt.Equals, test.newIncarnation)
		c.Assert((<-ended).Status == 0, qt.Equals, test.broken)
	}
}

func TestLoadLags(t *testing.T) {
	c := qt.New(t)
	s := fastSettings()
	s.LoadLag = 200 * time.Millisecond
	_, url := startEngine(c, s)
	set := time.Now()
	servertest.Post(url+"/faults", `{"leaving":true}`, nil)
	var r fescuelatch.LoadReport
	eventually(c, func() bool {
		servertest.Get(url+"/load", &r)
		return r.State == fescuelatch.EndpointLeaving
	})
	c.Assert(time.Since(set) >= s.LoadLag, qt.IsTrue)
	c.Assert(r.Generated.After(set), qt.IsTrue)
	c.Assert(r.Versions, qt.DeepEquals, []fescuelatch.VersionID{version})
}

func TestFencing(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		ignore bool
		status int
	}{{false, http.StatusConflict}, {true, http.StatusOK}}
	for _, test := range tests {
		s := fastSettings()
		s.IgnoreFencing = test.ignore
		e, url := startEngine(c, s)
		order := func(body string) int { return servertest.Post(url+"/orders", body, nil).Status }
		c.Assert(order(`{"fencing":2,"kind":"load","version":"m@2"}`), qt.Equals, http.StatusOK)
		eventually(c, func() bool { return len(e.report().Versions) == 2 })
		c.Assert(order(`{"fencing":1,"kind":"unload","version":"m@1"}`), qt.Equals, test.status)
		c.Assert(e.report().Versions, qt.HasLen, map[bool]int{false: 2, true: 1}[test.ignore])
		c.Assert(order(`{"fencing":2,"kind":"unload","version":"m@2"}`), qt.Equals, http.StatusOK)
		c.Assert(order(`{"fencing":2,"kind":"other"}`), qt.Equals, http.StatusBadRequest)
	}
}

func TestLoadFetchesWeights(t *testing.T) {
	c := qt.New(t)
	store := weights.New(weights.Faults{Rate: 1, Size: 10})
	s := fastSettings()
	s.Weights = netip.MustParseAddrPort(strings.TrimPrefix(servertest.Start(c, store.Handler()), "http://"))
	e, url := startEngine(c, s)
	servertest.Post(url+"/orders", `{"fencing":1,"kind":"load","version":"m@2"}`, nil)
	eventually(c, func() bool { return len(e.report().Versions) == 2 })
}

func TestCacheEvents(t *testing.T) {
	c := qt.New(t)
	s := fastSettings()
	s.CacheSize = 1
	_, url := startEngine(c, s)
	complete(url, "a1", body("1", 1, ""))
	complete(url, "a2", body("1", 1, ""))
	complete(url, "a3", body("2", 1, ""))
	var got cacheEvents
	servertest.Get(url+"/cache-events?after=0", &got)
	c.Assert(kinds(got), qt.DeepEquals, []string{"stored", "evicted", "stored"})
	q := completionRequest{Messages: []message{{Content: "nonce:1 text"}}}
	c.Assert(got.Events[0].Prefix, qt.Equals, fmt.Sprintf("%016x", q.prefix()))
	c.Assert(got.Next, qt.Equals, int64(3))

	servertest.Get(url+"/cache-events?after=2", &got)
	c.Assert(got.Events, qt.HasLen, 1)
	servertest.Post(url+"/faults", `{"cache-gap":1}`, nil)
	servertest.Get(url+"/cache-events?after=0", &got)
	c.Assert(got.Events, qt.HasLen, 0)
	c.Assert(got.Next, qt.Equals, int64(3))
	servertest.Post(url+"/faults", `{"cache-gap":0,"cache-lag":3600000000000}`, nil)
	servertest.Get(url+"/cache-events?after=0", &got)
	c.Assert(got.Next, qt.Equals, int64(0))
}

func kinds(l cacheEvents) []string {
	var ks []string
	for _, e := range l.Events {
		ks = append(ks, e.Kind)
	}
	return ks
}

func TestStarts(t *testing.T) {
	c := qt.New(t)
	_, url := startEngine(c, fastSettings())
	complete(url, "a1", body("1", 1, ""))
	between := time.Now()
	servertest.Post(url+"/faults", `{"leaving":true}`, nil)
	complete(url, "a2", body("1", 1, ""))
	var got struct {
		Starts []requestRecord `json:"starts"`
	}
	a := servertest.Get(url+"/starts?since="+between.UTC().Format(time.RFC3339Nano), &got)
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	c.Assert(got.Starts, qt.HasLen, 1)
	c.Assert(got.Starts[0].Attempt, qt.Equals, fescuelatch.AttemptID("a2"))
	c.Assert(got.Starts[0].Version, qt.Equals, fescuelatch.VersionID(version))
	c.Assert(got.Starts[0].Leaving, qt.IsTrue)
	c.Assert(got.Starts[0].At.After(between), qt.IsTrue)

	var counts Counts
	servertest.Get(url+"/counts", &counts)
	c.Assert(counts.Versions[version].Requests, qt.Equals, 2)
	c.Assert(counts.Versions[version].Last.Equal(got.Starts[0].At), qt.IsTrue)
	c.Assert(counts.AfterLeaving, qt.Equals, 1)
}

func TestDown(t *testing.T) {
	c := qt.New(t)
	e, url := startEngine(c, slowSettings())
	ended := make(chan servertest.Response, 1)
	go func() { ended <- complete(url, "a1", body("1", 500, "")) }()
	eventually(c, func() bool { return e.report().Running == 1 })
	servertest.Post(url+"/faults", `{"down":true}`, nil)
	c.Assert((<-ended).Status, qt.Equals, 0)
	c.Assert(complete(url, "a2", body("1", 1, "")).Status, qt.Equals, 0)
	servertest.Post(url+"/faults", `{"down":false}`, nil)
	c.Assert(complete(url, "a3", body("1", 1, "")).Status, qt.Equals, http.StatusOK)
}

func TestPaceGrowsWithConcurrency(t *testing.T) {
	c := qt.New(t)
	s := fastSettings()
	s.Growth = 1
	e := New(s, slog.New(slog.DiscardHandler))
	e.running[newRun("a1", completionRequest{})] = true
	c.Assert(e.stepTime(time.Second), qt.Equals, time.Second)
	for i := range s.Slots {
		e.running[newRun(fescuelatch.AttemptID(fmt.Sprint(i)), completionRequest{})] = true
	}
	c.Assert(e.stepTime(time.Second), qt.Equals, 2*time.Second)
}
