package operator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the status of a fleet as one daemon sees it.

// Status is the fleet as the daemon at VM sees it. Domains, versions and
// endpoints are ordered by their identifiers.
type Status struct {
	VM         fescuelatch.VMID       `json:"vm"`
	Domain     fescuelatch.DomainID   `json:"failure-domain"`
	Generation fescuelatch.Generation `json:"generation"`
	Digest     string                 `json:"digest"`
	At         time.Time              `json:"at"`
	Platform   PlatformStatus         `json:"platform"`
	Domains    []DomainStatus         `json:"failure-domains"`
	Versions   []VersionStatus        `json:"versions,omitempty"`
	Endpoints  []EndpointStatus       `json:"endpoints,omitempty"`
}

// PlatformStatus is whether the answering daemon reaches the platform.
type PlatformStatus struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since,omitzero"`
}

// DomainStatus is one failure domain. Out reports that operators have taken
// it out.
type DomainStatus struct {
	ID      fescuelatch.DomainID `json:"id"`
	Out     bool                 `json:"out"`
	Daemons []DaemonStatus       `json:"daemons"`
}

// DaemonState is what the answering daemon knows of another one.
type DaemonState string

// States of a daemon.
const (
	// DaemonAlive means that the daemon has been heard from lately.
	DaemonAlive DaemonState = "alive"
	// DaemonSilent means that it has not, and others of its failure domain
	// have: it is stopped, replaced or paused.
	DaemonSilent DaemonState = "silent"
	// DaemonLeaving means that it stops after its running work.
	DaemonLeaving DaemonState = "leaving"
	// DaemonCutOff means that nothing of its failure domain can be heard.
	DaemonCutOff DaemonState = "cut-off"
)

// DaemonStatus is one daemon. Generation is the one that it last said to
// have in force, and Since the time from which it has been in State. Out
// reports that operators have taken its VM out.
type DaemonStatus struct {
	VM          fescuelatch.VMID        `json:"vm"`
	Incarnation fescuelatch.Incarnation `json:"incarnation,omitempty"`
	Generation  fescuelatch.Generation  `json:"generation"`
	State       DaemonState             `json:"state"`
	Since       time.Time               `json:"since,omitzero"`
	Out         bool                    `json:"out,omitempty"`
}

// VersionStatus is what is known of a version.
type VersionStatus struct {
	ID        fescuelatch.VersionID `json:"id"`
	Estimate  fescuelatch.Estimate  `json:"estimate"`
	Health    fescuelatch.Health    `json:"health"`
	Withdrawn bool                  `json:"withdrawn"`
	Exposure  fescuelatch.Exposure  `json:"exposure"`
}

// EndpointStatus is what is known of an endpoint. Owner is empty while no
// daemon owns it, or while the owner is not known here. Limit is the number
// of requests that its owner lets it run at present.
type EndpointStatus struct {
	ID      fescuelatch.EndpointID    `json:"id"`
	Domain  fescuelatch.DomainID      `json:"failure-domain"`
	Owner   fescuelatch.VMID          `json:"owner,omitempty"`
	State   fescuelatch.EndpointState `json:"state,omitempty"`
	Running int                       `json:"running"`
	Limit   int                       `json:"limit"`
	Out     bool                      `json:"out,omitempty"`
}

// Confirmed reports whether each daemon of the failure domain is heard from
// and has generation g or a later one in force. A failure domain without
// daemons has nothing to confirm.
func (d *DomainStatus) Confirmed(g fescuelatch.Generation) bool {
	for _, m := range d.Daemons {
		if !m.confirms(g) {
			return false
		}
	}
	return true
}

func (m *DaemonStatus) confirms(g fescuelatch.Generation) bool {
	return m.heard() && m.Generation >= g
}

// heard reports whether the daemon is heard from at present.
func (m *DaemonStatus) heard() bool {
	return m.State == DaemonAlive || m.State == DaemonLeaving
}

// Unconfirmed returns the daemons that do not confirm generation g.
func (d *DomainStatus) Unconfirmed(g fescuelatch.Generation) []DaemonStatus {
	var out []DaemonStatus
	for _, m := range d.Daemons {
		if !m.confirms(g) {
			out = append(out, m)
		}
	}
	return out
}

// UnmarshalJSON decodes a state and refuses unknown ones.
func (s *DaemonState) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return errors.WithStack(err)
	}
	switch d := DaemonState(text); d {
	case DaemonAlive, DaemonSilent, DaemonLeaving, DaemonCutOff:
		*s = d
		return nil
	default:
		return errors.Errorf("unknown state of a daemon %q", text)
	}
}
