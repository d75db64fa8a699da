package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/cmd/standin/engine"
	"fescuelatch/cmd/standin/kv"
	"fescuelatch/cmd/standin/rating"
	"fescuelatch/cmd/standin/server/servertest"
	"fescuelatch/cmd/standin/service"
	"fescuelatch/cmd/standin/vms"
	engineclient "fescuelatch/engine"
	"fescuelatch/etcd"
	"fescuelatch/keyvalue"
	"fescuelatch/openai"
	ratingclient "fescuelatch/rating"
	"fescuelatch/vmlist"
)

// The tests of this file run the router's own clients against the stand-ins.

func testContext(c *qt.C) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), servertest.Timeout)
	c.Cleanup(cancel)
	return ctx
}

func startPlatform(c *qt.C) (*etcd.Client, string) {
	url := servertest.Start(c, kv.NewPlatform(kv.Faults{}).Handler())
	server := netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
	return &etcd.Client{Server: server}, url
}

func create(key, value string) fescuelatch.KVTxn {
	return fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: key}},
		Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: key, Value: []byte(value)}}},
		Else: []fescuelatch.KVOp{{Get: key}},
	}
}

func TestPlatformClient(t *testing.T) {
	c := qt.New(t)
	kvs, _ := startPlatform(c)
	// Canceling ctx ends the watch before the server closes.
	ctx := testContext(c)
	r, err := kvs.Txn(ctx, create("a", "1"))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Succeeded, qt.IsTrue)
	changes, err := kvs.Watch(ctx, "a", "b", r.Revision)
	c.Assert(err, qt.IsNil)

	a, b := create("a", "2"), create("ab", "3")
	r, err = kvs.Txn(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Txn: &a}, {Txn: &b}}})
	c.Assert(err, qt.IsNil)
	c.Assert(r.Results[0].Txn.Succeeded, qt.IsFalse)
	c.Assert(string(r.Results[0].Txn.Results[0].Values[0].Value), qt.Equals, "1")
	c.Assert(r.Results[1].Txn.Succeeded, qt.IsTrue)
	v := <-changes
	c.Assert(v, qt.DeepEquals, fescuelatch.KeyValue{Key: "ab", Value: []byte("3"), Revision: r.Revision})

	list, err := kvs.List(ctx, "a", "b", 10)
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 2)
	got, err := kvs.Get(ctx, "absent")
	c.Assert(err, qt.IsNil)
	c.Assert(got.Revision, qt.Equals, int64(0))
	lease, err := kvs.Grant(ctx, 1500*time.Millisecond)
	c.Assert(err, qt.IsNil)
	left, err := kvs.KeepAlive(ctx, lease)
	c.Assert(err, qt.IsNil)
	c.Assert(left, qt.Equals, 2*time.Second)
}

func TestPlatformClientFaults(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		faults  string
		kind    keyvalue.ErrorKind
		applied bool
	}{
		{`{"lost-answer":{"next":1}}`, keyvalue.KindUnknown, true},
		{`{"lost-answer":{"next":1},"lost-answer-mode":"timed-out"}`, keyvalue.KindUnknown, true},
		{`{"outage":"refuse"}`, keyvalue.KindUnknown, false},
		{`{"outage":"hang"}`, keyvalue.KindUnknown, false},
		{`{"outage":"unavailable"}`, keyvalue.KindUnavailable, false},
		{`{"write-rate":0.001}`, keyvalue.KindRateLimited, false},
	}
	for _, test := range tests {
		comment := qt.Commentf("%s", test.faults)
		ctx := testContext(c)
		kvs, url := startPlatform(c)
		kvs.Timeout = time.Second
		servertest.Post(url+"/faults", test.faults, nil)
		if test.kind == keyvalue.KindRateLimited {
			_, err := kvs.Txn(ctx, create("first", "1"))
			c.Assert(err, qt.IsNil, comment)
		}
		_, err := kvs.Txn(ctx, create("a", "1"))
		c.Assert(keyvalue.KindOf(err), qt.Equals, test.kind, comment)
		servertest.Post(url+"/faults", `{"outage":""}`, nil)
		v, err := kvs.Get(ctx, "a")
		c.Assert(err, qt.IsNil, comment)
		c.Assert(v.Revision != 0, qt.Equals, test.applied, comment)
	}
}

func startEngine(c *qt.C) string {
	s := engine.Settings{Versions: []fescuelatch.VersionID{"m@1"}, Slots: 2, Queue: 2, FallOver: time.Hour}
	return servertest.Start(c, engine.New(s, slog.New(slog.DiscardHandler)).Handler())
}

