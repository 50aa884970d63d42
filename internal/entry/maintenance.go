package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// Wave is a request by operators for the upkeep of a set of machines.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration // within which the wave should be completed
	AtOnce   int           // maximum number of machines down for the wave at the same time
}

// Machine is a machine of the platform and its worker.
type Machine struct {
	ID     string
	Worker string
	Rack   string
	State  MachineState
}

// MachineState is the state of a machine as reported by the platform.
type MachineState string

// States of a machine. A machine in any other state is in transition or down.
const (
	MachineUp     MachineState = "up"
	MachineUpkeep MachineState = "upkeep"
)

// UpkeepOutcome is the platform's answer to an upkeep order.
type UpkeepOutcome int

// Outcomes of an upkeep order.
const (
	UpkeepBegun     UpkeepOutcome = iota // or already completed
	UpkeepBusy                           // the machine is not up, or is leaving
	UpkeepNotInWave                      // the machine does not exist or is not part of the wave
	UpkeepFenced                         // a newer holder has sent orders
	UpkeepFailed                         // refused for now, or not answered
)

// Maintenance is the platform's service for the upkeep of machines.
type Maintenance interface {
	// Waves returns the waves that operators have requested.
	Waves() []Wave
	// Machines returns all machines of the platform.
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep takes a machine down for its upkeep, which ends everything that runs on
	// it. The token is the fencing token of the holder.
	Upkeep(ctx context.Context, machine string, wave int64, holder string, token int64) UpkeepOutcome
	// Report reports to the operators that a wave has begun or is completed.
	Report(ctx context.Context, wave int64, completed bool) error
}

// Timing of waves.
const (
	waveInterval = 350 * time.Millisecond // between two steps of a wave
	waveTimeout  = 2 * time.Second        // of one step
	// maxDrainTime bounds the wait for the tasks of a machine to end by themselves.
	maxDrainTime = 5 * time.Second
	// upkeepTime is the estimated duration of a machine's upkeep without the drain.
	upkeepTime = 3 * time.Second
)

// waveProgress is the record of a wave. Its key contains the wave's number. The cells
// take turns in the order of their indexes, so that the limit of the wave holds for all
// of them together.
type waveProgress struct {
	CellsDone int `cbor:"1,keyasint"`
}

// waveRun is the state of a wave at one holder.
type waveRun struct {
	Wave
	startedAt time.Time
	done      map[string]bool
	draining  map[string]time.Time // by machine, when draining began
	reported  bool
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
				runs[w.Number] = &waveRun{Wave: w, startedAt: time.Now(), done: map[string]bool{}, draining: map[string]time.Time{}}
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
	if h.agent.cell == 0 && !run.reported {
		if err := h.node.platform.Maintenance.Report(ctx, run.Number, false); err != nil {
			return false, err
		}
		run.reported = true
	}
	machines, err := h.node.platform.Maintenance.Machines(ctx)
	if err != nil {
		return false, err
	}
	if left := h.advanceWave(ctx, run, machines); left > 0 {
		return false, nil
	}
	return true, h.finishTurn(ctx, run.Number)
}

// finishTurn passes the wave to the next cell. The last cell reports it as completed.
func (h *holder) finishTurn(ctx context.Context, wave int64) error {
	if h.agent.cell == len(h.node.agents())-1 {
		if err := h.node.platform.Maintenance.Report(ctx, wave, true); err != nil {
			return err
		}
	}
	h.logger.Info("wave_turn_done", zap.Int64("wave", wave))
	_, err := h.node.platform.Log.Append(ctx, Append{Topic: topicWaves, Records: []cell.Record{{
		Key: waveKey(wave), Value: mustMarshal(waveProgress{CellsDone: h.agent.cell + 1}),
	}}})
	return err
}

func (h *holder) readProgress(ctx context.Context, wave int64) (waveProgress, error) {
	records, _, err := h.node.platform.Log.Newest(ctx, topicWaves, 0)
	if err != nil {
		return waveProgress{}, err
	}
	var p waveProgress
	for _, r := range records {
		if r.Key == waveKey(wave) {
			err = cbor.Unmarshal(r.Value, &p)
		}
	}
	return p, err
}

// advanceWave drains machines of this cell and takes empty ones down. It returns the
// number of machines of the cell whose upkeep is not completed.
func (h *holder) advanceWave(ctx context.Context, run *waveRun, machines []Machine) (left int) {
	down := 0
	var inCell []Machine
	for _, m := range machines {
		if !slices.Contains(run.Machines, m.ID) {
			continue
		}
		if m.State == MachineUpkeep {
			down++
		}
		if cellOf(m.Rack, len(h.node.agents())) != h.agent.cell {
			continue
		}
		if m.State == MachineUpkeep || !run.done[m.ID] {
			left++
		}
		if m.State == MachineUp && !run.done[m.ID] {
			inCell = append(inCell, m)
		}
	}
	for _, m := range inCell {
		// Draining starts while other machines are still down, so that the next ones
		// can be taken down as soon as those are back.
		if len(run.draining) >= run.AtOnce && run.draining[m.ID].IsZero() {
			continue
		}
		if run.draining[m.ID].IsZero() {
			run.draining[m.ID] = time.Now()
			h.logger.Info("machine_draining", zap.Int64("wave", run.Number), zap.String("machine", m.ID), zap.String("worker", m.Worker))
		}
		if !h.drain(m.Worker, time.Since(run.draining[m.ID]) > run.drainLimit(left)) || down >= run.AtOnce {
			continue
		}
		if h.takeDown(ctx, run, m) {
			down++
		}
	}
	return left
}

// drainLimit returns how long the tasks of a machine may take to end if the wave is to
// be completed in time.
func (w *waveRun) drainLimit(left int) time.Duration {
	rest := w.Duration - time.Since(w.startedAt)
	rounds := (left + w.AtOnce - 1) / max(w.AtOnce, 1)
	return min(max(rest/time.Duration(max(rounds, 1))-upkeepTime, 0), maxDrainTime)
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

// takeDown orders the upkeep of a machine and reports whether the machine is now down.
func (h *holder) takeDown(ctx context.Context, run *waveRun, m Machine) bool {
	outcome := h.node.platform.Maintenance.Upkeep(ctx, m.ID, run.Number, h.node.cfg.Name, h.claim.Token)
	h.logger.Info("machine_upkeep", zap.Int64("wave", run.Number), zap.String("machine", m.ID), zap.Int("outcome", int(outcome)))
	switch outcome {
	case UpkeepBegun, UpkeepNotInWave:
		run.done[m.ID] = true
		delete(run.draining, m.ID)
		h.post(func(s *cell.Scheduler) { s.Undrain(m.Worker) })
		return outcome == UpkeepBegun
	case UpkeepFenced:
		h.endTerm("upkeep_fenced")
	}
	return false
}

func waveKey(wave int64) string { return "wave-" + strconv.FormatInt(wave, 10) }
