package peer

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
)

// counters count the traffic with one peer over all its links.
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

// conn is one WebSocket connection of a link.
type conn struct {
	ws             *websocket.Conn
	counters       *counters
	framesReceived atomic.Uint64
	framesSent     atomic.Uint64
}

func newConn(ws *websocket.Conn, counters *counters) *conn {
	ws.SetReadLimit(readLimitBytes)
	return &conn{ws: ws, counters: counters}
}

func (c *conn) close() { _ = c.ws.NetConn().Close() }

func (c *conn) write(frame []byte) error {
	if err := c.ws.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return err
	}
	c.framesSent.Add(1)
	c.counters.bytesSent.Add(uint64(len(frame)))
	return nil
}

// read passes the next frame to handle, which must not retain it. The buffer is
// taken from the pool only when a frame arrives, so that idle connections hold
// none.
func (c *conn) read(handle func(frame []byte) error) error {
	kind, reader, err := c.ws.NextReader()
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
	c.framesReceived.Add(1)
	c.counters.bytesReceived.Add(uint64(len(*buffer)))
	return handle(*buffer)
}

// readInto appends the data of reader to buffer until EOF.
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

// sendHello sends a hello. It is called before the goroutines of the link start.
func (c *conn) sendHello(h hello) error {
	frame, err := encodeFrame(frameHello, h)
	if err != nil {
		return err
	}
	_ = c.ws.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	if err := c.write(frame); err != nil {
		return err
	}
	return c.ws.SetWriteDeadline(time.Time{})
}

// readHello receives a hello and checks its protocol version. It is called before
// the goroutines of the link start.
func (c *conn) readHello() (h hello, err error) {
	_ = c.ws.SetReadDeadline(time.Now().Add(handshakeTimeout))
	err = c.read(func(frame []byte) error {
		number, body, err := splitFrame(frame)
		if err != nil {
			return err
		}
		if number != frameHello {
			return fmt.Errorf("frame type %d received instead of a hello", number)
		}
		return decodeBody(body, &h)
	})
	if err != nil {
		return hello{}, err
	}
	if h.Protocol != protocolVersion {
		return hello{}, fmt.Errorf("peer %q uses protocol version %d, this process uses version %d", h.Entry, h.Protocol, protocolVersion)
	}
	return h, c.ws.SetReadDeadline(time.Time{})
}
