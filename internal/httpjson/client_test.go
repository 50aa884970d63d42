package httpjson

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// TestCallTimeout guards against a call that hangs because the server accepts
// connections and never answers. The call must end at its timeout, or at once when it
// is cancelled.
func TestCallTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := New(l.Addr().String(), "the server")
	defer c.Close()
	err = c.Do(context.Background(), Call{Method: "GET", Path: "/", Timeout: 50 * time.Millisecond})
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
	assert.Equal(t, Status(err), 0)

	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	err = c.Do(ctx, Call{Method: "GET", Path: "/", Timeout: 5 * time.Second})
	assert.ErrorIs(t, err, context.Canceled)
}

// Guards against errors that quote a malformed response, as it may hold the keys of callers.
func TestErrorsDoNotQuoteResponses(t *testing.T) {
	const secret = "secret0123456789"
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nbroken " + secret + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n: broken\r\n\r\n{\"apiKeys\":[\"" + secret + "\"]}",
		secret + " 200\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + secret,
		"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"apiKeys\":[\"" + secret + "\"",
		"HTTP/1.1 400 Bad Request\r\nContent-Length: 16\r\n\r\n" + secret,
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte(response))
			_ = conn.Close()
		}()
		c := New(l.Addr().String(), "the server")
		var out struct {
			Keys []string `json:"apiKeys"`
		}
		err = c.Do(t.Context(), Call{Method: "GET", Path: "/", Response: &out, Timeout: time.Second})
		assert.Assert(t, err != nil, response)
		assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
		c.Close()
		assert.NilError(t, l.Close())
	}
}
