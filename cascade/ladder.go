package cascade

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fescuelatch"
)

// This file defines Ladder, the policy for requests that name a ladder of
// models of one service whose endpoints report confidence in an answer.

var (
	_ fescuelatch.VersionPolicy    = (*Ladder)(nil)
	_ fescuelatch.EscalationPolicy = (*Ladder)(nil)
)

// LadderSettings tune a Ladder. A zero field takes its default.
type LadderSettings struct {
	// SessionTimeout is the time after its last request for which a session
	// keeps its release. The default is 30 s.
	SessionTimeout time.Duration
	// MinConfidence is the limit below which an answer is abandoned for one of
	// the largest model. The default is 0.55.
	MinConfidence float64
}

// Defaults of LadderSettings.
const (
	defaultSessionTime = 30 * time.Second
	defaultConfidence  = 0.55
	// maxSessions bounds the sessions whose release is stored.
	maxSessions = 1 << 14
	// mixHalfLife is the number of requests after which an earlier one counts
	// for half in the mix of requests with and without a session.
	mixHalfLife = 500
	// maxSessionlessShare bounds a release's share of sessionless requests that
	// compensates for its lack of sessions, so that a wrong estimate cannot
	// double the requests to a bad release.
	maxSessionlessShare = 0.5
)

// Ladder plans the cheapest model of a request's ladder first and the largest
// one after it. It suits requests of varying difficulty: a small model answers
// most of them well and reports its confidence, and the others cost one short
// attempt on the small model.
//
// A request that may run once has a single model, as no second attempt can correct
// the first: the largest one that is expected to answer in time.
//
// A session keeps its release. Other requests are divided by the weights of
// the releases and the hash of their session, so that daemons agree on the
// release of a session that is new to them, and a growing weight moves
// sessions to that release only.
//
// A release that must not have sessions yet gets its share of all requests
// from the sessionless ones, if there are enough of them.
type Ladder struct {
	settings LadderSettings
	sessions *simplelru.LRU[string, binding]
	mixes    map[fescuelatch.ModelID]*sessionMix
}

// sessionMix counts the requests with and without a session, with decay.
type sessionMix struct{ with, without float64 }

func (m *sessionMix) add(session bool) {
	if m.with+m.without >= 2*mixHalfLife {
		m.with, m.without = m.with/2, m.without/2
	}
	if session {
		m.with++
	} else {
		m.without++
	}
}

// sessionlessShare returns the share of the requests without a session.
func (m *sessionMix) sessionlessShare() float64 { return (m.without + 1) / (m.with + m.without + 1) }

// binding is the release of a session and the time of its last request.
type binding struct {
	release fescuelatch.ReleaseID
	used    time.Time
}

// NewLadder returns a policy without sessions.
func NewLadder(s LadderSettings) *Ladder {
	if s.SessionTimeout == 0 {
		s.SessionTimeout = defaultSessionTime
	}
	if s.MinConfidence == 0 {
		s.MinConfidence = defaultConfidence
	}
	// NewLRU only fails if the size is not positive.
	sessions, _ := simplelru.NewLRU[string, binding](maxSessions, nil)
	return &Ladder{settings: s, sessions: sessions, mixes: make(map[fescuelatch.ModelID]*sessionMix)}
}

// Release returns the release that a session is bound to, if it is.
func (l *Ladder) Release(now time.Time, session string) (fescuelatch.ReleaseID, bool) {
	b, ok := l.sessions.Peek(session)
	return b.release, ok && now.Sub(b.used) < l.settings.SessionTimeout
}

// Preview returns a copy of l for requests of one session, or of none, on which decisions can
// be tried without an effect.
func (l *Ladder) Preview(session string) *Ladder {
	p := NewLadder(l.settings)
	if b, ok := l.sessions.Peek(session); ok {
		p.sessions.Add(session, b)
	}
	for m, x := range l.mixes {
		c := *x
		p.mixes[m] = &c
	}
	return p
}

