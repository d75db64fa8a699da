package etcd_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/etcd"
	"fescuelatch/keyvalue"
)

// This file tests the client against fixed responses of the gateway.

func serve(t *testing.T, h http.HandlerFunc) *etcd.Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return &etcd.Client{
		Server:  netip.MustParseAddrPort(s.Listener.Addr().String()),
		HTTP:    s.Client(),
		Timeout: 200 * time.Millisecond,
	}
}

func respond(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text))
	}
}

// neverRespond reads the request and never responds. The server detects that
// the client has disconnected only after it has read the body.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

var put = fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: "k", Value: []byte("v")}}}}

func TestErrorKinds(t *testing.T) {
	tests := []struct {
		name  string
		serve http.HandlerFunc
		read  keyvalue.ErrorKind
		write keyvalue.ErrorKind
	}{
		{"rate limit", respond(429, "{}"), keyvalue.KindRateLimited, keyvalue.KindRateLimited},
		{"unavailable", respond(503, "busy"), keyvalue.KindUnavailable, keyvalue.KindUnavailable},
		{
			"proposal timed out", respond(503, `{"message":"etcdserver: request timed out","code":14}`),
			keyvalue.KindUnavailable, keyvalue.KindUnknown,
		},
		{"server error", respond(500, ""), keyvalue.KindUnavailable, keyvalue.KindUnknown},
		{"gateway timeout", respond(504, ""), keyvalue.KindUnavailable, keyvalue.KindUnknown},
		{"malformed", respond(400, `{"message":"key is not provided"}`), keyvalue.KindInvalid, keyvalue.KindInvalid},
		{"not JSON", respond(200, "<html>"), keyvalue.KindInvalid, keyvalue.KindUnknown},
		{"truncated", respond(200, `{"header":{"revi`), keyvalue.KindUnavailable, keyvalue.KindUnknown},
		{"no response", neverRespond, keyvalue.KindUnavailable, keyvalue.KindUnknown},
		{
			"connection broken after the request",
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			keyvalue.KindUnavailable, keyvalue.KindUnknown,
		},
		{"response of another type", respond(200, `{"succeeded":true}`), "", keyvalue.KindUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			k := serve(t, test.serve)
			_, err := k.Get(context.Background(), "k")
			if test.read == "" {
				c.Check(err, qt.IsNil)
			} else {
				c.Check(keyvalue.KindOf(err), qt.Equals, test.read, qt.Commentf("%v", err))
			}
			_, err = k.Txn(context.Background(), put)
			c.Check(err, qt.IsNotNil)
			c.Check(keyvalue.KindOf(err), qt.Equals, test.write, qt.Commentf("%v", err))
		})
	}
}

func TestRefusedConnectionHasNoEffect(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := netip.MustParseAddrPort(l.Addr().String())
	c.Assert(l.Close(), qt.IsNil)
	k := etcd.Client{Server: address}
	_, err = k.Txn(context.Background(), put)
	c.Check(keyvalue.KindOf(err), qt.Equals, keyvalue.KindUnavailable)
	c.Check(keyvalue.NoEffect(err), qt.IsTrue)
}

func TestRetryAfter(t *testing.T) {
	c := qt.New(t)
	k := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	_, err := k.Txn(context.Background(), put)
	c.Check(keyvalue.RetryAfter(err), qt.Equals, 3*time.Second)
}

func TestKindOfForeignError(t *testing.T) {
	c := qt.New(t)
	c.Check(keyvalue.KindOf(errors.New("x")), qt.Equals, keyvalue.KindUnknown)
	c.Check(keyvalue.NoEffect(nil), qt.IsFalse)
}

func TestAnswers(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()

	k := serve(t, respond(200, `{"header":{"revision":"7"},"kvs":[{"key":"aw==","mod_revision":"5","value":"dg=="}],"count":"1"}`))
	kv, err := k.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Check(kv, qt.DeepEquals, fescuelatch.KeyValue{Key: "k", Value: []byte("v"), Revision: 5})

	k = serve(t, respond(200, `{"header":{"revision":"7"}}`))
	kv, err = k.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Check(kv, qt.DeepEquals, fescuelatch.KeyValue{Key: "k"})

	k = serve(t, respond(200, `{"header":{"revision":"9"},"succeeded":true,"responses":[{"response_txn":{"responses":[{"response_range":{}}]}}]}`))
	nested := fescuelatch.KVTxn{
		If:   []fescuelatch.KVCompare{{Key: "k"}},
		Then: []fescuelatch.KVOp{{Put: &fescuelatch.KVPut{Key: "k"}}},
		Else: []fescuelatch.KVOp{{Get: "k"}},
	}
	res, err := k.Txn(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Txn: &nested}}})
	c.Assert(err, qt.IsNil)
	c.Check(res.Revision, qt.Equals, int64(9))
	c.Check(res.Results[0].Txn.Succeeded, qt.IsFalse)

	k = serve(t, respond(200, `{"ID":"77","TTL":"10"}`))
	id, err := k.Grant(ctx, 9500*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, int64(77))

	k = serve(t, respond(200, `{"result":{"ID":"77","TTL":"8"}}`))
	left, err := k.KeepAlive(ctx, 77)
	c.Assert(err, qt.IsNil)
	c.Check(left, qt.Equals, 8*time.Second)
}

func TestWatch(t *testing.T) {
	c := qt.New(t)
	k := serve(t, respond(200, `{"result":{"created":true}}
{"result":{"events":[{"kv":{"key":"aw==","mod_revision":"5","value":"dg=="}},{"type":"DELETE","kv":{"key":"aw==","mod_revision":"6"}}]}}
{"result":{"canceled":true}}
`))
	ch, err := k.Watch(context.Background(), "k", "l", 4)
	c.Assert(err, qt.IsNil)
	var got []fescuelatch.KeyValue
	for kv := range ch {
		got = append(got, kv)
	}
	c.Check(got, qt.DeepEquals, []fescuelatch.KeyValue{{Key: "k", Value: []byte("v"), Revision: 5}, {Key: "k"}})

	k = serve(t, respond(200, `{"error":{"message":"compacted","code":11}}`))
	_, err = k.Watch(context.Background(), "k", "l", 4)
	c.Check(keyvalue.KindOf(err), qt.Equals, keyvalue.KindUnavailable)
}
