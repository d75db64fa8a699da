package daemon

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/caller"
	"fescuelatch/session"
)

// This file defines how the version of a request's session is determined.

// tokenPrefix is the prefix of every session token: the encoded start of its
// header.
const tokenPrefix = "eyJ"

// resolveSession sets the version that the request's session is bound to. If it
// returns false, it has answered the request as not run.
func (s *activeRequest) resolveSession(ctx context.Context) bool {
	text := s.call.Session
	if text == "" || s.call.Chat == nil || s.call.Request.Forwarded {
		return true
	}
	if strings.HasPrefix(text, tokenPrefix) {
		return s.resolveToken(text)
	}
	return s.resolveIdentifier(ctx, text)
}

func (s *activeRequest) resolveToken(text string) bool {
	q := s.call.Request
	c, err := s.daemon.options.Sessions.Verify(text, q.Account)
	if err != nil {
		s.refuseSession(http.StatusBadRequest, "invalid-session", err, 0)
		return false
	}
	if s.mayMove(c.Version) {
		return true
	}
	s.pin(c.Version)
	return true
}

// mayMove reports whether the session continues with another version because
// its own has been withdrawn and the caller allows a change.
func (s *activeRequest) mayMove(v fescuelatch.VersionID) bool {
	return s.call.SessionMove && s.withdrawn(v)
}

func (s *activeRequest) withdrawn(v fescuelatch.VersionID) bool {
	view := s.daemon.View()
	return view != nil && view.Withdrawn(v)
}

// pin binds the request to the version of its session if it is a version of the
// requested model.
func (s *activeRequest) pin(id fescuelatch.VersionID) {
	q := s.call.Request
	view := s.daemon.View()
	if view == nil {
		return
	}
	v, ok := view.Version(id)
	if !ok || q.Model == "" || v.Model == q.Model {
		q.Session = id
	}
}

// resolveIdentifier looks up a bare session identifier at the platform and
// binds it at its first use. A session belongs to one model, or to all.
func (s *activeRequest) resolveIdentifier(ctx context.Context, text string) bool {
	q := s.call.Request
	id := session.Session{Account: q.Account, ID: string(q.Model) + "/" + text}
	bound, err := s.daemon.bindings.Lookup(ctx, id)
	if err == nil && s.withdrawn(bound) {
		bound, err = s.daemon.bindings.Reread(ctx, id)
	}
	if err == nil && bound == "" {
		bound, err = s.bind(ctx, id, "")
	}
	if err == nil && s.mayMove(bound) {
		bound, err = s.bind(ctx, id, bound)
	}
	if err != nil {
		var e *session.Error
		after := time.Second
		if errors.As(err, &e) {
			after = max(after, e.RetryAfter)
		}
		s.refuseSession(http.StatusServiceUnavailable, "session-unavailable", err, after)
		return false
	}
	s.pin(bound)
	return true
}

// bind binds a session to the version that the core would select first, or
// rebinds it from a withdrawn version. It returns no version if there is none.
func (s *activeRequest) bind(ctx context.Context, id session.Session, withdrawn fescuelatch.VersionID) (fescuelatch.VersionID, error) {
	s.daemon.mu.Lock()
	v := s.daemon.core.Pick(time.Now(), s.call.Request)
	s.daemon.mu.Unlock()
	if v == "" {
		return "", nil
	}
	if withdrawn != "" {
		return s.daemon.bindings.Rebind(ctx, id, withdrawn, v)
	}
	return s.daemon.bindings.Bind(ctx, id, v)
}

func (s *activeRequest) refuseSession(status int, code string, err error, after time.Duration) {
	f := caller.Failure{Status: status, Code: code, Message: err.Error(), Outcome: fescuelatch.OutcomeNotRun, RetryAfter: after}
	werr := s.reply.Fail(s.meta(""), f)
	s.daemon.recordEnd(s, fescuelatch.OutcomeNotRun, code, werr)
}

// rankOf returns a rank for a VM; each ranking VM gets a different order.
func rankOf(by, of fescuelatch.VMID) uint64 {
	return xxhash.Sum64String(string(by) + "/" + string(of))
}
