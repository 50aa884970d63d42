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
)

// Kind tells what a request asks for. The users of the package choose the values.
type Kind uint8

// Hello introduces a process to the other side.
type Hello struct {
	Name   string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint,omitempty"`
	// Topic tells what the link is for; the server side refuses unknown ones.
	Topic string `cbor:"3,keyasint,omitempty"`
	// Incarnation is new on every start of the process.
	Incarnation string `cbor:"4,keyasint,omitempty"`
}

// Config describes one side of links.
type Config struct {
	Self Hello
	// HeartbeatInterval is the longest pause between two frames that are sent.
	HeartbeatInterval time.Duration
	// DownAfter is how long a link lives without a frame received.
	DownAfter time.Duration
	// Handle takes a request. It must not block; Request.Reply may be called
	// later and from any goroutine.
	Handle func(l *Link, r *Request)
	// Status returns a number that every heartbeat carries; nil for none.
	Status func() uint64
	// DialTimeout bounds the dialling of a link; 0 means HandshakeTimeout.
	DialTimeout time.Duration
	Logger      *zap.Logger
}

// Bounds of a link.
const (
	maxMessageBytes = 1 << 20
	sendQueueLength = 4096
	// maxBatchBytes is the size of a message from which on no frame is added.
	maxBatchBytes = 32 << 10
	bufferBytes   = 4 << 10
	// HandshakeTimeout bounds each message of the handshake.
	HandshakeTimeout = time.Second
)

// frame types.
const (
	frameHello = iota
	frameHeartbeat
	frameRequest
	frameReply
)

