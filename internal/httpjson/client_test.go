package httpjson

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// TestBound guards against a call that hangs because the server accepts connections and
// never answers. The call must end at its bound, or at once when it is cancelled.
func TestBound(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := New(l.Addr().String(), "the server")
	defer c.Close()
	err = c.Do(context.Background(), Call{Method: "GET", Path: "/", Bound: 50 * time.Millisecond})
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
	assert.Equal(t, Status(err), 0)

	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	err = c.Do(ctx, Call{Method: "GET", Path: "/", Bound: 5 * time.Second})
	assert.ErrorIs(t, err, context.Canceled)
}
