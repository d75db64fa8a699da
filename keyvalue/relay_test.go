package keyvalue_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// This file tests that a relayed transaction has the same outcome as a local
// one.

func TestRelay(t *testing.T) {
	unavailable := &keyvalue.Error{Op: "dial", Kind: keyvalue.KindUnavailable}
	tests := []struct {
		name   string
		fault  memory.Fault // of the platform
		dial   error        // before the other daemon is reached
		lost   error        // after it has replied
		kind   keyvalue.ErrorKind
		stored int
		calls  int
	}{
		{"reached", memory.Fault{}, nil, nil, "", 1, 1},
		{"not reached", memory.Fault{}, unavailable, nil, "", 1, 1},
		{"reply lost", memory.Fault{}, nil, errors.New("connection broke"), keyvalue.KindUnknown, 1, 1},
		{"outage", memory.Fault{Before: memory.Unavailable("transaction")}, nil, nil, keyvalue.KindUnavailable, 0, 1},
		{
			"rate limit",
			memory.Fault{Before: &keyvalue.Error{Kind: keyvalue.KindRateLimited, RetryAfter: time.Second}},
			nil, nil, keyvalue.KindRateLimited, 0, 1,
		},
		{"answer lost", memory.Fault{After: memory.ResponseLost("transaction")}, nil, nil, keyvalue.KindUnknown, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			kv := &memory.KV{Faults: func(memory.Call) memory.Fault { return test.fault }}
			direct := keyvalue.Direct{Transactor: kv}
			r := keyvalue.Relay{Local: direct, Remote: func() keyvalue.Remote {
				return func(ctx context.Context, txn fescuelatch.KVTxn) (keyvalue.SubmitReply, error) {
					if test.dial != nil {
						return keyvalue.SubmitReply{}, test.dial
					}
					res, err := direct.Submit(ctx, txn)
					var reply keyvalue.SubmitReply
					b, _ := json.Marshal(keyvalue.NewSubmitReply(res, err))
					c.Assert(json.Unmarshal(b, &reply), qt.IsNil)
					return reply, test.lost
				}
			}}
			res, err := r.Submit(context.Background(), createTxn("key", "v"))
			if test.kind == "" {
				c.Assert(err, qt.IsNil)
				c.Check(res.Succeeded, qt.IsTrue)
				c.Check(res.Revision, qt.Equals, int64(1))
			} else {
				c.Check(keyvalue.KindOf(err), qt.Equals, test.kind)
			}
			if test.kind == keyvalue.KindRateLimited {
				c.Check(keyvalue.RetryAfter(err), qt.Equals, time.Second)
			}
			c.Check(kv.Snapshot("key"), qt.HasLen, test.stored)
			c.Check(kv.Calls(), qt.Equals, test.calls)
		})
	}
}

func TestUnpackUnrecognizedKind(t *testing.T) {
	c := qt.New(t)
	_, err := keyvalue.SubmitReply{Kind: "new kind"}.Unpack()
	c.Check(keyvalue.KindOf(err), qt.Equals, keyvalue.KindUnknown)
}

func TestRelayWithoutRemoteIsLocal(t *testing.T) {
	c := qt.New(t)
	kv := new(memory.KV)
	r := keyvalue.Relay{Local: keyvalue.Direct{Transactor: kv}, Remote: func() keyvalue.Remote { return nil }}
	_, err := r.Submit(context.Background(), createTxn("key", "v"))
	c.Assert(err, qt.IsNil)
	c.Check(kv.Calls(), qt.Equals, 1)
}
