package direct

import (
	"bytes"
	"slices"
	"sync"

	"fescuelatch"
)

// This file defines how configurations are decoded outside the lock of the decisions. To
// decode one of thousands of routes takes a small VM a fifth of a second.

// maxDecoded is the number of decoded configurations that are kept: the active one and one
// that is about to replace it.
const maxDecoded = 2

// decodingCodec is a codec that keeps the configurations decoded last. It is safe for
// concurrent use.
type decodingCodec struct {
	fescuelatch.StoreCodec

	mu      sync.Mutex
	decoded []decodedDeployment // the latest one last
}

type decodedDeployment struct {
	value      []byte
	deployment *fescuelatch.Deployment
	err        error
}

// Deployment implements fescuelatch.StoreCodec.
func (c *decodingCodec) Deployment(value []byte) (*fescuelatch.Deployment, error) {
	if d, ok := c.find(value); ok {
		return d.deployment, d.err
	}
	d := decodedDeployment{value: value}
	d.deployment, d.err = c.StoreCodec.Deployment(value)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.decoded) == maxDecoded {
		c.decoded = append(c.decoded[:0], c.decoded[1:]...)
	}
	c.decoded = append(c.decoded, d)
	return d.deployment, d.err
}

func (c *decodingCodec) find(value []byte) (decodedDeployment, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.decoded {
		if bytes.Equal(d.value, value) {
			return d, true
		}
	}
	return decodedDeployment{}, false
}

// prepare decodes the latest configuration among changes that are about to be applied under
// the lock, and returns the changes without the configurations that it supersedes. Errors
// are reported when the changes are applied.
func (c *decodingCodec) prepare(items []fescuelatch.StoredItem) []fescuelatch.StoredItem {
	latest := 0 // All are kept if none can be decoded.
	for i, item := range slices.Backward(items) {
		if !c.deploys(item) {
			continue
		}
		if _, err := c.Deployment(item.Value); err == nil {
			latest = i
			break
		}
	}
	var needed []fescuelatch.StoredItem
	for i, item := range items {
		if i >= latest || !c.deploys(item) {
			needed = append(needed, item)
		}
	}
	return needed
}

// deploys reports whether a change sets the configuration.
func (c *decodingCodec) deploys(i fescuelatch.StoredItem) bool {
	return !i.Removed && c.Subject(i.Key).Kind == fescuelatch.SubjectDeployment
}
