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

// Reasons for which this process ends a link.
var (
	errClosed    = errors.New("the mesh was closed")
	errRemoved   = errors.New("the peer was removed from the list")
	errMoved     = errors.New("the peer has a new address")
	errReplaced  = errors.New("the peer opened a new link")
	errQueueFull = errors.New("the send queue is full")
	errSilent    = errors.New("no heartbeat arrived in time")
	errUnheard   = errors.New("no own heartbeat was echoed in time")
	errBulkStall = errors.New("the bulk connection makes no progress")
	errEnded     = errors.New("a goroutine of the link ended")
)

// link is one pair of connections to one incarnation of a peer.
type link struct {
	mesh   *Mesh
	ref    api.EntryRef
	domain string
	id     uint64
	urgent *wire
	bulk   *wire
	queue  *sendQueue
	// before is the previous link of the same peer; its PeerDown comes first.
	before *link

	failing sync.Once
	cause   error
	failed  chan struct{} // closed by fail
	done    chan struct{} // closed after PeerDown

	deliver sync.Mutex // orders the handler calls of both readers
	pulse   pulse
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
	l.failing.Do(func() {
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
	if l.before != nil {
		<-l.before.done
		l.before = nil
	}
	if l.isDown() {
		return
	}
	log := l.mesh.cfg.Logger.With(zap.String("peer", l.ref.String()))
	log.Info("link up", zap.String("domain", l.domain))
	l.mesh.handler.PeerUp(l.ref, l.domain)
	l.pulse.start(time.Now())
	l.serve()
	log.Info("link down", zap.Error(l.cause))
	l.mesh.handler.PeerDown(l.ref, l.cause)
}

// serve runs the goroutines of the link until all have ended. Whichever ends
// first ends the others; a panic in one is raised again by Wait.
func (l *link) serve() {
	var group conc.WaitGroup
	for _, f := range []func(){l.readUrgent, l.readBulk, l.writeUrgent, l.writeBulk, l.monitor} {
		group.Go(func() {
			defer l.fail(errEnded)
			f()
		})
	}
	group.Wait()
}

func (l *link) send(m message.Message, urgent bool) error {
	o, err := prepare(m)
	if err != nil {
		return err
	}
	if l.isDown() {
		return notUp(l.ref)
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

// nextUrgent returns the next frame of the urgent connection, heartbeats first,
// or nil if there is none.
func (l *link) nextUrgent() (frame []byte, isMessage bool, err error) {
	if h := l.queue.takeHeartbeat(); h != nil {
		frame, err = encodeFrame(frameHeartbeat, h)
		return frame, false, err
	}
	o, _ := l.queue.nextOf(&l.queue.urgent)
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

func (l *link) await(wake <-chan struct{}) bool {
	select {
	case <-wake:
		return true
	case <-l.failed:
		return false
	}
}

func (l *link) write(w *wire, frame []byte, whole bool) bool {
	if err := w.write(frame); err != nil {
		l.fail(fmt.Errorf("write: %w", err))
		return false
	}
	if whole {
		w.count.messagesSent.Add(1)
	}
	return true
}

func (l *link) readUrgent() {
	l.readAll(l.urgent, func(frame []byte) error {
		if frameType(frame[0]) == frameHeartbeat {
			return l.takeHeartbeat(frame[1:])
		}
		return l.takeMessage(l.urgent, frame)
	})
}

func (l *link) readBulk() {
	var parts reassembler
	l.readAll(l.bulk, func(frame []byte) error {
		if frameType(frame[0]) != frameChunk {
			return l.takeMessage(l.bulk, frame)
		}
		var c chunk
		if err := decodeBody(frame[1:], &c); err != nil {
			return err
		}
		whole, err := parts.add(c)
		if err != nil || whole == nil {
			return err
		}
		return l.takeMessage(l.bulk, whole)
	})
}

func (l *link) readAll(w *wire, handle func(frame []byte) error) {
	for {
		err := w.read(func(frame []byte) error {
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

func (l *link) takeMessage(w *wire, frame []byte) error {
	m, err := decodeMessage(frame)
	if err != nil {
		return err
	}
	w.count.messagesReceived.Add(1)
	l.hand(m)
	return nil
}

// hand passes a message to the handler, one at a time.
func (l *link) hand(m message.Message) {
	l.deliver.Lock()
	defer l.deliver.Unlock()
	l.mesh.handler.PeerMessage(l.ref, m)
}
