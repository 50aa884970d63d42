package test

import (
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// proxyFaults are the faults of a proxy. The zero value forwards all data unchanged.
type proxyFaults struct {
	// Cut closes all connections, and new ones when they are accepted.
	Cut bool
	// DropToServer and DropToClient block one direction without closing the
	// connection, as a link does that loses all packets of one direction.
	DropToServer bool
	DropToClient bool
	// Delay is added before every write, in both directions.
	Delay time.Duration
	// BytesPerSecond limits each direction of each connection; 0 means no limit.
	BytesPerSecond int
}

// proxy is a fault-injecting TCP proxy on loopback.
type proxy struct {
	listener net.Listener
	target   string
	group    conc.WaitGroup

	mu     sync.Mutex // guards the fields below
	faults proxyFaults
	open   map[net.Conn]bool
	// delayed are connections whose data to the server is withheld
	// until deliverDelayed.
	delayed map[net.Conn]bool
	closed  bool
	change  chan struct{} // closed and replaced when the faults change
}

// startProxy starts a proxy to target and closes it at the end of the test.
func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, open: make(map[net.Conn]bool), change: make(chan struct{})}
	p.group.Go(p.accept)
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set replaces the faults. Data that was blocked in one direction is forwarded
// when that direction is unblocked.
func (p *proxy) set(f proxyFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.change)
	p.change = make(chan struct{})
	if f.Cut {
		p.closeOpen()
	}
}

// delayOpen delays data to the server on the connections that are open now, as
// if their packets arrived late, and clears all other faults. Later connections are
// not affected.
func (p *proxy) delayOpen() {
	p.mu.Lock()
	p.delayed = maps.Clone(p.open)
	p.mu.Unlock()
	p.set(proxyFaults{})
}

// deliverDelayed ends delayOpen: the delayed data is forwarded to the server.
func (p *proxy) deliverDelayed() {
	p.mu.Lock()
	p.delayed = nil
	p.mu.Unlock()
	p.set(proxyFaults{})
}

// closeOpen closes all open connections. The caller holds p.mu.
func (p *proxy) closeOpen() {
	for c := range p.open {
		_ = c.Close()
	}
	clear(p.open)
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.closeOpen()
	close(p.change)
	p.change = make(chan struct{})
	p.mu.Unlock()
	p.group.Wait()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil || !p.track(client, server) {
			_ = client.Close()
			if server != nil {
				_ = server.Close()
			}
			continue
		}
		p.group.Go(func() { p.pipe(server, client, true) })
		p.group.Go(func() { p.pipe(client, server, false) })
	}
}

// track registers a pair of connections as open. It returns false if the proxy is cut
// or closed.
func (p *proxy) track(pair ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Cut || p.closed {
		return false
	}
	for _, c := range pair {
		p.open[c] = true
	}
	return true
}

// pipe forwards data in one direction until either connection closes.
func (p *proxy) pipe(to, from net.Conn, toServer bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], toServer) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes data with the delays of the faults, and reports whether it was
// written.
func (p *proxy) forward(to net.Conn, data []byte, toServer bool) bool {
	faults, ok := p.awaitDirection(to, toServer)
	if !ok {
		return false
	}
	delay := faults.Delay
	if faults.BytesPerSecond > 0 {
		delay += time.Duration(len(data)) * time.Second / time.Duration(faults.BytesPerSecond)
	}
	time.Sleep(delay)
	_, err := to.Write(data)
	return err == nil
}

// awaitDirection waits while the direction is blocked. It returns the faults to
// apply, and false if the proxy is cut or closed.
func (p *proxy) awaitDirection(to net.Conn, toServer bool) (proxyFaults, bool) {
	for {
		p.mu.Lock()
		f, change, closed := p.faults, p.change, p.closed
		delayed := p.delayed[to] && toServer
		p.mu.Unlock()
		blocked := delayed || f.DropToServer && toServer || f.DropToClient && !toServer
		if closed || f.Cut {
			return f, false
		}
		if !blocked {
			return f, true
		}
		<-change
	}
}
