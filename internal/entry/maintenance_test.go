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

// fakeMaintenance takes machines down for a fixed time and records how many were down
// at once.
type fakeMaintenance struct {
	wave   Wave
	upkeep time.Duration

	mu        sync.Mutex
	ends      map[string]time.Time // end of the upkeep, by machine
	maxDown   int                  // maximum number of machines down at the same time
	completed bool
}

func (m *fakeMaintenance) Waves() []Wave { return []Wave{m.wave} }

func (m *fakeMaintenance) Machines(context.Context) ([]Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Machine
	for i, id := range m.wave.Machines {
		state := MachineUp
		if time.Now().Before(m.ends[id]) {
			state = MachineUpkeep
		}
		out = append(out, Machine{ID: id, Worker: fmt.Sprintf("w%d", i), Rack: "r0", State: state})
	}
	return out, nil
}

func (m *fakeMaintenance) Upkeep(_ context.Context, machine string, _ int64, _ string, _ int64) UpkeepOutcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ends[machine] = time.Now().Add(m.upkeep)
	down := 0
	for _, end := range m.ends {
		if time.Now().Before(end) {
			down++
		}
	}
	m.maxDown = max(m.maxDown, down)
	return UpkeepBegun
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

// A wave must keep its limit on machines that are down, and must take the next machine
// down soon after another is back. Waves of 70 machines were late when draining began
// only then.
func TestWaveDrainsAhead(t *testing.T) {
	const (
		machines = 12
		upkeep   = 300 * time.Millisecond
		round    = upkeep + 350*time.Millisecond // from one machine down to the next
	)
	m := &fakeMaintenance{upkeep: upkeep, ends: map[string]time.Time{}, wave: Wave{Number: 1, AtOnce: 2, Duration: 30 * time.Second}}
	for i := range machines {
		m.wave.Machines = append(m.wave.Machines, fmt.Sprintf("m%d", i))
	}
	log, fleet := newFakeLog(), newFakeFleet(machines)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	n := NewNode(Config{Name: "a", Incarnation: "1", LinkAddress: ln.Addr().String(), Cells: 1, LeaseMS: 6000, KeepEndedMS: 120000, FarFactor: 3},
		Platform{Log: log, Registry: fleet, Controller: fleet, Policy: fleet, Maintenance: m})
	n.Start(ln)
	t.Cleanup(n.Close)
	start := time.Now()
	eventually(t, "a completed wave", m.isCompleted)
	assert.Equal(t, m.maxDown, 2)
	limit := time.Duration(machines/m.wave.AtOnce+1) * round
	assert.Assert(t, time.Since(start) < limit, "the wave took %v of at most %v", time.Since(start), limit)
}