func chatRequest(stream bool) *openai.ChatRequest {
	r := &openai.ChatRequest{
		Model:     "m@1",
		Messages:  []openai.Message{{Role: "user", Content: []byte(`"nonce:7 text"`)}},
		MaxTokens: 3,
		Stream:    stream,
	}
	if stream {
		r.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
	}
	return r
}

// chat returns the text of a response.
func chat(c *qt.C, url string, attempt fescuelatch.AttemptID, r *openai.ChatRequest) (string, error) {
	e := engineclient.Client{HTTP: http.DefaultClient}
	var text strings.Builder
	chunk := func(k *openai.Chunk) error {
		text.WriteString(k.Text())
		return nil
	}
	t := engineclient.Target{URL: url, Resumable: true}
	answer, err := e.Chat(testContext(c), t, attempt, r, func() {}, chunk)
	if err == nil && !r.Stream {
		text.WriteString(answer.Text())
	}
	return text.String(), err
}

func TestEngineClient(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		faults string
		kind   engineclient.Kind
		// streamKind is the kind for a streamed request.
		streamKind engineclient.Kind
	}{
		{`{}`, "", ""},
		{`{"cut":{"next":1},"cut-after":2}`, engineclient.KindBroken, ""}, // resumed
		{`{"crossed":{"next":1}}`, engineclient.KindBroken, engineclient.KindBroken},
		{`{"crossed":{"next":1},"crossed-after":2}`, engineclient.KindBroken, engineclient.KindBroken},
		{`{"twice":{"next":1}}`, "", ""},
		{`{"error-after":{"next":1}}`, engineclient.KindBroken, engineclient.KindBroken},
		{`{"unavailable":{"next":1}}`, engineclient.KindOverloaded, engineclient.KindOverloaded},
	}
	for _, test := range tests {
		for _, stream := range []bool{false, true} {
			kind := test.kind
			if stream {
				kind = test.streamKind
			}
			comment := qt.Commentf("%s, stream %v", test.faults, stream)
			url := startEngine(c)
			servertest.Post(url+"/faults", test.faults, nil)
			text, err := chat(c, url, "a1", chatRequest(stream))
			if kind == "" {
				c.Assert(err, qt.IsNil, comment)
				c.Assert(text, qt.Equals, "nonce:7 w0 w1 w2 end:7", comment)
				continue
			}
			var e *engineclient.Error
			c.Assert(err, qt.ErrorAs, &e, comment)
			c.Assert(e.Kind, qt.Equals, kind, comment)
		}
	}
}

func TestServiceClient(t *testing.T) {
	c := qt.New(t)
	url := servertest.Start(c, service.New(service.Settings{Slots: 1}).Handler())
	e := engineclient.Client{HTTP: http.DefaultClient}
	call := func(attempt fescuelatch.AttemptID) (*engineclient.Answer, error) {
		t := engineclient.Target{URL: url}
		return e.Call(testContext(c), t, attempt, "ban", "issue", "key", []byte(`{"nonce":"n1"}`))
	}
	a, err := call("a1")
	c.Assert(err, qt.IsNil)
	c.Assert(string(a.Body), qt.Contains, `"nonce":"n1"`)
	servertest.Post(url+"/faults", `{"crossed":{"next":1}}`, nil)
	_, err = call("a2")
	c.Assert(err, qt.ErrorMatches, ".*answer of attempt.*")
	l, err := e.Load(testContext(c), engineclient.Target{URL: url})
	c.Assert(err, qt.IsNil)
	c.Assert(l.Slots, qt.Equals, 1)
}

func TestRatingAndVMListClients(t *testing.T) {
	c := qt.New(t)
	url := servertest.Start(c, rating.New(rating.Faults{}).Handler())
	r := ratingclient.Client{HTTP: http.DefaultClient, URL: url}
	score, err := r.Rate(testContext(c), "m@1", "prompt", fmt.Sprint("w0 ", rating.Marker))
	c.Assert(err, qt.IsNil)
	c.Assert(score < 0.5, qt.IsTrue)

	url = servertest.Start(c, vms.New(vms.Faults{}).Handler())
	servertest.Post(url+"/vms", `{"vms":[{"id":"v1","state":"live","started":"2026-01-02T03:04:05Z"}]}`, nil)
	l := vmlist.Client{HTTP: http.DefaultClient, URL: url}
	got, err := l.VMs(testContext(c))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].ID, qt.Equals, "v1")
}
