package platformlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Timing of a tail. The wait is shorter than CallBound, so that a log that
// stops answering is noticed within CallBound.
const (
	tailWait      = time.Second
	tailBatch     = 1000 // most records in one read
	tailRetryWait = 200 * time.Millisecond
)

// Handler receives what a tail reads. Its methods are called by one goroutine.
type Handler interface {
	// Record passes on the next record, in order of offsets.
	Record(r Record)
	// Gap reports that the log dropped the records from the offset from up to,
	// but not including, oldest before the tail read them.
	Gap(from, oldest uint64)
	// CaughtUp reports once that the tail has reached the end of the stream.
	CaughtUp()
	// State reports whether the log answers: first after the first request,
	// then on every change. err is nil if the log is up.
	State(up bool, err error)
}

// Tail follows a stream from its oldest record.
type Tail struct {
	client  *Client
	stream  string
	handler Handler
	started bool // the first read has succeeded
	caught  bool
	known   bool // a state has been reported
	up      bool
	batch   int // records to ask for; less after a failed read

	mu      sync.Mutex
	next    uint64        // the offset after the last record that was handled
	changed chan struct{} // closed when next grows
}

// NewTail returns a tail of stream.
func NewTail(client *Client, stream string, handler Handler) *Tail {
	return &Tail{client: client, stream: stream, handler: handler, batch: tailBatch, changed: make(chan struct{})}
}

// Run follows the stream until ctx ends and returns ctx's error. Called again
// after that, it continues where it was.
func (t *Tail) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := t.step(ctx); err != nil && ctx.Err() == nil {
			t.state(false, err)
			clock.Sleep(ctx, tailRetryWait)
		}
	}
	return ctx.Err()
}

func (t *Tail) step(ctx context.Context) error {
	from := t.Next()
	wait := tailWait
	if !t.caught || !t.up {
		wait = 0
	}
	response, err := t.client.read(ctx, t.stream, from, t.batch, wait, CallBound)
	if err != nil {
		// A slow link may not carry a full batch within CallBound.
		t.batch = max(t.batch/4, 1)
		return err
	}
	t.batch = min(t.batch+t.batch/4+1, tailBatch)
	if response.Next < from {
		return fault.New(fault.LogDown,
			fmt.Sprintf("stream %s ends at offset %d, but records up to %d were read before", t.stream, response.Next, from),
			"check the log service for lost records, then restart the entry processes one by one")
	}
	t.state(true, nil)
	t.take(from, response)
	return nil
}

func (t *Tail) take(from uint64, response ReadResponse) {
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
	if !t.caught && from >= response.Next {
		t.caught = true
		t.handler.CaughtUp()
	}
}

func (t *Tail) state(up bool, err error) {
	if t.known && t.up == up {
		return
	}
	t.known, t.up = true, up
	t.handler.State(up, err)
}

func (t *Tail) advance(next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if next > t.next {
		t.next = next
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Next returns the offset after the last record that the handler has taken.
func (t *Tail) Next() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// WaitFor returns nil when the handler has taken all records before the offset
// next, or ctx's error.
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
