// Package timer pauses a goroutine until a time has passed or its context ends.
//
// # Usage
//
//	for timer.Pause(ctx, 20*time.Millisecond) {
//		checkState()
//	}
package timer

import (
	"context"
	"time"
)

// Pause returns true after d has passed, or false as soon as the context is done.
// With d of zero or less it returns immediately.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
