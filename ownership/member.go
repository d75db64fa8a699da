package ownership

import (
	"slices"
	"time"

	"fescuelatch"
)

// This file defines the state that a table tracks for one member.

// State is the state of a member as one daemon sees it.
type State string

// States of a member.
const (
	StateAlive        State = "alive"
	StateUnresponsive State = "silent"
	StateLeaving      State = "leaving"
	StateGone         State = "gone"
)

// Member is one daemon of the failure domain, for dumps and status.
type Member struct {
	VM          fescuelatch.VMID        `json:"vm"`
	Incarnation fescuelatch.Incarnation `json:"incarnation,omitempty"`
	State       State                   `json:"state"`
	// Since is when the member entered State.
	Since time.Time `json:"since"`
	// Heard is the latest time at which the member is known to have run.
	Heard  time.Time `json:"heard"`
	Joined bool      `json:"joined"`
	// Lease is when the member's promise to this daemon expires.
	Lease time.Time `json:"lease"`
}

// maxRetired bounds the former incarnations that are recorded per VM.
const maxRetired = 8

type member struct {
	vm          fescuelatch.VMID
	incarnation fescuelatch.Incarnation
	retired     []fescuelatch.Incarnation
	sequence    uint64
	// joined, leaving and gone are as last reported. A member that is
	// leaving or gone claims nothing.
	joined, leaving, gone bool
	// heard is the latest time at which the member is known to have run.
	heard time.Time
	// acked reports that the member has acknowledged this incarnation.
	acked bool
	// lease is when the promise not to claim this daemon's endpoints expires.
	lease time.Time

	state State
	since time.Time
}

// mayClaim reports whether m may claim endpoints in the current view.
func (m *member) mayClaim() bool { return !m.leaving && !m.gone }

// unresponsiveAt returns when m becomes unresponsive without new messages.
func (m *member) unresponsiveAt(s Settings) time.Time { return m.heard.Add(s.TakeoverTimeout) }

// acceptIncarnation records that incarnation i of m runs. It reports false if
// that incarnation was replaced.
func (m *member) acceptIncarnation(i fescuelatch.Incarnation) bool {
	if i == m.incarnation {
		return true
	}
	if slices.Contains(m.retired, i) {
		return false
	}
	if m.incarnation != "" {
		m.retired = append(m.retired, m.incarnation)
		if len(m.retired) > maxRetired {
			m.retired = slices.Delete(m.retired, 0, 1)
		}
	}
	m.incarnation = i
	m.sequence = 0
	m.joined, m.leaving = false, false
	// A promise ends with the process that made it.
	m.lease = time.Time{}
	return true
}

// markHeard records that m ran at time t.
func (m *member) markHeard(t time.Time) {
	if t.After(m.heard) {
		m.heard = t
		m.gone = false
	}
}

// updateState recomputes the state of m.
func (m *member) updateState(now time.Time, s Settings) {
	state, since := StateAlive, now
	switch {
	case m.gone:
		state = StateGone
	case m.leaving:
		state = StateLeaving
	case !now.Before(m.unresponsiveAt(s)):
		state, since = StateUnresponsive, m.unresponsiveAt(s)
	}
	if state != m.state {
		m.state, m.since = state, since
	}
}
