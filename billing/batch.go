package billing

import (
	"encoding/json"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines batches, the unit in which bills are copied to peers.

// Batch is an immutable list of bills, identified by Origin and Sequence. The
// sequences of an origin begin at 1.
type Batch struct {
	Origin   fescuelatch.Incarnation `json:"origin"`
	Sequence uint64                  `json:"sequence"`
	Bills    []fescuelatch.Bill      `json:"bills"`
}

var _ json.Unmarshaler = (*Batch)(nil)

// UnmarshalJSON implements json.Unmarshaler and checks the decoded batch.
func (b *Batch) UnmarshalJSON(data []byte) error {
	type plain Batch
	if err := json.Unmarshal(data, (*plain)(b)); err != nil {
		return err
	}
	return b.check()
}

func (b *Batch) check() error {
	if b.Origin == "" || b.Sequence == 0 || len(b.Bills) == 0 {
		return errors.New("batch lacks an origin, sequence or bills")
	}
	for i := range b.Bills {
		if err := checkBill(&b.Bills[i]); err != nil {
			return err
		}
	}
	return nil
}

func checkBill(b *fescuelatch.Bill) error {
	if b.Request == "" || b.Account == "" {
		return errors.New("bill lacks a request or account")
	}
	return nil
}