// Plan implements fescuelatch.VersionPolicy.
func (l *Ladder) Plan(now time.Time, r *fescuelatch.Request, list []fescuelatch.Candidate, u float64) []fescuelatch.VersionID {
	if len(r.Ladder) == 0 {
		return nil
	}
	release, ok := l.release(now, r, list, u)
	if !ok {
		return nil
	}
	if r.SessionKey != "" {
		l.sessions.Add(r.SessionKey, binding{release, now})
	}
	models := modelsOf(r, list, release)
	switch {
	case len(models) == 0:
		return nil
	case !r.Idempotent:
		return []fescuelatch.VersionID{onlyModel(now, r, models)}
	case len(models) == 1:
		return []fescuelatch.VersionID{models[0].Version.ID}
	}
	return []fescuelatch.VersionID{models[0].Version.ID, models[len(models)-1].Version.ID}
}

// modelsOf returns the candidates of r's ladder in a release, cheapest first.
func modelsOf(r *fescuelatch.Request, list []fescuelatch.Candidate, release fescuelatch.ReleaseID) []fescuelatch.Candidate {
	var models []fescuelatch.Candidate
	for _, m := range r.Ladder {
		v := fescuelatch.NewVersionID(m, release)
		if i := slices.IndexFunc(list, func(c fescuelatch.Candidate) bool { return c.Version.ID == v }); i >= 0 {
			models = append(models, list[i])
		}
	}
	return models
}

// onlyModel returns the version for a request that may run once: the largest model that
// can start at once and meets the target latency, or the deadline if there is no target.
// If there is none, the cheapest model gives the soonest answer.
func onlyModel(now time.Time, r *fescuelatch.Request, models []fescuelatch.Candidate) fescuelatch.VersionID {
	latest := r.Deadline
	if r.TargetLatency > 0 {
		latest = r.Arrived.Add(r.TargetLatency)
	}
	for _, c := range slices.Backward(models) {
		if c.Spare > 0 && !now.Add(c.Latency).After(latest) {
			return c.Version.ID
		}
	}
	return models[0].Version.ID
}

// Escalate implements fescuelatch.EscalationPolicy. A larger model costs its
// endpoint many times the work. If it is slow for lack of capacity, only the
// least confident answers are escalated, so that the others stay in time. The
// rest of a retry budget mostly used up by failures also goes to these.
func (l *Ladder) Escalate(now time.Time, r *fescuelatch.Request, e fescuelatch.Escalation) bool {
	limit := l.settings.MinConfidence
	if r.TargetLatency > 0 && e.Latency > 0 {
		left := r.TargetLatency - now.Sub(r.Arrived)
		limit *= min(1, max(minLimitFactor, float64(left)/float64(slackFactor*e.Latency)))
	}
	return e.Confidence < limit*min(1, e.Budget/lowBudget)
}

const (
	// minLimitFactor is the part of the confidence limit that remains under
	// any load.
	minLimitFactor = 0.3
	// slackFactor is the multiple of its latency that a larger model must
	// have left, or else it counts as short of capacity.
	slackFactor = 2
	// lowBudget is the part of the retry budget below which less and less
	// confident answers are kept. It is low because a budget left over at the
	// end of a sliding window is lost.
	lowBudget = 0.1
)

// releaseCandidate is a release that could serve a request.
type releaseCandidate struct {
	release  fescuelatch.ReleaseID
	weight   float64
	spare    int
	sessions fescuelatch.SessionPolicy
}

