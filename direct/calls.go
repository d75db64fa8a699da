package direct

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"
	"time"

	"fescuelatch/internal/intake"
)

// This file defines how the calls of another daemon on a connection are served. It bounds what
// they hold: how many are served at once, and how long their answers are written.

const (
	// maxCalls bounds the calls of a connection that are served at once.
	maxCalls = 8
	// replyTimeout bounds the time to write an answer. No caller waits as long
	// (sourceTransferTimeout).
	replyTimeout = 5 * time.Second
	// smallReplyBytes is the size up to which answers do not wait for memory.
	smallReplyBytes = 64 << 10
)

// callCodec is the rpc.ServerCodec of a connection. It speaks what rpc.NewClient does.
type callCodec struct {
	conn     net.Conn
	budget   *intake.Budget
	memory   *intake.Message
	messages *messageReader
	decoder  *gob.Decoder
	buffer   *bufio.Writer
	encoder  *gob.Encoder
	// calls holds an element for each call that is being served.
	calls chan struct{}
}

// newCallCodec returns the codec of a connection, of which some bytes may have been read. decoding is
// held while a large call is decoded.
func newCallCodec(c net.Conn, read *bufio.Reader, b *intake.Budget, decoding sync.Locker) *callCodec {
	// Closing the connection would need the lock of the budget. An error means that it has ended.
	memory := b.NewMessage(func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	buffer := bufio.NewWriter(c)
	messages := newMessageReader(read, maxCallBytes, memory)
	messages.decoding = decoding
	return &callCodec{
		conn: c, budget: b, memory: memory, messages: messages, decoder: gob.NewDecoder(messages),
		buffer: buffer, encoder: gob.NewEncoder(buffer), calls: make(chan struct{}, maxCalls),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (k *callCodec) ReadRequestHeader(r *rpc.Request) error {
	k.calls <- struct{}{}
	err := k.decoder.Decode(r)
	k.messages.decoded()
	if err != nil {
		<-k.calls // There will be no answer.
	}
	return err //nolint:wrapcheck // net/rpc expects the connection's own errors.
}

// ReadRequestBody implements rpc.ServerCodec.
func (k *callCodec) ReadRequestBody(request any) error {
	defer k.messages.decoded()
	return k.decoder.Decode(request) //nolint:wrapcheck // net/rpc expects the connection's own errors.
}

// sized is an answer that may be large.
type sized interface{ bytes() int }

// WriteResponse implements rpc.ServerCodec. The connection is closed if the answer cannot be
// written.
func (k *callCodec) WriteResponse(r *rpc.Response, reply any) error {
	defer func() { <-k.calls }()
	if s, ok := reply.(sized); ok && s.bytes() > smallReplyBytes {
		ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
		defer cancel()
		n := s.bytes()
		if !k.budget.AwaitReply(ctx, n) {
			_ = k.conn.Close()
			return &Error{"answer peer", KindPeer, context.DeadlineExceeded}
		}
		defer k.budget.ReleaseReply(n)
	}
	if err := k.write(r, reply); err != nil {
		_ = k.conn.Close()
		return &Error{"answer peer", KindPeer, err}
	}
	return nil
}

func (k *callCodec) write(r *rpc.Response, reply any) error {
	if err := k.conn.SetWriteDeadline(time.Now().Add(replyTimeout)); err != nil {
		return err //nolint:wrapcheck // WriteResponse wraps it.
	}
	if err := k.encoder.Encode(r); err != nil {
		return err //nolint:wrapcheck // WriteResponse wraps it.
	}
	if err := k.encoder.Encode(reply); err != nil {
		return err //nolint:wrapcheck // WriteResponse wraps it.
	}
	return k.buffer.Flush() //nolint:wrapcheck // WriteResponse wraps it.
}

// Close implements rpc.ServerCodec.
func (k *callCodec) Close() error {
	k.memory.Release()
	return k.conn.Close() //nolint:wrapcheck // net/rpc expects the connection's own errors.
}
