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
	// A last line without a line break is a key as well.
	line, _ := bufio.NewReader(s.in).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return usageError("hash key", errors.New("the standard input has no key"))
	}
	_, err := fmt.Fprintln(s.out, fescuelatch.HashKey(key))
	return errors.WithStack(err)
}
