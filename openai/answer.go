// Package openai defines the part of the OpenAI wire format that the router
// reads and writes: chat completions, their streamed chunks, models and
// errors. Unknown members are preserved.
package openai

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
)

// This file defines answers that are not streamed.

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is a choice of an answer.
type Choice struct {
	Message      AnswerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

// AnswerMessage is the message of an answer.
type AnswerMessage struct {
	Content string `json:"content"`
}

// ChatResponse is an answer. AppendAs encodes a decoded answer unchanged except
// for its identifier.
type ChatResponse struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
	source  source
}

type answerMembers ChatResponse

// UnmarshalJSON decodes an answer.
func (r *ChatResponse) UnmarshalJSON(b []byte) error {
	var v answerMembers
	if err := json.Unmarshal(b, &v); err != nil {
		return errors.WithStack(err)
	}
	*r = ChatResponse(v)
	r.source = newSource(string(b))
	return nil
}

// AppendAs appends the answer as JSON to b, with its identifier replaced by id
// unless id is empty. The answer must have been decoded.
func (r *ChatResponse) AppendAs(b []byte, id string) []byte {
	return r.source.appendAs(b, id)
}

// Complete reports whether there are choices and each has a finish reason.
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

// source is the JSON object that a value was decoded from, with the bounds of
// the value of its member id.
type source struct {
	json       string
	start, end int
}

func newSource(object string) source {
	s := source{json: object}
	if v := gjson.Get(object, "id"); v.Exists() {
		s.setID(v)
	}
	return s
}

func (s *source) setID(v gjson.Result) {
	s.start = v.Index
	s.end = v.Index + len(v.Raw)
}

// appendAs appends the object with its member id set to id. If it has no such
// member or id is empty, it is appended unchanged.
func (s *source) appendAs(b []byte, id string) []byte {
	if s.end == 0 || id == "" {
		return append(b, s.json...)
	}
	b = append(b, s.json[:s.start]...)
	b = gjson.AppendJSONString(b, id)
	return append(b, s.json[s.end:]...)
}
