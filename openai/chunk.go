package openai

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
)

// This file defines the chunks of streamed answers.

// Chunk is a part of a streamed answer. AppendAs encodes it unchanged except for
// its identifier.
type Chunk struct {
	ID    string
	Model string
	Usage *Usage

	choices  int
	text     string
	output   bool
	finished bool
	source   source
}

// ParseChunk decodes a chunk. It returns ErrEvent for an error object.
func ParseChunk(data []byte) (*Chunk, error) {
	if !gjson.ValidBytes(data) {
		return nil, errors.New("decode chunk: invalid JSON")
	}
	c := &Chunk{source: source{json: string(data)}}
	object := gjson.Parse(c.source.json)
	if !object.IsObject() {
		return nil, errors.New("decode chunk: not an object")
	}
	var err error
	object.ForEach(func(k, v gjson.Result) bool {
		err = c.decodeMember(k.Str, v)
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	return c, nil
}

// decodeMember decodes a member of the chunk.
func (c *Chunk) decodeMember(name string, v gjson.Result) error {
	if v.Type == gjson.Null {
		return nil
	}
	var err error
	switch name {
	case "id":
		c.source.setID(v)
		c.ID, err = stringValue(name, v)
	case "model":
		c.Model, err = stringValue(name, v)
	case "usage":
		err = errors.Wrap(json.Unmarshal([]byte(v.Raw), &c.Usage), "decode chunk")
	case "choices":
		err = c.decodeChoices(v)
	case "error":
		err = errors.Wrap(ErrEvent, v.Get("message").String())
	}
	return err
}

func stringValue(name string, v gjson.Result) (string, error) {
	if v.Type != gjson.String {
		return "", errors.Errorf("decode chunk: %s is not a string", name)
	}
	return v.Str, nil
}

func (c *Chunk) decodeChoices(v gjson.Result) error {
	if !v.IsArray() {
		return errors.New("decode chunk: choices is not an array")
	}
	v.ForEach(func(_, choice gjson.Result) bool {
		c.decodeChoice(choice)
		return true
	})
	return nil
}

func (c *Chunk) decodeChoice(choice gjson.Result) {
	first := c.choices == 0
	c.choices++
	choice.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "delta":
			c.decodeDelta(v, first)
		case "finish_reason":
			c.finished = c.finished || v.Str != ""
		}
		return true
	})
}

func (c *Chunk) decodeDelta(delta gjson.Result, first bool) {
	delta.ForEach(func(k, v gjson.Result) bool {
		if k.Str == "content" && first {
			c.text = v.Str
		}
		c.output = c.output || (k.Str != "role" && !isEmpty(v))
		return true
	})
}

// isEmpty reports whether v adds nothing to an answer.
func isEmpty(v gjson.Result) bool {
	switch v.Type {
	case gjson.Null:
		return true
	case gjson.String:
		return v.Str == ""
	default:
		return v.Raw == "[]" || v.Raw == "{}"
	}
}

// Text returns the text that the chunk adds to its first choice.
func (c *Chunk) Text() string { return c.text }

// HasOutput reports whether the chunk adds output to a choice: text, a tool call
// or any other nonempty member of the delta except the role.
func (c *Chunk) HasOutput() bool { return c.output }

// HasChoices reports whether the chunk has choices. A usage chunk has none.
func (c *Chunk) HasChoices() bool { return c.choices > 0 }

// Finished reports whether the chunk ends a choice.
func (c *Chunk) Finished() bool { return c.finished }

// AppendAs appends the chunk as JSON to b, with its identifier replaced by id
// unless id is empty.
func (c *Chunk) AppendAs(b []byte, id string) []byte {
	return c.source.appendAs(b, id)
}
