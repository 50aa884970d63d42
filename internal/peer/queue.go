package peer

import (
	"sync"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// outgoing is a queued message: a short one as its frame, a long one as the
// message itself, which the bulk writer encodes, so that Send stays fast.
type outgoing struct {
	frame []byte
	long  message.Message
	size  int // bytes charged to the queue
}

// fifo is a first-in, first-out list.
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

// compactAfter is the number of popped items after which a fifo that never
// runs empty moves its items to the front.
const compactAfter = 1024

// sendQueue holds what one link still has to send. It is bounded in bytes and
// in messages over both connections together.
type sendQueue struct {
	maxBytes, maxCount int

	mu        sync.Mutex
	bytes     int
	count     int
	heartbeat *heartbeat // goes first on the urgent connection
	urgent    fifo
	short     fifo // short messages on the bulk connection
	medium    fifo // chunked messages up to mediumBytes
	large     fifo

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

// setHeartbeat queues a heartbeat. It replaces one that still waits, but keeps
// that one's summary, because a summary is sent only once.
func (q *sendQueue) setHeartbeat(h heartbeat) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.heartbeat != nil && h.Summary == nil {
		h.Summary = q.heartbeat.Summary
	}
	q.heartbeat = &h
	signal(q.wakeUrgent)
}

// takeHeartbeat returns the waiting heartbeat, or nil.
func (q *sendQueue) takeHeartbeat() *heartbeat {
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.heartbeat
	q.heartbeat = nil
	return h
}

// nextOf pops from one of the lists of the bulk connection. Long messages stay
// charged until release.
func (q *sendQueue) nextOf(f *fifo) (outgoing, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	o, ok := f.pop()
	if ok && o.long == nil {
		q.releaseLocked(o)
	}
	return o, ok
}

// release ends the charge of a message that has been sent.
func (q *sendQueue) release(o outgoing) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseLocked(o)
}

func (q *sendQueue) releaseLocked(o outgoing) {
	q.count--
	q.bytes -= o.size
}

// load returns the queued messages and bytes.
func (q *sendQueue) load() (count, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count, q.bytes
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// prepare checks the size of m and encodes it if it is short.
func prepare(m message.Message) (outgoing, error) {
	if size := payloadBytes(m); size > ChunkThreshold {
		if size > MaxMessageBytes {
			return outgoing{}, tooLong(size)
		}
		return outgoing{long: m, size: size}, nil
	}
	frame, err := encodeMessage(m)
	if err != nil {
		return outgoing{}, fault.Wrap(fault.Internal, err, "message cannot be encoded", "report this as a defect")
	}
	switch {
	case len(frame) > MaxMessageBytes:
		return outgoing{}, tooLong(len(frame))
	case len(frame) > ChunkThreshold:
		return outgoing{long: m, size: len(frame)}, nil
	}
	return outgoing{frame: frame, size: len(frame)}, nil
}
