package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
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
	orders    map[string]int // orders received, by VM
}

// newFakeMaintenance returns a service with a wave of n VMs, of which two may be down.
func newFakeMaintenance(n int, duration time.Duration) *fakeMaintenance {
	m := &fakeMaintenance{duration: duration, ends: map[string]time.Time{}, orders: map[string]int{}, wave: Wave{Number: 1, MaxDown: 2, Duration: 30 * time.Second}}
	for i := range n {
		m.wave.VMs = append(m.wave.VMs, fmt.Sprintf("m%d", i))
	}
	return m
}

// startMaintainedNode starts a process that carries out the waves of m.
func startMaintainedNode(t *testing.T, name string, log *fakeLog, fleet *fakeFleet, m Maintenance) *Node {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	n := NewNode(Config{Name: name, Incarnation: name, LinkAddress: ln.Addr().String(), Cells: 1, LongestLeaseMS: 6000, KeepEndedMS: 120000, RemoteDataFactor: 3},
		Platform{Log: log, Registry: fleet, Controller: fleet, Policy: fleet, Maintenance: m})
	n.Start(ln)
	t.Cleanup(n.Close)
	return n
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
	m.orders[vm]++
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
	m := newFakeMaintenance(vms, duration)
	startMaintainedNode(t, "a", newFakeLog(), newFakeFleet(vms), m)
	start := time.Now()
	eventually(t, "a completed wave", m.isCompleted)
	assert.Equal(t, m.maxDown, 2)
	limit := time.Duration(vms/m.wave.MaxDown+1) * round
	assert.Assert(t, time.Since(start) < limit, "the wave took %v of at most %v", time.Since(start), limit)
}

// ordered returns the number of VMs that have received an order.
func (m *fakeMaintenance) ordered() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.orders)
}

// A new holder must not take down a VM again whose maintenance the one before began: it
// would stop the tasks that run there since.
func TestNewHolderContinuesWave(t *testing.T) {
	const vms = 8
	m := newFakeMaintenance(vms, 300*time.Millisecond)
	log, fleet := newFakeLog(), newFakeFleet(vms)
	first := startMaintainedNode(t, "a", log, fleet, m)
	eventually(t, "the first VMs", func() bool { return m.ordered() >= 3 })
	first.Close()
	startMaintainedNode(t, "b", log, fleet, m)
	eventually(t, "a completed wave", m.isCompleted)
	m.mu.Lock()
	defer m.mu.Unlock()
	for vm, n := range m.orders {
		assert.Equal(t, n, 1, "orders for %s", vm)
	}
	assert.Equal(t, len(m.orders), vms)
}

// A holder that was paused must not order maintenance after its authority has run out,
// and a new one must not while the one before may still send orders. The platform does
// not check fencing tokens everywhere.
func TestMaintenanceNeedsAuthority(t *testing.T) {
	for _, test := range []struct {
		name      string
		term      uint32
		confirmed time.Duration // since the claim was last confirmed
		started   time.Duration // since the term began
		want      bool
	}{
		{"first holder", 1, 0, 0, true},
		{"paused for longer than its authority", 1, authorityPeriod, time.Minute, false},
		{"new holder", 2, 0, 0, false},
		{"new holder, after the authority of the one before", 2, 0, authorityPeriod, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newFakeMaintenance(1, time.Second)
			n := NewNode(Config{Name: "a", Cells: 1, LongestLeaseMS: 6000}, Platform{Maintenance: m, Log: newFakeLog()})
			h := newHolder(newAgent(n, 0), claim{Term: test.term, Token: 5}, authorityPeriod)
			h.confirmedAt -= test.confirmed
			h.startedAt = h.startedAt.Add(-test.started)
			run := newWaveRun(m.wave)
			assert.Equal(t, h.takeDown(t.Context(), run, VM{ID: "m0", Worker: "w0"}), test.want)
			assert.Equal(t, m.ordered() == 1, test.want)
		})
	}
}

