package link

import (
	"context"
	"net"

	"github.com/fasthttp/websocket"
	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"
)

// linkPath is the HTTP path at which a server accepts links.
const linkPath = "/v1/link"

// maxConnections limits the number of connections of a server.
const maxConnections = 1024

// Server accepts links from other processes.
type Server struct {
	app *fiber.App
}

// NewServer returns a server that calls up for each link after its handshake, and then
// serves the link until it ends.
func NewServer(cfg Config, up func(*Link)) *Server {
	app := fiber.New(fiber.Config{
		ReadBufferSize:  bufferBytes,
		WriteBufferSize: bufferBytes,
		Concurrency:     maxConnections,
		ReadTimeout:     HandshakeTimeout,
	})
	// Without this option, closing a connection takes effect only when its handler
	// returns, so a blocked reader could not be stopped.
	app.Server().KeepHijackedConns = true
	upgrader := &websocket.FastHTTPUpgrader{HandshakeTimeout: HandshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	app.Get(linkPath, func(c fiber.Ctx) error {
		return upgrader.Upgrade(c.RequestCtx(), func(ws *websocket.Conn) { accept(cfg, ws, up) })
	})
	return &Server{app: app}
}

func accept(cfg Config, ws *websocket.Conn, up func(*Link)) {
	l := newLink(cfg, ws)
	if err := l.handshake(); err != nil {
		l.fail(err)
		cfg.Logger.Info("link_refused", zap.String("address", ws.RemoteAddr().String()), zap.Error(err))
		return
	}
	up(l)
	if err := l.run(); err != nil {
		cfg.Logger.Debug("link_down", zap.String("peer", l.peer.Name), zap.Error(err))
	}
}

// Serve accepts links on ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	return s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown closes the listener. Established links stay up until they are closed.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }
