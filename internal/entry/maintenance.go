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

// Wave asks for the upkeep of a set of machines.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration // in which the wave should be completed
	AtOnce   int           // machines that may be down for the wave at the same time
}

// Machine is a machine of the platform and the worker on it.
type Machine struct {
	ID     string
	Worker string
	Rack   string
	State  MachineState
}

// MachineState is what the platform says of a machine.
type MachineState string

// States of a machine. Machines in other states are moving or down.
const (
	MachineUp     MachineState = "up"
	MachineUpkeep MachineState = "upkeep"
)

// UpkeepOutcome is how the platform answered an order for upkeep.
type UpkeepOutcome int

// Outcomes of an order for upkeep.
const (
	UpkeepBegun     UpkeepOutcome = iota // or done already
	UpkeepBusy                           // the machine is not up, or leaves
	UpkeepNotInWave                      // the platform does not know the machine, or not in this wave
	UpkeepFenced                         // a newer holder has given orders
	UpkeepFailed                         // refused for now, or unanswered
)

// Maintenance is the platform's service for machines.
type Maintenance interface {
	// Waves returns the waves that operators have asked for.
	Waves() []Wave
	Machines(ctx context.Context) ([]Machine, error)
	// Upkeep takes a machine down for its upkeep. Everything on it ends.
	Upkeep(ctx context.Context, machine string, wave int64, holder string, token int64) UpkeepOutcome
	// Report tells the operators how far a wave is.
	Report(ctx context.Context, wave int64, completed bool) error
}

// Times of waves.
const (
	waveInterval = 350 * time.Millisecond // between two looks at the machines
	waveTimeout  = 2 * time.Second        // of one call
	// maxDrain bounds the wait for a machine's tasks to end by themselves.
	maxDrain = 5 * time.Second
	// upkeepTime is what a machine's upkeep takes besides the drain.
	upkeepTime = 3 * time.Second
)

// waveProgress is the record of a wave; its key is the number. Cells take turns in
// the order of their numbers, so that together they keep the bound of the wave.
type waveProgress struct {
	CellsDone int `cbor:"1,keyasint"`
}

// waveRun is the work of one holder on a wave.
type waveRun struct {
	Wave
	begun    time.Time
	done     map[string]bool
	draining map[string]time.Time // by machine
	reported bool
}

// keepWaves carries out the cell's part of waves until the tenure ends.
func (h *holder) keepWaves() {
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
				runs[w.Number] = &waveRun{Wave: w, begun: time.Now(), done: map[string]bool{}, draining: map[string]time.Time{}}
			}
			over, err := h.stepWave(runs[w.Number])
			if err != nil {
				h.logger.Warn("wave_stalled", zap.Int64("wave", w.Number), zap.Error(err))
			}
			finished[w.Number] = over
		}
	}
}

// stepWave advances a wave and reports whether the cell has nothing left to do.
func (h *holder) stepWave(run *waveRun) (over bool, err error) {
	ctx, cancel := context.WithTimeout(h.ctx, waveTimeout)
	defer cancel()
	progress, err := h.readProgress(ctx, run.Number)
	if err != nil || progress.CellsDone > h.agent.cell {
		return err == nil, err
	}
	if progress.CellsDone < h.agent.cell {
		return false, nil // another cell's turn
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

// finishTurn passes the wave on to the next cell, or reports it as completed.
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

// advanceWave drains machines of this cell and takes those down that are empty. It
// returns how many machines of the cell are not done.
func (h *holder) advanceWave(ctx context.Context, run *waveRun, machines []Machine) (left int) {
	down := 0
	var mine []Machine
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
			mine = append(mine, m)
		}
	}
	for _, m := range mine {
		// The next machines are drained while others are down, so that they can follow at
		// once.
		if len(run.draining) >= run.AtOnce && run.draining[m.ID].IsZero() {
			continue
		}
		if run.draining[m.ID].IsZero() {
			run.draining[m.ID] = time.Now()
			h.logger.Info("machine_draining", zap.Int64("wave", run.Number), zap.String("machine", m.ID), zap.String("worker", m.Worker))
		}
		if !h.drained(m.Worker, time.Since(run.draining[m.ID]) > run.patience(left)) || down >= run.AtOnce {
			continue
		}
		if h.takeDown(ctx, run, m) {
			down++
		}
	}
	return left
}

// patience returns how long the tasks of a machine may take to end, so that the
// wave is completed in time.
func (w *waveRun) patience(left int) time.Duration {
	rest := w.Duration - time.Since(w.begun)
	rounds := (left + w.AtOnce - 1) / max(w.AtOnce, 1)
	return min(max(rest/time.Duration(max(rounds, 1))-upkeepTime, 0), maxDrain)
}

// drained keeps new tasks off a worker and reports whether it is empty. With
// force, tasks that may be stopped are: their checkpoints are kept.
func (h *holder) drained(worker string, force bool) bool {
	result := make(chan bool, 1)
	h.post(func(s *cell.Scheduler) { result <- s.Drain(worker, force) })
	select {
	case empty := <-result:
		return empty
	case <-h.ctx.Done():
		return false
	}
}

// takeDown orders the upkeep of a machine and reports whether it is down now.
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
		h.lose("upkeep_fenced")
	}
	return false
}

func waveKey(wave int64) string { return "wave-" + strconv.FormatInt(wave, 10) }
