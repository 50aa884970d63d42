package peer

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
)

// counters of one peer. They outlive its links.
type counters struct {
	bytesSent, bytesReceived       atomic.Uint64
	messagesSent, messagesReceived atomic.Uint64
}

var (
	writeBuffers = &sync.Pool{}
	frameBuffers = sync.Pool{New: func() any {
		buffer := make([]byte, 0, bufferBytes)
		return &buffer
	}}
)

// wire is one WebSocket connection of a link.
type wire struct {
	ws     *websocket.Conn
	count  *counters
	frames atomic.Uint64 // frames received
	sent   atomic.Uint64 // frames sent
}

func newWire(ws *websocket.Conn, count *counters) *wire {
	ws.SetReadLimit(readLimit)
	return &wire{ws: ws, count: count}
}

func (w *wire) close() { _ = w.ws.NetConn().Close() }

func (w *wire) write(frame []byte) error {
	if err := w.ws.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return err
	}
	w.sent.Add(1)
	w.count.bytesSent.Add(uint64(len(frame)))
	return nil
}

// read passes the next frame to handle, which must not keep it. The buffer is
// taken only once a frame arrives, so that idle connections hold none.
func (w *wire) read(handle func(frame []byte) error) error {
	kind, reader, err := w.ws.NextReader()
	if err != nil {
		return err
	}
	if kind != websocket.BinaryMessage {
		return fmt.Errorf("WebSocket message type %d is not binary", kind)
	}
	buffer := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(buffer)
	if *buffer, err = readInto((*buffer)[:0], reader); err != nil {
		return err
	}
	w.frames.Add(1)
	w.count.bytesReceived.Add(uint64(len(*buffer)))
	return handle(*buffer)
}

// readInto appends all of reader to buffer.
func readInto(buffer []byte, reader io.Reader) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}

// sendHello and readHello are used before the link has its own goroutines.
func (w *wire) sendHello(h hello) error {
	frame, err := encodeFrame(frameHello, h)
	if err != nil {
		return err
	}
	_ = w.ws.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	if err := w.write(frame); err != nil {
		return err
	}
	return w.ws.SetWriteDeadline(time.Time{})
}

func (w *wire) readHello() (h hello, err error) {
	_ = w.ws.SetReadDeadline(time.Now().Add(handshakeTimeout))
	err = w.read(func(frame []byte) error {
		number, body, err := splitFrame(frame)
		if err != nil {
			return err
		}
		if number != frameHello {
			return fmt.Errorf("frame %d came instead of a hello", number)
		}
		return decodeBody(body, &h)
	})
	if err != nil {
		return hello{}, err
	}
	if h.Protocol != protocolVersion {
		return hello{}, fmt.Errorf("peer %q speaks protocol %d, this process %d", h.Entry, h.Protocol, protocolVersion)
	}
	return h, w.ws.SetReadDeadline(time.Time{})
}
