package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// A holder on a small VM, or on one that has become slow, releases the cell when a
// follower on a much larger one is linked: reading the records and serving hundreds of
// workers takes a small VM many times as long, and no job starts meanwhile.
const (
	// yieldFactor is how many times larger the CPU share of the follower must be. A
	// handover takes about half a second, which a small difference is not worth.
	yieldFactor = 1.5
	// yieldInterval is the interval between two looks at the followers.
	yieldInterval = 200 * time.Millisecond
	// yieldPause is how long a process that holds the cell again after it yielded does
	// not yield again. The larger VMs may be linked without access to the log.
	yieldPause = 10 * time.Second
)

// yieldToStronger releases the cell once a follower on a much larger VM is linked. It
// returns when the term ends.
func (h *holder) yieldToStronger() {
	if h.node.cfg.CPUShare == 0 {
		return
	}
	for wait := max(time.Until(h.agent.noYieldUntil), 0) + yieldInterval; clock.Sleep(h.ctx, wait); wait = yieldInterval {
		own := h.node.cpuMilli()
		if name, share := h.strongestFollower(); float64(share) >= yieldFactor*float64(own) {
			h.logger.Info("holder_yields", zap.String("follower", name), zap.Uint64("cpu_milli", share), zap.Uint64("own_cpu_milli", own), zap.Bool("restored", h.ready.Load()))
			cause := causeYielded
			if own < uint64(h.node.cfg.CPUShare*1000) {
				cause = causeSlow
			}
			h.node.spawn(func() { h.release(cause) })
			return
		}
	}
}

// strongestFollower returns the linked follower with the largest CPU share that could
// become the holder, and that share in thousandths of a core. Of equal ones, it is the first
// by name. The name is empty if there is none.
func (h *holder) strongestFollower() (name string, cpuMilli uint64) {
	for follower, l := range h.followerLinks() {
		status, _ := l.PeerStatus()
		if status.CPUMilli > cpuMilli || status.CPUMilli == cpuMilli && cpuMilli > 0 && follower < name {
			name, cpuMilli = follower, status.CPUMilli
		}
	}
	return name, cpuMilli
}
