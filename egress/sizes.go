package egress

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines the estimate of the traffic of a request.

const (
	// defaultTokenBytes is the traffic for a token of an answer before any has been
	// measured. A token is some 4 bytes of text, to which the framing of its event adds.
	defaultTokenBytes = 10
	// baseTokens expresses, in tokens, the heads of a request and its answer, and an
	// answer of no stated length.
	baseTokens = 100
	// sizeWeight is the weight of a new observation in a moving average.
	sizeWeight = 0.05
	// maxRoutes bounds the routes that are tracked; the least recently used is forgotten.
	maxRoutes = 1024
)

// Sizes learns the traffic of requests by route: that of a request is the bytes of its body
// and, for each token of its answer, the bytes that a token has taken so far.
type Sizes struct {
	tokenBytes *simplelru.LRU[fescuelatch.RouteID, float64]
}

// NewSizes returns an estimate without observations.
func NewSizes() *Sizes {
	// The size is a positive constant, which is all that is checked.
	l, _ := simplelru.NewLRU[fescuelatch.RouteID, float64](maxRoutes, nil)
	return &Sizes{l}
}

// Clone returns a copy of s.
func (s *Sizes) Clone() *Sizes {
	c := NewSizes()
	for _, r := range s.tokenBytes.Keys() {
		if perToken, ok := s.tokenBytes.Peek(r); ok {
			c.tokenBytes.Add(r, perToken)
		}
	}
	return c
}

// Expected returns the expected traffic of a request and its answer.
func (s *Sizes) Expected(r *fescuelatch.Request) int {
	perToken, ok := s.tokenBytes.Get(r.Route)
	if !ok {
		perToken = defaultTokenBytes
	}
	return r.BodyBytes + int(perToken*tokens(r))
}

// Observe records the traffic of a request that was answered.
func (s *Sizes) Observe(r *fescuelatch.Request, bytes int) {
	observed := float64(max(0, bytes-r.BodyBytes)) / tokens(r)
	if mean, ok := s.tokenBytes.Get(r.Route); ok {
		observed = mean + sizeWeight*(observed-mean)
	}
	s.tokenBytes.Add(r.Route, observed)
}

func tokens(r *fescuelatch.Request) float64 { return float64(max(0, r.OutputTokens) + baseTokens) }
