package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

const (
	maxBodyBytes    = 16 << 20
	shutdownTimeout = 2 * time.Second // for requests in progress
)

// server serves one fiber app on one or more listeners.
type server struct {
	app  *fiber.App
	http *fasthttp.Server
	wait conc.WaitGroup // of the goroutines that serve the listeners
}

func newServer() *server {
	return &server{app: fiber.New(fiber.Config{BodyLimit: maxBodyBytes, ErrorHandler: sendFault})}
}

// start accepts connections on the listeners. All routes must have been added.
func (s *server) start(listeners ...net.Listener) {
	s.http = &fasthttp.Server{
		Handler:               s.app.Handler(),
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	for _, l := range listeners {
		s.wait.Go(func() { _ = s.http.Serve(l) }) // returns when the listener is closed
	}
}

// stop closes the listeners and waits for requests in progress up to shutdownTimeout.
func (s *server) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.ShutdownWithContext(ctx)
	s.wait.Wait()
	return err
}

// sendFault sends err as a fault with the matching status.
func sendFault(c fiber.Ctx, err error) error {
	var e *fiber.Error
	if errors.As(err, &e) {
		err = fault.New(fault.Invalid, e.Message, "check the method and the path")
		return c.Status(e.Code).JSON(err)
	}
	f := fault.As(err)
	return c.Status(statusOf(f.Kind)).JSON(f)
}

// statusOf returns the HTTP status for a kind of fault.
func statusOf(kind fault.Kind) int {
	switch kind {
	case fault.Invalid:
		return http.StatusBadRequest
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Conflict, fault.StaleEpoch, fault.NoCapacity:
		return http.StatusConflict
	case fault.QueueFull:
		return http.StatusTooManyRequests
	case fault.Unavailable, fault.LogDown:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// body decodes the JSON body of a request. Unknown fields are an error. The error is
// an Invalid fault.
func body[T any](c fiber.Ctx) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(c.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, fault.Wrap(fault.Invalid, err, "the request is malformed", "send JSON in the documented format")
	}
	return value, nil
}

// dropConnection closes the connection without a response.
func dropConnection(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(net.Conn) {})
	return nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// broadcast wakes all waiters by closing the channel. The owner's lock guards it.
type broadcast chan struct{}

// wake wakes all waiters and prepares b for the next ones.
func (b *broadcast) wake() {
	close(*b)
	*b = make(broadcast)
}

// waitFor waits until b is woken, d has passed or ctx ends.
func waitFor(ctx context.Context, b broadcast, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-b:
	case <-timer.C:
	case <-ctx.Done():
	}
}
