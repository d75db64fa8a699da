package main

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/operator"
)

// This file defines a session: one run of one command.

const (
	dialTimeout       = 2 * time.Second
	maxAttemptTimeout = 5 * time.Second
	// attemptsInTimeout is the number of unresponsive daemons that can be tried
	// within the timeout of the command.
	attemptsInTimeout = 3
)

type session struct {
	streams
	args *arguments
}

// client returns a client for the daemons that the flags name.
func (s *session) client() (*operator.Client, error) {
	const op = "connect"
	if len(s.args.Addresses) == 0 {
		return nil, usageError(op, errors.New("--address is missing"))
	}
	key := s.args.OperKey
	if s.args.KeyFile != "" {
		b, err := readFile(s.args.KeyFile)
		if err != nil {
			return nil, usageError(op, err)
		}
		key = strings.TrimSpace(string(b))
	}
	if key == "" {
		return nil, usageError(op, errors.New("--key-file or FESCUELATCH_OPERATOR_KEY is missing"))
	}
	return &operator.Client{
		Addresses:      s.args.Addresses,
		Key:            key,
		AttemptTimeout: min(s.args.Timeout/attemptsInTimeout, maxAttemptTimeout),
		HTTP:           operator.NewHTTPClient(dialTimeout),
	}, nil
}

func readFile(name string) ([]byte, error) {
	b, err := fs.ReadFile(os.DirFS(filepath.Dir(name)), filepath.Base(name))
	return b, errors.WithStack(err)
}

func (s *session) writeJSON(v any) error {
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(v))
}

// table returns a writer that aligns columns; the caller must flush it.
func (s *session) table() *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(s.out, 0, 0, padding, ' ', 0)
}
