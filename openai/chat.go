// Package openai defines the part of the OpenAI wire format that the router
// reads and writes: chat completions, their streamed chunks, models and
// errors. Members that it does not know are passed on unchanged.
package openai

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// This file defines chat requests and answers.

// Message is one message of a conversation. Content is a JSON string or a
// list of parts and is passed on as it is.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Text returns the message's content when it is a string, and its raw form
// otherwise.
func (m Message) Text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// ChatRequest is the body of a chat completion request. Other holds the
// members that the router does not look at.
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

// UnmarshalJSON decodes a request and checks it: a model and at least one
// message must be present, and the number of tokens must not be negative.
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

// MarshalJSON encodes the request with the members in Other.
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

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one choice of a whole answer.
type Choice struct {
	Index        int           `json:"index"`
	Message      AnswerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

// AnswerMessage is the message of an answer.
type AnswerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatResponse is a whole answer.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Complete reports whether every choice has ended by itself.
func (r *ChatResponse) Complete() bool {
	for _, c := range r.Choices {
		if c.FinishReason == "" {
			return false
		}
	}
	return len(r.Choices) > 0
}

// Text returns the content of the first choice.
func (r *ChatResponse) Text() string {
	if len(r.Choices) == 0 {
		return ""
	}
	return r.Choices[0].Message.Content
}

// Chunk is one part of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the part of one choice in a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Text returns the text that the chunk adds to the first choice.
func (c *Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// Finished reports whether the chunk ends a choice.
func (c *Chunk) Finished() bool {
	for _, d := range c.Choices {
		if d.FinishReason != nil && *d.FinishReason != "" {
			return true
		}
	}
	return false
}

// Model is a line of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error ErrorObject `json:"error"`
}

// ErrorObject describes an error to a caller.
type ErrorObject struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}
