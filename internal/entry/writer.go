package entry

import (
	"bytes"
	"context"
	"errors"
	"slices"
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
	// claimsAnswer reports whether the claims have answered much sooner than an append
	// that was sent at a time since boot.
	claimsAnswer func(sent time.Duration) bool
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

// expectedSequence returns the sequence number that the log expects if that is why an
// append failed.
func expectedSequence(err error) (expected int64, outOfOrder bool) {
	var a *AppendError
	if !errors.As(err, &a) || a.Failure != AppendOutOfOrder {
		return 0, false
	}
	return a.Expected, true
}

func isUnanswered(err error) bool {
	if err == nil {
		return false
	}
	var a *AppendError
	return !errors.As(err, &a) || a.Failure == AppendUnanswered
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
	expected, outOfOrder := expectedSequence(err)
	switch {
	case err == nil:
		s.next++
		w.noteHeld(lane, records)
	case outOfOrder:
		// Records carry versions, so that one that was stored already does no harm.
		w.logger.Warn("append_out_of_order", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Int64("sent", s.next), zap.Int64("expected", expected))
		s.next = expected
	case isUnanswered(err):
		s.left = records
		w.noteInDoubt(lane, records)
	}
	return err
}

// sameRecords reports whether two lists hold the same versions of the same keys.
func sameRecords(a, b []cell.Record) bool {
	return slices.EqualFunc(a, b, func(x, y cell.Record) bool { return x.Key == y.Key && bytes.Equal(x.Value, y.Value) })
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
