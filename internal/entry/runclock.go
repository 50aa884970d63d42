package entry

import (
	"sync"
	"time"
)

// maxRunGap is the time between two readings of a runClock from which on the process counts as
// paused in between. probeSpeed reads the clock every probeInterval.
const maxRunGap = 5 * probeInterval

// runClock measures the time for which the process has run, without the time for which it
// was paused. It is safe for concurrent use.
type runClock struct {
	mu     sync.Mutex
	readAt time.Time
	ran    time.Duration
	// resumed is the running time at the end of the last pause.
	resumed time.Duration
}

// now returns for how long the process has run. Only differences between two results are
// meaningful.
func (c *runClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now()
	if !c.readAt.IsZero() {
		gap := at.Sub(c.readAt)
		if gap >= maxRunGap {
			gap = probeInterval
			c.resumed = c.ran + gap
		}
		c.ran += gap
	}
	c.readAt = at
	return c.ran
}

// sinceResumed returns for how long the process has run since its last pause.
func (c *runClock) sinceResumed() time.Duration {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.resumed
}
