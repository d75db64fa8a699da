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

// This file defines how a request finds the version of its session.

// tokenStart begins every session token: the encoded start of its header.
const tokenStart = "eyJ"

// resolveSession sets the version that the request's session is bound to. It
// answers the request itself, as not run, when it returns false.
func (s *serving) resolveSession(ctx context.Context) bool {
	text := s.call.Session
	if text == "" || s.call.Chat == nil || s.call.Request.Forwarded {
		return true
	}
	if strings.HasPrefix(text, tokenStart) {
		return s.resolveToken(text)
	}
	return s.resolveIdentifier(ctx, text)
}

func (s *serving) resolveToken(text string) bool {
	q := s.call.Request
	c, err := s.daemon.options.Sessions.Verify(text, q.Account)
	if err != nil {
		s.refuseSession(http.StatusBadRequest, "invalid-session", err, 0)
		return false
	}
	if s.moved(c.Version) {
		return true
	}
	s.pin(c.Version)
	return true
}

// moved reports whether the session goes on with another version because its
// own has been withdrawn and the caller allows it.
func (s *serving) moved(v fescuelatch.VersionID) bool {
	return s.call.SessionMove && s.withdrawn(v)
}

func (s *serving) withdrawn(v fescuelatch.VersionID) bool {
	view := s.daemon.View()
	return view != nil && view.Withdrawn(v)
}

// pin binds the request to the version of its session, if that is one of the
// model asked for.
func (s *serving) pin(id fescuelatch.VersionID) {
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

// resolveIdentifier looks a bare identifier up at the platform, and binds it
// at its first use. A session is one of a model, or of all.
func (s *serving) resolveIdentifier(ctx context.Context, text string) bool {
	q := s.call.Request
	id := session.Session{Account: q.Account, ID: string(q.Model) + "/" + text}
	bound, err := s.daemon.bindings.Lookup(ctx, id)
	if err == nil && s.withdrawn(bound) {
		bound, err = s.daemon.bindings.Reread(ctx, id)
	}
	if err == nil && bound == "" {
		bound, err = s.bind(ctx, id, "")
	}
	if err == nil && s.moved(bound) {
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

// bind binds a session to the version that the core would begin with, or in
// place of a withdrawn one. It returns no version when there is none.
func (s *serving) bind(ctx context.Context, id session.Session, withdrawn fescuelatch.VersionID) (fescuelatch.VersionID, error) {
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

func (s *serving) refuseSession(status int, code string, err error, after time.Duration) {
	f := caller.Failure{Status: status, Code: code, Message: err.Error(), Outcome: fescuelatch.OutcomeNotRun, RetryAfter: after}
	werr := s.reply.Fail(s.meta(""), f)
	s.daemon.ended(s, fescuelatch.OutcomeNotRun, code, werr)
}

// rankOf orders VMs differently for each VM that ranks them.
func rankOf(by, of fescuelatch.VMID) uint64 {
	return xxhash.Sum64String(string(by) + "/" + string(of))
}
