package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"fescuelatch"
)

// This file defines the wire types of the OpenAI chat completions API.

const (
	defaultMaxTokens = 16
	prefixSize       = 256 // bytes
	noncePrefix      = "nonce:"
)

// completionRequest is a request. Fields that the stand-in does not use are
// ignored.
type completionRequest struct {
	Model               fescuelatch.VersionID `json:"model"`
	Messages            []message             `json:"messages"`
	MaxTokens           int                   `json:"max_tokens"`
	MaxCompletionTokens int                   `json:"max_completion_tokens"`
	Stream              bool                  `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Priority int `json:"priority"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content content `json:"content,omitempty"`
}

// content is text, encoded as a string or as a list of parts.
type content string

// UnmarshalJSON decodes a string or joins the texts of parts.
func (c *content) UnmarshalJSON(b []byte) error {
	if b[0] != '[' {
		return json.Unmarshal(b, (*string)(c))
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return err
	}
	var t strings.Builder
	for _, p := range parts {
		t.WriteString(p.Text)
	}
	*c = content(t.String())
	return nil
}

// prompt returns the concatenated contents of all messages.
func (r *completionRequest) prompt() string {
	var t strings.Builder
	for _, m := range r.Messages {
		t.WriteString(string(m.Content))
	}
	return t.String()
}

// prefix returns the hash of the prompt's leading part.
func (r *completionRequest) prefix() uint64 {
	p := r.prompt()
	return xxhash.Sum64String(p[:min(len(p), prefixSize)])
}

func (r *completionRequest) maxTokens() int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return defaultMaxTokens
}

// nonce returns the nonce at the beginning of the last message, if any.
func (r *completionRequest) nonce() (string, bool) {
	if len(r.Messages) == 0 {
		return "", false
	}
	text, ok := strings.CutPrefix(string(r.Messages[len(r.Messages)-1].Content), noncePrefix)
	if !ok {
		return "", false
	}
	nonce, _, ok := strings.Cut(text, " ")
	return nonce, ok
}

// completion is a complete response or a chunk of a streamed one.
type completion struct {
	ID      string                `json:"id"`
	Object  string                `json:"object"`
	Created int64                 `json:"created"`
	Model   fescuelatch.VersionID `json:"model"`
	Choices []choice              `json:"choices"`
	Usage   *usage                `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}
