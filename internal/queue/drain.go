package queue

import (
	"math"
	"time"
)

const (
	// drainMemory is the busy time after which a start counts 1/e in the drain
	// rate. It spans many run times of short requests and still follows a loss
	// of capacity within the deadline of urgent work.
	drainMemory = 5 * time.Second
	// drainWarmUp is the busy time below which the rate is not yet trusted, and
	// drainSilence the same while fewer than drainMinStarts have started. Without
	// the latter, the first requests after a start were refused as too late on an
	// idle cell, because few start while the connections to workers are opened.
	drainWarmUp    = 250 * time.Millisecond
	drainSilence   = 2 * time.Second
	drainMinStarts = 10
)

// drainRate measures starts per second of busy time, which is time with work
// waiting that its workspace's quota lets start. Idle time is left out: in it the
// rate only mirrors the arrivals.
type drainRate struct {
	starts  float64 // exponentially weighted
	seconds float64 // exponentially weighted busy time
	busy    bool
	since   time.Time // start of the busy time not yet in seconds
}

// advance moves the open busy time into the weighted sums.
func (d *drainRate) advance(now time.Time) {
	if !d.busy || !now.After(d.since) {
		return
	}
	elapsed := now.Sub(d.since)
	decay := math.Exp(-elapsed.Seconds() / drainMemory.Seconds())
	d.starts *= decay
	d.seconds = d.seconds*decay + elapsed.Seconds()*(1+decay)/2
	d.since = now
}

func (d *drainRate) setBusy(now time.Time, busy bool) {
	d.advance(now)
	d.busy, d.since = busy, now
}

func (d *drainRate) start(now time.Time) {
	d.advance(now)
	d.starts++
}

// expected returns the time in which the given number of items start. It is 0
// while nothing has to wait or too little busy time has been seen.
func (d *drainRate) expected(now time.Time, items float64) time.Duration {
	d.advance(now)
	if !d.busy || !d.isTrusted() {
		return 0
	}
	// Half a start keeps the estimate finite when nothing has started.
	seconds := items * d.seconds / max(d.starts, 0.5)
	return time.Duration(min(seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}

func (d *drainRate) isTrusted() bool {
	if d.starts < drainMinStarts {
		return d.seconds >= drainSilence.Seconds()
	}
	return d.seconds >= drainWarmUp.Seconds()
}

// maxExpectedWait bounds estimates.
const maxExpectedWait = 24 * time.Hour
