package operator

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// serve starts a server on loopback and returns its address.
func serve(t *testing.T, s Sources) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(s)
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NilError(t, server.Shutdown(ctx))
		assert.NilError(t, <-done)
	})
	return ln.Addr().String()
}

func sources() Sources {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("starts", registry).Inc(7)
	return Sources{
		Ready:   func() Readiness { return Readiness{Ready: true, Roll: 3} },
		Dump:    func(context.Context) (any, error) { return map[string]int{"waiting": 2}, nil },
		Metrics: registry,
	}
}

// TestEndpoints guards against responses that the client cannot decode.
func TestEndpoints(t *testing.T) {
	s := sources()
	var ready atomic.Bool
	s.Ready = func() Readiness {
		if ready.Load() {
			return Readiness{Ready: true, Roll: 3}
		}
		return Readiness{Reasons: []string{"no bundle"}}
	}
	addr := serve(t, s)
	c, ctx := NewClient(addr, nil), context.Background()
	assert.NilError(t, c.Live(ctx))
	r, err := c.Ready(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, r, Readiness{Reasons: []string{"no bundle"}})
	status, _, err := c.get(ctx, PathReady)
	assert.NilError(t, err)
	assert.Equal(t, status, fasthttp.StatusServiceUnavailable)
	ready.Store(true)
	r, err = c.Ready(ctx)
	assert.NilError(t, err)
	assert.Equal(t, r.Roll, uint64(3))
	data, err := c.Metrics(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"starts":{"count":7}}`)
	_, text, err := c.get(ctx, PathMetrics+"?format=text")
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(text), "counter starts\n"))
	data, err = c.Dump(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"waiting":2}`)
	_, err = c.getJSON(ctx, "/other")
	assert.Equal(t, fault.KindOf(err), fault.NotFound)
}

// TestDumpLimit guards against memory that grows with the number of concurrent dumps,
// and against errors of the source that do not reach the client.
func TestDumpLimit(t *testing.T) {
	s := sources()
	entered, proceed := make(chan struct{}, maxReports), make(chan struct{})
	s.Dump = func(context.Context) (any, error) {
		entered <- struct{}{}
		<-proceed
		return nil, fault.New(fault.NotReady, "stopping", "ask another process")
	}
	addr := serve(t, s)
	results := make(chan error, maxReports)
	for range maxReports {
		go func() {
			_, err := NewClient(addr, nil).Dump(context.Background())
			results <- err
		}()
		<-entered
	}
	_, err := NewClient(addr, nil).Dump(context.Background())
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
	assert.Assert(t, fault.As(err).RetryAfterMS > 0)
	close(proceed)
	for range maxReports {
		assert.Equal(t, fault.KindOf(<-results), fault.NotReady)
	}
}

// TestClientDown guards against a client that reports a process that is down with
// another kind of error than Unavailable.
func TestClientDown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = NewClient(addr, nil).Dump(context.Background())
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
}
