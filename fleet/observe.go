package fleet

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines access to the records of the stand-ins and the keys of
// the platform.

// Receipt records that a model engine received an attempt.
type Receipt struct {
	At time.Time `json:"at"`
	// Started is when the attempt got a slot, zero if it never did.
	Started time.Time             `json:"started"`
	Attempt fescuelatch.AttemptID `json:"attempt"`
	Version fescuelatch.VersionID `json:"version"`
	Leaving bool                  `json:"leaving"`
}

// Request returns the request that the attempt belongs to.
func (s *Receipt) Request() fescuelatch.RequestID { return requestOf(s.Attempt) }

// requestOf strips the attempt number from an attempt identifier.
func requestOf(a fescuelatch.AttemptID) fescuelatch.RequestID {
	n := strings.LastIndexByte(string(a), '.')
	if n < 0 {
		return fescuelatch.RequestID(a)
	}
	return fescuelatch.RequestID(a[:n])
}

// Execution is one execution of an operation by a plain service.
type Execution struct {
	Key       string                  `json:"key"`
	Service   fescuelatch.ServiceID   `json:"service"`
	Operation fescuelatch.OperationID `json:"operation"`
	Attempt   fescuelatch.AttemptID   `json:"attempt"`
	At        time.Time               `json:"at"`
}

// EndpointCounts are the counters of an engine.
type EndpointCounts struct {
	OverloadFailures int `json:"fall-overs"`
	MaxCold          int `json:"max-cold-concurrency"`
	MaxRunning       int `json:"max-concurrency"`
}

// EndpointLog holds the records of one endpoint.
type EndpointLog struct {
	Endpoint   fescuelatch.Endpoint
	Pool       fescuelatch.Pool
	Starts     []Receipt
	Executions []Execution
	Counts     EndpointCounts
}

// EndpointLogs reads the records of all endpoints. It fails if any read fails.
func (f *Fleet) EndpointLogs(ctx context.Context) ([]EndpointLog, error) {
	pools := make(map[fescuelatch.PoolID]fescuelatch.Pool)
	for _, l := range f.Configuration.Inventory.Pools {
		pools[l.ID] = l
	}
	var logs []EndpointLog
	for _, e := range f.Configuration.Inventory.Endpoints {
		l, err := f.endpointLog(ctx, e, pools[e.Pool])
		if err != nil {
			return nil, err
		}
		logs = append(logs, l)
	}
	return logs, nil
}

func (f *Fleet) endpointLog(ctx context.Context, e fescuelatch.Endpoint, p fescuelatch.Pool) (EndpointLog, error) {
	l := EndpointLog{Endpoint: e, Pool: p}
	if p.Service != "" {
		var a struct {
			Executions []Execution `json:"executions"`
		}
		err := f.get(ctx, e.Address, "/executions", &a)
		l.Executions = a.Executions
		return l, err
	}
	if err := f.get(ctx, e.Address, "/counts", &l.Counts); err != nil {
		return l, err
	}
	var a struct {
		Starts []Receipt `json:"starts"`
	}
	err := f.get(ctx, e.Address, "/starts", &a)
	l.Starts = a.Starts
	return l, err
}

func (f *Fleet) get(ctx context.Context, a netip.AddrPort, path string, out any) error {
	return f.call(ctx, http.MethodGet, "http://"+a.String()+path, nil, out)
}

// Faults merges faults into those of the stand-in of endpoint e.
func (f *Fleet) Faults(ctx context.Context, e fescuelatch.EndpointID, faults any) error {
	for _, p := range f.Configuration.Inventory.Endpoints {
		if p.ID == e {
			return f.setFaults(ctx, p.Address, faults)
		}
	}
	return &Error{"set faults", KindUnknown, errors.New(string(e))}
}

// PlatformFaults merges faults into those of the platform's stand-in.
func (f *Fleet) PlatformFaults(ctx context.Context, faults any) error {
	return f.setFaults(ctx, f.addresses.platform, faults)
}

// RatingFaults merges faults into those of the rating service's stand-in.
func (f *Fleet) RatingFaults(ctx context.Context, faults any) error {
	return f.setFaults(ctx, f.addresses.rating, faults)
}

func (f *Fleet) setFaults(ctx context.Context, a netip.AddrPort, faults any) error {
	return f.call(ctx, http.MethodPost, "http://"+a.String()+"/faults", faults, nil)
}

// PlatformCalls returns the number of calls that the platform has received,
// by kind.
func (f *Fleet) PlatformCalls(ctx context.Context) (map[string]int64, error) {
	var a struct {
		Calls map[string]int64 `json:"calls"`
	}
	err := f.get(ctx, f.addresses.platform, "/counts", &a)
	return a.Calls, err
}

// Ratings returns the number of answers that the rating service has rated.
func (f *Fleet) Ratings(ctx context.Context) (int64, error) {
	var a struct {
		Ratings int64 `json:"ratings"`
	}
	err := f.get(ctx, f.addresses.rating, "/counts", &a)
	return a.Ratings, err
}

const billPrefix = "fescuelatch/bill/"

type rangeRequest struct {
	Key      string `json:"key"`
	RangeEnd string `json:"range_end"`
}

type rangeAnswer struct {
	KVs []struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
	} `json:"kvs"`
}

// Bills returns all bills stored at the platform. A bill stored more than
// once is returned as often.
func (f *Fleet) Bills(ctx context.Context) ([]fescuelatch.Bill, error) {
	last := []byte(billPrefix)
	last[len(last)-1]++
	q := rangeRequest{
		Key:      base64.StdEncoding.EncodeToString([]byte(billPrefix)),
		RangeEnd: base64.StdEncoding.EncodeToString(last),
	}
	var a rangeAnswer
	if err := f.call(ctx, http.MethodPost, "http://"+f.addresses.platform.String()+"/v3/kv/range", q, &a); err != nil {
		return nil, err
	}
	var bills []fescuelatch.Bill
	for _, kv := range a.KVs {
		bs, err := decodeBills(kv.Value)
		if err != nil {
			return nil, &Error{"read " + string(kv.Key), KindRefused, err}
		}
		bills = append(bills, bs...)
	}
	return bills, nil
}

// decodeBills decodes a bill, a list of bills, or a batch that holds a list
// named "bills".
func decodeBills(b []byte) ([]fescuelatch.Bill, error) {
	var list []fescuelatch.Bill
	if json.Unmarshal(b, &list) == nil {
		return list, nil
	}
	var batch struct {
		Bills []fescuelatch.Bill `json:"bills"`
	}
	if err := json.Unmarshal(b, &batch); err != nil {
		return nil, errors.WithStack(err)
	}
	if batch.Bills != nil {
		return batch.Bills, nil
	}
	var bill fescuelatch.Bill
	if err := json.Unmarshal(b, &bill); err != nil {
		return nil, errors.WithStack(err)
	}
	if bill.Request == "" {
		return nil, errors.New("holds no bill")
	}
	return []fescuelatch.Bill{bill}, nil
}

// Platform returns the address of the platform's key-value service.
func (f *Fleet) Platform() netip.AddrPort { return f.addresses.platform }

// PlatformLink returns the address at which the daemons reach the platform's
// key-value service.
func (f *Fleet) PlatformLink() netip.AddrPort { return f.addresses.platformLink }
