package kv

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fescuelatch/cmd/standin/server"
	"fescuelatch/internal/pause"
)

// This file defines the faults of the key-value service and its call counts.

// Outage is how the service fails to respond.
type Outage string

// Outages. The zero value is none.
const (
	OutageNone Outage = ""
	// OutageRefuse closes connections.
	OutageRefuse Outage = "refuse"
	// OutageHang delays responses until the outage ends.
	OutageHang Outage = "hang"
	// OutageUnavailable responds 503, as a service without a leader does.
	OutageUnavailable Outage = "unavailable"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outage) UnmarshalText(b []byte) error {
	return server.DecodeOneOf(o, b, OutageNone, OutageRefuse, OutageHang, OutageUnavailable)
}

// Loss is how the response to an applied write is lost.
type Loss string

// Losses. The zero value means LossCut.
const (
	// LossCut closes the connection.
	LossCut Loss = "cut"
	// LossHang never responds.
	LossHang Loss = "hang"
	// LossTimedOut responds 503, as a service that lost its leader does.
	LossTimedOut Loss = "timed-out"
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *Loss) UnmarshalText(b []byte) error {
	return server.DecodeOneOf(l, b, "", LossCut, LossHang, LossTimedOut)
}

// Faults are the faults of the key-value service.
type Faults struct {
	// Outage stops all calls and watches.
	Outage Outage `json:"outage"`
	// Slowness delays each call and each batch of watch events.
	Slowness time.Duration `json:"slowness"`
	// LostAnswer loses the responses to applied writes, in the way that
	// LostAnswerMode selects.
	LostAnswer     server.Chance `json:"lost-answer"`
	LostAnswerMode Loss          `json:"lost-answer-mode"`
	// WriteRate and ReadRate limit the calls per second; 0 means no limit.
	WriteRate float64 `json:"write-rate"`
	ReadRate  float64 `json:"read-rate"`
	// ClockAhead is added to the Date header of responses.
	ClockAhead time.Duration `json:"clock-ahead"`
	// WatchGap drops events from watches.
	WatchGap server.Chance `json:"watch-gap"`
}

// disconnectGrace is the time in which the server detects that a caller has
// disconnected. A call that hung is not executed if its caller disconnected
// during the outage.
const disconnectGrace = 100 * time.Millisecond

// applyOutage applies the outage and the slowness. It returns an error if the
// call must be rejected.
func (p *Platform) applyOutage(ctx context.Context) error {
	for {
		changed := p.faults.Changed()
		f := p.faults.Get()
		switch f.Outage {
		case OutageRefuse:
			server.Abort()
		case OutageUnavailable:
			return &Error{Op: "call", Kind: KindUnavailable, Message: "no leader"}
		case OutageHang:
			select {
			case <-changed:
				// A closed connection is detected with a delay.
				if !pause.For(ctx, disconnectGrace) {
					server.Abort()
				}
				continue
			case <-ctx.Done():
				server.Abort()
			}
		}
		if !pause.For(ctx, f.Slowness) {
			server.Abort()
		}
		return nil
	}
}

// applyRateLimit counts a call against the rate limit of writes or reads.
func (p *Platform) applyRateLimit(write bool) error {
	f := p.faults.Get()
	l, perSecond := &p.reads, f.ReadRate
	if write {
		l, perSecond = &p.writes, f.WriteRate
	}
	if !l.Allow(perSecond) {
		return &Error{Op: "limit", Kind: KindRateLimited, Message: "too many requests"}
	}
	return nil
}

// loseResponse applies LostAnswer to a write that was applied. It returns the
// error to send instead of the response, if any.
func (p *Platform) loseResponse(ctx context.Context) error {
	if !p.faults.Fires(func(f *Faults) *server.Chance { return &f.LostAnswer }) {
		return nil
	}
	switch p.faults.Get().LostAnswerMode {
	case LossTimedOut:
		return &Error{Op: "call", Kind: KindUnavailable, Message: "request timed out"}
	case LossHang:
		<-ctx.Done()
	}
	server.Abort()
	return nil
}

// dropEvents returns the events without those that WatchGap drops.
func (p *Platform) dropEvents(es []event) []event {
	var kept []event
	for _, e := range es {
		if !p.faults.Fires(func(f *Faults) *server.Chance { return &f.WatchGap }) {
			kept = append(kept, e)
		}
	}
	return kept
}

// counts counts calls by kind. The zero value is empty.
type counts struct {
	mu     sync.Mutex
	byKind map[string]int64
}

func (c *counts) add(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKind == nil {
		c.byKind = make(map[string]int64)
	}
	c.byKind[kind]++
}

// ServeHTTP returns the counts.
func (c *counts) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, struct {
		Calls map[string]int64 `json:"calls"`
	}{c.byKind})
}
