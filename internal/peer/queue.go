package peer

import (
	"sync"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// outgoing is a queued message. A short message is already encoded in frame. A
// long one is kept unencoded, so that Send stays fast; the bulk writer encodes it.
type outgoing struct {
	frame []byte
	long  message.Message
	size  int // bytes counted against the queue limit
}

// fifo is a first-in, first-out queue.
type fifo struct {
	items []outgoing
	head  int
}

func (f *fifo) push(o outgoing) { f.items = append(f.items, o) }

func (f *fifo) pop() (outgoing, bool) {
	if f.head == len(f.items) {
		return outgoing{}, false
	}
	o := f.items[f.head]
	f.items[f.head] = outgoing{}
	f.head++
	if f.head == len(f.items) {
		f.items, f.head = f.items[:0], 0
	}
	if f.head >= compactAfter {
		f.items = append(f.items[:0], f.items[f.head:]...)
		f.head = 0
	}
	return o, true
}

// compactAfter is the number of popped items after which a fifo that has not
// become empty moves the remaining items to the front of its slice.
const compactAfter = 1024

// sendQueue holds the messages that one link still has to send. The limits on
// bytes and messages apply to both connections together.
type sendQueue struct {
	maxBytes, maxCount int

	mu        sync.Mutex
	bytes     int
	count     int
	heartbeat *heartbeat // sent before urgent
	urgent    fifo
	short     fifo // short messages on the bulk connection
	medium    fifo // chunked messages up to mediumBytes
	large     fifo // longer chunked messages

	wakeUrgent chan struct{}
	wakeBulk   chan struct{}
}

func newSendQueue(maxBytes, maxCount int) *sendQueue {
	return &sendQueue{
		maxBytes:   maxBytes,
		maxCount:   maxCount,
		wakeUrgent: make(chan struct{}, 1),
		wakeBulk:   make(chan struct{}, 1),
	}
}

// add queues a message. It returns false if the queue is full.
func (q *sendQueue) add(o outgoing, urgent bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.count >= q.maxCount || q.bytes+o.size > q.maxBytes {
		return false
	}
	q.count++
	q.bytes += o.size
	wake := q.wakeBulk
	switch {
	case o.long != nil && o.size > mediumBytes:
		q.large.push(o)
	case o.long != nil:
		q.medium.push(o)
	case urgent:
		q.urgent.push(o)
		wake = q.wakeUrgent
	default:
		q.short.push(o)
	}
	signal(wake)
	return true
}

// setHeartbeat queues a heartbeat. It replaces a heartbeat that is still queued,
// but keeps the summary of that one, because each summary is queued only once.
func (q *sendQueue) setHeartbeat(h heartbeat) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.heartbeat != nil && h.Summary == nil {
		h.Summary = q.heartbeat.Summary
	}
	q.heartbeat = &h
	signal(q.wakeUrgent)
}

// takeHeartbeat removes and returns the queued heartbeat, or returns nil.
func (q *sendQueue) takeHeartbeat() *heartbeat {
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.heartbeat
	q.heartbeat = nil
	return h
}

// pop removes the first message of one of the queue's lists. A long message
// counts against the limits until release.
func (q *sendQueue) pop(f *fifo) (outgoing, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	o, ok := f.pop()
	if ok && o.long == nil {
		q.releaseLocked(o)
	}
	return o, ok
}

// release stops counting a long message, after its last chunk.
func (q *sendQueue) release(o outgoing) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseLocked(o)
}

func (q *sendQueue) releaseLocked(o outgoing) {
	q.count--
	q.bytes -= o.size
}

// depth returns the number of queued messages and their size in bytes.
func (q *sendQueue) depth() (count, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count, q.bytes
}

// signal wakes the receiver of c. It does not block if a signal is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// prepare checks the size of m and encodes it if it is short. The error is a
// *fault.Error.
func prepare(m message.Message) (outgoing, error) {
	if size := payloadBytes(m); size > ChunkThreshold {
		if size > MaxMessageBytes {
			return outgoing{}, tooLongError(size)
		}
		return outgoing{long: m, size: size}, nil
	}
	frame, err := encodeMessage(m)
	if err != nil {
		return outgoing{}, fault.Wrap(fault.Internal, err, "message cannot be encoded", "report this as a defect")
	}
	switch {
	case len(frame) > MaxMessageBytes:
		return outgoing{}, tooLongError(len(frame))
	case len(frame) > ChunkThreshold:
		return outgoing{long: m, size: len(frame)}, nil
	}
	return outgoing{frame: frame, size: len(frame)}, nil
}
