package platformlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Timing and batch size of a tail. tailWait is shorter than CallTimeout, so that a
// log that stops responding is detected within CallTimeout.
const (
	tailWait         = time.Second
	tailBatchRecords = 1000 // most records in one read
	tailRetryDelay   = 200 * time.Millisecond
)

// Handler receives the records and state changes of a Tail. All its methods are
// called by the goroutine of Tail.Run.
type Handler interface {
	// Record delivers the next record, in order of offsets.
	Record(r Record)
	// Gap reports that the log dropped the records from the offset from up to,
	// but not including, oldest before the tail read them.
	Gap(from, oldest uint64)
	// CaughtUp is called once, when the tail first reaches the end of the stream.
	CaughtUp()
	// State reports whether the log responds: after the first request, and then
	// on every change. err is nil if up is true.
	State(up bool, err error)
}

// Tail follows a stream from its oldest record.
type Tail struct {
	client        *Client
	stream        string
	handler       Handler
	started       bool // the first read has succeeded
	caughtUp      bool
	stateReported bool // Handler.State has been called
	up            bool
	batchLimit    int // most records in the next read; reduced after a failed read

	mu      sync.Mutex
	next    uint64        // offset after the last handled record
	changed chan struct{} // closed when next grows
}

// NewTail returns a tail that starts at the oldest record of stream. The caller
// has to call Run.
func NewTail(client *Client, stream string, handler Handler) *Tail {
	return &Tail{client: client, stream: stream, handler: handler, batchLimit: tailBatchRecords, changed: make(chan struct{})}
}

// Run follows the stream until ctx ends and returns the error of ctx. A later call
// continues from the same offset.
func (t *Tail) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := t.readOnce(ctx); err != nil && ctx.Err() == nil {
			t.reportState(false, err)
			if !clock.Sleep(ctx, tailRetryDelay) {
				break
			}
		}
	}
	return ctx.Err()
}

// readOnce reads one batch and passes it to the handler.
func (t *Tail) readOnce(ctx context.Context) error {
	from := t.Next()
	wait := tailWait
	if !t.caughtUp || !t.up {
		wait = 0
	}
	response, err := t.client.read(ctx, t.stream, from, t.batchLimit, wait, CallTimeout)
	if err != nil {
		// On a slow network a full batch may take longer than CallTimeout.
		t.batchLimit = max(t.batchLimit/4, 1)
		return err
	}
	t.batchLimit = min(t.batchLimit+t.batchLimit/4+1, tailBatchRecords)
	if response.Next < from {
		return fault.New(fault.LogDown,
			fmt.Sprintf("stream %s ends at offset %d, but records up to %d were read before", t.stream, response.Next, from),
			"check the log service for lost records, then restart the entry processes one by one")
	}
	t.reportState(true, nil)
	t.handleResponse(from, response)
	return nil
}

// handleResponse passes the records from offset from on to the handler.
func (t *Tail) handleResponse(from uint64, response ReadResponse) {
	if response.Oldest > from {
		if t.started {
			t.handler.Gap(from, response.Oldest)
		}
		from = response.Oldest
	}
	t.started = true
	for _, r := range response.Records {
		if r.Offset < from {
			continue
		}
		t.handler.Record(r)
		from = r.Offset + 1
	}
	t.advance(from)
	if !t.caughtUp && from >= response.Next {
		t.caughtUp = true
		t.handler.CaughtUp()
	}
}

// reportState calls Handler.State if the state has changed.
func (t *Tail) reportState(up bool, err error) {
	if t.stateReported && t.up == up {
		return
	}
	t.stateReported, t.up = true, up
	t.handler.State(up, err)
}

// advance sets the next offset and wakes the callers of WaitFor.
func (t *Tail) advance(next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if next > t.next {
		t.next = next
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Next returns the offset after the last record passed to the handler.
func (t *Tail) Next() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// WaitFor waits until all records before the offset next have been passed to the
// handler. It returns the error of ctx if ctx ends first.
func (t *Tail) WaitFor(ctx context.Context, next uint64) error {
	for {
		t.mu.Lock()
		reached, changed := t.next >= next, t.changed
		t.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
