package openai_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch/openai"
)

// This file tests that unknown members are preserved.

const (
	toolRequest = `{"model":"m","messages":[` +
		`{"role":"assistant","content":null,"tool_calls":[{"id":"t-1","type":"function","function":{"name":"ban","arguments":"{}"}}]},` +
		`{"role":"tool","content":"done","tool_call_id":"t-1"}],"max_tokens":5,"tools":[{"type":"function"}]}`
	toolAnswer = `{ "id" : "a.1", "object":"chat.completion","model":"m@1","system_fingerprint":"f",` +
		`"choices":[{"index":0,"logprobs":null,"message":{"role":"assistant","content":null,` +
		`"tool_calls":[{"id":"a.1","type":"function"}]},"finish_reason":"tool_calls"}],"usage":{"prompt_tokens":3,"details":{"cached":2}}}`
	toolChunk = `{"choices":[{"index":0,"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"a.1"}]},"logprobs":{"x":1}}],` +
		`"service_tier":"s","id":"a.1","model":"m@1"}`
)

func TestMembersPassUnchanged(t *testing.T) {
	c := qt.New(t)
	var q openai.ChatRequest
	c.Assert(json.Unmarshal([]byte(toolRequest), &q), qt.IsNil)
	b, err := json.Marshal(&q)
	c.Assert(err, qt.IsNil)
	c.Check(string(b), qt.JSONEquals, json.RawMessage(toolRequest))

	var a openai.ChatResponse
	c.Assert(json.Unmarshal([]byte(toolAnswer), &a), qt.IsNil)
	c.Check(a.ID, qt.Equals, "a.1")
	c.Check(a.Complete(), qt.IsTrue)
	c.Check(string(a.AppendAs(nil, "")), qt.Equals, toolAnswer)
	c.Check(string(a.AppendAs(nil, "q")), qt.Equals, strings.Replace(toolAnswer, `"a.1"`, `"q"`, 1))

	k, err := openai.ParseChunk([]byte(toolChunk))
	c.Assert(err, qt.IsNil)
	c.Check(k.ID, qt.Equals, "a.1")
	c.Check(string(k.AppendAs([]byte("data: "), "")), qt.Equals, "data: "+toolChunk)
	c.Check(string(k.AppendAs(nil, "q")), qt.Equals, strings.Replace(toolChunk, `"id":"a.1","model"`, `"id":"q","model"`, 1))
}

func TestParseChunk(t *testing.T) {
	tests := []struct {
		json             string
		text             string
		output, finished bool
		fault            string
	}{
		{json: `{"choices":[{"delta":{"role":"assistant","content":""}}]}`},
		{json: `{"choices":[{"delta":{"content":"a\n\u00e9"}},{"delta":{"content":"b"}}]}`, text: "a\né", output: true},
		{json: `{"choices":[{"delta":{"tool_calls":[{"id":"t"}]}}]}`, output: true},
		{json: `{"choices":[{"delta":{"tool_calls":[],"content":null},"finish_reason":null}]}`},
		{json: `{"choices":[{"delta":{},"finish_reason":"stop"}]}`, finished: true},
		{json: `{"id":7}`, fault: "decode chunk: id is not a string"},
		{json: `{"choices":{}}`, fault: "decode chunk: choices is not an array"},
		{json: `{"usage":7}`, fault: "decode chunk: .*"},
		{json: `{"id":"a"`, fault: "decode chunk: invalid JSON"},
		{json: `[]`, fault: "decode chunk: not an object"},
		{json: `{"error":{"message":"lost"}}`, fault: "lost: " + openai.ErrEvent.Error()},
	}
	for _, test := range tests {
		t.Run(test.json, func(t *testing.T) {
			c := qt.New(t)
			k, err := openai.ParseChunk([]byte(test.json))
			if test.fault != "" {
				c.Assert(err, qt.ErrorMatches, test.fault)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(k.Text(), qt.Equals, test.text)
			c.Check(k.HasOutput(), qt.Equals, test.output)
			c.Check(k.Finished(), qt.Equals, test.finished)
		})
	}
}
