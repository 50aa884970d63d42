package peer

import (
	"context"
	"fmt"
	"sync"
)

// slot is one listed peer. It knows the peer's present link.
type slot struct {
	mesh   *Mesh
	name   string
	ctx    context.Context // ends when the peer is removed
	cancel context.CancelFunc
	count  counters

	mu      sync.Mutex
	address string
	removed error // the reason, once removed
	current *link
	pending *link // accepted, one of its connections is missing
	paired  chan struct{}
}

func newSlot(m *Mesh, name, address string, last *link) *slot {
	s := &slot{mesh: m, name: name, address: address, current: last}
	s.ctx, s.cancel = context.WithCancel(m.ctx)
	return s
}

// link returns the present link if it has not failed.
func (s *slot) link() *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || s.current.isDown() {
		return nil
	}
	return s.current
}

// install makes l the present link and fails the previous one.
func (s *slot) install(l *link) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.installLocked(l)
}

func (s *slot) installLocked(l *link) error {
	if s.removed != nil {
		return s.removed
	}
	if s.current != nil {
		s.current.fail(errReplaced)
		l.before = s.current
	}
	s.current = l
	return nil
}

// join adds an accepted connection to its link. The second connection installs
// the link; the caller then runs it. The first one gets a channel that is
// closed when the link is complete.
func (s *slot) join(h hello, w *wire) (l *link, paired <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed != nil {
		return nil, nil, s.removed
	}
	if l = s.pending; l == nil || l.id != h.Link || l.ref.Incarnation != h.Incarnation {
		if l != nil {
			l.fail(errReplaced)
		}
		l = newLink(s.mesh, h)
		s.pending, s.paired = l, make(chan struct{})
		l.set(w, h.Urgent)
		return l, s.paired, nil
	}
	if !l.set(w, h.Urgent) {
		return nil, nil, fmt.Errorf("connection urgent=%t of the link exists", h.Urgent)
	}
	s.pending = nil
	close(s.paired)
	return l, nil, s.installLocked(l)
}

// abandon withdraws a link that was not completed. It returns false if the link
// has been completed meanwhile.
func (s *slot) abandon(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == l {
		s.pending = nil
		return true
	}
	return l.urgent == nil || l.bulk == nil
}

// set adds a connection to a link that is not yet installed.
func (l *link) set(w *wire, urgent bool) bool {
	place := &l.bulk
	if urgent {
		place = &l.urgent
	}
	if *place != nil {
		return false
	}
	*place = w
	return true
}

func (l *link) isDone() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (s *slot) setAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == address {
		return
	}
	s.address = address
	if s.current != nil && s.mesh.dials(s.name) {
		s.current.fail(errMoved)
	}
}

func (s *slot) currentAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// remove ends the peer for good and returns its last link, if any.
func (s *slot) remove(cause error) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = cause
	s.cancel()
	if s.pending != nil {
		s.pending.fail(cause)
	}
	if s.current != nil {
		s.current.fail(cause)
	}
	return s.current
}

func (s *slot) stats() Stats {
	stats := Stats{
		Name:             s.name,
		BytesSent:        s.count.bytesSent.Load(),
		BytesReceived:    s.count.bytesReceived.Load(),
		MessagesSent:     s.count.messagesSent.Load(),
		MessagesReceived: s.count.messagesReceived.Load(),
	}
	if l := s.link(); l != nil {
		stats.Incarnation = l.ref.Incarnation
		stats.QueuedMessages, stats.QueuedBytes = l.queue.load()
	}
	return stats
}