// Guards against a delayed record of a former holder that sets the progress of a wave back, so that VMs are drained again.
func TestFormerHolderDoesNotSetWaveBack(t *testing.T) {
	a := newAgent(NewNode(Config{Name: "a", Cells: 1, Logger: zap.NewNop()}, Platform{Log: newFakeLog()}), 0)
	former, next := newHolder(a, claim{Token: 5, Term: 1}, 0), newHolder(a, claim{Token: 9, Term: 2}, 0)
	assert.NilError(t, next.writeProgress(within(time.Second), 1, waveProgress{VMsDone: []string{"m1", "m2"}}))
	_ = former.writeProgress(within(time.Second), 1, waveProgress{VMsDone: []string{"m1"}})
	progress, err := next.readProgress(within(time.Second), 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, progress.VMsDone, []string{"m1", "m2"})
}

// Guards against an append of a former holder that is carried out after the progress of the next one.
func TestDelayedProgressOfWaveIsRefused(t *testing.T) {
	log := newFakeLog()
	a := newAgent(NewNode(Config{Name: "a", Cells: 1, Logger: zap.NewNop()}, Platform{Log: log}), 0)
	h := newHolder(a, claim{Token: 9, Term: 2}, 0)
	_, end, err := h.readProgressAndEnd(within(time.Second), 1)
	assert.NilError(t, err)
	assert.NilError(t, h.writeProgress(within(time.Second), 1, waveProgress{VMsDone: []string{"m1", "m2"}}))
	_, err = log.Append(within(time.Second), Append{Topic: topicWaves, ExpectedEnd: &end, Records: []cell.Record{{Key: waveKey(1), Value: mustMarshal(waveProgress{VMsDone: []string{"m1"}})}}})
	assert.Assert(t, isEndMismatch(err), "%v", err)
	progress, err := h.readProgress(within(time.Second), 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, progress.VMsDone, []string{"m1", "m2"})
}

// Guards against a wave that never reaches the next cell because one append of the progress failed.
func TestTurnOfWaveIsPassedOnAfterFailedAppend(t *testing.T) {
	log, m := &refusingLog{fakeLog: newFakeLog(), topic: topicWaves}, newFakeMaintenance(0, time.Second)
	n := NewNode(Config{Name: "a", Cells: 2, LongestLeaseMS: 6000, Logger: zap.NewNop()}, Platform{Log: log, Maintenance: m})
	h := newHolder(newAgent(n, 0), claim{Token: 5, Term: 1}, 0)
	defer h.cancel()
	go h.runWaves()
	time.Sleep(5 * waveInterval)
	assert.Assert(t, log.refused.Load())
	progress, err := h.readProgress(context.Background(), 1)
	assert.NilError(t, err)
	assert.Equal(t, progress.CellsDone, 1)
}

// Guards against progress of a wave that is lost because an append was carried out after the progress of another holder.
func TestLateAppendKeepsProgressOfWave(t *testing.T) {
	log := &lateLog{fakeLog: newFakeLog(), topic: topicWaves}
	a := newAgent(NewNode(Config{Name: "a", Cells: 1, Logger: zap.NewNop()}, Platform{Log: log}), 0)
	former, next := newHolder(a, claim{Token: 5, Term: 1}, 0), newHolder(a, claim{Token: 9, Term: 2}, 0)
	log.between = func() {
		assert.NilError(t, next.writeProgress(within(time.Second), 1, waveProgress{VMsDone: []string{"m1", "m2"}}))
	}
	assert.NilError(t, former.writeProgress(within(time.Second), 1, waveProgress{VMsDone: []string{"m1"}}))
	progress, err := next.readProgress(within(time.Second), 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, progress.VMsDone, []string{"m1", "m2"})
}

// refusingLog is a log that refuses the first append to a topic.
type refusingLog struct {
	*fakeLog
	topic   string
	refused atomic.Bool
}

func (l *refusingLog) Append(ctx context.Context, a Append) (int64, error) {
	if a.Topic == l.topic && l.refused.CompareAndSwap(false, true) {
		return 0, &AppendError{Failure: AppendRefused, Err: errSilentLog}
	}
	return l.fakeLog.Append(ctx, a)
}

// lateLog is a log that carries out the first append to a topic after another one, which is made in between.
type lateLog struct {
	*fakeLog
	topic   string
	between func()
	delayed atomic.Bool
}

func (l *lateLog) Append(ctx context.Context, a Append) (int64, error) {
	if a.Topic == l.topic && l.delayed.CompareAndSwap(false, true) {
		l.between()
	}
	return l.fakeLog.Append(ctx, a)
}
