package main

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/egress"
)

// This file defines the settings of traffic between failure domains.

// Defaults of prices that are not stated. A request that is lost costs its caller more than
// one that is late.
const (
	defaultLatePrice   = 1.0
	defaultLostPrice   = 2.0
	defaultDomainDelay = 2 * time.Millisecond
)

// Bounds of the prices, far beyond any that is in use.
const (
	maxPrice       = 1e12
	maxDomainDelay = time.Minute
)

// egressFlags state the prices of leaving a failure domain, all in one currency. A price that
// is not stated differs from a price of nothing.
type egressFlags struct {
	GigabytePrice *float64       `arg:"--gigabyte-price,env:FESCUELATCH_GIGABYTE_PRICE" help:"price of a gigabyte between failure domains; turns on the decision by prices which requests leave theirs"`
	LatePrice     *float64       `arg:"--late-price,env:FESCUELATCH_LATE_PRICE" help:"what a request loses that is answered after its target latency, in the currency of --gigabyte-price [default: 1]"`
	LostPrice     *float64       `arg:"--lost-price,env:FESCUELATCH_LOST_PRICE" help:"what a request loses that is refused or gets no answer, in the same currency [default: 2]"`
	DomainDelay   *time.Duration `arg:"--domain-delay,env:FESCUELATCH_DOMAIN_DELAY" help:"time to another failure domain and back [default: 2ms]"`
}

// parse checks and returns the prices, or nil if none is stated. Its error lists all faults.
func (f *egressFlags) parse() (*egress.Prices, error) {
	var faults []string
	price := func(flag string, value *float64, otherwise float64) float64 {
		switch {
		case value == nil:
			return otherwise
		case !(*value >= 0 && *value <= maxPrice): // Also if it is not a number.
			faults = append(faults, flag+" is not within 0 to 1e12")
		case f.GigabytePrice == nil:
			faults = append(faults, flag+" needs --gigabyte-price")
		}
		return *value
	}
	p := &egress.Prices{
		Gigabyte: price("--gigabyte-price", f.GigabytePrice, 0),
		Late:     price("--late-price", f.LatePrice, defaultLatePrice),
		Lost:     price("--lost-price", f.LostPrice, defaultLostPrice),
		Delay:    defaultDomainDelay,
	}
	if d := f.DomainDelay; d != nil {
		p.Delay = *d
		switch {
		case *d < 0 || *d > maxDomainDelay:
			faults = append(faults, "--domain-delay is not within 0s to 1m")
		case f.GigabytePrice == nil:
			faults = append(faults, "--domain-delay needs --gigabyte-price")
		}
	}
	switch {
	case len(faults) > 0:
		return nil, errors.Errorf("settings: %s", strings.Join(faults, "; "))
	case f.GigabytePrice == nil:
		return nil, nil //nolint:nilnil // No prices are a valid setting.
	}
	return p, nil
}
