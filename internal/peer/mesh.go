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

// Mesh keeps one link to every other entry process. Its methods may be called
// from any goroutine.
type Mesh struct {
	cfg     Config
	handler Handler
	app     *fiber.App
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	closed   bool
	slots    map[string]*slot
	retired  map[string]*link // last links of removed peers until they are done
	listener net.Listener
	group    conc.WaitGroup // dialers and accepted connections

	interval  atomic.Int64 // pause between heartbeats, in nanoseconds
	downAfter atomic.Int64 // silence after which a peer is down, in nanoseconds

	summaryMu      sync.Mutex
	summary        *message.Summary
	summaryVersion uint64
}

// New returns a mesh without peers. The handler gets no call before SetPeers.
func New(cfg Config, handler Handler) *Mesh {
	m := &Mesh{
		cfg:     cfg.withDefaults(),
		handler: handler,
		slots:   map[string]*slot{},
		retired: map[string]*link{},
	}
	m.SetTiming(m.cfg.HeartbeatInterval, m.cfg.DownAfter)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.app = newApp(m)
	return m
}

// SetTiming changes the pause between two heartbeats and the silence after which
// a peer is down, also for links that are up. Both must be positive.
func (m *Mesh) SetTiming(interval, downAfter time.Duration) {
	m.interval.Store(int64(interval))
	m.downAfter.Store(int64(downAfter))
}

// Serve accepts links on the listener until Close, and then returns nil. It
// closes the listener.
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

// SetPeers replaces the list of peers by name with the addresses (host:port) of
// their listeners. A removed peer is closed and reported down; a peer with a
// new address is connected again. The own name is ignored.
func (m *Mesh) SetPeers(peers map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	maps.DeleteFunc(m.retired, func(_ string, l *link) bool { return l.isDone() })
	for name, s := range m.slots {
		if _, keep := peers[name]; !keep {
			m.removeLocked(name, s)
		}
	}
	for name, address := range peers {
		switch s, ok := m.slots[name]; {
		case name == m.cfg.Self.Name:
		case ok:
			s.setAddress(address)
		default:
			m.addLocked(name, address)
		}
	}
}

func (m *Mesh) addLocked(name, address string) {
	s := newSlot(m, name, address, m.retired[name])
	delete(m.retired, name)
	m.slots[name] = s
	if m.cfg.Self.Name < name {
		m.spawnLocked(s.dialLoop)
	}
}

// spawnLocked runs f on a goroutine of the mesh. A panic, which can come from the
// handler, crashes the process: conc would keep it until Close, and meanwhile
// the process would work without the link.
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

func (m *Mesh) removeLocked(name string, s *slot) {
	delete(m.slots, name)
	if last := s.remove(errRemoved); last != nil {
		m.retired[name] = last
	}
}

// Send queues a message for an incarnation of a peer and does not block.
// Urgent selects the urgent connection; messages above ChunkThreshold always
// take the bulk connection. The message must not be changed afterwards. The
// error is a *fault.Error: Unavailable if that incarnation is not up or its
// queue was full, which closes the link; Invalid if the message is longer than
// MaxMessageBytes. Without an error the message arrives unless PeerDown
// follows.
func (m *Mesh) Send(to api.EntryRef, msg message.Message, urgent bool) error {
	m.mu.Lock()
	s := m.slots[to.Name]
	m.mu.Unlock()
	if s == nil {
		return notUp(to)
	}
	l := s.link()
	if l == nil || l.ref != to {
		return notUp(to)
	}
	return l.send(msg, urgent)
}

// SetSummary sets the summary that the next heartbeats carry. A link sends it
// only if it has changed since its last heartbeat with one. The error is a
// *fault.Error of kind Invalid if the summary does not fit into a heartbeat.
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

// maxSummaryBytes leaves room for the other fields of a heartbeat.
const maxSummaryBytes = ChunkThreshold - 64

// sameSummary compares all but the sequence number, which the owner may count
// up although nothing else has changed.
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

// Close ends all links and returns when the last PeerDown has been delivered
// and all goroutines of the mesh have ended. It must not be called from a
// handler.
func (m *Mesh) Close() error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil
	}
	m.closed = true
	m.cancel()
	for _, s := range m.slots {
		s.remove(errClosed)
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

// Stats counts the traffic with one peer since it was added to the list.
type Stats struct {
	Name        string
	Incarnation uint64 // 0 if the link is not up
	// Bytes are those of frames, without the WebSocket headers. Messages do
	// not count heartbeats.
	BytesSent, BytesReceived       uint64
	MessagesSent, MessagesReceived uint64
	// QueuedMessages and QueuedBytes wait to be sent.
	QueuedMessages, QueuedBytes int
}

// Stats returns the counters of all listed peers, sorted by name.
func (m *Mesh) Stats() []Stats {
	m.mu.Lock()
	slots := slices.SortedFunc(maps.Values(m.slots), func(a, b *slot) int {
		return strings.Compare(a.name, b.name)
	})
	m.mu.Unlock()
	stats := make([]Stats, 0, len(slots))
	for _, s := range slots {
		stats = append(stats, s.stats())
	}
	return stats
}
