package operator

import "fescuelatch"

// This file defines the response bodies specific to the operator API.

// historyBody is the answer to GET /v1/changes.
type historyBody struct {
	Changes []fescuelatch.Change `json:"changes"`
}

// failureBody is the answer to a failed request, except for a conflict, whose
// body is the winning change.
type failureBody struct {
	Kind    ErrorKind           `json:"kind"`
	Message string              `json:"message,omitempty"`
	Faults  []fescuelatch.Fault `json:"faults,omitempty"`
}
