package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// changeLane switches to the next lane once the claim lists it, and reports whether it
// did.
func (w *recordWriter) changeLane(ctx context.Context) bool {
	w.mu.Lock()
	from, to := w.lane, (w.lane+1)%laneCount
	w.requested = w.requested.with(to)
	w.mu.Unlock()
	if !w.awaitOpen(ctx, to) {
		w.mu.Lock()
		w.requested = w.requested.without(to)
		w.mu.Unlock()
		return false
	}
	w.mu.Lock()
	w.lane = to
	w.requested = w.requested.without(to)
	w.mu.Unlock()
	w.logger.Warn("lane_changed", zap.Int("cell", w.cell), zap.Int("from", from), zap.Int("to", to))
	return true
}

// awaitOpen waits until the claim in the log lists the lane, and reports whether it
// does.
func (w *recordWriter) awaitOpen(ctx context.Context, lane int) bool {
	timer := time.NewTimer(openTimeout)
	defer timer.Stop()
	w.renewClaim()
	for {
		w.mu.Lock()
		open, changed := w.open.has(lane), w.openChanged
		w.mu.Unlock()
		if open {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// lanesToClaim returns the lanes that the next claim must list. From then on, the writer
// does not change to any other lane: the claim may be stored without it at any time, and
// a new holder would not read the records there.
func (w *recordWriter) lanesToClaim() laneSet {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.index == nil {
		return w.open
	}
	lanes := w.index.used().with(w.lane) | w.requested
	w.open &= lanes
	return lanes
}

// setIndex sets the index of the lanes. It must be called before records are added.
func (w *recordWriter) setIndex(index laneIndex) {
	w.mu.Lock()
	w.index = index
	w.mu.Unlock()
}

// setOpen sets the lanes that the claim in the log lists.
func (w *recordWriter) setOpen(lanes laneSet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = lanes
	close(w.openChanged)
	w.openChanged = make(chan struct{})
}

// runSweep drops keys that several lanes hold, until ctx ends.
func (w *recordWriter) runSweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		for lane := range laneCount {
			if err := w.sweepLane(ctx, lane); err != nil {
				w.logger.Debug("records_not_swept", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Error(err))
			}
		}
	}
}

// sweepLane drops keys from a lane. The keys are chosen while no other append to the lane is
// in progress: a record that is written again under a dropped key is appended either before,
// and its key is not chosen, or after the drop.
func (w *recordWriter) sweepLane(ctx context.Context, lane int) error {
	s := &w.streams[lane]
	s.mu.Lock()
	defer s.mu.Unlock()
	records := w.sweepRecords(lane)
	if len(records) == 0 {
		return nil
	}
	return w.appendLocked(ctx, lane, records)
}

// sweepRecords returns the records to append to a lane to drop keys from it.
func (w *recordWriter) sweepRecords(lane int) (records []cell.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.sweep {
		from := w.index.nextToDrop(key)
		if from == 0 {
			delete(w.sweep, key)
		}
		if from.has(lane) && len(records) < maxSweepRecords {
			records = append(records, cell.Record{Key: key})
		}
	}
	return records
}
