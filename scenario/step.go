package scenario

import (
	"context"
	"time"

	"fescuelatch"
)

// This file defines the common steps.

// Withdraw returns the step that withdraws a version.
func Withdraw(at time.Duration, v fescuelatch.VersionID) Step {
	return Step{At: at, Name: "withdraw version " + string(v), Do: func(ctx context.Context, r *Run) error {
		return r.Withdraw(ctx, v)
	}}
}

// TakeOutDomain returns the step that takes a failure domain out.
func TakeOutDomain(at time.Duration, d fescuelatch.DomainID) Step {
	return Step{At: at, Name: "take out failure domain " + string(d), Do: func(ctx context.Context, r *Run) error {
		return r.TakeOutDomain(ctx, d)
	}}
}

// RestoreDomain returns the step that reverts TakeOutDomain.
func RestoreDomain(at time.Duration, d fescuelatch.DomainID) Step {
	return Step{At: at, Name: "bring back failure domain " + string(d), Do: func(ctx context.Context, r *Run) error {
		return r.RestoreDomain(ctx, d)
	}}
}

// Kill returns the step that kills the daemon of a VM.
func Kill(at time.Duration, m fescuelatch.VMID) Step {
	return Step{At: at, Name: "kill daemon " + string(m), Do: func(ctx context.Context, r *Run) error {
		return r.Kill(ctx, m)
	}}
}

// Restart returns the step that starts the daemon of a VM again.
func Restart(at time.Duration, m fescuelatch.VMID) Step {
	return Step{At: at, Name: "replace daemon " + string(m), Do: func(ctx context.Context, r *Run) error {
		return r.Restart(ctx, m)
	}}
}

// Stop returns the step that gracefully stops the daemon of a VM.
func Stop(at time.Duration, m fescuelatch.VMID) Step {
	return Step{At: at, Name: "stop daemon " + string(m), Do: func(ctx context.Context, r *Run) error {
		return r.Stop(ctx, m)
	}}
}

// Leave returns the step that lists an endpoint as leaving.
func Leave(at time.Duration, e fescuelatch.EndpointID) Step {
	return Step{At: at, Name: "endpoint " + string(e) + " is leaving", Do: func(ctx context.Context, r *Run) error {
		return r.Leave(ctx, e)
	}}
}

// Return returns the step that reverts Leave.
func Return(at time.Duration, e fescuelatch.EndpointID) Step {
	return Step{At: at, Name: "endpoint " + string(e) + " is back", Do: func(ctx context.Context, r *Run) error {
		return r.Return(ctx, e)
	}}
}

// MakeCold returns the step that makes an engine cold for a duration.
func MakeCold(at time.Duration, e fescuelatch.EndpointID, d time.Duration) Step {
	return Step{At: at, Name: "endpoint " + string(e) + " turns cold", Do: func(ctx context.Context, r *Run) error {
		return r.MakeCold(ctx, e, d)
	}}
}
