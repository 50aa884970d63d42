package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"go.uber.org/zap"
)

// dials reports whether this process, rather than the named peer, opens the link
// between them.
func (m *Mesh) dials(name string) bool { return m.cfg.Self.Name < name }

func (p *remotePeer) newDialer() *websocket.Dialer {
	dialer := &websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		WriteBufferPool:  writeBuffers,
	}
	if p.mesh.cfg.TLS != nil {
		// Addresses contain IP addresses, so the certificate is verified against
		// the name of the entry process.
		dialer.TLSClientConfig = p.mesh.cfg.TLS.Clone()
		dialer.TLSClientConfig.ServerName = p.name
	}
	return dialer
}

func (m *Mesh) scheme() string {
	if m.cfg.TLS != nil {
		return "wss://"
	}
	return "ws://"
}

// dialLoop opens links to the peer until it is removed from the list.
func (p *remotePeer) dialLoop() {
	delay := minBackoff
	for p.ctx.Err() == nil {
		l, err := p.dial()
		if err == nil {
			delay = minBackoff
			l.run()
		} else {
			p.mesh.cfg.Logger.Debug("dial failed", zap.String("peer", p.name), zap.Error(err))
		}
		if !clock.Sleep(p.ctx, jitter(delay)) {
			return
		}
		delay = min(2*delay, maxBackoff)
	}
}

// jitter returns a random duration between d/2 and d, so that processes that
// lost the same peer do not dial it all at once.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

// dial opens both connections and installs the link.
func (p *remotePeer) dial() (*link, error) {
	id := rand.Uint64()
	urgent, first, err := p.dialConn(id, true)
	if err != nil {
		return nil, err
	}
	bulk, second, err := p.dialConn(id, false)
	if err != nil {
		urgent.close()
		return nil, err
	}
	l := newLink(p.mesh, first)
	l.urgent, l.bulk = urgent, bulk
	if second != (hello{Entry: first.Entry, Incarnation: first.Incarnation, Domain: first.Domain, Protocol: first.Protocol, Link: id}) {
		err = fmt.Errorf("the two connections to %s were accepted by different processes", p.name)
	} else {
		err = p.install(l)
	}
	if err != nil {
		l.fail(err)
		return nil, err
	}
	return l, nil
}

// dialConn opens one connection and exchanges hellos on it.
func (p *remotePeer) dialConn(id uint64, urgent bool) (*conn, hello, error) {
	ws, response, err := p.newDialer().DialContext(p.ctx, p.mesh.scheme()+p.currentAddress()+peerPath, nil)
	if err != nil {
		return nil, hello{}, err
	}
	_ = response.Body.Close()
	c := newConn(ws, &p.counters)
	h, err := p.handshake(c, id, urgent)
	if err != nil {
		c.close()
		return nil, hello{}, err
	}
	return c, h, nil
}

// handshake exchanges hellos and checks that the peer is the listed one.
func (p *remotePeer) handshake(c *conn, id uint64, urgent bool) (hello, error) {
	stop := context.AfterFunc(p.ctx, c.close)
	defer stop()
	if err := c.sendHello(p.mesh.hello(id, urgent)); err != nil {
		return hello{}, err
	}
	h, err := c.readHello()
	if err != nil {
		return hello{}, err
	}
	if h.Entry != p.name || h.Link != id || h.Urgent != urgent {
		return hello{}, fmt.Errorf("%s answered at the address of %s", api.EntryRef{Name: h.Entry, Incarnation: h.Incarnation}, p.name)
	}
	return h, nil
}

// hello returns the hello of this process for one connection of a link.
func (m *Mesh) hello(id uint64, urgent bool) hello {
	return hello{
		Entry:       m.cfg.Self.Name,
		Incarnation: m.cfg.Self.Incarnation,
		Domain:      m.cfg.Domain,
		Protocol:    protocolVersion,
		Urgent:      urgent,
		Link:        id,
	}
}
