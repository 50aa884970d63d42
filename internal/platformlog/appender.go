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

// Bounds of an append and the default pause between two appends. With 50 ms,
// 9 processes make at most 180 appends a second of the several hundred that
// the log accepts.
const (
	MaxBatchRecords  = 500
	MaxBatchBytes    = 1 << 20
	DefaultPause     = 50 * time.Millisecond
	resolveRetryWait = 200 * time.Millisecond
)

// Appender adds records to a stream in the order of Submit, with one append
// outstanding. A record leaves the appender when its append was answered or
// when Seen reports it. An append without a response is never guessed: the
// appender waits until the tail has reached the end that the stream has after
// the failure, and appends only the records that did not appear. A request that
// the network still delays at that time can take effect later, so readers have
// to ignore a second copy of a record. It is safe for concurrent use.
type Appender struct {
	client  *Client
	stream  string
	tail    *Tail
	pause   time.Duration
	refused func(id string, reason error)

	mu      sync.Mutex
	queue   []entry
	limit   int             // records in the next batch
	pending map[string]bool // ids in the queue that have not been seen
	wake    chan struct{}   // has room for one signal
}

type entry struct {
	id   string
	data []byte
}

// NewAppender returns an appender to the stream that tail follows. A pause of 0
// takes DefaultPause. refused is called for a record that the log will never
// accept; reason is a *fault.Error. Run has to be called once.
func NewAppender(tail *Tail, pause time.Duration, refused func(id string, reason error)) *Appender {
	if pause == 0 {
		pause = DefaultPause
	}
	return &Appender{client: tail.client, stream: tail.stream, tail: tail, pause: pause, refused: refused,
		limit: MaxBatchRecords, pending: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// Submit adds a record to the queue and returns at once. A record whose id is
// already in the queue is ignored.
func (a *Appender) Submit(id string, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending[id] {
		return
	}
	a.pending[id] = true
	a.queue = append(a.queue, entry{id, data})
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Seen tells the appender that the tail has read the record with this id. It
// has to be called before the tail's handler returns from Record.
func (a *Appender) Seen(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, id)
}

// Len returns the number of records that are not known to be in the stream.
func (a *Appender) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending)
}

// Run appends until ctx ends and returns ctx's error. Records that are in the
// queue then are dropped.
func (a *Appender) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		batch := a.batch()
		if len(batch) == 0 {
			select {
			case <-a.wake:
			case <-ctx.Done():
			}
			continue
		}
		began := time.Now()
		a.append(ctx, batch)
		clock.Sleep(ctx, a.pause-time.Since(began))
	}
	return ctx.Err()
}

// batch drops records that have been seen and returns the front of the queue.
func (a *Appender) batch() []entry {
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
	for count < len(kept) && count < a.limit {
		size += len(kept[count].data)
		if count > 0 && size > MaxBatchBytes {
			break
		}
		count++
	}
	return append([]entry(nil), kept[:count]...)
}

func (a *Appender) append(ctx context.Context, batch []entry) {
	records := make([][]byte, len(batch))
	for i, e := range batch {
		records[i] = e.data
	}
	_, err := a.client.Append(ctx, a.stream, records)
	status := httpjson.Status(err)
	switch {
	case err == nil:
		a.forget(batch)
	case status == http.StatusTooManyRequests:
		clock.Sleep(ctx, time.Duration(fault.As(err).RetryAfterMS)*time.Millisecond)
	case status >= 400 && status < 500:
		a.refuse(batch, err)
	default:
		a.resolve(ctx)
	}
}

// resolve returns when Seen has been called for every record of a failed append
// that the stream held after the failure.
func (a *Appender) resolve(ctx context.Context) {
	for ctx.Err() == nil {
		response, err := a.client.Read(ctx, a.stream, a.tail.Next(), 1, 0)
		if err == nil {
			_ = a.tail.WaitFor(ctx, response.Next) // only fails when ctx ends
			return
		}
		clock.Sleep(ctx, resolveRetryWait)
	}
}

func (a *Appender) forget(batch []entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range batch {
		delete(a.pending, e.id)
	}
}

// refuse gives up a record that the log refuses for its content. To find it, a
// refused batch is appended again record by record.
func (a *Appender) refuse(batch []entry, reason error) {
	alone := len(batch) == 1
	a.mu.Lock()
	a.limit = 1
	if alone {
		a.limit = MaxBatchRecords
	}
	a.mu.Unlock()
	if alone {
		a.forget(batch)
		a.refused(batch[0].id, reason)
	}
}
