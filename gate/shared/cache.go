package shared

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines the assumed content of an engine's prompt cache: the parts of
// the prompts that this daemon has sent there. Prompts of other daemons are not
// tracked.

// cache holds the keys of prompt parts, most recently used last.
type cache struct {
	parts  *simplelru.LRU[uint64, int]
	tokens int
	limit  int
}

func newCache(limit int) cache {
	// The size is a positive constant, which is all that is checked.
	parts, _ := simplelru.NewLRU[uint64, int](maxCacheParts, nil)
	return cache{parts: parts, limit: limit}
}

// visitPrefixes calls visit with the key of each prefix of parts until it returns
// false. A part only matches for the same version and after the same parts.
func visitPrefixes(v fescuelatch.VersionID, parts []fescuelatch.PromptPart, visit func(key uint64, tokens int) bool) {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(v))
	for _, p := range parts {
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(p.ID)
		if !visit(d.Sum64(), p.Tokens) {
			return
		}
	}
}

// cachedTokens returns the tokens of the leading parts that are cached.
func (c *cache) cachedTokens(v fescuelatch.VersionID, parts []fescuelatch.PromptPart) int {
	n := 0
	visitPrefixes(v, parts, func(key uint64, tokens int) bool {
		if !c.parts.Contains(key) {
			return false
		}
		n += tokens
		return true
	})
	return n
}

// add caches all parts of a prompt and evicts the least recently used.
func (c *cache) add(v fescuelatch.VersionID, parts []fescuelatch.PromptPart) {
	visitPrefixes(v, parts, func(key uint64, tokens int) bool {
		if _, ok := c.parts.Get(key); !ok {
			c.parts.Add(key, tokens)
			c.tokens += tokens
		}
		return true
	})
	for c.limit > 0 && c.tokens > c.limit {
		_, tokens, ok := c.parts.RemoveOldest()
		if !ok {
			return
		}
		c.tokens -= tokens
	}
}