// release returns the release that serves a request. A session keeps its
// release while it has any weight and sessions need not leave it. Sessions move
// by their hash alone: if spare capacity counted, daemons that see it
// differently could choose different releases.
func (l *Ladder) release(now time.Time, r *fescuelatch.Request, list []fescuelatch.Candidate, u float64) (fescuelatch.ReleaseID, bool) {
	releases := releaseCandidates(list)
	if len(releases) == 0 {
		return "", false
	}
	moving := false
	if r.SessionKey != "" {
		releases = sessionCandidates(releases)
		moving = slices.ContainsFunc(releases, func(c releaseCandidate) bool { return c.sessions == fescuelatch.SessionsMove })
	} else {
		l.compensate(r, releases)
	}
	l.mixOf(r).add(r.SessionKey != "")
	if b, ok := l.sessions.Get(r.SessionKey); ok && now.Sub(b.used) < l.settings.SessionTimeout {
		if slices.ContainsFunc(releases, func(c releaseCandidate) bool { return c.keepsSession(b.release) }) {
			return b.release, true
		}
	}
	best, highest := -1, math.Inf(-1)
	for _, needSpare := range []bool{true, false} {
		for i, c := range releases {
			if needSpare && c.spare <= 0 && !moving {
				continue
			}
			if s := c.score(r.SessionKey, u); s > highest {
				best, highest = i, s
			}
		}
		if best >= 0 {
			break
		}
	}
	return releases[best].release, true
}

// keepsSession reports whether a session of the release r stays on c.
func (c releaseCandidate) keepsSession(r fescuelatch.ReleaseID) bool {
	return c.release == r && c.weight > 0 && c.sessions != fescuelatch.SessionsMove
}

// sessionCandidates returns the releases that may have sessions, or all if
// there is none.
func sessionCandidates(releases []releaseCandidate) []releaseCandidate {
	allowed := slices.DeleteFunc(slices.Clone(releases), func(c releaseCandidate) bool { return c.sessions == fescuelatch.SessionsExcluded })
	if len(allowed) == 0 {
		return releases
	}
	return allowed
}

// mixOf returns the mix of the requests for the largest model of r's ladder,
// which all routes of a service share.
func (l *Ladder) mixOf(r *fescuelatch.Request) *sessionMix {
	largest := r.Ladder[len(r.Ladder)-1]
	if l.mixes[largest] == nil {
		l.mixes[largest] = new(sessionMix)
	}
	return l.mixes[largest]
}

// compensate adjusts the weights for a request without a session, so that a
// release that has no sessions gets its share of all requests.
func (l *Ladder) compensate(r *fescuelatch.Request, releases []releaseCandidate) {
	absent := slices.IndexFunc(releases, func(c releaseCandidate) bool { return c.sessions == fescuelatch.SessionsExcluded })
	if absent < 0 {
		return
	}
	var all float64
	for _, c := range releases {
		all += c.weight
	}
	if all <= 0 {
		return
	}
	share := releases[absent].weight / all
	adjusted := max(share, min(maxSessionlessShare, share/l.mixOf(r).sessionlessShare()))
	for i := range releases {
		switch {
		case i == absent:
			releases[i].weight = adjusted
		case share < 1:
			releases[i].weight *= (1 - adjusted) / (all * (1 - share))
		}
	}
}

// releaseCandidates returns the releases of the candidates in list order.
func releaseCandidates(list []fescuelatch.Candidate) []releaseCandidate {
	var releases []releaseCandidate
	for _, c := range list {
		release := c.Version.ID.Release()
		i := slices.IndexFunc(releases, func(r releaseCandidate) bool { return r.release == release })
		if i < 0 {
			releases = append(releases, releaseCandidate{release, c.Version.Weight, c.Spare, c.Version.Sessions})
			continue
		}
		releases[i].spare = max(releases[i].spare, c.Spare)
	}
	return releases
}

// score returns the weighted rendezvous hashing score. A release without
// weight ranks after all others.
func (c releaseCandidate) score(session string, u float64) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(c.release))
	_, _ = d.WriteString("\x00")
	if session != "" {
		_, _ = d.WriteString(session)
	} else {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], math.Float64bits(u))
		_, _ = d.Write(b[:])
	}
	x := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	if c.weight <= 0 {
		return math.Log(x) - math.MaxFloat64/2
	}
	return math.Log(x) / c.weight
}
