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

// prefix is a leading sequence of the parts of a prompt, by a key and the tokens of its last
// part.
type prefix struct {
	key    uint64
	tokens int
}

// appendPrefixes appends the prefixes of a prompt, shortest first. A part only matches for the
// same version and after the same parts.
func appendPrefixes(to []prefix, v fescuelatch.VersionID, parts []fescuelatch.PromptPart) []prefix {
	if len(parts) == 0 {
		return to
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(v))
	for _, p := range parts {
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(p.ID)
		to = append(to, prefix{d.Sum64(), p.Tokens})
	}
	return to
}

// cachedTokens returns the tokens of the leading parts that are cached.
func (c *cache) cachedTokens(prefixes []prefix) int {
	n := 0
	for _, p := range prefixes {
		if !c.parts.Contains(p.key) {
			break
		}
		n += p.tokens
	}
	return n
}

// add caches all parts of a prompt and evicts the least recently used.
func (c *cache) add(prefixes []prefix) {
	for _, p := range prefixes {
		if _, ok := c.parts.Get(p.key); !ok {
			c.parts.Add(p.key, p.tokens)
			c.tokens += p.tokens
		}
	}
	for c.limit > 0 && c.tokens > c.limit {
		_, tokens, ok := c.parts.RemoveOldest()
		if !ok {
			return
		}
		c.tokens -= tokens
	}
}
