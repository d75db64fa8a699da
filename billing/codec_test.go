package billing_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
	"fescuelatch/billing"
)

// This file tests the encoding of batches.

func fullBatch() billing.Batch {
	return billing.Batch{Origin: "0b9d1c52-5a0e-4b0a-9a53-6d3c2c1f7a11", Sequence: 71, Bills: []fescuelatch.Bill{{
		Request: "5a1e6f0e-2f63-4c94-9b2e-94a2a8f4c0de", Account: "musanze-desk", Version: "triage-small@7",
		PromptTokens: 412, OutputTokens: 96, Cost: 1234, Attempts: 1, Ended: time.Date(2026, 11, 30, 12, 0, 0, 123456789, time.UTC),
	}}}
}

func TestCodec(t *testing.T) {
	c := qt.New(t)
	var codec billing.Codec
	b := fullBatch()
	text, err := json.Marshal(b)
	c.Assert(err, qt.IsNil)
	for range 3 {
		data, err := codec.Encode(b)
		c.Assert(err, qt.IsNil)
		c.Check(len(data) < len(text)/2, qt.IsTrue, qt.Commentf("%d of %d bytes", len(data), len(text)))
		for _, form := range [][]byte{data, text} {
			got, err := codec.Decode(form)
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.DeepEquals, b)
		}
	}
}

func TestCodecRejects(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"empty", nil},
		{"no content", []byte{1}},
		{"another version", []byte{2, 0}},
		{"not a batch", []byte(`{}`)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := new(billing.Codec).Decode(test.data)
			c.Check(billing.KindOf(err), qt.Equals, billing.KindInvalid)
		})
	}
}

func FuzzDecode(f *testing.F) {
	var codec billing.Codec
	data, err := codec.Encode(fullBatch())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"origin":"o","sequence":1,"bills":[{"request":"r","account":"a"}]}`))
	f.Add([]byte{1, 0})
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := codec.Decode(data)
		if err != nil {
			return
		}
		if b.Origin == "" || b.Sequence == 0 || len(b.Bills) == 0 {
			t.Fatalf("accepted %v", b)
		}
		again, err := codec.Encode(b)
		if err != nil {
			return // for example a time that JSON cannot represent
		}
		c, err := codec.Decode(again)
		if err != nil || !reflect.DeepEqual(b, c) {
			t.Fatalf("%v became %v: %v", b, c, err)
		}
	})
}

// BenchmarkCodec measures the bytes and the time for a batch of one bill.
func BenchmarkCodec(b *testing.B) {
	var codec billing.Codec
	batch := fullBatch()
	var size int
	for b.Loop() {
		data, err := codec.Encode(batch)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		if _, err := codec.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
