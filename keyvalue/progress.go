package keyvalue

import "context"

// This file defines how a caller learns that the answer to a call arrives, which may take
// long for a large one.

// progressKey is the key of the caller's function in the context of a call.
type progressKey struct{}

// WithProgress returns a context for calls, which call arrived whenever a part of an
// answer has arrived.
func WithProgress(ctx context.Context, arrived func()) context.Context {
	return context.WithValue(ctx, progressKey{}, arrived)
}

// Arrived reports that a part of an answer has arrived to the caller who has set ctx, if
// it wants to know.
func Arrived(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}
