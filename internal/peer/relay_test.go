package peer

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// direction is the direction of a stream through a relay.
type direction int

const (
	toTarget direction = iota
	toSource
)

// relay forwards TCP connections and can stop forwarding in one direction or on
// one connection. A stopped stream forwards neither data nor its end. While a
// direction is stopped, no stream forwards its end, so that each side has to
// detect the failure on its own.
type relay struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	mu           sync.Mutex
	changed      *sync.Cond
	stopped      map[direction]bool
	stalledIndex int // index of the stalled connection, -1 for none
	closed       bool
	open         []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", loopback)
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target, stopped: map[direction]bool{}, stalledIndex: -1}
	r.changed = sync.NewCond(&r.mu)
	r.group.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for index := 0; ; index++ {
		source, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = source.Close()
			continue
		}
		r.update(func() { r.open = append(r.open, source, target) })
		r.group.Go(func() { r.forward(source, target, toTarget, index) })
		r.group.Go(func() { r.forward(target, source, toSource, index) })
	}
}

func (r *relay) forward(from, to net.Conn, d direction, index int) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.await(func() bool { return !r.stopped[d] && r.stalledIndex != index })
		if n > 0 && err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			r.await(func() bool { return len(r.stopped) == 0 })
			_, _ = from.Close(), to.Close()
			return
		}
	}
}

// await returns when the condition holds or the relay is closed.
func (r *relay) await(condition func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !condition() && !r.closed {
		r.changed.Wait()
	}
}

func (r *relay) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.changed.Broadcast()
}

func (r *relay) stall(d direction)         { r.update(func() { r.stopped[d] = true }) }
func (r *relay) stallConnection(index int) { r.update(func() { r.stalledIndex = index }) }
func (r *relay) resume()                   { r.update(func() { r.stalledIndex = -1; clear(r.stopped) }) }

func (r *relay) close() {
	_ = r.listener.Close()
	r.update(func() {
		r.closed = true
		for _, c := range r.open {
			_ = c.Close()
		}
	})
	r.group.Wait()
}
