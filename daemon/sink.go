package daemon

import (
	"strings"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/openai"
)

// This file defines how a streamed answer is written.

// maxSampleBytes bounds the text kept of a streamed answer for a rating.
const maxSampleBytes = 16 << 10

// sink writes the chunks of one attempt to the caller. Chunks before the first
// output are buffered, so that an attempt that breaks before it can be retried
// on another endpoint. The final chunks are buffered until the answer has been
// accepted.
type sink struct {
	reply *caller.Reply
	meta  caller.Meta
	// usage reports that the caller requested the usage chunk.
	usage   bool
	pending []*openai.Chunk
	ending  bool
	text    strings.Builder
}

func (s *activeRequest) newSink(v fescuelatch.VersionID) *sink {
	o := s.call.Chat.StreamOptions
	return &sink{
		reply: s.reply, meta: s.meta(v),
		usage: s.call.Request.Forwarded || (o != nil && o.IncludeUsage),
	}
}

func (k *sink) chunk(c *openai.Chunk) error {
	if !c.HasChoices() && c.Usage != nil && !k.usage {
		return nil
	}
	k.ending = k.ending || c.Finished()
	if k.text.Len() < maxSampleBytes {
		k.text.WriteString(c.Text())
	}
	if k.ending || (!k.reply.Started() && !c.HasOutput()) {
		k.pending = append(k.pending, c)
		return nil
	}
	if err := k.flush(); err != nil {
		return err
	}
	return k.reply.Chunk(c)
}

// flush writes the buffered chunks.
func (k *sink) flush() error {
	k.reply.StartStream(k.meta)
	for _, c := range k.pending {
		if err := k.reply.Chunk(c); err != nil {
			return err
		}
	}
	k.pending = nil
	return nil
}

// finish ends a complete answer.
func (k *sink) finish() error {
	if err := k.flush(); err != nil {
		return err
	}
	return k.reply.Finish()
}

// abort ends an incomplete answer.
func (k *sink) abort(f caller.Failure) error {
	if !k.reply.Started() {
		return k.reply.Fail(k.meta, f)
	}
	return k.reply.Abort(f)
}
