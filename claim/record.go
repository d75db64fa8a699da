package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the stored record of a claim and its key.

const keyPrefix = "fescuelatch/claim/"

// recordKey returns the storage key for an account's idempotency key.
func recordKey(a fescuelatch.AccountID, key string) string {
	h := sha256.Sum256([]byte(key))
	return keyPrefix + string(a) + "/" + hex.EncodeToString(h[:])
}

// Fingerprint returns the digest of a request body. It detects a key that is
// used for two different requests.
func Fingerprint(body []byte) string {
	h := sha256.Sum256(body)
	return hex.EncodeToString(h[:])
}

// status is the state of a record.
type status string

const (
	// statusClaimed means that the claimant may have dispatched.
	statusClaimed status = "claimed"
	// statusReleased means that the claimant did not and will not dispatch.
	// The record is kept, so that a late write of the same claimant fails.
	statusReleased status = "released"
	// statusFinished means that the outcome is recorded.
	statusFinished status = "finished"
)

// record is the value of a claim's key.
type record struct {
	Claimant    string              `json:"claimant"`
	Status      status              `json:"status"`
	Fingerprint string              `json:"fingerprint"`
	Created     time.Time           `json:"created"`
	Deadline    time.Time           `json:"deadline"`
	Outcome     fescuelatch.Outcome `json:"outcome,omitempty"`
	Answer      *Answer             `json:"answer,omitempty"`
}

// Answer is the recorded answer, returned to repeats of a finished request.
type Answer struct {
	Status      int                   `json:"status"`
	ContentType string                `json:"content-type,omitempty"`
	Version     fescuelatch.VersionID `json:"version,omitempty"`
	Body        []byte                `json:"body,omitempty"`
	// Omitted reports that the body was longer than Claimer.MaxAnswer.
	Omitted bool `json:"omitted,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler and checks the decoded record.
func (r *record) UnmarshalJSON(b []byte) error {
	type plain record
	if err := json.Unmarshal(b, (*plain)(r)); err != nil {
		return err
	}
	if r.Claimant == "" {
		return errors.New("claim has no claimant")
	}
	switch r.Status {
	case statusClaimed, statusReleased:
		return nil
	case statusFinished:
		return checkOutcome(r.Outcome)
	default:
		return errors.Errorf("claim has unknown status %q", r.Status)
	}
}

func checkOutcome(o fescuelatch.Outcome) error {
	if o != fescuelatch.OutcomeAnswered && o != fescuelatch.OutcomeUnknown {
		return errors.Errorf("a finished claim cannot have outcome %q", o)
	}
	return nil
}

func decode(kv fescuelatch.KeyValue) (*record, error) {
	r := new(record)
	if err := json.Unmarshal(kv.Value, r); err != nil {
		return nil, errors.WithStack(err)
	}
	return r, nil
}
