package peer

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// Reasons for ending a link.
var (
	errClosed         = errors.New("the mesh was closed")
	errRemoved        = errors.New("the peer was removed from the list")
	errAddressChanged = errors.New("the address of the peer changed")
	errReplaced       = errors.New("the peer opened a new link")
	errQueueFull      = errors.New("the send queue is full")
	errNoHeartbeat    = errors.New("no heartbeat arrived in time")
	errNoEcho         = errors.New("the peer echoed no heartbeat in time")
	errBulkStall      = errors.New("the bulk connection makes no progress")
	errGoroutineEnded = errors.New("a goroutine of the link ended")
)

// link is one pair of connections to one incarnation of a peer.
type link struct {
	mesh   *Mesh
	ref    api.EntryRef
	domain string
	id     uint64
	urgent *conn
	bulk   *conn
	queue  *sendQueue
	// previous is the earlier link to the same peer. run waits for its PeerDown.
	previous *link

	failOnce sync.Once
	cause    error
	failed   chan struct{} // closed by fail
	done     chan struct{} // closed after PeerDown

	handlerMu  sync.Mutex // serializes the handler calls of both readers
	heartbeats heartbeatState
}

func newLink(m *Mesh, h hello) *link {
	return &link{
		mesh:   m,
		ref:    api.EntryRef{Name: h.Entry, Incarnation: h.Incarnation},
		domain: h.Domain,
		id:     h.Link,
		queue:  newSendQueue(m.cfg.QueueBytes, m.cfg.QueueMessages),
		failed: make(chan struct{}),
		done:   make(chan struct{}),
	}
}

// fail ends the link. It never blocks and may be called from any goroutine.
func (l *link) fail(cause error) {
	l.failOnce.Do(func() {
		l.cause = cause
		close(l.failed)
		if l.urgent != nil {
			l.urgent.close()
		}
		if l.bulk != nil {
			l.bulk.close()
		}
	})
}

// isDown reports whether the link has failed.
func (l *link) isDown() bool {
	select {
	case <-l.failed:
		return true
	default:
		return false
	}
}

// run serves the link until it ends. Both connections are set.
func (l *link) run() {
	defer close(l.done)
	if l.previous != nil {
		<-l.previous.done
		l.previous = nil
	}
	if l.isDown() {
		return
	}
	log := l.mesh.cfg.Logger.With(zap.String("peer", l.ref.String()))
	log.Info("link up", zap.String("domain", l.domain))
	l.mesh.handler.PeerUp(l.ref, l.domain)
	l.heartbeats.start(time.Now())
	l.serve()
	log.Info("link down", zap.Error(l.cause))
	l.mesh.handler.PeerDown(l.ref, l.cause)
}

// serve runs the goroutines of the link until all have returned. The first one to
// return ends the others. Wait propagates a panic in any of them.
func (l *link) serve() {
	var group conc.WaitGroup
	for _, f := range []func(){l.readUrgent, l.readBulk, l.writeUrgent, l.writeBulk, l.monitor} {
		group.Go(func() {
			defer l.fail(errGoroutineEnded)
			f()
		})
	}
	group.Wait()
}

// send queues a message. A full queue fails the link.
func (l *link) send(m message.Message, urgent bool) error {
	o, err := prepare(m)
	if err != nil {
		return err
	}
	if l.isDown() {
		return notConnectedError(l.ref)
	}
	if !l.queue.add(o, urgent) {
		l.fail(errQueueFull)
		return fault.Wrap(fault.Unavailable, errQueueFull, "link to "+l.ref.String()+" was closed", "wait until it is up again")
	}
	return nil
}

func (l *link) writeUrgent() {
	for {
		frame, isMessage, err := l.nextUrgent()
		if err != nil {
			l.fail(err)
			return
		}
		if frame == nil {
			if !l.await(l.queue.wakeUrgent) {
				return
			}
			continue
		}
		if !l.write(l.urgent, frame, isMessage) {
			return
		}
	}
}

// nextUrgent returns the next frame for the urgent connection, heartbeats first,
// or nil if there is none. isMessage is false for a heartbeat.
func (l *link) nextUrgent() (frame []byte, isMessage bool, err error) {
	if h := l.queue.takeHeartbeat(); h != nil {
		frame, err = encodeFrame(frameHeartbeat, h)
		return frame, false, err
	}
	o, _ := l.queue.pop(&l.queue.urgent)
	return o.frame, true, nil
}

func (l *link) writeBulk() {
	sender := bulkSender{queue: l.queue}
	for {
		frame, whole, err := sender.next()
		if err != nil {
			l.fail(err)
			return
		}
		if frame == nil {
			if !l.await(l.queue.wakeBulk) {
				return
			}
			continue
		}
		if !l.write(l.bulk, frame, whole) {
			return
		}
	}
}

// await waits for wake. It returns false if the link fails first.
func (l *link) await(wake <-chan struct{}) bool {
	select {
	case <-wake:
		return true
	case <-l.failed:
		return false
	}
}

// write writes a frame; whole says that it completes a message. It returns false
// if the link has failed.
func (l *link) write(c *conn, frame []byte, whole bool) bool {
	if whole {
		// Counted before the write, so that no peer has received a message that does
		// not count as sent yet.
		c.counters.messagesSent.Add(1)
	}
	if err := c.write(frame); err != nil {
		l.fail(fmt.Errorf("write: %w", err))
		return false
	}
	return true
}

func (l *link) readUrgent() {
	l.readAll(l.urgent, func(frame []byte) error {
		if frameType(frame[0]) == frameHeartbeat {
			return l.handleHeartbeat(frame[1:])
		}
		return l.handleMessage(l.urgent, frame)
	})
}

func (l *link) readBulk() {
	var parts reassembler
	l.readAll(l.bulk, func(frame []byte) error {
		if frameType(frame[0]) != frameChunk {
			return l.handleMessage(l.bulk, frame)
		}
		var c chunk
		if err := decodeBody(frame[1:], &c); err != nil {
			return err
		}
		whole, err := parts.add(c)
		if err != nil || whole == nil {
			return err
		}
		return l.handleMessage(l.bulk, whole)
	})
}

// readAll passes every frame of c to handle until the first error, which fails
// the link.
func (l *link) readAll(c *conn, handle func(frame []byte) error) {
	for {
		err := c.read(func(frame []byte) error {
			if _, _, err := splitFrame(frame); err != nil {
				return err
			}
			return handle(frame)
		})
		if err != nil {
			l.fail(fmt.Errorf("read: %w", err))
			return
		}
	}
}

// handleMessage decodes a complete message and delivers it.
func (l *link) handleMessage(c *conn, frame []byte) error {
	m, err := decodeMessage(frame)
	if err != nil {
		return err
	}
	c.counters.messagesReceived.Add(1)
	l.deliver(m)
	return nil
}

// deliver passes a message to the handler, one at a time.
func (l *link) deliver(m message.Message) {
	l.handlerMu.Lock()
	defer l.handlerMu.Unlock()
	l.mesh.handler.PeerMessage(l.ref, m)
}
