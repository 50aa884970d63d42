// Package freshness decides whether a process may answer by what it has read from a source that
// others change, such as the operators' configuration. A process that was paused, or to which
// the source does not respond, cannot know whether that is still in force. Package platform
// tells a Tracker of its reads and asks it before it answers. It imports the clock and fault
// packages. A Tracker is safe for concurrent use.
package freshness

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Limits are the longest times for which a version may be used after it was replaced.
type Limits struct {
	Usual time.Duration
	// Outage replaces Usual, for answers that are allowed in outages, while nothing
	// confirms that a version is the newest one.
	Outage time.Duration
}

// Tracker records up to which time all versions are known.
type Tracker struct {
	limits  Limits
	readNow func()

	mu          sync.Mutex
	confirmedAt time.Duration // since boot; all versions up to then are known
	// failingSince is the time since boot at which the first failure of a read after
	// confirmedAt was noticed; 0 if none has failed.
	failingSince time.Duration
	changed      chan struct{} // closed and replaced when confirmedAt changes
}

// New returns a Tracker of which nothing is confirmed yet. It calls readNow to request a read of
// the source, which must not block.
func New(limits Limits, readNow func()) *Tracker {
	return &Tracker{limits: limits, readNow: readNow, changed: make(chan struct{})}
}

// Confirm records that all versions up to a time since boot are known.
func (t *Tracker) Confirm(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at <= t.confirmedAt {
		return
	}
	t.confirmedAt, t.failingSince = at, 0
	close(t.changed)
	t.changed = make(chan struct{})
}

// Fail records that a read of the source has failed.
func (t *Tracker) Fail() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failingSince == 0 {
		t.failingSince = clock.SinceBoot()
	}
}

// Age returns the time up to now for which it is not known whether there are newer versions. It
// includes time in which the VM was suspended.
func (t *Tracker) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.SinceBoot() - t.confirmedAt
}

// Late reports whether the age is so high that another source should be asked too, before the
// usual limit is reached.
func (t *Tracker) Late() bool { return t.Age() > t.limits.Usual/2 }

// state returns the age, for how long reads have failed, and a channel that is closed at the
// next confirmation.
func (t *Tracker) state() (age, failing time.Duration, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.SinceBoot()
	if t.failingSince != 0 {
		failing = now - t.failingSince
	}
	return now - t.confirmedAt, failing, t.changed
}

// checkTimeout limits the wait for a confirmation. A read over a new connection takes some 20 ms,
// and its repeat comes 0.3 s later. If reads have failed for as long, there is no wait.
const checkTimeout = 500 * time.Millisecond

// retryMS is the retry delay in the error of Check, in ms. The caller's next request usually
// reaches another process.
const retryMS = 1000

// Check returns nil if an answer may be given by the newest version that is known. Otherwise it
// requests a read and waits for it, and returns a NotReady error if there is no confirmation
// within checkTimeout, unless the answer is allowed in outages and the age is below that limit.
func (t *Tracker) Check(ctx context.Context, allowedInOutage bool) error {
	if t.await(ctx) {
		return nil
	}
	age := t.Age()
	if allowedInOutage && age <= t.limits.Outage {
		return nil
	}
	e := fault.New(fault.NotReady, fmt.Sprintf("this process has not been able to check its configuration for %d ms", age.Milliseconds()),
		"send the request to another process, or again after the retry delay")
	e.RetryAfterMS = retryMS
	return e
}

// await waits until the age is at most the usual limit, and reports whether it is.
func (t *Tracker) await(ctx context.Context) bool {
	timer := time.NewTimer(checkTimeout)
	defer timer.Stop()
	for requested := false; ; requested = true {
		age, failing, changed := t.state()
		if age <= t.limits.Usual {
			return true
		}
		if failing > checkTimeout {
			return false
		}
		if !requested {
			t.readNow()
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
