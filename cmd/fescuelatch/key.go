package main

import (
	"bufio"
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the command that hashes bearer keys.

func (c *keyHash) run(_ context.Context, s *session) error {
	// The key may lack a trailing line break.
	line, _ := bufio.NewReader(s.in).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return usageError("hash key", errors.New("no key on standard input"))
	}
	_, err := fmt.Fprintln(s.out, fescuelatch.HashKey(key))
	return errors.WithStack(err)
}
