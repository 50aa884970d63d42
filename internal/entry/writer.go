package entry

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
)

// Bounds of appends.
const (
	// appendTimeout bounds an append. A slow log takes up to about 0.8 s for one.
	appendTimeout = 2400 * time.Millisecond
	// appendRepeat is how long an append waits for its answer before it is sent again
	// beside the first call: an outage may have swallowed that.
	appendRepeat   = 800 * time.Millisecond
	appendPause    = 12 * time.Millisecond // between two appends; each is priced
	retryPause     = 60 * time.Millisecond
	maxBatch       = 512       // records
	maxBatchBytes  = 512 << 10 // of keys and values; the log takes 2 MiB a call
	recordOverhead = 8         // bytes of a record besides key and value
	// laneTimeout is how long an append may take before another lane is tried, if the
	// claims answer meanwhile.
	laneTimeout = 300 * time.Millisecond
	lanePoll    = 50 * time.Millisecond // between two looks at the claims
	// openTimeout bounds the wait for a claim that names another lane.
	openTimeout = 500 * time.Millisecond
	// sweepInterval is the pause between two tries to drop records from lanes that
	// are not written to any more.
	sweepInterval = 2 * time.Second
)

// recordWriter appends the records of a cell in order, one call at a time. A call
// without an answer is repeated under the same sequence number until its result
// is known, or until the records are written to another lane.
type recordWriter struct {
	log        Log
	cell       int
	partitions int
	epoch      int64
	logger     *zap.Logger
	stored     func(seq uint64)
	fenced     func()
	// confirmed notes that an append was carried out that was sent at a time since boot.
	confirmed func(sent time.Duration)
	// claimsAnswer reports whether the claims have answered a call that was sent after
	// a time since boot.
	claimsAnswer func(after time.Duration) bool
	// renewClaim has the claim renewed now, so that it names the lanes that lanes returns.
	renewClaim func()

	mu      sync.Mutex
	pending []cell.Persist
	wake    chan struct{}
	// owed is when the call under way was first sent; zero if there is none.
	owed    time.Time
	took    time.Duration   // of the newest append that was answered
	lane    int             // that is written to
	wanted  laneSet         // to be opened
	open    laneSet         // that the claim in the log names
	index   laneIndex       // what the lanes hold; nil before they are read
	sweep   map[string]bool // keys to be dropped from several lanes
	opened  chan struct{}   // closed and replaced when open changes
	calls   conc.WaitGroup
	streams [laneCount]stream
}

// stream is the sequence of appends to one lane.
type stream struct {
	mu   sync.Mutex // held during an append
	next int64      // sequence number
	// left is an append without an answer, which is repeated before another one.
	left []cell.Record
}

func newRecordWriter(log Log, index, partitions int, epoch int64, logger *zap.Logger) *recordWriter {
	w := &recordWriter{
		log: log, cell: index, partitions: partitions, epoch: epoch, logger: logger, wake: make(chan struct{}, 1),
		confirmed: func(time.Duration) {}, claimsAnswer: func(time.Duration) bool { return false }, renewClaim: func() {},
		open: firstLane, sweep: map[string]bool{}, opened: make(chan struct{}),
	}
	for i := range w.streams {
		w.streams[i].next = 1
	}
	return w
}

// fence makes the log refuse appends of earlier holders to a lane.
func (w *recordWriter) fence(ctx context.Context, lane int) error {
	for {
		err := w.append(ctx, lane, nil, 0)
		if err == nil || isFenced(err) || ctx.Err() != nil {
			return err
		}
		w.logger.Warn("log_append_failed", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Error(err))
		clock.Sleep(ctx, retryPause)
	}
}

// probe appends nothing to the lane that is written to and reports whether the log
// has answered. It shows that no new holder has fenced the lane.
func (w *recordWriter) probe(ctx context.Context) bool {
	w.mu.Lock()
	lane := w.lane
	w.mu.Unlock()
	return w.append(ctx, lane, nil, 0) == nil
}

func isFenced(err error) bool {
	var a *AppendError
	return errors.As(err, &a) && a.Failure == AppendFenced
}

func isUnanswered(err error) bool {
	if err == nil {
		return false
	}
	var a *AppendError
	return !errors.As(err, &a) || a.Failure == AppendUnanswered
}

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

// add queues a record. It never blocks.
func (w *recordWriter) add(p cell.Persist) {
	w.mu.Lock()
	w.pending = append(w.pending, p)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// remove takes a queued record back and reports whether it was still there.
func (w *recordWriter) remove(seq uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.pending {
		if w.pending[i].Seq == seq {
			w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
			return true
		}
	}
	return false
}

// silent returns how long the log has owed an answer.
func (w *recordWriter) silent() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.owed.IsZero() {
		return 0
	}
	return time.Since(w.owed)
}

func (w *recordWriter) setOwed(t time.Time) {
	w.mu.Lock()
	w.owed = t
	w.mu.Unlock()
}

// idle reports whether all records are stored.
func (w *recordWriter) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) == 0 && w.owed.IsZero()
}

// run appends queued records until ctx ends or the writer is fenced.
func (w *recordWriter) run(ctx context.Context) {
	for {
		batch := w.next(ctx)
		if batch == nil {
			return
		}
		if !w.write(ctx, batch) {
			return
		}
		w.stored(batch[len(batch)-1].Seq)
		if !clock.Sleep(ctx, appendPause) {
			return
		}
	}
}

