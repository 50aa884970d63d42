package link

import (
	"context"
	"net"

	"github.com/fasthttp/websocket"
	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"
)

// path is where a server accepts links.
const path = "/v1/link"

// maxConnections bounds the connections of a server.
const maxConnections = 1024

// Server accepts links.
type Server struct {
	app *fiber.App
}

// NewServer returns a server that calls serve for each link that is up. The link
// ends when serve returns and its reader has stopped.
func NewServer(cfg Config, up func(*Link)) *Server {
	app := fiber.New(fiber.Config{
		ReadBufferSize:  bufferBytes,
		WriteBufferSize: bufferBytes,
		Concurrency:     maxConnections,
		ReadTimeout:     HandshakeTimeout,
	})
	// Without this, closing a connection takes effect only when its handler
	// returns, and a reader could not be unblocked.
	app.Server().KeepHijackedConns = true
	upgrader := &websocket.FastHTTPUpgrader{HandshakeTimeout: HandshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	app.Get(path, func(c fiber.Ctx) error {
		return upgrader.Upgrade(c.RequestCtx(), func(ws *websocket.Conn) { accept(cfg, ws, up) })
	})
	return &Server{app: app}
}

func accept(cfg Config, ws *websocket.Conn, up func(*Link)) {
	l := newLink(cfg, ws)
	if err := l.greet(); err != nil {
		l.fail(err)
		cfg.Logger.Info("link_refused", zap.String("address", ws.RemoteAddr().String()), zap.Error(err))
		return
	}
	up(l)
	if err := l.run(); err != nil {
		cfg.Logger.Debug("link_down", zap.String("peer", l.peer.Name), zap.Error(err))
	}
}

// Serve accepts links on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown closes the listener. Links that are up stay until they are closed.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }
