package kv

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/cmd/standin/server/servertest"
)

const testTimeout = 10 * time.Second

// startPlatform starts a platform and returns it with its URL.
func startPlatform(c *qt.C) (*Platform, string) {
	p := NewPlatform(Faults{})
	s := httptest.NewServer(p.Handler())
	c.Cleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go p.Maintain(ctx)
	return p, s.URL
}

// call posts body and decodes the answer into out.
func call(url, body string, out any) int { return servertest.Post(url, body, out).Status }

// Keys and values in base64: a, ab, b, x, y.
const (
	keyA  = "YQ=="
	keyAB = "YWI="
	keyB  = "Yg=="
	valX  = "eA=="
	valY  = "eQ=="
)

func put(key, value string) string {
	return `{"request_put":{"key":"` + key + `","value":"` + value + `"}}`
}

func absent(key string) string {
	return `{"target":"MOD","key":"` + key + `","mod_revision":"0"}`
}

func TestTxn(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		name      string
		before    []string // puts
		txn       string
		status    int
		succeeded bool
		want      map[string]string
	}{{
		name:      "create",
		txn:       `{"compare":[` + absent(keyA) + `],"success":[` + put(keyA, valX) + `]}`,
		status:    200,
		succeeded: true,
		want:      map[string]string{"a": "x"},
	}, {
		name:   "create of an existing key runs the failure branch",
		before: []string{put(keyA, valX)},
		txn:    `{"compare":[` + absent(keyA) + `],"success":[` + put(keyA, valY) + `],"failure":[{"request_range":{"key":"YQ=="}}]}`,
		status: 200,
		want:   map[string]string{"a": "x"},
	}, {
		name:      "swap by create revision and value",
		before:    []string{put(keyA, valX)},
		txn:       `{"compare":[{"target":"CREATE","key":"YQ==","create_revision":"2"},{"target":"VALUE","key":"YQ==","value":"eA=="}],"success":[` + put(keyA, valY) + `]}`,
		status:    200,
		succeeded: true,
		want:      map[string]string{"a": "y"},
	}, {
		name:   "the value of an absent key never matches",
		txn:    `{"compare":[{"target":"VALUE","key":"YQ==","value":""}],"success":[` + put(keyA, valY) + `]}`,
		status: 200,
		want:   map[string]string{},
	}, {
		name:   "nested transactions have independent outcomes",
		before: []string{put(keyB, valX)},
		txn: `{"success":[` +
			`{"request_txn":{"compare":[` + absent(keyA) + `],"success":[` + put(keyA, valY) + `]}},` +
			`{"request_txn":{"compare":[` + absent(keyB) + `],"success":[` + put(keyB, valY) + `]}}]}`,
		status:    200,
		succeeded: true,
		want:      map[string]string{"a": "y", "b": "x"},
	}, {
		name: "nested comparisons see the state before the transaction",
		txn: `{"success":[` + put(keyA, valX) +
			`,{"request_txn":{"compare":[` + absent(keyA) + `],"success":[` + put(keyB, valY) + `]}}]}`,
		status:    200,
		succeeded: true,
		want:      map[string]string{"a": "x", "b": "y"},
	}, {
		name:   "a key put twice is rejected",
		txn:    `{"success":[` + put(keyA, valX) + `,` + put(keyA, valY) + `]}`,
		status: 400,
		want:   map[string]string{},
	}, {
		name:   "a key put and deleted is rejected",
		txn:    `{"success":[` + put(keyA, valX) + `,{"request_delete_range":{"key":"YQ=="}}]}`,
		status: 400,
		want:   map[string]string{},
	}, {
		name:   "too many operations are rejected",
		txn:    `{"compare":[` + strings.Repeat(absent(keyA)+",", maxTxnOps) + absent(keyA) + `]}`,
		status: 400,
		want:   map[string]string{},
	}, {
		name:   "an unknown lease is rejected and nothing is written",
		txn:    `{"success":[` + put(keyB, valX) + `,{"request_put":{"key":"YQ==","lease":"77"}}]}`,
		status: 404,
		want:   map[string]string{},
	}}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			p, url := startPlatform(c)
			if len(test.before) > 0 {
				status := call(url+"/v3/kv/txn", `{"success":[`+strings.Join(test.before, ",")+`]}`, nil)
				c.Assert(status, qt.Equals, 200)
			}
			var resp txnResponse
			c.Assert(call(url+"/v3/kv/txn", test.txn, &resp), qt.Equals, test.status)
			c.Assert(resp.Succeeded, qt.Equals, test.succeeded)
			c.Assert(p.values(), qt.DeepEquals, test.want)
		})
	}
}

func (p *Platform) values() map[string]string {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	vs := make(map[string]string)
	for k, v := range p.store.values {
		vs[k] = string(v.Value)
	}
	return vs
}

func TestTxnHasOneRevision(t *testing.T) {
	c := qt.New(t)
	_, url := startPlatform(c)
	var r txnResponse
	call(url+"/v3/kv/txn", `{"success":[`+put(keyA, valX)+`,{"request_txn":{"success":[`+put(keyB, valX)+`]}}]}`, &r)
	c.Assert(r.Header.Revision, qt.Equals, number(2))
	call(url+"/v3/kv/txn", `{"success":[{"request_range":{"key":"YQ==","range_end":"AA=="}}]}`, &r)
	c.Assert(r.Header.Revision, qt.Equals, number(2))
	for _, v := range r.Responses[0].Range.KVs {
		c.Assert(v.ModRevision, qt.Equals, number(2))
	}
}

func TestRange(t *testing.T) {
	c := qt.New(t)
	_, url := startPlatform(c)
	call(url+"/v3/kv/txn", `{"success":[`+put(keyB, valX)+`,`+put(keyA, valX)+`,`+put(keyAB, valX)+`]}`, nil)
	tests := []struct {
		body string
		keys []string
		more bool
	}{
		{`{"key":"YQ=="}`, []string{"a"}, false},
		{`{"key":"YQ==","range_end":"Yg=="}`, []string{"a", "ab"}, false},
		{`{"key":"YQ==","range_end":"AA=="}`, []string{"a", "ab", "b"}, false},
		{`{"key":"YQ==","range_end":"AA==","limit":"2"}`, []string{"a", "ab"}, true},
		{`{"key":"YQ==","range_end":"AA==","limit":2,"sort_order":"DESCEND","sort_target":"KEY"}`, []string{"b", "ab"}, true},
		{`{"key":"YWE="}`, nil, false},
	}
	for _, test := range tests {
		var r rangeResponse
		c.Assert(call(url+"/v3/kv/range", test.body, &r), qt.Equals, 200)
		var keys []string
		for _, v := range r.KVs {
			keys = append(keys, string(v.Key))
		}
		c.Assert(keys, qt.DeepEquals, test.keys, qt.Commentf("%s", test.body))
		c.Assert(r.More, qt.Equals, test.more)
	}
}

func TestKeySet(t *testing.T) {
	c := qt.New(t)
	const n = 4 * maxChunk
	r := rand.New(rand.NewPCG(1, 2))
	var s keySet
	want := make([]string, n)
	for i := range want {
		want[i] = fmt.Sprintf("%05d", i)
	}
	for _, i := range r.Perm(n) {
		s.add(want[i])
	}
	all := span{key: []byte("0"), end: []byte{0}}
	c.Assert(s.keysIn(all), qt.DeepEquals, want)
	c.Assert(s.keysIn(span{key: []byte("00100"), end: []byte("01500")}), qt.DeepEquals, want[100:1500])
	c.Assert(s.keysIn(span{key: []byte("9"), end: []byte{0}}), qt.HasLen, 0)
	for _, i := range r.Perm(n) {
		if i%3 != 0 {
			s.remove(want[i])
		}
	}
	var left []string
	for i := 0; i < n; i += 3 {
		left = append(left, want[i])
	}
	c.Assert(s.keysIn(all), qt.DeepEquals, left)
	for _, k := range left {
		s.remove(k)
	}
	c.Assert(s.keysIn(all), qt.HasLen, 0)
	s.add("a")
	c.Assert(s.keysIn(all), qt.DeepEquals, []string{"a"})
}

func TestValueLimit(t *testing.T) {
	c := qt.New(t)
	_, url := startPlatform(c)
	for _, test := range []struct{ size, status int }{{maxValueSize, 200}, {maxValueSize + 1, 400}} {
		b, _ := json.Marshal(putRequest{Key: []byte("a"), Value: make([]byte, test.size)})
		c.Assert(call(url+"/v3/kv/put", string(b), nil), qt.Equals, test.status)
	}
}

func TestLeaseExpires(t *testing.T) {
	c := qt.New(t)
	p, url := startPlatform(c)
	var l leaseResponse
	c.Assert(call(url+"/v3/lease/grant", `{"TTL":"1"}`, &l), qt.Equals, 200)
	id, _ := json.Marshal(l.ID)
	body := `{"key":"YQ==","value":"eA==","lease":` + string(id) + `}`
	c.Assert(call(url+"/v3/kv/put", body, nil), qt.Equals, 200)

	var kept struct{ Result leaseResponse }
	c.Assert(call(url+"/v3/lease/keepalive", `{"ID":`+string(id)+`}`, &kept), qt.Equals, 200)
	c.Assert(kept.Result.TTL, qt.Equals, number(1))

	p.store.expire(time.Now().Add(time.Second / 2))
	c.Assert(p.values(), qt.DeepEquals, map[string]string{"a": "x"})
	p.store.expire(time.Now().Add(2 * time.Second))
	c.Assert(p.values(), qt.DeepEquals, map[string]string{})

	kept.Result = leaseResponse{}
	c.Assert(call(url+"/v3/lease/keepalive", `{"ID":`+string(id)+`}`, &kept), qt.Equals, 200)
	c.Assert(kept.Result.TTL, qt.Equals, number(0))
	c.Assert(call(url+"/v3/lease/revoke", `{"ID":`+string(id)+`}`, nil), qt.Equals, 404)
}

func TestRevoke(t *testing.T) {
	c := qt.New(t)
	p, url := startPlatform(c)
	call(url+"/v3/lease/grant", `{"TTL":"60","ID":"9"}`, nil)
	call(url+"/v3/kv/put", `{"key":"YQ==","value":"eA==","lease":"9"}`, nil)
	call(url+"/v3/kv/put", `{"key":"Yg==","value":"eA==","lease":"9"}`, nil)
	// A put without the lease unbinds the key from it.
	call(url+"/v3/kv/put", `{"key":"Yg==","value":"eA=="}`, nil)
	c.Assert(call(url+"/v3/lease/revoke", `{"ID":"9"}`, nil), qt.Equals, 200)
	c.Assert(p.values(), qt.DeepEquals, map[string]string{"b": "x"})
}

// openWatch starts a watch and returns a function that reads its next result.
func openWatch(c *qt.C, url, create string) func() (watchResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	body := `{"create_request":` + create + `}`
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v3/watch", strings.NewReader(body))
	r, err := http.DefaultClient.Do(q)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { r.Body.Close() })
	d := json.NewDecoder(bufio.NewReader(r.Body))
	return func() (watchResponse, error) {
		var out struct{ Result watchResponse }
		err := d.Decode(&out)
		return out.Result, err
	}
}

func TestWatch(t *testing.T) {
	c := qt.New(t)
	_, url := startPlatform(c)
	call(url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil)
	next := openWatch(c, url, `{"key":"YQ==","range_end":"Yg==","start_revision":"2"}`)
	r, err := next()
	c.Assert(err, qt.IsNil)
	c.Assert(r.Created, qt.IsTrue)
	r, err = next()
	c.Assert(err, qt.IsNil)
	c.Assert(r.Events, qt.HasLen, 1)
	c.Assert(string(r.Events[0].KV.Value), qt.Equals, "x")

	call(url+"/v3/kv/put", `{"key":"Yg==","value":"eA=="}`, nil) // out of range
	call(url+"/v3/kv/deleterange", `{"key":"YQ=="}`, nil)
	r, err = next()
	c.Assert(err, qt.IsNil)
	c.Assert(r.Events, qt.HasLen, 1)
	c.Assert(r.Events[0].Type, qt.Equals, "DELETE")
	c.Assert(r.Events[0].KV.ModRevision, qt.Equals, number(4))
}

func TestWatchOfCompactedRevision(t *testing.T) {
	c := qt.New(t)
	p, url := startPlatform(c)
	p.store.mu.Lock()
	p.store.compacted = 5
	p.store.mu.Unlock()
	next := openWatch(c, url, `{"key":"YQ==","start_revision":"4"}`)
	_, err := next()
	c.Assert(err, qt.IsNil)
	r, err := next()
	c.Assert(err, qt.IsNil)
	c.Assert(r.Canceled, qt.IsTrue)
	c.Assert(r.CompactRevision, qt.Equals, number(5))
}

func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	for range maxHistory + 10 {
		s.put(&putRequest{Key: []byte("a")}, s.revision+1)
		s.commit()
	}
	c.Assert(s.history, qt.HasLen, maxHistory)
	c.Assert(s.eventsFrom(span{key: []byte("a")}, 2).compacted, qt.IsTrue)
	b := s.eventsFrom(span{key: []byte("a")}, s.compacted)
	c.Assert(b.compacted, qt.IsFalse)
	c.Assert(b.events, qt.HasLen, maxHistory)
}

func TestWatchGap(t *testing.T) {
	c := qt.New(t)
	_, url := startPlatform(c)
	next := openWatch(c, url, `{"key":"YQ=="}`)
	_, err := next()
	c.Assert(err, qt.IsNil)
	call(url+"/faults", `{"watch-gap":{"next":1}}`, nil)
	call(url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil)
	time.Sleep(50 * time.Millisecond) // lets the watch drop the first event
	call(url+"/v3/kv/put", `{"key":"YQ==","value":"eQ=="}`, nil)
	r, err := next()
	c.Assert(err, qt.IsNil)
	c.Assert(string(r.Events[0].KV.Value), qt.Equals, "y")
}

