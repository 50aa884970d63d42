package entry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// append sends one append to a lane and waits for its answer.
func (w *recordWriter) append(ctx context.Context, lane int, records []cell.Record, sequence int64) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	sent := clock.SinceBoot()
	if records != nil {
		defer w.cancelWhenOnlyClaimsAnswer(sent, cancel)()
	}
	err := w.sendRepeatedly(ctx, Append{
		Topic: laneTopic(lane), Partition: placeOf(w.cell, laneOffsets[lane], w.partitions), Records: records,
		Writer: &Writer{Name: "holder", Epoch: w.epoch, Sequence: sequence},
	})
	if err == nil {
		w.confirmed(sent)
		w.mu.Lock()
		w.took = clock.SinceBoot() - sent
		w.mu.Unlock()
	}
	return err
}

// sendRepeatedly sends an append, again every appendRepeat while it has no answer, and
// returns the first answer. The sequence number makes the repeats harmless.
func (w *recordWriter) sendRepeatedly(ctx context.Context, a Append) error {
	var err error
	answers := make(chan error, appendTimeout/appendRepeat+1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for waiting := 0; ; {
		select {
		case <-timer.C:
			waiting++
			w.calls.Go(func() {
				_, err := w.log.Append(ctx, a)
				answers <- err
			})
			timer.Reset(appendRepeat)
		case err = <-answers:
			if waiting--; !isUnanswered(err) || waiting == 0 {
				return err
			}
		}
	}
}

// Bounds of the time for which the log may owe an answer before new jobs are refused,
// and the factor by which it may be slower than in its newest answer.
const (
	minLogPatience = logSilence
	maxLogPatience = 1500 * time.Millisecond
	slowerFactor   = 3
)

// patience returns for how long the log may owe an answer before it counts as silent.
// While it is merely slow, jobs are accepted late rather than refused.
func (w *recordWriter) patience() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(max(slowerFactor*w.took, minLogPatience), maxLogPatience)
}

// cancelWhenOnlyClaimsAnswer cancels an append that takes longer than calls for the
// claims that were sent after it: the outage is one of the lane, and the log is not
// only slow. The returned function ends the watch.
func (w *recordWriter) cancelWhenOnlyClaimsAnswer(sent time.Duration, cancel context.CancelFunc) (stop func()) {
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
			if w.claimsAnswer(sent) {
				cancel()
				return
			}
			timer.Reset(lanePoll)
		}
	})
	return func() {
		close(done)
		watch.Wait()
	}
}
