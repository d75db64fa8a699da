package openai

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// This file defines chat requests.

// Message is a message of a conversation. Content is a JSON string, a list of
// parts or null. A decoded message is encoded unchanged, with all its members,
// and must not be modified.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	raw     json.RawMessage
}

type messageMembers Message

// UnmarshalJSON decodes a message.
func (m *Message) UnmarshalJSON(b []byte) error {
	var v messageMembers
	if err := json.Unmarshal(b, &v); err != nil {
		return errors.WithStack(err)
	}
	*m = Message(v)
	m.raw = slices.Clone(b)
	return nil
}

// MarshalJSON encodes the message. A decoded message keeps its original JSON.
func (m Message) MarshalJSON() ([]byte, error) {
	if m.raw != nil {
		return m.raw, nil
	}
	return json.Marshal(messageMembers(m))
}

// equal reports whether messages are encoded alike.
func (m Message) equal(o Message) bool {
	return m.Role == o.Role && bytes.Equal(m.raw, o.raw) && bytes.Equal(m.Content, o.Content)
}

// Text returns the content if it is a string, and its JSON otherwise.
func (m Message) Text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// ChatRequest is the body of a chat completion request. A decoded request keeps what it was decoded
// from: members that the router does not interpret are encoded unchanged.
type ChatRequest struct {
	Model         string
	Messages      []Message
	Stream        bool
	StreamOptions *StreamOptions
	MaxTokens     int
	// Priority is that for the endpoint. It is not decoded: the caller's is not taken over.
	Priority int
	source   *chatSource
}

// chatSource is what a request was decoded from and to. It must not be modified.
type chatSource struct {
	*document
	decoded ChatRequest
	// priority is the caller's.
	priority int
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Names of the members that the router interprets.
const (
	memberModel               = "model"
	memberMessages            = "messages"
	memberStream              = "stream"
	memberStreamOptions       = "stream_options"
	memberIncludeUsage        = "include_usage"
	memberMaxTokens           = "max_tokens"
	memberMaxCompletionTokens = "max_completion_tokens"
	memberPriority            = "priority"
)

// chatMembers is a request that was not decoded.
type chatMembers struct {
	Model         string         `json:"model"`
	Messages      []Message      `json:"messages"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Priority      int            `json:"priority,omitempty"`
}

// UnmarshalJSON decodes and validates a request. It requires a model and at
// least one message, all with a role, and no negative token limit. The names of members are
// compared exactly, as an endpoint does.
func (r *ChatRequest) UnmarshalJSON(b []byte) error {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(b, &members); err != nil {
		return errors.WithStack(err)
	}
	if members == nil {
		return errors.New("model is missing") // The request is null.
	}
	d := readDocument(slices.Clone(b))
	var m ChatRequest
	var priority, completionTokens int
	for _, f := range []struct {
		name string
		to   any
	}{
		{memberModel, &m.Model},
		{memberMessages, &m.Messages},
		{memberStream, &m.Stream},
		{memberStreamOptions, &m.StreamOptions},
		{memberMaxTokens, &m.MaxTokens},
		{memberMaxCompletionTokens, &completionTokens},
		{memberPriority, &priority},
	} {
		if v := d.value(f.name); v != nil {
			if err := json.Unmarshal(v, f.to); err != nil {
				return errors.WithStack(err)
			}
		}
	}
	if err := m.check(completionTokens); err != nil {
		return err
	}
	m.MaxTokens = max(m.MaxTokens, completionTokens)
	*r = m
	r.source = &chatSource{d, m, priority}
	return nil
}

// check validates a decoded request.
func (r *ChatRequest) check(completionTokens int) error {
	if r.Model == "" {
		return errors.New("model is missing")
	}
	if len(r.Messages) == 0 {
		return errors.New("messages is empty")
	}
	for i, g := range r.Messages {
		if g.Role == "" {
			return errors.Errorf("messages[%d].role is missing", i)
		}
	}
	if r.MaxTokens < 0 || completionTokens < 0 {
		return errors.New("max_tokens is negative")
	}
	return nil
}

// MarshalJSON encodes the request. Encoding with package json rewrites some bytes of it; Encode does
// not.
func (r ChatRequest) MarshalJSON() ([]byte, error) { return r.Encode() }

// Encode returns the request as JSON. Of a decoded request only the members of changed fields are
// replaced; all else is as it was, byte for byte.
func (r *ChatRequest) Encode() ([]byte, error) {
	if r.source == nil {
		return encode(chatMembers{
			Model: r.Model, Messages: r.Messages, Stream: r.Stream,
			StreamOptions: r.StreamOptions, MaxTokens: r.MaxTokens, Priority: r.Priority,
		})
	}
	was := r.source.decoded
	var changes []change
	set := func(changed bool, name string, v any) error {
		if !changed {
			return nil
		}
		b, err := encode(v)
		changes = append(changes, change{name, b})
		return err
	}
	tokens := r.MaxTokens != was.MaxTokens
	for _, err := range []error{
		set(r.Model != was.Model, memberModel, r.Model),
		set(!slices.EqualFunc(r.Messages, was.Messages, Message.equal), memberMessages, r.Messages),
		set(r.Stream != was.Stream, memberStream, r.Stream),
		set(tokens, memberMaxTokens, r.MaxTokens),
		set(tokens && r.source.value(memberMaxCompletionTokens) != nil, memberMaxCompletionTokens, r.MaxTokens),
		set(r.Priority != r.source.priority, memberPriority, r.Priority),
	} {
		if err != nil {
			return nil, err
		}
	}
	if r.StreamOptions != nil && (was.StreamOptions == nil || *r.StreamOptions != *was.StreamOptions) {
		b, err := r.StreamOptions.encode(r.source.value(memberStreamOptions))
		if err != nil {
			return nil, err
		}
		changes = append(changes, change{memberStreamOptions, b})
	}
	return r.source.with(changes), nil
}

// encode returns the options as JSON, with all else of those that were decoded; nil and null mean none.
func (o *StreamOptions) encode(decoded json.RawMessage) ([]byte, error) {
	if decoded == nil || string(decoded) == "null" {
		return encode(o)
	}
	usage, err := encode(o.IncludeUsage)
	return readDocument(decoded).with([]change{{memberIncludeUsage, usage}}), err
}

// Prompt returns the concatenated contents of all messages.
func (r *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Text())
	}
	return b.String()
}
