package test

import (
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// proxyFaults are the faults of a proxy. The zero value passes everything on.
type proxyFaults struct {
	// Cut refuses new connections and closes the open ones.
	Cut bool
	// DropToServer and DropToClient stop one direction without closing it, as a
	// link that loses all packets of one direction.
	DropToServer bool
	DropToClient bool
	// Delay is added to every piece of data, in both directions.
	Delay time.Duration
	// BytesPerSecond limits each direction of each connection; 0 is no limit.
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
	held   map[net.Conn]bool // connections whose data to the server waits
	closed bool
	change chan struct{} // closed when the faults change
}

// startProxy starts a proxy to target, which ends with the test.
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

// set replaces the faults. Data that a direction held back is passed on when
// the direction works again.
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

// holdOpen keeps back what the present connections send to the server, as packets
// that arrive late, and lets later connections pass. letGo ends it.
func (p *proxy) holdOpen() {
	p.mu.Lock()
	p.held = maps.Clone(p.open)
	p.mu.Unlock()
	p.set(proxyFaults{})
}

func (p *proxy) letGo() {
	p.mu.Lock()
	p.held = nil
	p.mu.Unlock()
	p.set(proxyFaults{})
}

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
		if err != nil || !p.keep(client, server) {
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

// keep notes a pair of connections unless the proxy is cut or closed.
func (p *proxy) keep(pair ...net.Conn) bool {
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

// pipe passes data on until one side closes.
func (p *proxy) pipe(to, from net.Conn, toServer bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass(to, buffer[:n], toServer) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) pass(to net.Conn, data []byte, toServer bool) bool {
	faults, ok := p.awaitDirection(to, toServer)
	if !ok {
		return false
	}
	pause := faults.Delay
	if faults.BytesPerSecond > 0 {
		pause += time.Duration(len(data)) * time.Second / time.Duration(faults.BytesPerSecond)
	}
	time.Sleep(pause)
	_, err := to.Write(data)
	return err == nil
}

// awaitDirection waits while the direction is dropped.
func (p *proxy) awaitDirection(to net.Conn, toServer bool) (proxyFaults, bool) {
	for {
		p.mu.Lock()
		f, change, closed := p.faults, p.change, p.closed
		held := p.held[to] && toServer
		p.mu.Unlock()
		dropped := held || f.DropToServer && toServer || f.DropToClient && !toServer
		if closed || f.Cut {
			return f, false
		}
		if !dropped {
			return f, true
		}
		<-change
	}
}
