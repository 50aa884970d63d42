// Package clock waits for a time or the end of a context. It imports nothing
// internal.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
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

// SinceBoot returns the time since the VM was started. Unlike the monotonic clock of
// package time it goes on while the VM is suspended. Only differences mean something.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // no such clock: the time of day goes on too
	}
	return time.Duration(t.Nano())
}
