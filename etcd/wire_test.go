package etcd_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"fescuelatch"
	"fescuelatch/etcd"
)

// This file tests that malformed responses of the gateway are not accepted.

func FuzzAnswers(f *testing.F) {
	f.Add([]byte(`{"header":{"revision":"7"},"kvs":[{"key":"aw==","mod_revision":"5","value":"dg=="}]}`))
	f.Add([]byte(`{"succeeded":true,"responses":[{"response_put":{}}]}`))
	f.Add([]byte(`{"responses":[{"response_txn":{"succeeded":true}}]}`))
	f.Add([]byte(`{"kvs":[{"key":"","mod_revision":"-5"}]}`))
	f.Add([]byte(`{"result":{"created":true}}{"result":{"events":[{"kv":{}}]}}`))
	f.Add([]byte(`{"result":{"created":true}}{"result":{"events":[{}]}}`))
	f.Add([]byte(`{"ID":"x"}`))
	f.Add([]byte(`null`))
	var text []byte
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(text) }))
	f.Cleanup(s.Close)
	k := &etcd.Client{Server: netip.MustParseAddrPort(s.Listener.Addr().String()), HTTP: s.Client()}
	f.Fuzz(func(t *testing.T, b []byte) {
		text = b
		ctx := context.Background()
		kvs, err := k.List(ctx, "a", "z", 0)
		if err == nil {
			for _, kv := range kvs {
				if kv.Key == "" || kv.Revision <= 0 {
					t.Fatalf("accepted key %q revision %d", kv.Key, kv.Revision)
				}
			}
		}
		res, err := k.Txn(ctx, fescuelatch.KVTxn{Then: []fescuelatch.KVOp{{Get: "k"}, {Txn: &fescuelatch.KVTxn{}}}})
		if err == nil && res.Succeeded && (len(res.Results) != 2 || res.Results[1].Txn == nil) {
			t.Fatalf("accepted results %v", res.Results)
		}
		if id, err := k.Grant(ctx, 1); err == nil && id == 0 {
			t.Fatal("accepted lease 0")
		}
		_, _ = k.KeepAlive(ctx, 1)
		ch, err := k.Watch(ctx, "a", "z", 0)
		if err != nil {
			return
		}
		for kv := range ch {
			if kv.Key == "" {
				t.Fatal("accepted an event without a key")
			}
		}
	})
}
