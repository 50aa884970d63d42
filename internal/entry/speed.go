package entry

import (
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
	// minSlowdown is the factor from which on a VM counts as slow. Clock rates of
	// processors vary by less.
	minSlowdown = 2
)

// speedMeter tells how much slower the VM works than at its best. It is safe for
// concurrent use.
type speedMeter struct {
	mu     sync.Mutex
	best   time.Duration             // of all measurements
	recent [probeCount]time.Duration // a ring of the newest ones; 0 if there are fewer
	next   int
}

// add records how long a measurement took.
func (m *speedMeter) add(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.best == 0 || took < m.best {
		m.best = took
	}
	m.recent[m.next] = took
	m.next = (m.next + 1) % probeCount
}

// slowdown returns the factor by which the VM is slower than at its best, or 1 if it is
// less than minSlowdown or not known yet.
func (m *speedMeter) slowdown() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	fastest := m.recent[0]
	for _, took := range m.recent {
		fastest = min(fastest, took)
	}
	if fastest == 0 || fastest < minSlowdown*m.best {
		return 1
	}
	return float64(fastest) / float64(m.best)
}

// probeSpeed measures the VM's speed until the process stops, and logs when it changes
// much. The VMs of a cell share their hosts with others and may become several times
// slower for seconds.
func (n *Node) probeSpeed() {
	data := make([]byte, probeBytes)
	var sum uint64
	wasSlow := false
	for clock.Sleep(n.ctx, probeInterval) {
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
