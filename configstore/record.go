package configstore

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines the keys and values stored at the platform.

const (
	keyHead      = "fescuelatch/config/head"
	prefixChange = "fescuelatch/config/change/"
	prefixFull   = "fescuelatch/config/full/"

	// fullInterval is the number of generations between two stored full
	// configurations.
	fullInterval = 64
	// DefaultRetain is the default of Store.Retain, a multiple of fullInterval.
	DefaultRetain = 32 * fullInterval

	maxFullBytes = 64 << 20
)

func changeKey(g fescuelatch.Generation) string { return fmt.Sprintf("%s%020d", prefixChange, g) }

func fullKey(g fescuelatch.Generation) string { return fmt.Sprintf("%s%020d", prefixFull, g) }

// storesFull reports whether generation g is stored as a full configuration.
func storesFull(g fescuelatch.Generation) bool { return g == 1 || g%fullInterval == 0 }

// newestFull returns the newest generation up to g that is stored as a full
// configuration.
func newestFull(g fescuelatch.Generation) fescuelatch.Generation {
	if g < fullInterval {
		return 1
	}
	return g - g%fullInterval
}

// head is the value of the head key.
type head struct {
	Generation fescuelatch.Generation `json:"generation"`
	Digest     string                 `json:"digest"`
	Change     fescuelatch.ChangeID   `json:"change"`
}

// UnmarshalJSON implements json.Unmarshaler and checks the decoded head.
func (h *head) UnmarshalJSON(b []byte) error {
	type plain head
	if err := json.Unmarshal(b, (*plain)(h)); err != nil {
		return err
	}
	if h.Generation == 0 || h.Digest == "" || h.Change == "" {
		return errors.New("head lacks a generation, digest or change")
	}
	return nil
}

// decodeChange decodes the change that produces generation g.
func decodeChange(value []byte, g fescuelatch.Generation) (*fescuelatch.Change, error) {
	c := new(fescuelatch.Change)
	if err := json.Unmarshal(value, c); err != nil {
		return nil, errors.WithStack(err)
	}
	switch {
	case c.Generation() != g:
		return nil, errors.Errorf("change %s produces generation %d, but is stored under generation %d", c.ID, c.Generation(), g)
	case c.ID == "":
		return nil, errors.Errorf("change stored under generation %d has no identifier", g)
	}
	return c, nil
}

// encodeFull encodes and compresses c. With a thousand VMs the configuration
// is close to the maximum value size of the platform.
func encodeFull(c *fescuelatch.Configuration) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(c); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := z.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return b.Bytes(), nil
}

// decodeFull decodes the full configuration of generation g. It also accepts
// uncompressed JSON.
func decodeFull(value []byte, g fescuelatch.Generation) (*fescuelatch.Configuration, error) {
	var r io.Reader = bytes.NewReader(value)
	if bytes.HasPrefix(value, []byte{0x1f, 0x8b}) {
		z, err := gzip.NewReader(r)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		r = z
	}
	c := new(fescuelatch.Configuration)
	if err := json.NewDecoder(io.LimitReader(r, maxFullBytes)).Decode(c); err != nil {
		return nil, errors.WithStack(err)
	}
	if c.Generation != g {
		return nil, errors.Errorf("full configuration has generation %d, but is stored under generation %d", c.Generation, g)
	}
	return c, nil
}
