package peer

import (
	"crypto/tls"
	"fmt"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"
)

// peerPath is the URL path at which a process accepts WebSocket connections.
const peerPath = "/v1/peer"

// maxConnections limits the HTTP connections that are not yet upgraded.
const maxConnections = 1024

func newApp(m *Mesh) *fiber.App {
	app := fiber.New(fiber.Config{
		ReadBufferSize:  bufferBytes,
		WriteBufferSize: bufferBytes,
		BodyLimit:       bufferBytes,
		Concurrency:     maxConnections,
		ReadTimeout:     handshakeTimeout,
		WriteTimeout:    handshakeTimeout,
	})
	// Otherwise closing a connection takes effect only when its handler returns,
	// which would leave a blocked reader blocked.
	app.Server().KeepHijackedConns = true
	upgrader := &websocket.FastHTTPUpgrader{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		WriteBufferPool:  writeBuffers,
	}
	app.Get(peerPath, func(c fiber.Ctx) error {
		state := c.RequestCtx().TLSConnectionState()
		return upgrader.Upgrade(c.RequestCtx(), func(ws *websocket.Conn) { m.accept(ws, state) })
	})
	return app
}

// accept serves one connection. It returns only when the link has ended,
// because the server then reuses the connection's buffer.
func (m *Mesh) accept(ws *websocket.Conn, state *tls.ConnectionState) {
	defer func() { _ = ws.NetConn().Close() }()
	done := make(chan struct{})
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.spawnLocked(func() {
		defer close(done)
		if err := m.acceptConn(ws, state); err != nil {
			m.cfg.Logger.Warn("connection refused", zap.String("address", ws.RemoteAddr().String()), zap.Error(err))
		}
	})
	m.mu.Unlock()
	<-done
}

// acceptConn exchanges hellos on an accepted connection and serves its link. For
// the first connection of a link it waits for the second.
func (m *Mesh) acceptConn(ws *websocket.Conn, state *tls.ConnectionState) error {
	c := newConn(ws, &counters{})
	h, err := c.readHello()
	if err != nil {
		return err
	}
	if err := checkCertificate(state, h.Entry); err != nil {
		return err
	}
	p, err := m.peerFor(h)
	if err != nil {
		return err
	}
	c.counters = &p.counters
	if err := c.sendHello(m.hello(h.Link, h.Urgent)); err != nil {
		return err
	}
	l, paired, err := p.addConn(h, c)
	switch {
	case err != nil && l != nil:
		l.fail(err)
		close(l.done)
		return err
	case err != nil:
		return err
	case paired == nil:
		l.run()
		return nil
	}
	return p.awaitPair(l, paired)
}

// checkCertificate returns an error if the listener uses TLS and the dialer's
// certificate is not valid for the entry name in its hello.
func checkCertificate(state *tls.ConnectionState, entry string) error {
	if state == nil {
		return nil
	}
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%q sent no certificate; set client_ca for the peer listener", entry)
	}
	return state.PeerCertificates[0].VerifyHostname(entry)
}

// awaitPair waits for the second connection of l and then for the end of l.
func (p *remotePeer) awaitPair(l *link, paired <-chan struct{}) error {
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	select {
	case <-paired:
	case <-timer.C:
	case <-l.failed:
	case <-p.ctx.Done():
	}
	if p.abandon(l) {
		return fmt.Errorf("the second connection of the link to %s was not opened in time", l.ref)
	}
	<-l.done
	return nil
}

// peerFor returns the listed peer that sent h if it may dial this process.
func (m *Mesh) peerFor(h hello) (*remotePeer, error) {
	if m.dials(h.Entry) || h.Entry == m.cfg.Self.Name {
		return nil, fmt.Errorf("%q must not dial %q: the process with the smaller name dials", h.Entry, m.cfg.Self.Name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[h.Entry]
	if p == nil {
		return nil, fmt.Errorf("%q is not in the list of peers", h.Entry)
	}
	return p, nil
}
