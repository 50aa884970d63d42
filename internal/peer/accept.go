package peer

import (
	"crypto/tls"
	"fmt"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"
)

// path is where a peer accepts WebSocket connections.
const path = "/v1/peer"

// maxConnections bounds the HTTP connections before their upgrade.
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
	// Without this, closing a connection takes effect only when its handler
	// returns, and a reader could not be unblocked.
	app.Server().KeepHijackedConns = true
	upgrader := &websocket.FastHTTPUpgrader{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		WriteBufferPool:  writeBuffers,
	}
	app.Get(path, func(c fiber.Ctx) error {
		state := c.RequestCtx().TLSConnectionState()
		return upgrader.Upgrade(c.RequestCtx(), func(ws *websocket.Conn) { m.accept(ws, state) })
	})
	return app
}

// accept serves one connection. It returns when the link has ended, because the
// server reuses the connection's buffer afterwards.
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
		if err := m.acceptWire(ws, state); err != nil {
			m.cfg.Logger.Warn("connection refused", zap.String("address", ws.RemoteAddr().String()), zap.Error(err))
		}
	})
	m.mu.Unlock()
	<-done
}

func (m *Mesh) acceptWire(ws *websocket.Conn, state *tls.ConnectionState) error {
	w := newWire(ws, &counters{})
	h, err := w.readHello()
	if err != nil {
		return err
	}
	if err := checkCertificate(state, h.Entry); err != nil {
		return err
	}
	s, err := m.slotOf(h)
	if err != nil {
		return err
	}
	w.count = &s.count
	if err := w.sendHello(m.hello(h.Link, h.Urgent)); err != nil {
		return err
	}
	l, paired, err := s.join(h, w)
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
	return s.awaitPair(l, paired)
}

// checkCertificate returns an error if the listener uses TLS and the dialer's
// certificate is not that of the entry process it claims to be.
func checkCertificate(state *tls.ConnectionState, entry string) error {
	if state == nil {
		return nil
	}
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("%q sent no certificate; set client_ca for the peer listener", entry)
	}
	return state.PeerCertificates[0].VerifyHostname(entry)
}

// awaitPair waits for the other connection and then for the end of the link.
func (s *slot) awaitPair(l *link, paired <-chan struct{}) error {
	timer := time.NewTimer(handshakeTimeout)
	defer timer.Stop()
	select {
	case <-paired:
	case <-timer.C:
	case <-l.failed:
	case <-s.ctx.Done():
	}
	if s.abandon(l) {
		return fmt.Errorf("the other connection of the link to %s did not come", l.ref)
	}
	<-l.done
	return nil
}

// slotOf returns the slot of a peer that is allowed to dial this process.
func (m *Mesh) slotOf(h hello) (*slot, error) {
	if m.dials(h.Entry) || h.Entry == m.cfg.Self.Name {
		return nil, fmt.Errorf("%q must not dial %q: the smaller name dials", h.Entry, m.cfg.Self.Name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.slots[h.Entry]
	if s == nil {
		return nil, fmt.Errorf("%q is not in the list of peers", h.Entry)
	}
	return s, nil
}
