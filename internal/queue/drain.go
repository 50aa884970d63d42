package queue

import (
	"math"
	"time"
)

const (
	// drainTimeConstant is the busy time after which the weight of a start in the
	// drain rate has decayed to 1/e. It spans many run times of short requests and
	// still follows a loss of capacity within the deadline of urgent work.
	drainTimeConstant = 5 * time.Second
	// drainWarmUp is the busy time that must be measured before the rate is used,
	// and drainSlowWarmUp the same while fewer than drainMinStarts items have
	// started. Without the latter, the first requests after a start of the process
	// were refused as too late although the workers were idle, because few items
	// start while the connections to workers are being opened.
	drainWarmUp     = 250 * time.Millisecond
	drainSlowWarmUp = 2 * time.Second
	drainMinStarts  = 10
)

// drainRate measures the starts per second of busy time, which is time in which
// some waiting item is within its workspace's quota. Idle time is left out,
// because starts then only follow the arrivals.
type drainRate struct {
	starts  float64 // exponentially weighted
	seconds float64 // exponentially weighted busy time
	busy    bool
	since   time.Time // start of the busy time not yet in seconds
}

// advance adds the busy time since the last call to the weighted sums.
func (d *drainRate) advance(now time.Time) {
	if !d.busy || !now.After(d.since) {
		return
	}
	elapsed := now.Sub(d.since)
	decay := math.Exp(-elapsed.Seconds() / drainTimeConstant.Seconds())
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

// expected returns the time until the given number of items have started, at most
// maxExpectedWait. It is 0 while no item has to wait or too little busy time has
// been measured.
func (d *drainRate) expected(now time.Time, items float64) time.Duration {
	d.advance(now)
	if !d.busy || !d.isWarmedUp() {
		return 0
	}
	// The minimum of half a start avoids a division by zero.
	seconds := items * d.seconds / max(d.starts, 0.5)
	return time.Duration(min(seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}

// isWarmedUp reports whether enough was measured to use the rate.
func (d *drainRate) isWarmedUp() bool {
	if d.starts < drainMinStarts {
		return d.seconds >= drainSlowWarmUp.Seconds()
	}
	return d.seconds >= drainWarmUp.Seconds()
}

// maxExpectedWait limits the estimates of drainRate.
const maxExpectedWait = 24 * time.Hour
