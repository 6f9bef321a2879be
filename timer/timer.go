// Package timer waits on the runtime's clock.
//
// # Usage
//
//	for timer.Pause(ctx, 20*time.Millisecond) {
//		look()
//	}
package timer

import (
	"context"
	"time"
)

// Pause waits for a time, and reports whether the context still stands.
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
