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

// Limits and timing of appends.
const (
	// appendTimeout limits an append, including repeats. On a slow log, an append takes
	// up to about 0.8 s.
	appendTimeout = 2400 * time.Millisecond
	// resendInterval is how long an append waits for a response before it is sent again
	// in parallel, because an outage may have dropped the first call.
	resendInterval = 800 * time.Millisecond
	appendDelay    = 12 * time.Millisecond // between two appends; the platform charges for each
	retryDelay     = 60 * time.Millisecond
	// maxBatchBytes limits the keys and values of an append; the log accepts 2 MiB. The
	// number of records is not limited: an append to a slow log takes nearly the same time
	// however many there are, and new jobs wait behind those that are left.
	maxBatchBytes  = 1 << 20
	recordOverhead = 8 // bytes of a record besides key and value
	// laneTimeout is how long an append may take before another lane is considered, if
	// the claim can be renewed meanwhile.
	laneTimeout      = 300 * time.Millisecond
	lanePollInterval = 50 * time.Millisecond // between two checks whether the lane is down
	// openTimeout limits the wait for a claim that lists another lane.
	openTimeout = 500 * time.Millisecond
	// sweepInterval is the interval at which keys are dropped from lanes that are no
	// longer written to.
	sweepInterval = 2 * time.Second
	// maxSweepRecords limits the keys that a sweep drops from a lane at once, so that new
	// records do not wait for it.
	maxSweepRecords = 512
)

// recordWriter appends the records of a cell in order, one call at a time. A call
// without a response is repeated with the same sequence number until its result is known
// or its records have been written to another lane.
type recordWriter struct {
	log        Log
	cell       int
	partitions int
	epoch      int64
	logger     *zap.Logger
	onStored   func(seq uint64)
	// onDiscarded is called, before onStored, with a record that the log does not accept.
	onDiscarded func(p cell.Persist)
	onFenced    func()
	// onConfirmed is called when an append has succeeded, with its send time since
	// boot.
	onConfirmed func(sent time.Duration)
	// claimsRespond reports whether a claim renewal was answered much faster than an
	// append that was sent at the given time since boot.
	claimsRespond func(sent time.Duration) bool
	// renewClaim requests a renewal of the claim, so that it lists the lanes that
	// lanesToClaim returns.
	renewClaim func()
	running    *runClock // of the process

	mu      sync.Mutex
	pending []cell.Persist
	wake    chan struct{}
	// outstandingSince is when the current batch was first sent, by running; -1 if there is none.
	outstandingSince time.Duration
	lastLatency      time.Duration   // of the newest successful append
	lane             int             // current lane, to which records are written
	requested        laneSet         // lanes to be added to the claim
	open             laneSet         // lanes that the claim in the log lists
	index            laneIndex       // nil until the lanes have been read
	sweep            map[string]bool // keys to be dropped from several lanes
	openChanged      chan struct{}   // closed and replaced when open changes
	calls            conc.WaitGroup
	streams          [laneCount]stream
}

// stream is the sequence of appends to one lane.
type stream struct {
	mu           sync.Mutex // held during an append
	nextSequence int64      // next sequence number
	// unanswered is an append without a response. It is repeated before any other
	// append.
	unanswered []cell.Record
	sentAt     time.Duration // since boot, when it was first sent
	failing    bool          // the last append failed
}

// logResult logs an append that fails after a successful one, or the reverse, with the
// sequence number under which it was sent.
func (s *stream) logResult(logger *zap.Logger, lane int, records []cell.Record, err error) {
	if s.failing == (err != nil) {
		return
	}
	s.failing = err != nil
	event := "lane_answers"
	if s.failing {
		event = "lane_fails"
	}
	logger.Info(event, zap.Int("lane", lane), zap.Int64("sequence", s.nextSequence), zap.Int("records", len(records)), zap.String("first_key", records[0].Key), zap.Error(err))
}

func newRecordWriter(log Log, index, partitions int, epoch int64, logger *zap.Logger) *recordWriter {
	w := &recordWriter{
		log: log, cell: index, partitions: partitions, epoch: epoch, logger: logger, wake: make(chan struct{}, 1),
		onDiscarded: func(cell.Persist) {},
		onConfirmed: func(time.Duration) {}, claimsRespond: func(time.Duration) bool { return false }, renewClaim: func() {},
		running: new(runClock), outstandingSince: -1,
		open: firstLane, sweep: map[string]bool{}, openChanged: make(chan struct{}),
	}
	for i := range w.streams {
		w.streams[i].nextSequence = 1
	}
	return w
}

// fence makes the log reject appends of earlier holders to a lane.
func (w *recordWriter) fence(ctx context.Context, lane int) error {
	for {
		err := w.append(ctx, lane, nil, 0)
		if err == nil || isFenced(err) || ctx.Err() != nil {
			return err
		}
		w.logger.Warn("log_append_failed", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Error(err))
		if !clock.Sleep(ctx, retryDelay) {
			return err
		}
	}
}

