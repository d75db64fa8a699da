package openai

import (
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

// Text returns the content if it is a string, and its JSON otherwise.
func (m Message) Text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// ChatRequest is the body of a chat completion request. Other holds the members
// that the router does not interpret.
type ChatRequest struct {
	Model         string
	Messages      []Message
	Stream        bool
	StreamOptions *StreamOptions
	MaxTokens     int
	Priority      int
	Other         map[string]json.RawMessage
}

// StreamOptions are the options of a streamed answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMembers struct {
	Model               string         `json:"model"`
	Messages            []Message      `json:"messages"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens           int            `json:"max_tokens,omitempty"`
	MaxCompletionTokens int            `json:"max_completion_tokens,omitempty"`
	Priority            int            `json:"priority,omitempty"`
}

var chatMemberNames = []string{
	"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "priority",
}

// UnmarshalJSON decodes and validates a request. It requires a model and at
// least one message, all with a role, and no negative token limit.
func (r *ChatRequest) UnmarshalJSON(b []byte) error {
	var m chatMembers
	if err := json.Unmarshal(b, &m); err != nil {
		return errors.WithStack(err)
	}
	if m.Model == "" {
		return errors.New("model is missing")
	}
	if len(m.Messages) == 0 {
		return errors.New("messages is empty")
	}
	for i, g := range m.Messages {
		if g.Role == "" {
			return errors.Errorf("messages[%d].role is missing", i)
		}
	}
	if m.MaxTokens < 0 || m.MaxCompletionTokens < 0 {
		return errors.New("max_tokens is negative")
	}
	other := make(map[string]json.RawMessage)
	if err := json.Unmarshal(b, &other); err != nil {
		return errors.WithStack(err)
	}
	for _, n := range chatMemberNames {
		delete(other, n)
	}
	*r = ChatRequest{
		Model: m.Model, Messages: m.Messages, Stream: m.Stream, StreamOptions: m.StreamOptions,
		MaxTokens: max(m.MaxTokens, m.MaxCompletionTokens), Other: other,
	}
	return nil
}

// MarshalJSON encodes the request, including the members in Other.
func (r ChatRequest) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(chatMembers{
		Model: r.Model, Messages: r.Messages, Stream: r.Stream,
		StreamOptions: r.StreamOptions, MaxTokens: r.MaxTokens, Priority: r.Priority,
	})
	if err != nil || len(r.Other) == 0 {
		return known, errors.WithStack(err)
	}
	other, err := json.Marshal(r.Other)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	known[len(known)-1] = ','
	return append(known, other[1:]...), nil
}

// Prompt returns the concatenated contents of all messages.
func (r *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Text())
	}
	return b.String()
}
