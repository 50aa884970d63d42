package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// restoreTimeout limits one read of all records of a lane.
const restoreTimeout = 5 * time.Second

// restore fences earlier holders at the lanes of the cell and restores their records.
// It reports whether it succeeded.
func (h *holder) restore() bool {
	lanes := (h.claim.Lanes | firstLane).lanes()
	for _, lane := range lanes {
		if err := h.writer.fence(h.ctx, lane); err != nil {
			h.endTerm("fence_failed")
			return false
		}
	}
	// From now on the log rejects all appends of earlier holders, so they stop renewing
	// leases within their authorityPeriod.
	restoreUntil := h.now() + h.longestPriorLease()
	reader := newLaneReader()
	for _, lane := range lanes {
		records, ok := h.readLane(lane)
		if !ok {
			return false
		}
		for _, err := range reader.add(lane, records) {
			h.logger.Error("record_skipped", zap.Error(err))
		}
	}
	h.writer.setIndex(reader.index)
	h.createScheduler(reader.records(), restoreUntil)
	return true
}

// longestPriorLease returns for how long, in ms, a lease of an earlier holder may still be in force
// once the lanes are fenced. The last order may reach a worker that has just restarted, which
// shortens the deadline on its former clock to the longest lease only.
func (h *holder) longestPriorLease() cell.Instant {
	return cell.Instant(h.priorAuthority.Milliseconds() + maxLeaseDurationMS(h.node.cfg.LongestLeaseMS))
}

// jobKeySplits divides the keys of jobs, which begin with a hexadecimal number, into
// ranges that are read at the same time. After hours of load, the records of a cell take
// dozens of pages.
var jobKeySplits = []string{"2", "4", "6", "8", "a", "c", "e"}

// readLane reads the records of a lane and retries until it succeeds or the term ends.
func (h *holder) readLane(lane int) (records []cell.Record, ok bool) {
	partition := partitionOf(h.agent.cell, laneOffsets[lane], h.node.cfg.Partitions)
	for {
		ctx, cancel := context.WithTimeout(h.ctx, restoreTimeout)
		records, _, err := h.node.platform.Log.Newest(ctx, laneTopic(lane), partition, jobKeySplits...)
		cancel()
		if err == nil {
			return records, true
		}
		h.logger.Warn("records_not_read", zap.Int("lane", lane), zap.Error(err))
		if !clock.Sleep(h.ctx, retryDelay) {
			return nil, false
		}
	}
}

// createScheduler creates the scheduler from the records of earlier holders.
func (h *holder) createScheduler(records []cell.Record, restoreUntil cell.Instant) {
	cfg := h.node.cfg
	h.sched = cell.New(cell.Config{
		Term:             h.claim.Term - 1,
		RestoreUntil:     restoreUntil,
		RemoteDataFactor: cfg.RemoteDataFactor,
		KeepEndedMS:      cfg.KeepEndedMS,
		StopTimeoutMS:    cfg.StopTimeoutMS,
		LongestLeaseMS:   maxLeaseDurationMS(cfg.LongestLeaseMS),
		LimitsRequired:   cfg.LimitsRequired,
	})
	h.updateWorkspaces()
	h.sched.Tick(h.now(), time.Now().UnixMilli())
	skipped := h.sched.Restore(records)
	for _, err := range skipped {
		h.logger.Error("record_skipped", zap.Error(err))
	}
	h.logger.Info("records_read", zap.Int("records", len(records)), zap.Int("skipped", len(skipped)), zap.Duration("after", time.Since(h.startedAt)))
}
