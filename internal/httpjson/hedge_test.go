package httpjson

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// startSilencing starts a server and returns a client of it. Once silent is set, connections that
// were opened before are not answered any more.
func startSilencing(t *testing.T) (c *Client, silent *atomic.Bool, calls *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	silent, calls = new(atomic.Bool), new(atomic.Int32)
	end := make(chan struct{})
	server := &fasthttp.Server{Handler: func(r *fasthttp.RequestCtx) {
		calls.Add(1)
		time.Sleep(10 * time.Millisecond)
		if silent.Load() && r.ConnRequestNum() > 1 {
			<-end
		}
	}}
	go func() { _ = server.Serve(ln) }() // ends with the listener
	t.Cleanup(func() { close(end); _ = ln.Close() })
	c = New(ln.Addr().String(), "the server")
	t.Cleanup(c.host.CloseIdleConnections)
	return c, silent, calls
}

// openIdle leaves n idle connections.
func openIdle(t *testing.T, c *Client, n int) {
	t.Helper()
	results := make(chan error, n)
	for range n {
		go func() {
			_, err := c.Bytes(t.Context(), Call{Method: "GET", Path: "/", Timeout: time.Second})
			results <- err
		}()
	}
	for range n {
		assert.NilError(t, <-results)
	}
	assert.Equal(t, c.host.ConnsCount(), n)
}

// Guards against one timeout after the other, because each call takes the next silent connection of the pool.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	c, silent, _ := startSilencing(t)
	openIdle(t, c, 5)
	silent.Store(true)
	_, err := c.Bytes(t.Context(), Call{Method: "GET", Path: "/", Timeout: 100 * time.Millisecond})
	assert.ErrorContains(t, err, "does not answer")
	_, err = c.Bytes(t.Context(), Call{Method: "GET", Path: "/", Timeout: 100 * time.Millisecond})
	assert.NilError(t, err)
}

// Guards against a read that waits for its timeout on a silent connection, and repeats that go over others.
func TestHedgedCallIsAnsweredOverNewConnection(t *testing.T) {
	c, silent, calls := startSilencing(t)
	openIdle(t, c, 5)
	silent.Store(true)
	before := calls.Load()
	call := Call{Method: "GET", Path: "/", Timeout: 5 * time.Second, Expected: 100 * time.Millisecond}
	start := time.Now()
	answer, err := c.Hedged(t.Context(), call, call, nil)
	assert.NilError(t, err)
	assert.Assert(t, answer.Repeated)
	assert.Assert(t, time.Since(start) < time.Second, "took %v", time.Since(start))
	assert.Equal(t, calls.Load()-before, int32(2))
}

// Guards against a silent server that is sent ever more repeats.
func TestRepeatsAreLimited(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	var calls atomic.Int32
	end := make(chan struct{})
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { calls.Add(1); <-end }}
	go func() { _ = server.Serve(ln) }() // ends with the listener
	t.Cleanup(func() { close(end); _ = ln.Close() })
	c := New(ln.Addr().String(), "the server")
	now := make(chan struct{}, 10)
	for range cap(now) {
		now <- struct{}{}
	}
	call := Call{Method: "GET", Path: "/", Timeout: 500 * time.Millisecond, Expected: 10 * time.Millisecond}
	_, err = c.Hedged(t.Context(), call, call, now)
	assert.ErrorContains(t, err, "does not answer")
	assert.Equal(t, calls.Load(), int32(1+maxRepeats))
}
