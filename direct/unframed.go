package direct

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/endpoint"
	"fescuelatch/internal/pause"
)

// This file defines when an answer with neither a length nor chunks is whole. It ends with its
// connection, and so does one whose process is killed: the kernel ends its connections in order.

// errCut means that an answer ended with its connection, and that the endpoint refuses
// further ones.
var errCut = errors.New("the answer ends with its connection, and the endpoint refuses others")

// errUnconfirmed means that an answer ended with its connection, and that the endpoint could not
// be asked whether its process still runs.
var errUnconfirmed = errors.New("the answer ends with its connection, and the endpoint cannot be asked for its end")

// errCutInLeaving means that an answer ended with its connection, and that the endpoint, which is
// leaving, has ended some time after its last bytes.
var errCutInLeaving = errors.New("the answer ends with its connection, and the endpoint, which is leaving, has ended")

// errLast means the same of an endpoint that has ended right after its last bytes: the answer is
// probably its last one. It is taken if no other endpoint can give it.
var errLast = errors.New("the answer ends with its connection, as its endpoint, which is leaving, does")

// lastAnswerLag bounds the time from the last bytes of an endpoint's last answer to its end. A
// process that is killed ends at any time after them.
const lastAnswerLag = 5 * time.Millisecond

// checkEnd returns an error if an answer that has just ended is perhaps not whole: it had neither
// a length nor chunks, and the endpoint's process has ended, whose connections end in order as
// well, or cannot be asked. A connection that is accepted and stays open replaces that of the
// answer. A failure of this VM to ask says nothing of the endpoint. An endpoint that is leaving ends
// as planned, or is killed in the middle of its answers.
func (t *attempt) checkEnd(a *endpoint.Answer) error {
	if a.Framed || t.delegate != "" {
		return nil
	}
	// The registration of a process that was killed ends as well, a moment later.
	ended, leaves := time.Now(), t.leaves(a)
	err := t.askRuns(t.address)
	if err == nil {
		return nil
	}
	t.maybeCut = true
	lag := t.request.daemon.stalls.Ran(a.LastBytes(), ended, 0)
	t.request.log("endpoint does not confirm the end of an answer", "attempt", t.start.Attempt, "endpoint", t.start.Endpoint,
		"took", time.Since(ended).String(), "leaves", leaves, "lag", lag.String(), "error", err.Error())
	switch {
	case endpoint.Local(err):
		return nil
	case leaves && lag <= lastAnswerLag:
		return errLast
	case leaves:
		return errCutInLeaving
	case endpoint.Refused(err):
		return errCut
	}
	return errUnconfirmed
}

// checkEndOfStream is checkEnd for a stream. What is perhaps missing after its last event is asked of
// another endpoint if possible.
func (t *attempt) checkEndOfStream(a *endpoint.Answer) error {
	err := t.checkEnd(a)
	switch {
	case !errors.Is(err, errLast):
		return err
	case t.resumable():
		return errCutInLeaving
	}
	return nil
}

// resumable reports whether another endpoint may give the rest of a stream.
func (t *attempt) resumable() bool {
	s := t.request
	q := s.details
	if !q.Resumable || !t.received().continuable() || q.MaxAttempts > 0 && t.number >= q.MaxAttempts {
		return false
	}
	service, _, _ := strings.Cut(string(t.start.Version.Model()), ":")
	d := s.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.storeView
	for id, e := range k.endpoints {
		if id != t.start.Endpoint && string(e.Service) == service && !e.Leaving && !k.domainsOut[e.Endpoint.Domain] {
			return true
		}
	}
	return false
}

// askRuns returns nil if the endpoint's process runs. It asks until there is an answer or
// endCheckTimeout has passed.
func (t *attempt) askRuns(to netip.AddrPort) error {
	d := t.request.daemon
	ctx, cancel := d.stalls.WithTimeout(t.ctx, endCheckTimeout)
	defer cancel()
	for {
		err := d.endpoints.Runs(ctx, to)
		if err == nil || endpoint.Refused(err) || !pause.For(ctx, endCheckInterval) {
			return err //nolint:wrapcheck // The caller logs it.
		}
	}
}

// leaves reports whether the endpoint is known to be leaving, or to have left, so that it ends as
// planned.
func (t *attempt) leaves(a *endpoint.Answer) bool {
	if a.Decoded.Leaving {
		return true
	}
	d := t.request.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.storeView.registeredProcess(t.start.Endpoint)
	return !ok || p == t.process && d.storeView.endpoints[t.start.Endpoint].Leaving
}