// probe makes an empty append to the current lane and reports whether it succeeded. If
// so, no new holder has fenced the lane. If one has, it calls onFenced.
func (w *recordWriter) probe(ctx context.Context) bool {
	w.mu.Lock()
	lane := w.lane
	w.mu.Unlock()
	err := w.append(ctx, lane, nil, 0)
	if isFenced(err) {
		w.onFenced()
	}
	return err == nil
}

func isFenced(err error) bool {
	var a *AppendError
	return errors.As(err, &a) && a.Failure == AppendFenced
}

// isInvalid reports whether the log does not accept the content of an append.
func isInvalid(err error) bool {
	var a *AppendError
	return errors.As(err, &a) && a.Failure == AppendInvalid
}

// expectedSequence returns the sequence number that the log expects, if an append
// failed because its sequence number was wrong.
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

// asUnanswered returns err as the error of an append that may be carried out now or later. A
// newer holder ends the term in any case.
func asUnanswered(err error) error {
	if isUnanswered(err) || isFenced(err) {
		return err
	}
	return &AppendError{Failure: AppendUnanswered, Err: err}
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

// remove removes a queued record and reports whether it was still queued.
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

// silentFor returns for how long the process has run since the current batch was first sent,
// or 0 if there is none.
func (w *recordWriter) silentFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outstandingSince < 0 {
		return 0
	}
	return w.running.now() - w.outstandingSince
}

// endBatch records that no batch is outstanding.
func (w *recordWriter) endBatch() {
	w.mu.Lock()
	w.outstandingSince = -1
	w.mu.Unlock()
}

// idle reports whether all records are stored.
func (w *recordWriter) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) == 0 && w.outstandingSince < 0
}

// run appends queued records until ctx ends or the writer is fenced.
func (w *recordWriter) run(ctx context.Context) {
	for {
		batch := w.nextBatch(ctx)
		if batch == nil {
			return
		}
		if !w.store(ctx, batch) {
			return
		}
		w.endBatch()
		w.onStored(batch[len(batch)-1].Seq)
		if !clock.Sleep(ctx, appendDelay) {
			return
		}
	}
}

