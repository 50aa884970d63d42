// Package clock provides a sleep that a context can interrupt, a clock that includes the
// time during which the VM is suspended, and the processor time of the process. The drivers
// of entry processes, packages platform, httpjson and freshness, and the stand-ins use it.
// It has no state and imports nothing internal.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Sleep waits for d and returns true. If ctx is done first, it returns false at once.
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

// SinceBoot returns the time since the VM was booted. Unlike the monotonic clock of
// package time, it advances while the VM is suspended. Only differences between two
// results are meaningful.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // the wall clock advances during suspension too
	}
	return time.Duration(t.Nano())
}

// ProcessorTime returns the processor time that the process has used, or 0 if the system
// does not tell.
func ProcessorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
