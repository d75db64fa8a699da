package kv

import (
	"slices"
	"sort"
)

// This file defines a sorted set of keys.

// maxChunk is the number of keys above which a chunk is split.
const maxChunk = 512

// keySet holds sorted keys, divided into sorted chunks that are not empty.
// The zero value is empty.
type keySet struct {
	chunks [][]string
}

// chunkOf returns the index of the chunk where k belongs.
func (s *keySet) chunkOf(k string) int {
	i := sort.Search(len(s.chunks), func(i int) bool { return s.chunks[i][0] > k })
	return max(0, i-1)
}

// add adds k, which must be absent.
func (s *keySet) add(k string) {
	if len(s.chunks) == 0 {
		s.chunks = [][]string{{k}}
		return
	}
	i := s.chunkOf(k)
	at, _ := slices.BinarySearch(s.chunks[i], k)
	c := slices.Insert(s.chunks[i], at, k)
	s.chunks[i] = c
	if len(c) > maxChunk {
		s.chunks[i] = c[:maxChunk/2]
		s.chunks = slices.Insert(s.chunks, i+1, slices.Clone(c[maxChunk/2:]))
	}
}

// remove removes k, which must be present.
func (s *keySet) remove(k string) {
	i := s.chunkOf(k)
	at, _ := slices.BinarySearch(s.chunks[i], k)
	s.chunks[i] = slices.Delete(s.chunks[i], at, at+1)
	if len(s.chunks[i]) == 0 {
		s.chunks = slices.Delete(s.chunks, i, i+1)
	}
}

// keysIn returns the keys in p, sorted.
func (s *keySet) keysIn(p span) []string {
	var keys []string
	if len(s.chunks) == 0 {
		return nil
	}
	i := s.chunkOf(string(p.key))
	at, _ := slices.BinarySearch(s.chunks[i], string(p.key))
	for ; i < len(s.chunks); i++ {
		for _, k := range s.chunks[i][at:] {
			if !p.contains(k) {
				return keys
			}
			keys = append(keys, k)
		}
		at = 0
	}
	return keys
}
