package entry

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// Wave is a request by operators for the maintenance of a set of VMs.
type Wave struct {
	Number   int64
	VMs      []string
	Duration time.Duration // within which the wave should be completed
	MaxDown  int           // maximum number of VMs down for the wave at the same time
}

// VM describes a VM of the platform: the worker on it, its rack and its state.
type VM struct {
	ID     string
	Worker string
	Rack   string
	State  VMState
}

// VMState is the state of a VM as reported by the platform.
type VMState string

// States of a VM. A VM in any other state is in transition or down.
const (
	VMUp            VMState = "up"
	VMInMaintenance VMState = "upkeep"
)

// MaintenanceOutcome is the platform's response to a maintenance order.
type MaintenanceOutcome int

// Outcomes of a maintenance order.
const (
	MaintenanceBegun      MaintenanceOutcome = iota // or already completed
	MaintenanceBusy                                 // the VM is not up, or is leaving
	MaintenanceNotInWave                            // the VM does not exist or is not part of the wave
	MaintenanceFenced                               // a newer holder has sent orders
	MaintenanceRefused                              // refused for now
	MaintenanceUnanswered                           // the order may be carried out now or later
)

// Maintenance is the platform's service for the maintenance of VMs.
type Maintenance interface {
	// Waves returns the waves that operators have requested.
	Waves() []Wave
	// VMs returns all VMs of the platform.
	VMs(ctx context.Context) ([]VM, error)
	// Begin takes a VM down for its maintenance, which ends everything that runs on
	// it. The token is the fencing token of the holder.
	Begin(ctx context.Context, vm string, wave int64, holder string, token int64) MaintenanceOutcome
	// Report reports to the operators that a wave has begun or is completed.
	Report(ctx context.Context, wave int64, completed bool) error
}

// Timing of waves.
const (
	waveInterval = 350 * time.Millisecond // between two steps of a wave
	waveTimeout  = 2 * time.Second        // of one step
	// maxDrainTime limits the wait for the tasks of a VM to end by themselves.
	maxDrainTime = 5 * time.Second
	// maintenanceTime is the estimated duration of a VM's maintenance without the drain.
	maintenanceTime = 3 * time.Second
)

// waveProgress is the record of a wave. Its key contains the wave's number. The cells
// take turns in the order of their indexes, so that the limit of the wave holds for all
// of them together.
type waveProgress struct {
	CellsDone int `cbor:"1,keyasint"`
	// VMsDone are the VMs whose maintenance the current cell has begun. A new holder
	// must not drain them again, which would stop the tasks that run there since.
	VMsDone []string `cbor:"2,keyasint,omitempty"`
	// VMsOrdered are VMs to which the current cell has sent an order. One that is not done may
	// go down at any time, also under a new holder.
	VMsOrdered []string `cbor:"3,keyasint,omitempty"`
}

// waveRun is the state of a wave at one holder.
type waveRun struct {
	Wave
	startedAt time.Time
	done      map[string]bool
	ordered   map[string]bool      // VMs that progress lists as ordered
	pending   map[string]bool      // VMs that may go down at any time, by an order without a response
	draining  map[string]time.Time // by VM, when draining began
	reported  bool
	restored  bool // the progress of earlier holders has been read
}

func newWaveRun(w Wave) *waveRun {
	return &waveRun{Wave: w, startedAt: time.Now(), done: map[string]bool{}, ordered: map[string]bool{}, pending: map[string]bool{}, draining: map[string]time.Time{}}
}

// restore takes over the stored progress.
func (w *waveRun) restore(p waveProgress) {
	for _, vm := range p.VMsDone {
		w.done[vm] = true
	}
	if w.restored {
		return // the holder knows which of its own orders were answered
	}
	w.restored = true
	for _, vm := range p.VMsOrdered {
		w.ordered[vm], w.pending[vm] = true, !w.done[vm]
	}
}

// progress returns the progress of a cell.
func (w *waveRun) progress(cellIndex int) waveProgress {
	return waveProgress{CellsDone: cellIndex, VMsDone: slices.Sorted(maps.Keys(w.done)), VMsOrdered: slices.Sorted(maps.Keys(w.ordered))}
}