// frame is one request, reply or heartbeat. A WebSocket message carries one or more,
// one after the other: each message costs a system call on either side.
type frame struct {
	Type  uint8           `cbor:"1,keyasint,omitempty"`
	ID    uint64          `cbor:"2,keyasint,omitempty"`
	Kind  Kind            `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Fault *fault.Error    `cbor:"5,keyasint,omitempty"`
	// Status is the sender's status, in a heartbeat.
	Status uint64 `cbor:"6,keyasint,omitempty"`
}

// Reasons for the end of a link.
var (
	errSilent    = errors.New("nothing arrived in time")
	errQueueFull = errors.New("the send queue is full")
	errClosed    = errors.New("the link was closed")
)

// Link is one connection. It is safe for concurrent use.
type Link struct {
	cfg    Config
	ws     *websocket.Conn
	peer   Hello
	queue  chan []byte
	done   chan struct{}
	ended  chan struct{} // closed when no request is handled any more
	once   sync.Once
	cause  error
	nextID atomic.Uint64

	mu       sync.Mutex
	waiting  map[uint64]chan frame
	status   uint64 // of the peer
	statusAt time.Time
}

func newLink(cfg Config, ws *websocket.Conn) *Link {
	ws.SetReadLimit(maxMessageBytes)
	return &Link{
		cfg:     cfg,
		ws:      ws,
		queue:   make(chan []byte, sendQueueLength),
		done:    make(chan struct{}),
		ended:   make(chan struct{}),
		waiting: map[uint64]chan frame{},

		statusAt: time.Now(),
	}
}

// Peer returns the hello of the other side.
func (l *Link) Peer() Hello { return l.peer }

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Finished is closed when the link has ended and no request of it is handled any
// more.
func (l *Link) Finished() <-chan struct{} { return l.ended }

// Close ends the link.
func (l *Link) Close() { l.fail(errClosed) }

func (l *Link) fail(cause error) {
	l.once.Do(func() {
		l.cause = cause
		close(l.done)
		_ = l.ws.NetConn().Close() // the link is over either way
	})
}

// run serves the link until it ends and returns the cause.
func (l *Link) run() error {
	var group conc.WaitGroup
	group.Go(l.write)
	l.read()
	close(l.ended)
	group.Wait()
	return l.cause
}

func (l *Link) write() {
	timer := time.NewTicker(l.cfg.HeartbeatInterval)
	defer timer.Stop()
	beaten := time.Now()
	for {
		var data []byte
		select {
		case data = <-l.queue:
			data = l.batch(data)
		case <-timer.C:
			if time.Since(beaten) < l.cfg.HeartbeatInterval/2 {
				continue // ticks that were late come in a row
			}
			beaten = time.Now()
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

// batch adds the frames that wait in the queue to the first one.
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
		f.Status = l.cfg.Status()
	}
	return mustEncode(f)
}

// PeerStatus returns the status in the newest heartbeat of the other side, and
// when it arrived; without any heartbeat, when the link came up.
func (l *Link) PeerStatus() (uint64, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status, l.statusAt
}

func (l *Link) tookHeartbeat(f frame) {
	l.mu.Lock()
	l.status, l.statusAt = f.Status, time.Now()
	l.mu.Unlock()
}

func (l *Link) read() {
	for {
		data, err := l.readMessage(l.cfg.DownAfter)
		for err == nil && len(data) > 0 {
			var f frame
			if f, data, err = decodeFrame(data); err == nil {
				l.take(f)
			}
		}
		if err != nil {
			l.fail(err)
			return
		}
	}
}

// take handles a frame of the other side.
func (l *Link) take(f frame) {
	switch f.Type {
	case frameRequest:
		l.cfg.Handle(l, &Request{link: l, id: f.ID, Kind: f.Kind, body: f.Body})
	case frameReply:
		l.deliver(f)
	case frameHeartbeat:
		l.tookHeartbeat(f)
	}
}

func (l *Link) readMessage(wait time.Duration) ([]byte, error) {
	_ = l.ws.SetReadDeadline(time.Now().Add(wait))
	_, data, err := l.ws.ReadMessage()
	if err != nil {
		var timeout interface{ Timeout() bool }
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil, errSilent
		}
		return nil, err
	}
	return data, nil
}

// decodeFrame reads the first frame of a message and returns what follows it.
func decodeFrame(data []byte) (f frame, rest []byte, err error) {
	if rest, err = cbor.UnmarshalFirst(data, &f); err != nil {
		return f, nil, fmt.Errorf("malformed frame: %w", err)
	}
	return f, rest, nil
}

func (l *Link) send(f frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the message has no CBOR form", "report this as a defect")
	}
	select {
	case <-l.done:
		return l.down()
	default:
	}
	select {
	case l.queue <- data:
		return nil
	default:
		l.fail(errQueueFull)
		return l.down()
	}
}

func (l *Link) down() error {
	return fault.Wrap(fault.Unavailable, l.cause, "the link to "+l.peer.Name+" is down", "ask again when it is up")
}

// Call sends a request and decodes the reply into out unless out is nil. Errors
// are *fault.Error: that of the other side, or Unavailable if the link ended or
// ctx was done; the request may then have been carried out.
func (l *Link) Call(ctx context.Context, kind Kind, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the request has no CBOR form", "report this as a defect")
	}
	id := l.nextID.Add(1)
	reply := make(chan frame, 1)
	l.mu.Lock()
	l.waiting[id] = reply
	l.mu.Unlock()
	defer l.abandon(id)
	if err := l.send(frame{Type: frameRequest, ID: id, Kind: kind, Body: body}); err != nil {
		return err
	}
	select {
	case f := <-reply:
		return decodeReply(f, out)
	case <-l.done:
		return l.down()
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), l.peer.Name+" has not replied", "ask again")
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

func (l *Link) abandon(id uint64) {
	l.mu.Lock()
	delete(l.waiting, id)
	l.mu.Unlock()
}

func (l *Link) deliver(f frame) {
	l.mu.Lock()
	reply := l.waiting[f.ID]
	l.mu.Unlock()
	if reply != nil {
		reply <- f
	}
}

// Request is a request of the other side.
type Request struct {
	link *Link
	id   uint64
	Kind Kind
	body cbor.RawMessage
}

// Decode reads the body of the request. Errors are *fault.Error of kind Invalid.
func (r *Request) Decode(into any) error {
	if err := cbor.Unmarshal(r.body, into); err != nil {
		return fault.Wrap(fault.Invalid, err, "malformed request", "run the same version on all entry VMs")
	}
	return nil
}

// Reply answers the request with out, or with err unless it is nil. A reply on a
// link that has ended is dropped: the other side knows that the link is down.
func (r *Request) Reply(out any, err error) {
	f := frame{Type: frameReply, ID: r.id}
	if err != nil {
		f.Fault = fault.As(err)
	} else if f.Body, err = cbor.Marshal(out); err != nil {
		f.Fault = fault.Wrap(fault.Internal, err, "the reply has no CBOR form", "report this as a defect")
	}
	if err := r.link.send(f); err != nil {
		r.link.cfg.Logger.Debug("reply_dropped", zap.String("peer", r.link.peer.Name), zap.Error(err))
	}
}

func mustEncode(f frame) []byte {
	data, err := cbor.Marshal(f)
	if err != nil {
		panic(err) // the fixed frames always have a CBOR form
	}
	return data
}

// greet exchanges hellos.
func (l *Link) greet() error {
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
		return fmt.Errorf("frame type %d came instead of a hello", f.Type)
	}
	return cbor.Unmarshal(f.Body, &l.peer)
}

// Dial opens a link to the process at address (host:port) and serves it until it
// ends; up is called once it works. Dial returns the cause of the end.
func Dial(ctx context.Context, address string, cfg Config, up func(*Link)) error {
	dialer := &websocket.Dialer{
		HandshakeTimeout: cmp.Or(cfg.DialTimeout, HandshakeTimeout),
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
	}
	ws, response, err := dialer.DialContext(ctx, "ws://"+address+path, nil)
	if err != nil {
		return err
	}
	_ = response.Body.Close() // has no body after an upgrade
	l := newLink(cfg, ws)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := l.greet(); err != nil {
		l.fail(err)
		return err
	}
	up(l)
	return l.run()
}
