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
	bodyLimit    = 16 << 20
	shutdownWait = 2 * time.Second
)

// server serves one fiber app on one or more listeners.
type server struct {
	app  *fiber.App
	http *fasthttp.Server
	wait conc.WaitGroup
}

func newServer() *server {
	return &server{app: fiber.New(fiber.Config{BodyLimit: bodyLimit, ErrorHandler: sendFault})}
}

// start accepts connections on listeners. Routes have to be added before.
func (s *server) start(listeners ...net.Listener) {
	s.http = &fasthttp.Server{
		Handler:               s.app.Handler(),
		MaxRequestBodySize:    bodyLimit,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	for _, l := range listeners {
		s.wait.Go(func() { _ = s.http.Serve(l) }) // ends with the listener
	}
}

func (s *server) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownWait)
	defer cancel()
	err := s.http.ShutdownWithContext(ctx)
	s.wait.Wait()
	return err
}

func sendFault(c fiber.Ctx, err error) error {
	var e *fiber.Error
	if errors.As(err, &e) {
		err = fault.New(fault.Invalid, e.Message, "check the method and the path")
		return c.Status(e.Code).JSON(err)
	}
	f := fault.As(err)
	return c.Status(statusOf(f.Kind)).JSON(f)
}

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

// body decodes the request strictly; the error is an Invalid fault.
func body[T any](c fiber.Ctx) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(c.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, fault.Wrap(fault.Invalid, err, "the request is malformed", "send JSON of the documented form")
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

// broadcast wakes all waiters. The owner guards it with its own lock.
type broadcast chan struct{}

func (b *broadcast) wake() {
	close(*b)
	*b = make(broadcast)
}

// waitFor returns when b wakes, after d, or when ctx ends.
func waitFor(ctx context.Context, b broadcast, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-b:
	case <-timer.C:
	case <-ctx.Done():
	}
}