// runWaves carries out the cell's part of all waves until the term ends.
func (h *holder) runWaves() {
	m := h.node.platform.Maintenance
	if m == nil {
		return
	}
	runs := map[int64]*waveRun{}
	finished := map[int64]bool{}
	for clock.Sleep(h.ctx, waveInterval) {
		for _, w := range m.Waves() {
			if finished[w.Number] {
				continue
			}
			if runs[w.Number] == nil {
				runs[w.Number] = newWaveRun(w)
			}
			done, err := h.stepWave(runs[w.Number])
			if err != nil {
				h.logger.Warn("wave_stalled", zap.Int64("wave", w.Number), zap.Error(err))
			}
			finished[w.Number] = done
		}
	}
}

// stepWave advances a wave and reports whether the cell's part is done.
func (h *holder) stepWave(run *waveRun) (done bool, err error) {
	ctx, cancel := context.WithTimeout(h.ctx, waveTimeout)
	defer cancel()
	progress, err := h.readProgress(ctx, run.Number)
	if err != nil || progress.CellsDone > h.agent.cell {
		return err == nil, err
	}
	if progress.CellsDone < h.agent.cell {
		return false, nil // it is another cell's turn
	}
	run.restore(progress)
	if h.agent.cell == 0 && !run.reported {
		if err := h.node.platform.Maintenance.Report(ctx, run.Number, false); err != nil {
			return false, err
		}
		run.reported = true
	}
	vms, err := h.node.platform.Maintenance.VMs(ctx)
	if err != nil {
		return false, err
	}
	if left := h.maintainVMs(ctx, run, vms); left > 0 {
		return false, nil
	}
	err = h.finishTurn(ctx, run.Number)
	return err == nil, err
}

// finishTurn passes the wave to the next cell. The last cell reports it as completed.
func (h *holder) finishTurn(ctx context.Context, wave int64) error {
	if h.agent.cell == len(h.node.agents())-1 {
		if err := h.node.platform.Maintenance.Report(ctx, wave, true); err != nil {
			return err
		}
	}
	h.logger.Info("wave_turn_done", zap.Int64("wave", wave))
	return h.writeProgress(ctx, wave, waveProgress{CellsDone: h.agent.cell + 1})
}

// writeProgress adds to the stored progress of a wave. The append has the condition that the
// partition still ends where the progress was read, so one of a former holder that is carried
// out late does not set the progress back.
func (h *holder) writeProgress(ctx context.Context, wave int64, p waveProgress) error {
	for {
		stored, end, err := h.readProgressAndEnd(ctx, wave)
		if err != nil {
			return err
		}
		_, err = h.node.platform.Log.Append(ctx, Append{
			Topic: topicWaves, ExpectedEnd: &end,
			Records: []cell.Record{{Key: waveKey(wave), Value: mustMarshal(stored.merge(p))}},
		})
		if !isEndMismatch(err) || !clock.Sleep(ctx, retryDelay) {
			return err
		}
	}
}

// merge returns the progress that both have made together. VMsDone is about the cell that
// CellsDone says is next, so the progress with more cells counts alone.
func (p waveProgress) merge(o waveProgress) waveProgress {
	switch {
	case p.CellsDone > o.CellsDone:
		return p
	case p.CellsDone < o.CellsDone:
		return o
	}
	p.VMsDone, p.VMsOrdered = union(p.VMsDone, o.VMsDone), union(p.VMsOrdered, o.VMsOrdered)
	return p
}

// union returns the elements of both lists in ascending order.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func (h *holder) readProgress(ctx context.Context, wave int64) (waveProgress, error) {
	p, _, err := h.readProgressAndEnd(ctx, wave)
	return p, err
}

// readProgressAndEnd returns the progress of a wave, and the end of the partition.
func (h *holder) readProgressAndEnd(ctx context.Context, wave int64) (p waveProgress, end int64, err error) {
	records, end, err := h.node.platform.Log.Newest(ctx, topicWaves, 0)
	if err != nil {
		return waveProgress{}, 0, err
	}
	for _, r := range records {
		if r.Key == waveKey(wave) {
			err = cbor.Unmarshal(r.Value, &p)
		}
	}
	return p, end, err
}