func TestLostResponse(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		mode   string
		status int
	}{{"cut", 0}, {"timed-out", 503}}
	for _, test := range tests {
		p, url := startPlatform(c)
		call(url+"/faults", `{"lost-answer":{"next":1},"lost-answer-mode":"`+test.mode+`"}`, nil)
		var r rangeResponse
		c.Assert(call(url+"/v3/kv/range", `{"key":"YQ=="}`, &r), qt.Equals, 200)
		c.Assert(call(url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil), qt.Equals, test.status)
		c.Assert(p.values(), qt.DeepEquals, map[string]string{"a": "x"})
		c.Assert(call(url+"/v3/kv/put", `{"key":"YQ==","value":"eQ=="}`, nil), qt.Equals, 200)
	}
}

func TestLostResponseHangs(t *testing.T) {
	c := qt.New(t)
	p, url := startPlatform(c)
	call(url+"/faults", `{"lost-answer":{"next":1},"lost-answer-mode":"hang"}`, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v3/kv/put", strings.NewReader(`{"key":"YQ==","value":"eA=="}`))
	_, err := http.DefaultClient.Do(q)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(p.values(), qt.DeepEquals, map[string]string{"a": "x"})
}

func TestOutage(t *testing.T) {
	c := qt.New(t)
	p, url := startPlatform(c)
	next := openWatch(c, url, `{"key":"YQ=="}`)
	_, err := next()
	c.Assert(err, qt.IsNil)

	call(url+"/faults", `{"outage":"refuse"}`, nil)
	c.Assert(call(url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil), qt.Equals, 0)
	_, err = next()
	c.Assert(err, qt.IsNotNil)

	call(url+"/faults", `{"outage":"unavailable"}`, nil)
	c.Assert(call(url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil), qt.Equals, 503)

	call(url+"/faults", `{"outage":"hang"}`, nil)
	done := make(chan int)
	go func() { done <- call(url+"/v3/kv/put", `{"key":"YQ==","value":"eA=="}`, nil) }()
	select {
	case <-done:
		c.Fatal("call completed during an outage")
	case <-time.After(100 * time.Millisecond):
	}
	c.Assert(p.values(), qt.DeepEquals, map[string]string{})
	call(url+"/faults", `{"outage":""}`, nil)
	c.Assert(<-done, qt.Equals, 200)
}

func TestRateLimit(t *testing.T) {
	c := qt.New(t)
	_, url := startPlatform(c)
	call(url+"/faults", `{"write-rate":1}`, nil)
	body := `{"key":"YQ==","value":"eA=="}`
	c.Assert(call(url+"/v3/kv/put", body, nil), qt.Equals, 200)
	c.Assert(call(url+"/v3/kv/put", body, nil), qt.Equals, 429)
	c.Assert(call(url+"/v3/kv/range", `{"key":"YQ=="}`, nil), qt.Equals, 200)
	// A read-only transaction does not count as a write.
	c.Assert(call(url+"/v3/kv/txn", `{"success":[{"request_range":{"key":"YQ=="}}]}`, nil), qt.Equals, 200)
}

func TestCounts(t *testing.T) {
	c := qt.New(t)
	p, url := startPlatform(c)
	call(url+"/v3/kv/range", `{"key":"YQ=="}`, nil)
	call(url+"/v3/kv/txn", `{}`, nil)
	next := openWatch(c, url, `{"key":"YQ=="}`)
	_, err := next()
	c.Assert(err, qt.IsNil)
	p.counts.mu.Lock()
	defer p.counts.mu.Unlock()
	c.Assert(p.counts.byKind, qt.DeepEquals, map[string]int64{"range": 1, "txn": 1, "watch": 1})
}

func TestUnknownFieldsAreRejected(t *testing.T) {
	c := qt.New(t)
	_, url := startPlatform(c)
	var b bytes.Buffer
	_ = json.NewEncoder(&b).Encode(map[string]any{"requestPut": 1})
	c.Assert(call(url+"/v3/kv/txn", b.String(), nil), qt.Equals, 400)
	c.Assert(call(url+"/faults", `{"outtage":"hang"}`, nil), qt.Equals, 400)
	c.Assert(call(url+"/faults", `{"outage":"slow"}`, nil), qt.Equals, 400)
	c.Assert(call(url+"/faults", `{"lost-answer-mode":"slow"}`, nil), qt.Equals, 400)
}
