package entry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// append appends records to a lane and waits for the result. Errors are *AppendError.
func (w *recordWriter) append(ctx context.Context, lane int, records []cell.Record, sequence int64) error {
	return w.appendSentAt(ctx, lane, records, sequence, clock.SinceBoot())
}

// appendSentAt is like append for records that were first sent at a time since boot. The log
// answers a repeat as it answered the first call, so the answer confirms that time only.
func (w *recordWriter) appendSentAt(ctx context.Context, lane int, records []cell.Record, sequence int64, firstSent time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	sent := clock.SinceBoot()
	if records != nil {
		defer w.cancelIfLaneDown(sent, cancel)()
	}
	err := w.sendUntilResponse(ctx, Append{
		Topic: laneTopic(lane), Partition: partitionOf(w.cell, laneOffsets[lane], w.partitions), Records: records,
		Writer: &Writer{Name: "holder", Epoch: w.epoch, Sequence: sequence},
	})
	if err == nil {
		w.onConfirmed(min(firstSent, sent))
		w.mu.Lock()
		w.lastLatency = clock.SinceBoot() - sent
		w.mu.Unlock()
	}
	return err
}

// sendUntilResponse sends an append, and sends it again every resendInterval until its
// result is known. Repeats have no effect because they carry the same sequence number.
//
// A response other than success is about its own call only. An earlier call without a
// response may have been carried out, so the append is unanswered until one of its calls
// succeeds, or all have been refused.
func (w *recordWriter) sendUntilResponse(ctx context.Context, a Append) error {
	ended := make(chan struct{})
	defer close(ended)
	responses := make(chan error)
	timer := time.NewTimer(0)
	defer timer.Stop()
	open := 0     // calls that may still be answered
	lost := false // a call has ended without a response
	for reported := false; ; {
		select {
		case <-timer.C:
			open++
			w.calls.Go(func() {
				_, err := w.log.Append(ctx, a)
				select {
				case responses <- err:
				case <-ended:
				}
			})
			timer.Reset(resendInterval)
		case err := <-responses:
			open--
			// An empty append has no effect that a later call could repeat or miss.
			isResult := len(a.Records) == 0 || open == 0 && !lost
			switch {
			case err == nil || isFenced(err):
				return err
			case isUnanswered(err):
				lost = true
			case isResult:
				return err
			default:
				if !reported {
					reported = true
					w.logger.Warn("append_refused_after_unanswered_call", zap.String("topic", a.Topic), zap.Int64("sequence", a.Writer.Sequence),
						zap.Int("records", len(a.Records)), zap.Int("open", open), zap.Error(err))
				}
				timer.Reset(retryDelay) // the log answers, so the next repeat may tell the result
			}
			if open == 0 {
				return asUnanswered(err)
			}
		}
	}
}

// Range of silenceLimit, and the factor by which an append may take longer than the
// previous one.
const (
	minSilenceLimit = logSilence
	maxSilenceLimit = 1500 * time.Millisecond
	latencyFactor   = 3
)

// silenceLimit returns how long an append may be outstanding before the log counts as
// silent and new jobs are refused. It grows with the log's latency: if the log is only
// slow, jobs are accepted late rather than refused.
func (w *recordWriter) silenceLimit() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(max(latencyFactor*w.lastLatency, minSilenceLimit), maxSilenceLimit)
}

// cancelIfLaneDown cancels an append that takes much longer than a claim renewal sent
// after it, because then the lane is down and the log is not just slow. The returned
// function stops the check.
func (w *recordWriter) cancelIfLaneDown(sent time.Duration, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	var watch conc.WaitGroup
	watch.Go(func() {
		timer := time.NewTimer(laneTimeout)
		defer timer.Stop()
		for {
			select {
			case <-done:
				return
			case <-timer.C:
			}
			if w.claimsRespond(sent) {
				cancel()
				return
			}
			timer.Reset(lanePollInterval)
		}
	})
	return func() {
		close(done)
		watch.Wait()
	}
}
