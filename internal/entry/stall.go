package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// stallMeter finds times in which the process had no turn, and tells a paused VM from a
// process that kept its processor busy.
type stallMeter struct {
	at        time.Time
	sinceBoot time.Duration
	processor time.Duration
}

// stall is a time in which a timer of the process was late.
type stall struct {
	late      time.Duration // of the timer, by the steady clock
	suspended time.Duration // time of the stall that the steady clock did not count
	processor time.Duration // processor time that the process used since the timer was set
}

// start notes when a timer is set.
func (m *stallMeter) start() {
	m.at, m.sinceBoot, m.processor = time.Now(), clock.SinceBoot(), clock.ProcessorTime()
}

// end returns the stall, and whether there was one, when a timer that was set at start for
// the given time has fired.
func (m *stallMeter) end(set time.Duration) (stall, bool) {
	steady := time.Since(m.at)
	s := stall{late: steady - set, suspended: max(clock.SinceBoot()-m.sinceBoot-steady, 0)}
	if s.late < maxRunGap && s.suspended < maxRunGap {
		return stall{}, false
	}
	s.processor = clock.ProcessorTime() - m.processor
	return s, true
}

// logStall logs a stall. If the process has used most of its share of the processor meanwhile,
// a goroutine of its own was busy; otherwise the VM was paused.
func (n *Node) logStall(s stall) {
	n.meters.count("process_stalled")
	n.cfg.Logger.Warn("process_stalled", zap.Duration("late", s.late), zap.Duration("suspended", s.suspended),
		zap.Duration("processor", s.processor), zap.Float64("share", n.cfg.CPUShare))
}
