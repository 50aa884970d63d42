package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	recoverer "github.com/gofiber/fiber/v3/middleware/recover"
	"github.com/rcrowley/go-metrics"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Paths of the endpoints.
const (
	PathLive    = "/livez"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathDump    = "/dump"
)

const (
	maxConnections = 64
	maxBodyBytes   = 4 << 10
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 30 * time.Second
	// dumpTimeout limits the time that the process may take to supply its state.
	dumpTimeout = 10 * time.Second
	// maxReports limits the dumps and metric reports that are built at the same time.
	maxReports   = 2
	busyRetryMS  = 1000
	contentPlain = "text/plain; charset=utf-8"
)

// Readiness is the response body of PathReady.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"` // why the process is not ready
	Entry   string   `json:"entry"`
	Roll    uint64   `json:"roll"`              // number of the roll in force, 0 for none
	RollID  string   `json:"roll_id,omitempty"` // in hexadecimal
	Version uint64   `json:"version"`           // of the bundle in force
}

// Sources supply the content of the endpoints. The server calls them from several
// goroutines at the same time.
type Sources struct {
	// Ready returns the readiness of the process. It must not block.
	Ready func() Readiness
	// Dump returns the state of the process, to be encoded as JSON.
	Dump    func(ctx context.Context) (any, error)
	Metrics metrics.Registry
}

// Server serves the operator endpoints of one process.
type Server struct {
	app     *fiber.App
	sources Sources
	reports chan struct{} // holds one element for each report being built
}

// NewServer returns a server of the content that sources supply.
func NewServer(sources Sources) *Server {
	s := &Server{sources: sources, reports: make(chan struct{}, maxReports)}
	s.app = fiber.New(fiber.Config{
		Concurrency:  maxConnections,
		BodyLimit:    maxBodyBytes,
		ReadTimeout:  readTimeout,
		WriteTimeout: writeTimeout,
		IdleTimeout:  idleTimeout,
		ErrorHandler: writeError,
	})
	s.app.Use(recoverer.New()) // a panic in a dump becomes an error response
	s.app.Get(PathLive, func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get(PathReady, s.ready)
	s.app.Get(PathMetrics, s.limitReports(s.metrics))
	s.app.Get(PathDump, s.limitReports(s.dump))
	return s
}

// Serve answers requests on ln until Shutdown is called. It returns nil after
// Shutdown, or the error of the listener.
func (s *Server) Serve(ln net.Listener) error {
	return s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown closes the listener and waits until requests in progress have ended or ctx
// is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

func (s *Server) ready(c fiber.Ctx) error {
	r := s.sources.Ready()
	if !r.Ready {
		c.Status(fiber.StatusServiceUnavailable)
	}
	return c.JSON(r)
}

// limitReports wraps a handler so that it refuses a request while maxReports other
// reports are being built. Each report is built in memory.
func (s *Server) limitReports(next fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		select {
		case s.reports <- struct{}{}:
			defer func() { <-s.reports }()
			return next(c)
		default:
			e := fault.New(fault.Unavailable, "other reports are being written", "ask again later")
			e.RetryAfterMS = busyRetryMS
			return e
		}
	}
}

// metrics sends the metrics as JSON, or as plain text if the request accepts
// text/plain or has ?format=text.
func (s *Server) metrics(c fiber.Ctx) error {
	plain := c.Query("format") == "text" || strings.HasPrefix(c.Get(fiber.HeaderAccept), "text/plain")
	if !plain {
		return c.JSON(s.sources.Metrics.GetAll())
	}
	var text bytes.Buffer
	metrics.WriteOnce(s.sources.Metrics, &text)
	c.Set(fiber.HeaderContentType, contentPlain)
	return c.Send(text.Bytes())
}

func (s *Server) dump(c fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	state, err := s.sources.Dump(ctx)
	if err != nil {
		return err
	}
	data, err := json.Marshal(state)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the state cannot be encoded", "report this as a defect")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(data)
}

// writeError sends err as the JSON of a *fault.Error.
func writeError(c fiber.Ctx, err error) error {
	if e, ok := err.(*fiber.Error); ok {
		c.Status(e.Code)
		return c.JSON(fault.New(fault.NotFound, e.Message, "use GET "+strings.Join([]string{PathLive, PathReady, PathMetrics, PathDump}, ", ")))
	}
	c.Status(fiber.StatusServiceUnavailable)
	return c.JSON(fault.As(err))
}
