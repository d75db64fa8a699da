package sse_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuelatch/sse"
)

func ExampleScanner() {
	s := sse.NewScanner(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"))
	for {
		e, err := s.Next()
		if err != nil {
			break
		}
		fmt.Println(e.ID, len(e.Bytes))
	}
	fmt.Printf("%q\n", s.Remainder())
	// Output:
	// 1 15
	// 2 15
	// "id: 3"
}

// TestScanner checks that events are complete and unchanged, however the stream
// is split into reads.
func TestScanner(t *testing.T) {
	tests := []struct {
		name, stream, rest string
		ids                []string
	}{
		{"plain", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "", []string{"1", "2"}},
		{"with carriage returns", "id:1\r\ndata: x\r\n\r\ndata: y\r\n\r\n", "", []string{"1", ""}},
		{"an unknown field on the first line", "fescuelatch-weight-versions:3\nid: 7\ndata: x\n\n", "", []string{"7"}},
		{"a truncated event", "id: 1\n\nid: 2\nda", "id: 2\nda", []string{"1"}},
		{"a large event", "id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n", "", []string{"1"}},
		{"empty", "", "", nil},
	}
	for _, test := range tests {
		for _, r := range []io.Reader{
			strings.NewReader(test.stream), iotest.OneByteReader(strings.NewReader(test.stream)), iotest.DataErrReader(strings.NewReader(test.stream)),
		} {
			t.Run(test.name, func(t *testing.T) {
				c := qt.New(t)
				s := sse.NewScanner(r)
				var all strings.Builder
				var ids []string
				for {
					peeked, peekErr := s.Peek()
					ahead := string(peeked.Bytes)
					e, err := s.Next()
					c.Check(peekErr, qt.Equals, err)
					if err != nil {
						c.Check(err, qt.Equals, io.EOF)
						break
					}
					c.Check(ahead, qt.Equals, string(e.Bytes))
					all.Write(e.Bytes)
					ids = append(ids, e.ID)
				}
				c.Check(ids, qt.DeepEquals, test.ids)
				c.Check(string(s.Remainder()), qt.Equals, test.rest)
				c.Check(all.String()+test.rest, qt.Equals, test.stream)
			})
		}
	}
}

// TestTextIsNoEvent checks that lines without any field of an event are not returned as one.
func TestTextIsNoEvent(t *testing.T) {
	tests := []struct {
		name, stream string
		valid, data  bool
	}{
		{"data", "data: x\n\n", true, true},
		{"data without a value", "data\n\n", true, true},
		{"a comment", ": ping\n\n", true, false},
		{"a retry time", "retry: 1000\r\n\r\n", true, false},
		{"a type without data", "event: ping\n\n", true, false},
		{"a blank line", "\n", true, false},
		{"data after a byte order mark", "\ufeffdata: x\n\n", true, true},
		{"an unknown field beside others", "x:3\nid: 7\n\n", true, false},
		{"unknown fields", "x:3\ny:4\n\n", false, false},
		{"text", "error text\n\n", false, false},
		{"the head of an answer", "HTTP/1.1 500 Internal Server Error\r\nRetry-After: 1\r\n\r\n", false, false},
		{"a name that begins like a field", "database: x\n\n", false, false},
		{"a field in capitals", "Data: x\n\n", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e, err := sse.NewScanner(strings.NewReader(test.stream)).Next()
			if !test.valid {
				c.Check(err, qt.ErrorMatches, "sse: read event: invalid")
				return
			}
			c.Check(err, qt.IsNil)
			c.Check(string(e.Bytes), qt.Equals, test.stream)
			c.Check(e.Data, qt.Equals, test.data)
		})
	}
}

// endlessReader is a stream of one endless event.
type endlessReader struct{ step int }

func (e endlessReader) Read(b []byte) (int, error) {
	n := min(e.step, len(b))
	for i := range n {
		b[i] = 'x'
	}
	return n, nil
}

// TestEndlessEvent checks that an endless event is abandoned in bounded time and
// memory, whatever the size of the reads.
func TestEndlessEvent(t *testing.T) {
	for _, step := range []int{1, 100, 1 << 20} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			c := qt.New(t)
			s := sse.NewScanner(endlessReader{step})
			began := time.Now()
			_, err := s.Next()
			c.Assert(err, qt.ErrorMatches, "sse: read event: too-large")
			c.Check(len(s.Remainder()) < 1<<20, qt.IsTrue)
			c.Check(time.Since(began) < 2*time.Second, qt.IsTrue)
		})
	}
}
