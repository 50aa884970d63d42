package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// Timing of the speed probe.
const (
	// probeInterval is the interval between two measurements of the VM's speed.
	probeInterval = 100 * time.Millisecond
	// probeBytes is the size of the data that a measurement hashes, which takes about 20
	// µs on a VM at full speed.
	probeBytes = 16 << 10
	// probeCount is the number of measurements of which the fastest counts. Single ones
	// are longer when the process is interrupted.
	probeCount = 3
	// probeHistory is the number of measurements with which the newest are compared, by
	// their lower quartile. It covers 13 s, of which a VM may be slow for 9 s.
	probeHistory = 128
	// minSlowdown is the factor from which on a VM counts as slow. Clock rates of
	// processors vary by less.
	minSlowdown = 2
)

// speedMeter tells how much slower the VM works than usual. It is safe for concurrent
// use.
type speedMeter struct {
	mu      sync.Mutex
	history []time.Duration // up to probeHistory measurements, oldest first
	factor  float64         // see slowdown; 0 before the first measurement
}

// add records how long a measurement took.
func (m *speedMeter) add(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.history) == probeHistory {
		m.history = slices.Delete(m.history, 0, 1)
	}
	m.history = append(m.history, took)
	m.factor = 1
	sorted := slices.Sorted(slices.Values(m.history))
	usual := sorted[len(sorted)/4]
	fastest := slices.Min(m.history[max(len(m.history)-probeCount, 0):])
	if usual > 0 && fastest >= minSlowdown*usual {
		m.factor = float64(fastest) / float64(usual)
	}
}

// slowdown returns the factor by which the VM is slower than usual, or 1 if it is less
// than minSlowdown or not known yet.
func (m *speedMeter) slowdown() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.factor, 1)
}

// probeSpeed measures the VM's speed until the process stops, and logs when it changes
// much. VMs share their hosts with others and may become several times slower for
// seconds.
func (n *Node) probeSpeed() {
	data := make([]byte, probeBytes)
	var sum uint64
	wasSlow := false
	var meter stallMeter
	for meter.start(); clock.Sleep(n.ctx, probeInterval); meter.start() {
		if s, stalled := meter.end(probeInterval); stalled {
			n.logStall(s)
		}
		n.running.now()
		start := time.Now()
		sum += xxhash.Sum64(data)
		n.speed.add(time.Since(start))
		data[0] = byte(sum) // the result is used, so the compiler keeps the call
		factor := n.speed.slowdown()
		if slow := factor > 1; slow != wasSlow {
			wasSlow = slow
			n.cfg.Logger.Info("vm_speed_changed", zap.Float64("slowdown", factor))
		}
	}
}

// cpuMilli returns the CPU share of the process in thousandths of a core, less while the
// VM is slow; 0 if unknown.
func (n *Node) cpuMilli() uint64 {
	if n.cfg.CPUShare == 0 {
		return 0
	}
	return max(uint64(n.cfg.CPUShare*1000/n.speed.slowdown()), 1)
}
