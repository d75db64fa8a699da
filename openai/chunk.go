package openai

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
)

// This file defines the chunks of streamed answers.

// Chunk is one part of a streamed answer. It is passed on as it came but for
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
		err = c.take(k.Str, v)
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	return c, nil
}

// take reads one member of the chunk.
func (c *Chunk) take(name string, v gjson.Result) error {
	if v.Type == gjson.Null {
		return nil
	}
	var err error
	switch name {
	case "id":
		c.source.setID(v)
		c.ID, err = text(name, v)
	case "model":
		c.Model, err = text(name, v)
	case "usage":
		err = errors.Wrap(json.Unmarshal([]byte(v.Raw), &c.Usage), "decode chunk")
	case "choices":
		err = c.takeChoices(v)
	case "error":
		err = errors.Wrap(ErrEvent, v.Get("message").String())
	}
	return err
}

func text(name string, v gjson.Result) (string, error) {
	if v.Type != gjson.String {
		return "", errors.Errorf("decode chunk: %s is not a string", name)
	}
	return v.Str, nil
}

func (c *Chunk) takeChoices(v gjson.Result) error {
	if !v.IsArray() {
		return errors.New("decode chunk: choices is not an array")
	}
	v.ForEach(func(_, choice gjson.Result) bool {
		c.takeChoice(choice)
		return true
	})
	return nil
}

func (c *Chunk) takeChoice(choice gjson.Result) {
	first := c.choices == 0
	c.choices++
	choice.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "delta":
			c.takeDelta(v, first)
		case "finish_reason":
			c.finished = c.finished || v.Str != ""
		}
		return true
	})
}

func (c *Chunk) takeDelta(delta gjson.Result, first bool) {
	delta.ForEach(func(k, v gjson.Result) bool {
		if k.Str == "content" && first {
			c.text = v.Str
		}
		c.output = c.output || (k.Str != "role" && !empty(v))
		return true
	})
}

// empty reports whether v adds nothing to an answer.
func empty(v gjson.Result) bool {
	switch v.Type {
	case gjson.Null:
		return true
	case gjson.String:
		return v.Str == ""
	default:
		return v.Raw == "[]" || v.Raw == "{}"
	}
}

// Text returns the text that the chunk adds to the first choice.
func (c *Chunk) Text() string { return c.text }

// HasOutput reports whether the chunk adds to a choice anything beside its
// role: text, a call of a tool, or what else the endpoint sends.
func (c *Chunk) HasOutput() bool { return c.output }

// HasChoices reports whether the chunk has choices. The one that tells the
// usage has none.
func (c *Chunk) HasChoices() bool { return c.choices > 0 }

// Finished reports whether the chunk ends a choice.
func (c *Chunk) Finished() bool { return c.finished }

// AppendAs appends the chunk as JSON to b, with id in place of the chunk's
// own unless id is empty.
func (c *Chunk) AppendAs(b []byte, id string) []byte {
	return c.source.appendAs(b, id)
}
