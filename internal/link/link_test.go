package link

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

const (
	kindEcho  Kind = iota + 1
	kindPanic      // the handler panics
	kindTwice      // the handler replies twice
)

// connect returns a link to a server that echoes numbers and returns an error for
// negative ones.
func connect(t *testing.T) *Link {
	t.Helper()
	cfg := Config{
		Self: Hello{Name: "a"}, HeartbeatInterval: 50 * time.Millisecond, DownAfter: time.Second, Logger: zap.NewNop(),
		Handle: func(_ *Link, r *Request) {
			var n int
			if err := r.Decode(&n); err != nil || n < 0 {
				r.Reply(nil, fault.New(fault.Invalid, "the number is negative", "send another one"))
				return
			}
			switch r.Kind {
			case kindPanic:
				panic("defect")
			case kindTwice:
				r.Reply(n, nil)
			}
			r.Reply(n, nil)
		},
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(cfg, func(*Link) {})
	go func() { _ = server.Serve(ln) }() // ends with the listener
	up := make(chan *Link, 1)
	go func() { _ = Dial(t.Context(), ln.Addr().String(), cfg, func(l *Link) { up <- l }) }()
	l := <-up
	t.Cleanup(func() {
		l.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.NilError(t, server.Shutdown(ctx))
	})
	return l
}

// Queued frames are sent in one message. Each call must still get the reply to its own
// request.
func TestCallsAtOnceGetTheirReplies(t *testing.T) {
	l := connect(t)
	var calls sync.WaitGroup
	errs := make([]error, 500)
	for n := range errs {
		calls.Go(func() {
			var got int
			if errs[n] = l.Call(t.Context(), kindEcho, n, &got); errs[n] == nil && got != n {
				errs[n] = fmt.Errorf("request %d got the reply %d", n, got)
			}
		})
	}
	calls.Wait()
	for _, err := range errs {
		assert.NilError(t, err)
	}
}

// Frames that are queued together are sent in one message. The receiver must get all of
// them, in order, and must reject a malformed one.
func TestBatchHoldsAllFrames(t *testing.T) {
	l := newTestLink(t)
	for id := range uint64(3) {
		assert.NilError(t, l.send(frame{Type: frameRequest, ID: id + 1}))
	}
	data := l.batch(<-l.queue)
	for id := range uint64(3) {
		var f frame
		var err error
		f, data, err = decodeFrame(data)
		assert.NilError(t, err)
		assert.Equal(t, f.ID, id+1)
	}
	assert.Equal(t, len(data), 0)
	_, _, err := decodeFrame([]byte{0xff})
	assert.ErrorContains(t, err, "malformed frame")
}

// newTestLink returns a link whose send queue is not drained.
func newTestLink(t *testing.T) *Link {
	t.Helper()
	return newLink(Config{Logger: zap.NewNop()}, connect(t).ws)
}

// A call must return the peer's error unchanged, and must fail at once on a link that
// has ended.
func TestCallErrors(t *testing.T) {
	l := connect(t)
	assert.Equal(t, fault.KindOf(l.Call(t.Context(), kindEcho, -1, nil)), fault.Invalid)
	l.Close()
	<-l.Finished()
	assert.Equal(t, fault.KindOf(l.Call(t.Context(), kindEcho, 1, nil)), fault.Unavailable)
}

// A handler that panics on a request must not end the process or the link.
func TestPanicOfAHandlerIsContained(t *testing.T) {
	l := connect(t)
	var out int
	assert.Equal(t, fault.KindOf(l.Call(t.Context(), kindPanic, 1, &out)), fault.Internal)
	assert.NilError(t, l.Call(t.Context(), kindEcho, 7, &out))
	assert.Equal(t, out, 7)
}

// A peer that replies twice must not block the reader, which would end the link.
func TestSecondReplyIsDropped(t *testing.T) {
	l := connect(t)
	var out int
	for n := range 3 {
		assert.NilError(t, l.Call(t.Context(), kindTwice, n, &out))
		assert.Equal(t, out, n)
	}
}

// FuzzFrame guards against frames that panic the decoder or a handler. A malformed frame
// ends the link and nothing else.
func FuzzFrame(f *testing.F) {
	body, err := cbor.Marshal(7)
	assert.NilError(f, err)
	for _, seed := range []frame{{Type: frameHeartbeat, Renewals: 3, CPUMilli: 400}, {Type: frameRequest, ID: 1, Kind: kindEcho, Body: body}, {Type: frameReply, ID: 1, Body: body}, {Type: frameHello}} {
		f.Add(mustEncode(seed))
	}
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := newLink(Config{Logger: zap.NewNop(), Handle: func(_ *Link, r *Request) {
			var n int
			_ = r.Decode(&n) // the body may be malformed
		}}, &websocket.Conn{})
		for len(data) > 0 {
			next, rest, err := decodeFrame(data)
			if err != nil {
				return
			}
			if len(rest) >= len(data) {
				t.Fatal("a frame of no bytes")
			}
			l.handleFrame(next)
			data = rest
		}
	})
}
