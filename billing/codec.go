package billing

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// This file defines the encoding of batches between daemons. At the rate of one
// daemon a batch holds one bill, and most of its bytes are field names; a preset
// dictionary saves them.

const (
	// codecVersion identifies the dictionary and must change with it.
	codecVersion = 1

	dictionary = `"key":"` +
		`"service":"","operation":"` +
		`{"origin":"","sequence":1,"bills":[{"request":"","account":"","version":"","prompt-tokens":1,"output-tokens":1,` +
		`"cost":1,"attempts":1,"ended":"2026-01-01T00:00:00.000000000Z"}]}`

	maxBatchBytes = 4 << 20
)

// Codec encodes and decodes batches. The zero value is ready to use, and it is
// safe for concurrent use.
type Codec struct {
	// writers pools compressors, which are expensive to create.
	writers sync.Pool
}

const (
	opEncode = "encode"
	opDecode = "decode"
)

// Encode returns the compressed form of a batch.
func (c *Codec) Encode(b Batch) ([]byte, error) {
	text, err := json.Marshal(b)
	if err != nil {
		return nil, &Error{Op: opEncode, Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	var out bytes.Buffer
	out.WriteByte(codecVersion)
	w, err := c.writer(&out)
	if err != nil {
		return nil, &Error{Op: opEncode, Kind: KindInvalid, Err: err}
	}
	defer c.writers.Put(w)
	if _, err := w.Write(text); err != nil {
		return nil, &Error{Op: opEncode, Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	if err := w.Close(); err != nil {
		return nil, &Error{Op: opEncode, Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return out.Bytes(), nil
}

func (c *Codec) writer(out io.Writer) (*flate.Writer, error) {
	if w, ok := c.writers.Get().(*flate.Writer); ok {
		w.Reset(out)
		return w, nil
	}
	w, err := flate.NewWriterDict(out, flate.BestCompression, []byte(dictionary))
	return w, errors.WithStack(err)
}

// Decode decodes a batch that Encode encoded. It also accepts plain JSON.
func (c *Codec) Decode(data []byte) (Batch, error) {
	var b Batch
	if len(data) == 0 {
		return b, &Error{Op: opDecode, Kind: KindInvalid, Err: errors.New("encoded batch is empty")}
	}
	text := data
	if data[0] == codecVersion {
		r := flate.NewReaderDict(bytes.NewReader(data[1:]), []byte(dictionary))
		var err error
		if text, err = io.ReadAll(io.LimitReader(r, maxBatchBytes)); err != nil {
			return b, &Error{Op: opDecode, Kind: KindInvalid, Err: errors.WithStack(err)}
		}
	}
	if err := json.Unmarshal(text, &b); err != nil {
		return Batch{}, &Error{Op: opDecode, Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return b, nil
}
