package platformlog

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/httpjson"
)

// Limits of an append and the default interval between two appends. With 50 ms,
// 9 processes make at most 180 appends per second; the log accepts several
// hundred.
const (
	MaxBatchRecords       = 500
	MaxBatchBytes         = 1 << 20
	DefaultAppendInterval = 50 * time.Millisecond
	resolveRetryDelay     = 200 * time.Millisecond
)

// Appender appends records to a stream in the order of Submit, with at most one
// append in progress. A record is done when its append succeeds or Seen reports
// it. After an append without a response, the appender waits until the tail has
// reached the end of the stream as it is after the failure, and then appends
// only the records that the tail has not seen. A request delayed in the network
// can still take effect later, so readers must ignore duplicate records. An
// Appender is safe for concurrent use.
type Appender struct {
	client    *Client
	stream    string
	tail      *Tail
	interval  time.Duration
	onRefused func(id string, reason error)

	mu         sync.Mutex
	queue      []queuedRecord
	batchLimit int             // most records in the next batch
	pending    map[string]bool // IDs of queued records that are not done
	wake       chan struct{}   // buffered, signals that the queue is not empty
}

// queuedRecord is a record that waits to be appended.
type queuedRecord struct {
	id   string
	data []byte
}

// NewAppender returns an appender to the stream that tail follows. interval is
// the shortest time between the starts of two appends; 0 selects DefaultAppendInterval.
// onRefused is called for a record that the log refuses permanently; reason is a
// *fault.Error. The caller must call Run once.
func NewAppender(tail *Tail, interval time.Duration, onRefused func(id string, reason error)) *Appender {
	if interval == 0 {
		interval = DefaultAppendInterval
	}
	return &Appender{client: tail.client, stream: tail.stream, tail: tail, interval: interval, onRefused: onRefused,
		batchLimit: MaxBatchRecords, pending: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// Submit queues a record without blocking. It ignores a record whose ID is
// already queued.
func (a *Appender) Submit(id string, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending[id] {
		return
	}
	a.pending[id] = true
	a.queue = append(a.queue, queuedRecord{id, data})
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Seen reports that the tail has read the record with this ID. The tail's handler
// must call it before its Record method returns.
func (a *Appender) Seen(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, id)
}

// Len returns the number of submitted records that are not known to be in the
// stream.
func (a *Appender) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending)
}

// Run appends records until ctx ends and returns the error of ctx. Records that
// are still queued are dropped.
func (a *Appender) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		batch := a.nextBatch()
		if len(batch) == 0 {
			select {
			case <-a.wake:
			case <-ctx.Done():
			}
			continue
		}
		began := time.Now()
		a.append(ctx, batch)
		if !clock.Sleep(ctx, a.interval-time.Since(began)) {
			break
		}
	}
	return ctx.Err()
}

// nextBatch removes the records that are done from the queue and returns the records
// of the next append without removing them.
func (a *Appender) nextBatch() []queuedRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.queue[:0]
	for _, e := range a.queue {
		if a.pending[e.id] {
			kept = append(kept, e)
		}
	}
	clear(a.queue[len(kept):])
	a.queue = kept
	size, count := 0, 0
	for count < len(kept) && count < a.batchLimit {
		size += len(kept[count].data)
		if count > 0 && size > MaxBatchBytes {
			break
		}
		count++
	}
	return append([]queuedRecord(nil), kept[:count]...)
}

// append sends one batch and handles the result.
func (a *Appender) append(ctx context.Context, batch []queuedRecord) {
	records := make([][]byte, len(batch))
	for i, e := range batch {
		records[i] = e.data
	}
	_, err := a.client.Append(ctx, a.stream, records)
	status := httpjson.Status(err)
	switch {
	case err == nil:
		a.removePending(batch)
	case status == http.StatusTooManyRequests:
		_ = clock.Sleep(ctx, time.Duration(fault.As(err).RetryAfterMS)*time.Millisecond) // Run checks ctx
	case status >= 400 && status < 500:
		a.handleRefusal(batch, err)
	default:
		a.resolve(ctx)
	}
}

// resolve waits, after an append without a response, until the tail has reached
// the current end of the stream. Seen has then been called for the records of
// that append that the stream contains.
func (a *Appender) resolve(ctx context.Context) {
	for ctx.Err() == nil {
		response, err := a.client.Read(ctx, a.stream, a.tail.Next(), 1, 0)
		if err == nil {
			_ = a.tail.WaitFor(ctx, response.Next) // fails only if ctx ends
			return
		}
		if !clock.Sleep(ctx, resolveRetryDelay) {
			return
		}
	}
}

// removePending marks the records of batch as done.
func (a *Appender) removePending(batch []queuedRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range batch {
		delete(a.pending, e.id)
	}
}

// handleRefusal drops a record that the log refuses because of its content. A
// refused batch of several records is appended again record by record to find
// the one at fault.
func (a *Appender) handleRefusal(batch []queuedRecord, reason error) {
	alone := len(batch) == 1
	a.mu.Lock()
	a.batchLimit = 1
	if alone {
		a.batchLimit = MaxBatchRecords
	}
	a.mu.Unlock()
	if alone {
		a.removePending(batch)
		a.onRefused(batch[0].id, reason)
	}
}
