package cost

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fescuelatch/engine"
	"fescuelatch/fleet"
	"fescuelatch/openai"
)

// This file defines the comparison of calls through a daemon with calls
// straight to an engine.

const (
	latencyCalls  = 60
	latencyTokens = 4
)

// Latency compares the times to the end of short answers, taken in turn.
type Latency struct {
	Calls int `json:"calls-each"`
	// Direct and Through are medians.
	Direct  time.Duration `json:"direct"`
	Through time.Duration `json:"through-daemon"`
	Ratio   float64       `json:"ratio"`
}

// compareLatency calls an engine and a daemon in turn.
func compareLatency(ctx context.Context, f *fleet.Fleet) (Latency, error) {
	i := &f.Configuration.Inventory
	a := f.Configuration.Rules.Accounts[0].ID
	var direct, through []time.Duration
	for n := range latencyCalls {
		d, err := timeCall(ctx, i.Endpoints[0].Address, string(i.Versions[0].ID), http.Header{engine.HeaderAttempt: {fmt.Sprint("direct.", n)}})
		if err != nil {
			return Latency{}, err
		}
		t, err := timeCall(ctx, i.VMs[0].Caller, string(model), http.Header{"Authorization": {"Bearer " + f.Keys[a]}})
		if err != nil {
			return Latency{}, err
		}
		direct, through = append(direct, d), append(through, t)
	}
	l := Latency{Calls: latencyCalls, Direct: median(direct), Through: median(through)}
	l.Ratio = l.Through.Seconds() / l.Direct.Seconds()
	return l, nil
}

func median(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	return ds[len(ds)/2]
}

// timeCall returns the time to the end of an answer.
func timeCall(ctx context.Context, to netip.AddrPort, model string, h http.Header) (time.Duration, error) {
	body, err := json.Marshal(openai.ChatRequest{
		Model: model, MaxTokens: latencyTokens, Stream: true,
		Messages: []openai.Message{{Role: "user", Content: json.RawMessage(`"nonce:latency compare"`)}},
	})
	if err != nil {
		return 0, errors.WithStack(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	r.Header = h
	r.Header.Set("Content-Type", "application/json")
	start := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Errorf("%s answered %s", to, resp.Status)
	}
	return time.Since(start), nil
}