// nextBatch waits for queued records and returns a batch, or nil if ctx has ended.
func (w *recordWriter) nextBatch(ctx context.Context) []cell.Persist {
	for {
		w.mu.Lock()
		n, size := 0, 0
		for n < len(w.pending) && size < maxBatchBytes {
			size += len(w.pending[n].Key) + len(w.pending[n].Value) + recordOverhead
			n++
		}
		if n > 0 {
			batch := w.pending[:n:n]
			w.pending = w.pending[n:]
			w.outstandingSince = w.running.now()
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

// store appends a batch and reports whether the writer can continue. A batch that the log does
// not accept is appended in halves, so that only the records at fault are left out.
func (w *recordWriter) store(ctx context.Context, batch []cell.Persist) bool {
	switch w.write(ctx, batch) {
	case batchStored:
		return true
	case batchInvalid:
		if len(batch) == 1 {
			w.discard(batch[0])
			return true
		}
		half := len(batch) / 2
		return w.store(ctx, batch[:half]) && w.store(ctx, batch[half:])
	default:
		return false
	}
}

// discard leaves out a record that the log does not accept. To repeat it would keep all later
// records of the cell from being stored.
func (w *recordWriter) discard(p cell.Persist) {
	w.logger.Error("record_discarded", zap.Int("cell", w.cell), zap.String("key", p.Key), zap.Int("bytes", len(p.Key)+len(p.Value)+versionBytes), zap.Uint64("seq", p.Seq))
	w.onDiscarded(p)
}

// batchResult is the result of recordWriter.write.
type batchResult int

const (
	batchNotStored batchResult = iota // the writer is fenced or its term has ended
	batchStored
	batchInvalid // the log accepts other appends, but not the content of this one
)

// write appends a batch, and repeats that until its result is known.
func (w *recordWriter) write(ctx context.Context, batch []cell.Persist) batchResult {
	start := clock.SinceBoot()
	for attempt := 1; ; attempt++ {
		lane, records, drops := w.prepare(batch)
		err := w.appendTo(ctx, lane, records)
		switch {
		case err == nil:
			w.sweepLater(drops)
			if attempt > 1 {
				w.logger.Info("log_regained", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Duration("after", w.silentFor()))
			}
			return batchStored
		case isFenced(err):
			w.onFenced()
			return batchNotStored
		case ctx.Err() != nil:
			return batchNotStored
		case isInvalid(err) && w.accepts(ctx, lane):
			w.logger.Warn("batch_not_accepted", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Int("records", len(batch)), zap.Error(err))
			return batchInvalid
		}
		if attempt == 1 {
			w.logger.Warn("log_lost", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Int("records", len(batch)), zap.Error(err))
			w.renewClaim() // whether the renewal is answered shows if only the lane is down
		}
		if (!w.claimsRespond(start) || !w.changeLane(ctx)) && !clock.Sleep(ctx, retryDelay) {
			return batchNotStored
		}
	}
}

// accepts reports whether the log carries out an empty append to a lane, which shows that it
// does not refuse every call.
func (w *recordWriter) accepts(ctx context.Context, lane int) bool {
	err := w.append(ctx, lane, nil, 0)
	if err != nil {
		w.logger.Warn("log_accepts_no_append", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Error(err))
	}
	return err == nil
}

// appendTo appends records to a lane, after repeating an append without a response.
func (w *recordWriter) appendTo(ctx context.Context, lane int, records []cell.Record) error {
	s := &w.streams[lane]
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.appendLocked(ctx, lane, records)
}

// voidRecord uses up a sequence number. It drops a key that no record has.
var voidRecord = cell.Record{Key: "void"}

// appendLocked is like appendTo for a caller that holds the mutex of the lane's stream.
func (w *recordWriter) appendLocked(ctx context.Context, lane int, records []cell.Record) error {
	s := &w.streams[lane]
	for s.unanswered != nil {
		repeat := sameRecords(s.unanswered, records)
		err := w.appendSentAt(ctx, lane, s.unanswered, s.nextSequence, s.sentAt)
		s.logResult(w.logger, lane, s.unanswered, err)
		switch {
		case err == nil:
			w.indexStored(lane, s.unanswered)
			s.nextSequence, s.unanswered = s.nextSequence+1, nil
			if repeat {
				return nil
			}
		case isInvalid(err) && s.unanswered[0].Key != voidRecord.Key:
			// A call without a response may have been carried out all the same, and the log would
			// take other records under its number for a repeat of it.
			s.unanswered = []cell.Record{voidRecord}
			if repeat {
				return err
			}
		default:
			w.followSequence(lane, err)
			return asUnanswered(err)
		}
	}
	if len(records) == 0 {
		return nil // an empty append does not advance the sequence number
	}
	sent := clock.SinceBoot()
	err := w.append(ctx, lane, records, s.nextSequence)
	s.logResult(w.logger, lane, records, err)
	switch {
	case err == nil:
		s.nextSequence++
		w.indexStored(lane, records)
	case isUnanswered(err):
		s.unanswered, s.sentAt = records, sent
		w.indexUnanswered(lane, records)
	default:
		w.followSequence(lane, err)
	}
	return err
}

// followSequence continues with the sequence number that the log expects, if an append failed
// because it had another one. Records carry versions, so it does no harm to store one twice.
func (w *recordWriter) followSequence(lane int, err error) {
	s := &w.streams[lane]
	if expected, outOfOrder := expectedSequence(err); outOfOrder {
		w.logger.Warn("append_out_of_order", zap.Int("cell", w.cell), zap.Int("lane", lane), zap.Int64("sent", s.nextSequence), zap.Int64("expected", expected))
		s.nextSequence = expected
	}
}

// sameRecords reports whether two lists have the same keys and values.
func sameRecords(a, b []cell.Record) bool {
	return slices.EqualFunc(a, b, func(x, y cell.Record) bool { return x.Key == y.Key && bytes.Equal(x.Value, y.Value) })
}

// prepare returns the records of a batch for the current lane, and the keys to be dropped
// that other lanes hold too. These are left to the sweep, which drops the newest record of
// a key last. A key that is written again is not swept any more.
func (w *recordWriter) prepare(batch []cell.Persist) (lane int, records []cell.Record, drops []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	records = make([]cell.Record, 0, len(batch))
	for _, p := range batch {
		if p.Value == nil && w.index[p.Key].lanes.without(w.lane) != 0 {
			drops = append(drops, p.Key)
			continue
		}
		if p.Value != nil {
			delete(w.sweep, p.Key)
			drops = slices.DeleteFunc(drops, func(key string) bool { return key == p.Key })
		}
		records = append(records, cell.Record{Key: p.Key, Value: withVersion(version{w.epoch, p.Seq}, p.Value)})
	}
	return w.lane, records, drops
}

// sweepLater has keys dropped from all lanes. The records of their batch must be stored: the
// progress of a job may be dropped only once its final state is in the log.
func (w *recordWriter) sweepLater(keys []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range keys {
		w.sweep[key] = true
	}
}

func (w *recordWriter) indexStored(lane int, records []cell.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
		w.index.update(lane, r)
	}
}

// indexUnanswered records what a lane may hold after an append without a response.
func (w *recordWriter) indexUnanswered(lane int, records []cell.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
		if r.Value != nil {
			w.index.update(lane, r)
		}
	}
}
