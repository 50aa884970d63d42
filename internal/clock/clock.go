// Package clock waits for a time or the end of a context. It imports nothing
// internal.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