// next waits for records and takes a batch; nil if ctx has ended.
func (w *recordWriter) next(ctx context.Context) []cell.Persist {
	for {
		w.mu.Lock()
		n, size := 0, 0
		for n < len(w.pending) && n < maxBatch && size < maxBatchBytes {
			size += len(w.pending[n].Key) + len(w.pending[n].Value) + recordOverhead
			n++
		}
		if n > 0 {
			batch := w.pending[:n:n]
			w.pending = w.pending[n:]
			w.owed = time.Now()
			w.mu.Unlock()
			return batch
		}
		w.mu.Unlock()
		select {
		case <-w.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// write appends a batch and reports whether the writer may go on.
func (w *recordWriter) write(ctx context.Context, batch []cell.Persist) bool {
	begun := clock.SinceBoot()
	for attempt := 1; ; attempt++ {
		lane, records := w.prepare(batch)
		err := w.appendTo(ctx, lane, records)
		switch {
		case err == nil:
			if attempt > 1 {
				w.logger.Info("log_regained", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Duration("after", w.silent()))
			}
			w.setOwed(time.Time{})
			return true
		case isFenced(err):
			w.fenced()
			return false
		case ctx.Err() != nil:
			return false
		}
		if attempt == 1 {
			w.logger.Warn("log_lost", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Int("records", len(batch)), zap.Error(err))
			w.renewClaim() // whether the claims answer tells what to do
		}
		if !w.claimsAnswer(begun) || !w.changeLane(ctx) {
			clock.Sleep(ctx, retryPause)
		}
	}
}

// appendTo appends records to a lane, after those of an append without an answer.
func (w *recordWriter) appendTo(ctx context.Context, lane int, records []cell.Record) error {
	s := &w.streams[lane]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left != nil {
		repeat := sameRecords(s.left, records)
		if err := w.append(ctx, lane, s.left, s.next); err != nil {
			return err
		}
		w.noteHeld(lane, s.left)
		s.next, s.left = s.next+1, nil
		if repeat {
			return nil
		}
	}
	if len(records) == 0 {
		return nil // an append of nothing would count no sequence number
	}
	err := w.append(ctx, lane, records, s.next)
	switch {
	case err == nil:
		s.next++
		w.noteHeld(lane, records)
	case isUnanswered(err):
		s.left = records
		w.noteInDoubt(lane, records)
	}
	return err
}

// sameRecords reports whether two lists begin with the same version of the same key.
func sameRecords(a, b []cell.Record) bool {
	return len(a) == len(b) && len(a) > 0 && a[0].Key == b[0].Key && bytes.Equal(a[0].Value, b[0].Value)
}

// prepare returns the records of a batch for the present lane. A key that other lanes
// hold too must not be dropped before they have dropped it: their records are older.
func (w *recordWriter) prepare(batch []cell.Persist) (lane int, records []cell.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	records = make([]cell.Record, 0, len(batch))
	for _, p := range batch {
		if p.Value == nil && w.index[p.Key].without(w.lane) != 0 {
			w.sweep[p.Key] = true
			continue
		}
		records = append(records, cell.Record{Key: p.Key, Value: withVersion(version{w.epoch, p.Seq}, p.Value)})
	}
	return w.lane, records
}

func (w *recordWriter) noteHeld(lane int, records []cell.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
		w.index.note(lane, r)
	}
}

// noteInDoubt notes what a lane may hold after an append without an answer.
func (w *recordWriter) noteInDoubt(lane int, records []cell.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
		if r.Value != nil {
			w.index.note(lane, r)
		}
	}
}

// runSweep drops records that have to go from several lanes, until ctx ends.
func (w *recordWriter) runSweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		for lane, records := range w.sweepable() {
			if err := w.appendTo(ctx, lane, records); err != nil {
				w.logger.Debug("records_not_swept", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Error(err))
			}
		}
	}
}

// sweepable returns drops by lane: the present lane drops a key when no other holds it.
func (w *recordWriter) sweepable() map[int][]cell.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[int][]cell.Record{}
	for key := range w.sweep {
		from := w.index[key].without(w.lane)
		if from == 0 {
			from = w.index[key]
		}
		if from == 0 {
			delete(w.sweep, key)
		}
		for _, lane := range from.lanes() {
			if len(out[lane]) < maxBatch {
				out[lane] = append(out[lane], cell.Record{Key: key})
			}
		}
	}
	return out
}

// changeLane goes to the next lane, once the claim names it, and reports whether it
// did.
func (w *recordWriter) changeLane(ctx context.Context) bool {
	w.mu.Lock()
	from, to := w.lane, (w.lane+1)%laneCount
	w.wanted = w.wanted.with(to)
	w.mu.Unlock()
	if !w.awaitOpen(ctx, to) {
		w.mu.Lock()
		w.wanted = w.wanted.without(to)
		w.mu.Unlock()
		return false
	}
	w.mu.Lock()
	w.lane = to
	w.wanted = w.wanted.without(to)
	w.mu.Unlock()
	w.logger.Warn("lane_changed", zap.Int("cell", w.cell), zap.Int("from", from), zap.Int("to", to))
	return true
}

// awaitOpen waits until the claim in the log names a lane.
func (w *recordWriter) awaitOpen(ctx context.Context, lane int) bool {
	timer := time.NewTimer(openTimeout)
	defer timer.Stop()
	w.renewClaim()
	for {
		w.mu.Lock()
		open, changed := w.open.has(lane), w.opened
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

// lanes returns the lanes that the claim has to name.
func (w *recordWriter) lanes() laneSet {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.index == nil {
		return w.open
	}
	return w.index.used().with(w.lane) | w.wanted
}

// setIndex notes what the lanes hold. Before, no record may be added.
func (w *recordWriter) setIndex(index laneIndex) {
	w.mu.Lock()
	w.index = index
	w.mu.Unlock()
}

// setOpen notes which lanes the claim in the log names.
func (w *recordWriter) setOpen(lanes laneSet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = lanes
	close(w.opened)
	w.opened = make(chan struct{})
}
