package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeMaintenance takes VMs down for a fixed time and records how many were down
// at once.
type fakeMaintenance struct {
	wave     Wave
	duration time.Duration

	mu        sync.Mutex
	ends      map[string]time.Time // end of the maintenance, by VM
	maxDown   int                  // maximum number of VMs down at the same time
	completed bool
}

func (m *fakeMaintenance) Waves() []Wave { return []Wave{m.wave} }

func (m *fakeMaintenance) VMs(context.Context) ([]VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []VM
	for i, id := range m.wave.VMs {
		state := VMUp
		if time.Now().Before(m.ends[id]) {
			state = VMInMaintenance
		}
		out = append(out, VM{ID: id, Worker: fmt.Sprintf("w%d", i), Rack: "r0", State: state})
	}
	return out, nil
}

func (m *fakeMaintenance) Begin(_ context.Context, vm string, _ int64, _ string, _ int64) MaintenanceOutcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ends[vm] = time.Now().Add(m.duration)
	down := 0
	for _, end := range m.ends {
		if time.Now().Before(end) {
			down++
		}
	}
	m.maxDown = max(m.maxDown, down)
	return MaintenanceBegun
}

func (m *fakeMaintenance) Report(_ context.Context, _ int64, completed bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completed = completed
	return nil
}

func (m *fakeMaintenance) isCompleted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.completed
}

// A wave must keep its limit on VMs that are down, and must take the next VM
// down soon after another is back. Waves of 70 VMs were late when draining began
// only then.
func TestWaveDrainsAhead(t *testing.T) {
	const (
		vms      = 12
		duration = 300 * time.Millisecond
		round    = duration + 350*time.Millisecond // from one VM down to the next
	)
	m := &fakeMaintenance{duration: duration, ends: map[string]time.Time{}, wave: Wave{Number: 1, MaxDown: 2, Duration: 30 * time.Second}}
	for i := range vms {
		m.wave.VMs = append(m.wave.VMs, fmt.Sprintf("m%d", i))
	}
	log, fleet := newFakeLog(), newFakeFleet(vms)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	n := NewNode(Config{Name: "a", Incarnation: "1", LinkAddress: ln.Addr().String(), Cells: 1, LeaseMS: 6000, KeepEndedMS: 120000, RemoteDataFactor: 3},
		Platform{Log: log, Registry: fleet, Controller: fleet, Policy: fleet, Maintenance: m})
	n.Start(ln)
	t.Cleanup(n.Close)
	start := time.Now()
	eventually(t, "a completed wave", m.isCompleted)
	assert.Equal(t, m.maxDown, 2)
	limit := time.Duration(vms/m.wave.MaxDown+1) * round
	assert.Assert(t, time.Since(start) < limit, "the wave took %v of at most %v", time.Since(start), limit)
}
