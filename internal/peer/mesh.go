package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
)

// Mesh maintains one link to every other entry process. Its methods are safe for
// concurrent use.
type Mesh struct {
	cfg     Config
	handler Handler
	app     *fiber.App
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	closed   bool
	peers    map[string]*remotePeer
	retired  map[string]*link // last links of removed peers, until they are done
	listener net.Listener
	group    conc.WaitGroup // dialers and accepted connections

	interval  atomic.Int64 // time between heartbeats, in nanoseconds
	downAfter atomic.Int64 // see Config.DownAfter, in nanoseconds

	summaryMu      sync.Mutex
	summary        *message.Summary
	summaryVersion uint64
}

// New returns a mesh without peers. It does not call handler before SetPeers.
func New(cfg Config, handler Handler) *Mesh {
	m := &Mesh{
		cfg:     cfg.withDefaults(),
		handler: handler,
		peers:   map[string]*remotePeer{},
		retired: map[string]*link{},
	}
	m.SetTiming(m.cfg.HeartbeatInterval, m.cfg.DownAfter)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.app = newApp(m)
	return m
}

// SetTiming replaces Config.HeartbeatInterval and Config.DownAfter, also for
// links that are up. Both values must be positive.
func (m *Mesh) SetTiming(interval, downAfter time.Duration) {
	m.interval.Store(int64(interval))
	m.downAfter.Store(int64(downAfter))
}

// Serve accepts connections on listener until Close, and then returns nil. It
// closes listener.
func (m *Mesh) Serve(listener net.Listener) error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return listener.Close()
	}
	m.listener = listener
	m.mu.Unlock()
	err := m.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	if m.ctx.Err() != nil {
		return nil
	}
	return err
}

// SetPeers replaces the list of peers. The map holds the address (host:port) of the
// listener of each peer by name; the name of this process is ignored. The link to
// a removed peer is closed and reported down. A peer whose address has changed is
// dialed again.
func (m *Mesh) SetPeers(peers map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	maps.DeleteFunc(m.retired, func(_ string, l *link) bool { return l.isDone() })
	for name, p := range m.peers {
		if _, keep := peers[name]; !keep {
			m.removeLocked(name, p)
		}
	}
	for name, address := range peers {
		switch p, ok := m.peers[name]; {
		case name == m.cfg.Self.Name:
		case ok:
			p.setAddress(address)
		default:
			m.addLocked(name, address)
		}
	}
}

func (m *Mesh) addLocked(name, address string) {
	p := newRemotePeer(m, name, address, m.retired[name])
	delete(m.retired, name)
	m.peers[name] = p
	if m.cfg.Self.Name < name {
		m.spawnLocked(p.dialLoop)
	}
}

// spawnLocked runs f in a goroutine that Close waits for. A panic, for example in
// the handler, crashes the process at once: conc would hold it back until Close,
// and the process would continue without the link.
func (m *Mesh) spawnLocked(f func()) {
	m.group.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				go panic(p)
			}
		}()
		f()
	})
}

func (m *Mesh) removeLocked(name string, p *remotePeer) {
	delete(m.peers, name)
	if last := p.remove(errRemoved); last != nil {
		m.retired[name] = last
	}
}

// Send queues a message for one incarnation of a peer and does not block. If
// urgent is set, the message uses the urgent connection; messages above
// ChunkThreshold always use the bulk connection. The caller must not modify msg
// afterwards. The error is a *fault.Error of kind Unavailable if the link to that
// incarnation is not up or its queue is full, which also closes the link, and of
// kind Invalid if the message is longer than MaxMessageBytes. A message queued
// without an error is delivered unless PeerDown follows.
func (m *Mesh) Send(to api.EntryRef, msg message.Message, urgent bool) error {
	m.mu.Lock()
	p := m.peers[to.Name]
	m.mu.Unlock()
	if p == nil {
		return notConnectedError(to)
	}
	l := p.link()
	if l == nil || l.ref != to {
		return notConnectedError(to)
	}
	return l.send(msg, urgent)
}

// SetSummary sets the summary for the next heartbeat of every link. A link sends
// each summary once. The error is a *fault.Error, of kind Invalid if the summary
// does not fit into a heartbeat.
func (m *Mesh) SetSummary(summary message.Summary) error {
	frame, err := encodeMessage(summary)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "summary cannot be encoded", "report this as a defect")
	}
	if len(frame) > maxSummaryBytes {
		return fault.New(fault.Invalid, fmt.Sprintf("summary has %d bytes", len(frame)),
			fmt.Sprintf("use fewer classes and workspaces, the limit is %d bytes", maxSummaryBytes))
	}
	m.summaryMu.Lock()
	defer m.summaryMu.Unlock()
	if sameSummary(m.summary, &summary) {
		return nil
	}
	m.summary = &summary
	m.summaryVersion++
	return nil
}

// maxSummaryBytes limits an encoded summary, so that a heartbeat with its other
// fields fits into a frame.
const maxSummaryBytes = ChunkThreshold - 64

// sameSummary reports whether two summaries differ at most in their sequence
// number, which may grow without any other change.
func sameSummary(old, new *message.Summary) bool {
	if old == nil {
		return false
	}
	return old.Stopping == new.Stopping && old.Roll == new.Roll && old.Held == new.Held &&
		old.Capacity == new.Capacity && old.Free == new.Free && old.Largest == new.Largest &&
		maps.Equal(old.FreeByClass, new.FreeByClass)
}

func (m *Mesh) currentSummary() (uint64, *message.Summary) {
	m.summaryMu.Lock()
	defer m.summaryMu.Unlock()
	return m.summaryVersion, m.summary
}

// Close ends all links. It returns when the last PeerDown has returned and all
// goroutines of the mesh have ended. A Handler must not call it.
func (m *Mesh) Close() error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil
	}
	m.closed = true
	m.cancel()
	for _, p := range m.peers {
		p.remove(errClosed)
	}
	listener := m.listener
	m.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	err := m.app.ShutdownWithTimeout(handshakeTimeout)
	m.group.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil // the listener was closed above
	}
	return err
}

// Stats holds the traffic with one peer since it was added to the list.
type Stats struct {
	Name        string
	Incarnation uint64 // 0 if the link is not up
	// Bytes include frames of all types but no WebSocket headers. Messages do not
	// include heartbeats.
	BytesSent, BytesReceived       uint64
	MessagesSent, MessagesReceived uint64
	// QueuedMessages and QueuedBytes are the current content of the send queue.
	QueuedMessages, QueuedBytes int
}

// Stats returns the statistics of all listed peers, sorted by name.
func (m *Mesh) Stats() []Stats {
	m.mu.Lock()
	peers := slices.SortedFunc(maps.Values(m.peers), func(a, b *remotePeer) int {
		return strings.Compare(a.name, b.name)
	})
	m.mu.Unlock()
	stats := make([]Stats, 0, len(peers))
	for _, p := range peers {
		stats = append(stats, p.stats())
	}
	return stats
}
