package operator

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the status of a fleet in the view of one daemon.

// Status is the view of the fleet held by the daemon at VM. Domains, versions
// and endpoints are ordered by their identifiers.
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

// PlatformStatus reports whether the answering daemon reaches the platform.
type PlatformStatus struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since,omitzero"`
}

// DomainStatus is the status of a failure domain. Out reports that operators
// have taken it out.
type DomainStatus struct {
	ID      fescuelatch.DomainID `json:"id"`
	Out     bool                 `json:"out"`
	Daemons []DaemonStatus       `json:"daemons"`
}

// DaemonState is the state of a daemon as tracked by the answering daemon.
type DaemonState string

// States of a daemon.
const (
	// DaemonAlive means that the daemon has been responsive recently.
	DaemonAlive DaemonState = "alive"
	// DaemonUnresponsive means that the daemon is unresponsive while others of its
	// failure domain are not: it is stopped, replaced or paused.
	DaemonUnresponsive DaemonState = "silent"
	// DaemonLeaving means that the daemon stops once its running work ends.
	DaemonLeaving DaemonState = "leaving"
	// DaemonCutOff means that the whole failure domain is unreachable.
	DaemonCutOff DaemonState = "cut-off"
)

// DaemonStatus is the status of a daemon. Generation is the active generation
// that it last reported, and Since the time at which it entered State. Out
// reports that operators have taken its VM out.
type DaemonStatus struct {
	VM          fescuelatch.VMID        `json:"vm"`
	Incarnation fescuelatch.Incarnation `json:"incarnation,omitempty"`
	Generation  fescuelatch.Generation  `json:"generation"`
	State       DaemonState             `json:"state"`
	Since       time.Time               `json:"since,omitzero"`
	Out         bool                    `json:"out,omitempty"`
}

// VersionStatus is the status of a version.
type VersionStatus struct {
	ID        fescuelatch.VersionID `json:"id"`
	Estimate  fescuelatch.Estimate  `json:"estimate"`
	Health    fescuelatch.Health    `json:"health"`
	Withdrawn bool                  `json:"withdrawn"`
	Exposure  fescuelatch.Exposure  `json:"exposure"`
}

// EndpointStatus is the status of an endpoint. Owner is empty while no daemon
// owns it or the answering daemon does not know the owner. Limit is the number
// of concurrent requests that the owner currently allows.
type EndpointStatus struct {
	ID      fescuelatch.EndpointID    `json:"id"`
	Domain  fescuelatch.DomainID      `json:"failure-domain"`
	Owner   fescuelatch.VMID          `json:"owner,omitempty"`
	State   fescuelatch.EndpointState `json:"state,omitempty"`
	Running int                       `json:"running"`
	Limit   int                       `json:"limit"`
	Out     bool                      `json:"out,omitempty"`
}

// Confirmed reports whether each daemon of the failure domain is reachable and
// runs generation g or a later one. A failure domain without daemons is
// confirmed.
func (d *DomainStatus) Confirmed(g fescuelatch.Generation) bool {
	for _, m := range d.Daemons {
		if !m.confirms(g) {
			return false
		}
	}
	return true
}

func (m *DaemonStatus) confirms(g fescuelatch.Generation) bool {
	return m.responsive() && m.Generation >= g
}

// responsive reports whether the daemon is alive or leaving.
func (m *DaemonStatus) responsive() bool {
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

// UnmarshalJSON decodes a state and rejects unknown ones.
func (s *DaemonState) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return errors.WithStack(err)
	}
	switch d := DaemonState(text); d {
	case DaemonAlive, DaemonUnresponsive, DaemonLeaving, DaemonCutOff:
		*s = d
		return nil
	default:
		return errors.Errorf("unknown daemon state %q", text)
	}
}
