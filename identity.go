package fescuelatch

import "strings"

// This file defines the identifiers of the domain and the generation number
// of a configuration.

// DomainID names a failure domain, for example "kgl-a".
type DomainID string

// VMID names an entry VM, which runs one daemon.
type VMID string

// Incarnation distinguishes the successive processes of one VM. It is a
// random identifier generated when the process starts.
type Incarnation string

// EndpointID names an endpoint: a model engine or a plain service process.
type EndpointID string

// PoolID names a group of endpoints that serve the same versions.
type PoolID string

// ModelID names a model, for example "triage-small".
type ModelID string

// Name returns the part of an identifier "service:model" after the service:
// the name that the endpoints of the service use for the model.
func (m ModelID) Name() string {
	_, name, _ := strings.Cut(string(m), ":")
	return name
}

// VersionID names one version of a model, written "model@version".
type VersionID string

// ServiceID names a plain service.
type ServiceID string

// OperationID names an operation of a plain service.
type OperationID string

// AccountID names a client account.
type AccountID string

// RequestID names one request of a caller across all its attempts.
type RequestID string

// AttemptID names one attempt to run a request at an endpoint. Answers are
// matched to attempts, never to connections.
type AttemptID string

// ChangeID names one configuration change; its author generates it randomly.
type ChangeID string

// Generation counts accepted configurations. Zero means that there is no
// configuration yet.
type Generation uint64