// maintainVMs drains VMs of this cell and takes empty ones down, within the limit of
// the wave. It returns the number of VMs of the cell whose maintenance is not
// completed.
func (h *holder) maintainVMs(ctx context.Context, run *waveRun, vms []VM) (left int) {
	down := 0 // VMs that are down or may go down at any time
	var inCell []VM
	for _, vm := range vms {
		if !slices.Contains(run.VMs, vm.ID) {
			continue
		}
		if vm.State == VMInMaintenance || run.pending[vm.ID] {
			down++
		}
		if cellOf(vm.Rack, len(h.node.agents())) != h.agent.cell {
			continue
		}
		if vm.State == VMInMaintenance || !run.done[vm.ID] {
			left++
		}
		if vm.State == VMUp && !run.done[vm.ID] {
			inCell = append(inCell, vm)
		}
	}
	// Those that count as down already come first: no other one may go down before them.
	slices.SortStableFunc(inCell, func(a, b VM) int { return compareTrueFirst(run.pending[a.ID], run.pending[b.ID]) })
	for _, vm := range inCell {
		// Draining starts while other VMs are still down, so that the next ones
		// can be taken down as soon as those are back.
		pending := run.pending[vm.ID]
		if len(run.draining) >= run.MaxDown && run.draining[vm.ID].IsZero() && !pending {
			continue
		}
		if run.draining[vm.ID].IsZero() {
			run.draining[vm.ID] = time.Now()
			h.logger.Info("machine_draining", zap.Int64("wave", run.Number), zap.String("machine", vm.ID), zap.String("worker", vm.Worker))
		}
		if !h.drain(vm.Worker, time.Since(run.draining[vm.ID]) > run.drainLimit(left)) || down >= run.MaxDown && !pending {
			continue
		}
		if h.takeDown(ctx, run, vm) && !pending {
			down++
		}
	}
	return left
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// drainLimit returns how long the tasks of a VM may take to end if the wave is to
// be completed in time.
func (w *waveRun) drainLimit(left int) time.Duration {
	rest := w.Duration - time.Since(w.startedAt)
	rounds := (left + w.MaxDown - 1) / max(w.MaxDown, 1)
	return min(max(rest/time.Duration(max(rounds, 1))-maintenanceTime, 0), maxDrainTime)
}

// drain keeps new tasks off a worker and reports whether the worker is empty. If force
// is set, tasks that may be stopped are stopped; their checkpoints are kept.
func (h *holder) drain(worker string, force bool) bool {
	result := make(chan bool, 1)
	h.post(func(s *cell.Scheduler) { result <- s.Drain(worker, force) })
	select {
	case empty := <-result:
		return empty
	case <-h.ctx.Done():
		return false
	}
}

// mayOrderMaintenance reports whether the holder may order the maintenance of a VM. The
// platform need not check fencing tokens there, so a holder without authority, such as
// one whose VM was suspended, must not send orders, and a new one waits until an earlier
// holder has no authority left.
func (h *holder) mayOrderMaintenance() bool {
	return h.hasAuthority() && (h.claim.Term <= 1 || time.Since(h.startedAt) >= authorityPeriod)
}

// takeDown orders the maintenance of a VM and reports whether the VM is now down, or may go
// down at any time. Before the first order, the VM is stored as ordered.
func (h *holder) takeDown(ctx context.Context, run *waveRun, vm VM) bool {
	if !h.mayOrderMaintenance() {
		return false
	}
	if !run.ordered[vm.ID] {
		run.ordered[vm.ID] = true
		if err := h.writeProgress(ctx, run.Number, run.progress(h.agent.cell)); err != nil {
			delete(run.ordered, vm.ID)
			h.logger.Warn("wave_progress_not_stored", zap.Int64("wave", run.Number), zap.String("machine", vm.ID), zap.Error(err))
			return false
		}
	}
	outcome := h.node.platform.Maintenance.Begin(ctx, vm.ID, run.Number, h.node.cfg.Name, h.claim.Token)
	h.logger.Info("machine_upkeep", zap.Int64("wave", run.Number), zap.String("machine", vm.ID), zap.Int("outcome", int(outcome)))
	switch outcome {
	case MaintenanceBegun, MaintenanceNotInWave:
		run.done[vm.ID] = true
		delete(run.pending, vm.ID)
		delete(run.draining, vm.ID)
		if err := h.writeProgress(ctx, run.Number, run.progress(h.agent.cell)); err != nil {
			h.logger.Warn("wave_progress_not_stored", zap.Int64("wave", run.Number), zap.String("machine", vm.ID), zap.Error(err))
		}
		h.post(func(s *cell.Scheduler) { s.Undrain(vm.Worker) })
		return outcome == MaintenanceBegun
	case MaintenanceUnanswered:
		run.pending[vm.ID] = true
	case MaintenanceFenced:
		h.endTerm("upkeep_fenced")
	}
	// A refusal is about this order only. An earlier one without a response may be carried out.
	return run.pending[vm.ID]
}

func waveKey(wave int64) string { return "wave-" + strconv.FormatInt(wave, 10) }
