package peer

import (
	"context"
	"fmt"
	"sync"
)

// remotePeer is one peer in the list of SetPeers, with its current link.
type remotePeer struct {
	mesh     *Mesh
	name     string
	ctx      context.Context // ends when the peer is removed
	cancel   context.CancelFunc
	counters counters

	mu      sync.Mutex
	address string
	removed error // reason for the removal, nil while listed
	current *link
	pending *link         // accepted link that has only one connection
	paired  chan struct{} // closed when pending has both connections
}

func newRemotePeer(m *Mesh, name, address string, last *link) *remotePeer {
	p := &remotePeer{mesh: m, name: name, address: address, current: last}
	p.ctx, p.cancel = context.WithCancel(m.ctx)
	return p
}

// link returns the current link, or nil if there is none or it has failed.
func (p *remotePeer) link() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil || p.current.isDown() {
		return nil
	}
	return p.current
}

// install makes l the current link and fails the previous one.
func (p *remotePeer) install(l *link) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.installLocked(l)
}

func (p *remotePeer) installLocked(l *link) error {
	if p.removed != nil {
		return p.removed
	}
	if p.current != nil {
		p.current.fail(errReplaced)
		l.previous = p.current
	}
	p.current = l
	return nil
}

// addConn adds an accepted connection to its link. For the first connection of a
// link it returns a channel that is closed when the link has both. The second
// connection installs the link, which the caller then has to run.
func (p *remotePeer) addConn(h hello, c *conn) (l *link, paired <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed != nil {
		return nil, nil, p.removed
	}
	if l = p.pending; l == nil || l.id != h.Link || l.ref.Incarnation != h.Incarnation {
		if l != nil {
			l.fail(errReplaced)
		}
		l = newLink(p.mesh, h)
		p.pending, p.paired = l, make(chan struct{})
		l.setConn(c, h.Urgent)
		return l, p.paired, nil
	}
	if !l.setConn(c, h.Urgent) {
		return nil, nil, fmt.Errorf("the link already has a connection with urgent=%t", h.Urgent)
	}
	p.pending = nil
	close(p.paired)
	return l, nil, p.installLocked(l)
}

// abandon drops a link that is still waiting for its second connection. It
// returns false if l has both connections.
func (p *remotePeer) abandon(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == l {
		p.pending = nil
		return true
	}
	return l.urgent == nil || l.bulk == nil
}

// setConn adds a connection to a link that is not yet installed. It returns false
// if the link already has that connection.
func (l *link) setConn(c *conn, urgent bool) bool {
	field := &l.bulk
	if urgent {
		field = &l.urgent
	}
	if *field != nil {
		return false
	}
	*field = c
	return true
}

// isDone reports whether the link has ended and PeerDown has returned.
func (l *link) isDone() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// setAddress changes the address to dial. A link to the old address ends.
func (p *remotePeer) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	if p.current != nil && p.mesh.dials(p.name) {
		p.current.fail(errAddressChanged)
	}
}

func (p *remotePeer) currentAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// remove ends the links and the dialing of a peer that is no longer listed. It
// returns the last link, or nil.
func (p *remotePeer) remove(cause error) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = cause
	p.cancel()
	if p.pending != nil {
		p.pending.fail(cause)
	}
	if p.current != nil {
		p.current.fail(cause)
	}
	return p.current
}

func (p *remotePeer) stats() Stats {
	stats := Stats{
		Name:             p.name,
		BytesSent:        p.counters.bytesSent.Load(),
		BytesReceived:    p.counters.bytesReceived.Load(),
		MessagesSent:     p.counters.messagesSent.Load(),
		MessagesReceived: p.counters.messagesReceived.Load(),
	}
	if l := p.link(); l != nil {
		stats.Incarnation = l.ref.Incarnation
		stats.QueuedMessages, stats.QueuedBytes = l.queue.depth()
	}
	return stats
}
