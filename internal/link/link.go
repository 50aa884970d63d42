package link

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/guard"
)

// Kind identifies the type of a request. The callers of the package define the values.
type Kind uint8

// Hello identifies a process to the peer during the handshake.
type Hello struct {
	Name   string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint,omitempty"`
	// Topic is the purpose of the link. The accepting process closes links with a topic
	// that it does not serve.
	Topic string `cbor:"3,keyasint,omitempty"`
	// Incarnation is unique to each start of the process.
	Incarnation string `cbor:"4,keyasint,omitempty"`
}

// Config configures one side of a link.
type Config struct {
	Self Hello
	// HeartbeatInterval is the interval at which heartbeats are sent.
	HeartbeatInterval time.Duration
	// DownAfter is how long a link stays up without receiving a frame. It is also the
	// timeout of each write.
	DownAfter time.Duration
	// Handle processes a request. It runs on the reader goroutine and must not block;
	// Request.Reply may be called later and from any goroutine.
	Handle func(l *Link, r *Request)
	// Status returns the status that every heartbeat carries. If it is nil, heartbeats
	// carry the zero value.
	Status func() Status
	// DialTimeout limits the dialing of a link; 0 means HandshakeTimeout.
	DialTimeout time.Duration
	Logger      *zap.Logger
}

// Status is what a process reports of itself in every heartbeat.
type Status struct {
	// Renewals is how often the process has renewed its claim; 0 if it holds nothing.
	Renewals uint64
	// CPUMilli is the CPU share of the process in thousandths of a core, if it could take
	// over from the peer; otherwise 0.
	CPUMilli uint64
}

// Limits of a link.
const (
	maxMessageBytes = 1 << 20
	sendQueueLength = 4096
	// maxBatchBytes is the message size at which no further frame is added.
	maxBatchBytes = 32 << 10
	bufferBytes   = 4 << 10
	// HandshakeTimeout limits each message of the handshake.
	HandshakeTimeout = time.Second
)

// Frame types.
const (
	frameHello = iota
	frameHeartbeat
	frameRequest
	frameReply
)

