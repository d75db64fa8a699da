package ownership

import (
	"slices"
	"time"

	"fescuelatch"
)

// This file defines what a table knows of one member.

// State is the state of a member as one daemon sees it.
type State string

// States of a member.
const (
	StateAlive   State = "alive"
	StateSilent  State = "silent"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Member is one daemon of the failure domain, for dumps and status.
type Member struct {
	VM          fescuelatch.VMID        `json:"vm"`
	Incarnation fescuelatch.Incarnation `json:"incarnation,omitempty"`
	State       State                   `json:"state"`
	// Since is when the member entered State.
	Since time.Time `json:"since"`
	// Heard is when the member was last known to run.
	Heard  time.Time `json:"heard"`
	Joined bool      `json:"joined"`
	// Lease is when its promise to this daemon ends.
	Lease time.Time `json:"lease"`
}

// maxRetired bounds the former incarnations that are remembered for a VM.
const maxRetired = 8

type member struct {
	vm          fescuelatch.VMID
	incarnation fescuelatch.Incarnation
	retired     []fescuelatch.Incarnation
	sequence    uint64
	// joined, leaving and gone are as last heard. A member that is leaving
	// or gone claims nothing.
	joined, leaving, gone bool
	// heard is when the member was last known to run.
	heard time.Time
	// acked reports that the member knows of this daemon's incarnation.
	acked bool
	// lease is when the promise not to claim this daemon's endpoints ends.
	lease time.Time

	state State
	since time.Time
}

// claims reports whether m may claim endpoints, as far as is known.
func (m *member) claims() bool { return !m.leaving && !m.gone }

// silentAt returns when m counts as silent unless it is heard.
func (m *member) silentAt(s Settings) time.Time { return m.heard.Add(s.TakeoverAfter) }

// accept takes in that incarnation i of m runs. It reports false for an
// incarnation that was replaced.
func (m *member) accept(i fescuelatch.Incarnation) bool {
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
	// What the former process promised ended with it.
	m.lease = time.Time{}
	return true
}

// touch records that m ran at time t.
func (m *member) touch(t time.Time) {
	if t.After(m.heard) {
		m.heard = t
		m.gone = false
	}
}

// settle recomputes the state of m.
func (m *member) settle(now time.Time, s Settings) {
	state, since := StateAlive, now
	switch {
	case m.gone:
		state = StateGone
	case m.leaving:
		state = StateLeaving
	case !now.Before(m.silentAt(s)):
		state, since = StateSilent, m.silentAt(s)
	}
	if state != m.state {
		m.state, m.since = state, since
	}
}
