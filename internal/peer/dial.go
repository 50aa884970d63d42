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

// dials reports whether this process opens the link to the named peer: the
// smaller name dials.
func (m *Mesh) dials(name string) bool { return m.cfg.Self.Name < name }

func (s *slot) newDialer() *websocket.Dialer {
	dialer := &websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		WriteBufferPool:  writeBuffers,
	}
	if s.mesh.cfg.TLS != nil {
		// Addresses are IP numbers, so the certificate is checked against the
		// name of the entry process.
		dialer.TLSClientConfig = s.mesh.cfg.TLS.Clone()
		dialer.TLSClientConfig.ServerName = s.name
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
func (s *slot) dialLoop() {
	pause := minBackOff
	for s.ctx.Err() == nil {
		l, err := s.dial()
		if err == nil {
			pause = minBackOff
			l.run()
		} else {
			s.mesh.cfg.Logger.Debug("dial failed", zap.String("peer", s.name), zap.Error(err))
		}
		if !clock.Sleep(s.ctx, jitter(pause)) {
			return
		}
		pause = min(2*pause, maxBackOff)
	}
}

// jitter returns a random time between half of d and d, so that processes that
// lost a peer at the same moment do not dial it together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

// dial opens both connections and installs the link.
func (s *slot) dial() (*link, error) {
	id := rand.Uint64()
	urgent, first, err := s.dialOne(id, true)
	if err != nil {
		return nil, err
	}
	bulk, second, err := s.dialOne(id, false)
	if err != nil {
		urgent.close()
		return nil, err
	}
	l := newLink(s.mesh, first)
	l.urgent, l.bulk = urgent, bulk
	if second != (hello{Entry: first.Entry, Incarnation: first.Incarnation, Domain: first.Domain, Protocol: first.Protocol, Link: id}) {
		err = fmt.Errorf("the two connections to %s lead to different processes", s.name)
	} else {
		err = s.install(l)
	}
	if err != nil {
		l.fail(err)
		return nil, err
	}
	return l, nil
}

func (s *slot) dialOne(id uint64, urgent bool) (*wire, hello, error) {
	ws, response, err := s.newDialer().DialContext(s.ctx, s.mesh.scheme()+s.currentAddress()+path, nil)
	if err != nil {
		return nil, hello{}, err
	}
	_ = response.Body.Close()
	w := newWire(ws, &s.count)
	h, err := s.greet(w, id, urgent)
	if err != nil {
		w.close()
		return nil, hello{}, err
	}
	return w, h, nil
}

func (s *slot) greet(w *wire, id uint64, urgent bool) (hello, error) {
	stop := context.AfterFunc(s.ctx, w.close)
	defer stop()
	if err := w.sendHello(s.mesh.hello(id, urgent)); err != nil {
		return hello{}, err
	}
	h, err := w.readHello()
	if err != nil {
		return hello{}, err
	}
	if h.Entry != s.name || h.Link != id || h.Urgent != urgent {
		return hello{}, fmt.Errorf("%s answered at the address of %s", api.EntryRef{Name: h.Entry, Incarnation: h.Incarnation}, s.name)
	}
	return h, nil
}

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
