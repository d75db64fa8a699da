package crash

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the records that daemons exchange.

const (
	// maxProcesses and maxSuspects bound a report.
	maxProcesses = 256
	maxSuspects  = 64
	// maxOffset bounds the time between crashes in a report, in milliseconds.
	maxOffset = 1000
	// maxTrials bounds the trials of a blocked part, of which one counts at a time.
	maxTrials = 1 << 30
	// maxWith bounds the traits that are named with another one.
	maxWith = 64
)

// Report is what one daemon saw of crashes that came at the same time.
type Report struct {
	// Processes are the endpoint processes that ended, by ProcessKey.
	Processes []string `json:"processes"`
	// Offsets are the milliseconds after the first crash at which those of Processes were
	// seen. It is empty if all were seen at once.
	Offsets []int `json:"offsets,omitempty"`
	// Suspects are the traits of the requests there whose answers had not yet been
	// under way.
	Suspects []Suspect `json:"suspects"`
}

// Suspect is a trait of requests that may have caused a crash. Daemons that know prompt
// parts only take each trait for one.
type Suspect struct {
	Trait string `json:"part"`
	// Depth is the number of traits before it. A deeper one is in fewer requests.
	Depth int `json:"depth"`
	// After is the trait before it in the same request. It is not known in the
	// reports of daemons that know prompt parts only.
	After string `json:"after,omitempty"`
	// At holds the positions in Processes of those that had requests with the trait.
	// If it is empty, all may have had some.
	At []int `json:"at,omitempty"`
	// With holds the other traits that all these requests have. It is nil if they are not
	// known, in the reports of earlier builds.
	With []string `json:"with,omitzero"`
}

// Block is the record of a blocked trait.
type Block struct {
	// Trials is the number of requests with the trait that were sent since it was
	// blocked, to see whether it still crashes endpoints.
	Trials int `json:"trials"`
	// With holds the traits without which a request with the trait is not refused.
	With []string `json:"with,omitempty"`
}

// ProcessKey identifies an endpoint process in reports.
func ProcessKey(p fescuelatch.EndpointProcess) string {
	return strconv.FormatUint(xxhash.Sum64String(string(p.Endpoint)+"|"+strconv.FormatInt(p.Started, 10)+"|"+p.Address.String()), 16)
}

// decodeReport decodes and checks a report.
func decodeReport(b []byte) (Report, error) {
	const op = "decode report"
	var r Report
	if err := json.Unmarshal(b, &r); err != nil {
		return r, &Error{op, KindInvalid, errors.WithStack(err)}
	}
	if len(r.Processes) == 0 || len(r.Processes) > maxProcesses || len(r.Suspects) > maxSuspects {
		return r, &Error{op, KindInvalid, errors.Errorf("%d processes and %d suspects", len(r.Processes), len(r.Suspects))}
	}
	if len(r.Offsets) > 0 && len(r.Offsets) != len(r.Processes) {
		return r, &Error{op, KindInvalid, errors.Errorf("%d offsets of %d processes", len(r.Offsets), len(r.Processes))}
	}
	for _, o := range r.Offsets {
		if o < 0 || o > maxOffset {
			return r, &Error{op, KindInvalid, errors.Errorf("offset of %d ms", o)}
		}
	}
	for _, s := range r.Suspects {
		if s.Trait == "" || len(s.Trait) > maxTrait || len(s.After) > maxTrait || s.Depth < 0 {
			return r, &Error{op, KindInvalid, errors.Errorf("suspect %.20q after %.20q at depth %d", s.Trait, s.After, s.Depth)}
		}
		if err := checkWith(s.Trait, s.With); err != nil {
			return r, &Error{op, KindInvalid, err}
		}
		for _, i := range s.At {
			if i < 0 || i >= len(r.Processes) {
				return r, &Error{op, KindInvalid, errors.Errorf("suspect at process %d of %d", i, len(r.Processes))}
			}
		}
	}
	return r, nil
}

// decodeBlock decodes and checks the record of a block or of trials.
func decodeBlock(trait string, b []byte) (Block, error) {
	const op = "decode block"
	var decoded Block
	if err := json.Unmarshal(b, &decoded); err != nil {
		return decoded, &Error{op, KindInvalid, errors.Wrapf(err, "record of %.20q", trait)}
	}
	if trait == "" || len(trait) > maxTrait || decoded.Trials < 0 || decoded.Trials > maxTrials {
		return decoded, &Error{op, KindInvalid, errors.Errorf("record of %.20q with %d trials", trait, decoded.Trials)}
	}
	if err := checkWith(trait, decoded.With); err != nil {
		return decoded, &Error{op, KindInvalid, err}
	}
	return decoded, nil
}

// checkWith checks the traits that are named with another one.
func checkWith(trait string, with []string) error {
	if len(with) > maxWith {
		return errors.Errorf("%d traits with %.20q", len(with), trait)
	}
	for _, w := range with {
		if w == "" || len(w) > maxTrait {
			return errors.Errorf("trait %.20q with %.20q", w, trait)
		}
	}
	return nil
}
