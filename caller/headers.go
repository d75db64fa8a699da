// Package caller implements the HTTP API for callers: chat completions and
// models in the OpenAI wire format, and plain services. It authenticates
// client accounts, validates requests and writes answers. A Backend runs the
// requests.
package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the headers of requests and answers.

// Headers of requests and answers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderSession        = "Fescuelatch-Session"
	HeaderSessionMove    = "Fescuelatch-Session-Move"
	HeaderQuality        = "Fescuelatch-Quality"
	HeaderTimeout        = "Fescuelatch-Timeout"
	HeaderPriority       = "Fescuelatch-Priority"
	HeaderRequestID      = "Fescuelatch-Request-Id"
	HeaderOutcome        = "Fescuelatch-Outcome"
	HeaderVersion        = "Fescuelatch-Version"
	HeaderRetryAfter     = "Retry-After"
)

const (
	// DefaultTimeout is the time limit of a request without a timeout header.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout is the longest time limit that a request may set.
	MaxTimeout       = 10 * time.Minute
	maxKeyBytes      = 255
	maxSessionBytes  = 2048
	bearerPrefix     = "Bearer "
	priorityLowName  = "low"
	priorityHighName = "high"
)

// options holds the validated request headers.
type options struct {
	key              string
	session          string
	allowSessionMove bool
	quality          float64 // negative when absent
	timeout          time.Duration
	priority         fescuelatch.Priority
}

func parseOptions(h http.Header) (options, error) {
	o := options{quality: -1, timeout: DefaultTimeout}
	o.key = h.Get(HeaderIdempotencyKey)
	if len(o.key) > maxKeyBytes {
		return o, &Error{"parse headers", KindInvalid, errors.Errorf("%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)}
	}
	o.session = h.Get(HeaderSession)
	if len(o.session) > maxSessionBytes {
		return o, &Error{"parse headers", KindInvalid, errors.Errorf("%s is longer than %d bytes", HeaderSession, maxSessionBytes)}
	}
	if err := parseMove(h.Get(HeaderSessionMove), &o.allowSessionMove); err != nil {
		return o, err
	}
	if err := parseQuality(h.Get(HeaderQuality), &o.quality); err != nil {
		return o, err
	}
	if err := parseTimeout(h.Get(HeaderTimeout), &o.timeout); err != nil {
		return o, err
	}
	return o, parsePriority(h.Get(HeaderPriority), &o.priority)
}

// sessionMoveAllow allows a session to continue on another version after its
// own has been withdrawn.
const sessionMoveAllow = "allow"

func parseMove(s string, move *bool) error {
	if s != "" && s != sessionMoveAllow {
		return &Error{"parse headers", KindInvalid, errors.Errorf("%s %q is not %q", HeaderSessionMove, s, sessionMoveAllow)}
	}
	*move = s == sessionMoveAllow
	return nil
}

func parseQuality(s string, quality *float64) error {
	if s == "" {
		return nil
	}
	q, err := strconv.ParseFloat(s, 64)
	if err != nil || !(q >= 0 && q <= 1) {
		return &Error{"parse headers", KindInvalid, errors.Errorf("%s %q is not a number from 0 to 1", HeaderQuality, s)}
	}
	*quality = q
	return nil
}

func parseTimeout(s string, timeout *time.Duration) error {
	if s == "" {
		return nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 || d > MaxTimeout {
		return &Error{"parse headers", KindInvalid, errors.Errorf("%s %q is not a duration up to %v", HeaderTimeout, s, MaxTimeout)}
	}
	*timeout = d
	return nil
}

func parsePriority(s string, p *fescuelatch.Priority) error {
	switch s {
	case "", "normal":
		*p = fescuelatch.PriorityNormal
	case priorityLowName:
		*p = fescuelatch.PriorityLow
	case priorityHighName:
		*p = fescuelatch.PriorityHigh
	default:
		return &Error{"parse headers", KindInvalid, errors.Errorf("%s %q is not low, normal or high", HeaderPriority, s)}
	}
	return nil
}

// bearerToken returns the bearer token of a request, or the empty string.
func bearerToken(h http.Header) string {
	key, ok := strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}