// frame is a hello, heartbeat, request or reply. A WebSocket message carries one or
// more concatenated frames, because each message costs a system call on both sides.
type frame struct {
	Type  uint8           `cbor:"1,keyasint,omitempty"`
	ID    uint64          `cbor:"2,keyasint,omitempty"`
	Kind  Kind            `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Fault *fault.Error    `cbor:"5,keyasint,omitempty"`
	// Renewals and CPUMilli are the sender's Status; they are set in heartbeats only.
	Renewals uint64 `cbor:"6,keyasint,omitempty"`
	CPUMilli uint64 `cbor:"7,keyasint,omitempty"`
}

// Causes of the end of a link.
var (
	errIdleTimeout = errors.New("no frame received within the idle timeout")
	errQueueFull   = errors.New("send queue is full")
	errClosed      = errors.New("link was closed")
)

// Link is a connection to a peer. It is safe for concurrent use.
type Link struct {
	cfg        Config
	ws         *websocket.Conn
	peer       Hello
	queue      chan []byte
	done       chan struct{}
	readerDone chan struct{} // closed when the reader has stopped
	once       sync.Once
	cause      error
	nextID     atomic.Uint64

	mu       sync.Mutex
	waiting  map[uint64]chan frame
	status   Status // from the peer's newest heartbeat
	statusAt time.Time
}

func newLink(cfg Config, ws *websocket.Conn) *Link {
	ws.SetReadLimit(maxMessageBytes)
	return &Link{
		cfg:        cfg,
		ws:         ws,
		queue:      make(chan []byte, sendQueueLength),
		done:       make(chan struct{}),
		readerDone: make(chan struct{}),
		waiting:    map[uint64]chan frame{},

		statusAt: time.Now(),
	}
}

// Peer returns the hello of the peer.
func (l *Link) Peer() Hello { return l.peer }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Finished returns a channel that is closed when the link has ended and its reader has
// stopped, so that no further request is passed to Config.Handle.
func (l *Link) Finished() <-chan struct{} { return l.readerDone }

// Close ends the link.
func (l *Link) Close() { l.fail(errClosed) }

// fail ends the link with the given cause, unless it has ended already.
func (l *Link) fail(cause error) {
	l.once.Do(func() {
		l.cause = cause
		close(l.done)
		_ = l.ws.NetConn().Close() // the link has ended even if this fails
	})
}

// run serves the link until it ends and returns the cause.
func (l *Link) run() error {
	var group conc.WaitGroup
	group.Go(l.write)
	l.read()
	close(l.readerDone)
	group.Wait()
	return l.cause
}

// write sends queued frames and heartbeats until the link ends.
func (l *Link) write() {
	timer := time.NewTicker(l.cfg.HeartbeatInterval)
	defer timer.Stop()
	lastHeartbeat := time.Now()
	for {
		var data []byte
		select {
		case data = <-l.queue:
			data = l.batch(data)
		case <-timer.C:
			if time.Since(lastHeartbeat) < l.cfg.HeartbeatInterval/2 {
				continue // delayed ticks can arrive in quick succession
			}
			lastHeartbeat = time.Now()
			data = l.heartbeat()
		case <-l.done:
			return
		}
		_ = l.ws.SetWriteDeadline(time.Now().Add(l.cfg.DownAfter))
		if err := l.ws.WriteMessage(websocket.BinaryMessage, data); err != nil {
			l.fail(err)
			return
		}
	}
}

// batch appends queued frames to data until it reaches maxBatchBytes.
func (l *Link) batch(data []byte) []byte {
	for len(data) < maxBatchBytes {
		select {
		case next := <-l.queue:
			data = append(data, next...)
		default:
			return data
		}
	}
	return data
}

func (l *Link) heartbeat() []byte {
	f := frame{Type: frameHeartbeat}
	if l.cfg.Status != nil {
		s := l.cfg.Status()
		f.Renewals, f.CPUMilli = s.Renewals, s.CPUMilli
	}
	return mustEncode(f)
}

// PeerStatus returns the status from the peer's newest heartbeat and the time at which
// it arrived. Before the first heartbeat, that is the zero value and the time at which
// the link was created.
func (l *Link) PeerStatus() (Status, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status, l.statusAt
}

// recordHeartbeat records the status in a heartbeat of the peer.
func (l *Link) recordHeartbeat(f frame) {
	l.mu.Lock()
	l.status, l.statusAt = Status{f.Renewals, f.CPUMilli}, time.Now()
	l.mu.Unlock()
}

// read handles received frames until the link ends. It closes the link if no message
// arrives for Config.DownAfter.
func (l *Link) read() {
	for {
		data, err := l.readMessage(l.cfg.DownAfter)
		for err == nil && len(data) > 0 {
			var f frame
			if f, data, err = decodeFrame(data); err == nil {
				l.handleFrame(f)
			}
		}
		if err != nil {
			l.fail(err)
			return
		}
	}
}

// handleFrame processes a frame from the peer.
func (l *Link) handleFrame(f frame) {
	switch f.Type {
	case frameRequest:
		l.handleRequest(&Request{link: l, id: f.ID, Kind: f.Kind, body: f.Body})
	case frameReply:
		l.deliverReply(f)
	case frameHeartbeat:
		l.recordHeartbeat(f)
	}
}

// handleRequest passes a request to Config.Handle. If that panics, the peer gets an
// Internal error and the link goes on.
func (l *Link) handleRequest(r *Request) {
	if err := guard.Run(l.cfg.Logger, "the handler of a request of "+l.peer.Name, func() { l.cfg.Handle(l, r) }); err != nil {
		r.Reply(nil, err)
	}
}

func (l *Link) readMessage(wait time.Duration) ([]byte, error) {
	_ = l.ws.SetReadDeadline(time.Now().Add(wait))
	_, data, err := l.ws.ReadMessage()
	if err != nil {
		var timeout interface{ Timeout() bool }
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil, errIdleTimeout
		}
		return nil, err
	}
	return data, nil
}

// decodeFrame decodes the first frame of a message and returns the remaining bytes.
func decodeFrame(data []byte) (f frame, rest []byte, err error) {
	if rest, err = cbor.UnmarshalFirst(data, &f); err != nil {
		return f, nil, fmt.Errorf("malformed frame: %w", err)
	}
	return f, rest, nil
}

// send queues a frame. It closes the link if the queue is full.
func (l *Link) send(f frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the message cannot be encoded as CBOR", "report this as a defect")
	}
	select {
	case <-l.done:
		return l.errDown()
	default:
	}
	select {
	case l.queue <- data:
		return nil
	default:
		l.fail(errQueueFull)
		return l.errDown()
	}
}

func (l *Link) errDown() error {
	return fault.Wrap(fault.Unavailable, l.cause, "the link to "+l.peer.Name+" is down", "retry when the link is up")
}

// Call sends a request and decodes the reply into out, unless out is nil. Errors are
// *fault.Error: the peer's error, Unavailable if the link ended or ctx was done first,
// or Internal if a message cannot be encoded or decoded. After Unavailable or an
// undecodable reply, the peer may have carried out the request.
func (l *Link) Call(ctx context.Context, kind Kind, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the request cannot be encoded as CBOR", "report this as a defect")
	}
	id := l.nextID.Add(1)
	reply := make(chan frame, 1)
	l.mu.Lock()
	l.waiting[id] = reply
	l.mu.Unlock()
	defer l.unregister(id)
	if err := l.send(frame{Type: frameRequest, ID: id, Kind: kind, Body: body}); err != nil {
		return err
	}
	select {
	case f := <-reply:
		return decodeReply(f, out)
	case <-l.done:
		return l.errDown()
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), l.peer.Name+" did not reply in time", "retry the request")
	}
}

func decodeReply(f frame, out any) error {
	if f.Fault != nil {
		return f.Fault
	}
	if out == nil {
		return nil
	}
	if err := cbor.Unmarshal(f.Body, out); err != nil {
		return fault.Wrap(fault.Internal, err, "malformed reply", "run the same version on all entry VMs")
	}
	return nil
}

func (l *Link) unregister(id uint64) {
	l.mu.Lock()
	delete(l.waiting, id)
	l.mu.Unlock()
}

func (l *Link) deliverReply(f frame) {
	l.mu.Lock()
	reply := l.waiting[f.ID]
	delete(l.waiting, f.ID) // a second reply to the request would block the reader
	l.mu.Unlock()
	if reply != nil {
		reply <- f
	}
}

// Request is a request from the peer.
type Request struct {
	link *Link
	id   uint64
	Kind Kind
	body cbor.RawMessage
}

// Decode decodes the body of the request. Errors are *fault.Error with kind Invalid.
func (r *Request) Decode(into any) error {
	if err := cbor.Unmarshal(r.body, into); err != nil {
		return fault.Wrap(fault.Invalid, err, "malformed request", "run the same version on all entry VMs")
	}
	return nil
}

// Reply sends out as the reply to the request, or err if it is not nil. If the link has
// ended, the reply is dropped, because the peer's Call fails then.
func (r *Request) Reply(out any, err error) {
	f := frame{Type: frameReply, ID: r.id}
	if err != nil {
		f.Fault = fault.As(err)
	} else if f.Body, err = cbor.Marshal(out); err != nil {
		f.Fault = fault.Wrap(fault.Internal, err, "the reply cannot be encoded as CBOR", "report this as a defect")
	}
	if err := r.link.send(f); err != nil {
		r.link.cfg.Logger.Debug("reply_dropped", zap.String("peer", r.link.peer.Name), zap.Error(err))
	}
}

func mustEncode(f frame) []byte {
	data, err := cbor.Marshal(f)
	if err != nil {
		panic(err) // frames without a caller's value can always be encoded
	}
	return data
}

// handshake exchanges hellos with the peer.
func (l *Link) handshake() error {
	body, err := cbor.Marshal(l.cfg.Self)
	if err != nil {
		return err
	}
	_ = l.ws.SetWriteDeadline(time.Now().Add(HandshakeTimeout))
	if err := l.ws.WriteMessage(websocket.BinaryMessage, mustEncode(frame{Type: frameHello, Body: body})); err != nil {
		return err
	}
	data, err := l.readMessage(HandshakeTimeout)
	if err != nil {
		return err
	}
	f, _, err := decodeFrame(data)
	if err != nil {
		return err
	}
	if f.Type != frameHello {
		return fmt.Errorf("expected a hello, received frame type %d", f.Type)
	}
	return cbor.Unmarshal(f.Body, &l.peer)
}

// Dial opens a link to the process at address (host:port) and serves it until the link
// ends. It calls up after the handshake. It returns the cause of the end, or the error
// that prevented the link from being established.
func Dial(ctx context.Context, address string, cfg Config, up func(*Link)) error {
	dialer := &websocket.Dialer{
		HandshakeTimeout: cmp.Or(cfg.DialTimeout, HandshakeTimeout),
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
	}
	ws, response, err := dialer.DialContext(ctx, "ws://"+address+linkPath, nil)
	if err != nil {
		return err
	}
	_ = response.Body.Close() // an upgrade response has no body
	l := newLink(cfg, ws)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := l.handshake(); err != nil {
		l.fail(err)
		return err
	}
	up(l)
	return l.run()
}
