package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateMaintenance leaves the orders for one VM without a response for a while. The first of them is
// carried out later.
type lateMaintenance struct {
	*fakeMaintenance
	vm     string
	late   time.Duration // from the first order to when it is carried out
	silent time.Duration // from the first order, how long orders for the VM get no response
	first  time.Time     // of the first order; zero before
}

func (m *lateMaintenance) Begin(ctx context.Context, vm string, wave int64, holder string, token int64) MaintenanceOutcome {
	if vm != m.vm {
		return m.fakeMaintenance.Begin(ctx, vm, wave, holder, token)
	}
	m.mu.Lock()
	isFirst := m.first.IsZero()
	if isFirst {
		m.first = time.Now()
	}
	silent := time.Since(m.first) < m.silent
	m.mu.Unlock()
	carryOut := func() MaintenanceOutcome {
		if m.ordersOf(vm) > 0 {
			return MaintenanceBegun // already done
		}
		return m.fakeMaintenance.Begin(ctx, vm, wave, holder, token)
	}
	if isFirst {
		time.AfterFunc(m.late, func() { carryOut() })
	}
	if silent {
		return MaintenanceUnanswered
	}
	return carryOut()
}

func (m *fakeMaintenance) ordersOf(vm string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orders[vm]
}

// Guards against more VMs down at once than a wave allows: an order without a response is carried out
// late, after others have been ordered in its place, by the same holder or by the next one.
func TestLateOrderOfWaveKeepsItsLimit(t *testing.T) {
	for _, test := range []struct {
		name        string
		late        time.Duration
		replacement bool // of the holder, after the first order
	}{{"same holder", 900 * time.Millisecond, false}, {"next holder", authorityPeriod + 2500*time.Millisecond, true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const vms = 6
			m := &lateMaintenance{fakeMaintenance: newFakeMaintenance(vms, 2*time.Second), vm: "m1", late: test.late, silent: test.late + time.Second}
			log, fleet := newFakeLog(), newFakeFleet(vms)
			first := startMaintainedNode(t, "a", log, fleet, m)
			if test.replacement {
				eventually(t, "the order without a response", func() bool {
					m.mu.Lock()
					defer m.mu.Unlock()
					return !m.first.IsZero()
				})
				first.Close()
				startMaintainedNode(t, "b", log, fleet, m)
			}
			eventually(t, "a completed wave", m.isCompleted)
			assert.Equal(t, m.maxDown, 2)
		})
	}
}
