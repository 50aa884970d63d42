package peer

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestMain(m *testing.M) {
	// fasthttp updates its Date header for the lifetime of the process, and the
	// cleaner of a closed worker pool ends only after its sleep of 10 s.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

type event struct {
	ref  api.EntryRef
	kind string // up, down or message
	msg  message.Message
	err  error
}

// recorder records the events of one mesh and checks their order.
type recorder struct {
	t      *testing.T
	mu     sync.Mutex
	up     map[string]api.EntryRef
	events []event
}

func (r *recorder) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, isUp := r.up[e.ref.Name]
	if isUp == (e.kind == "up") || (isUp && current != e.ref) {
		r.t.Errorf("event %s of %s out of order, up: %t", e.kind, e.ref, isUp)
	}
	switch e.kind {
	case "up":
		r.up[e.ref.Name] = e.ref
	case "down":
		delete(r.up, e.ref.Name)
	}
	r.events = append(r.events, e)
}

func (r *recorder) PeerUp(ref api.EntryRef, _ string) { r.add(event{ref: ref, kind: "up"}) }
func (r *recorder) PeerDown(ref api.EntryRef, err error) {
	r.add(event{ref: ref, kind: "down", err: err})
}
func (r *recorder) PeerMessage(ref api.EntryRef, m message.Message) {
	r.add(event{ref: ref, kind: "message", msg: m})
}

// find returns the events of a kind from one incarnation.
func (r *recorder) find(ref api.EntryRef, kind string) []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []event
	for _, e := range r.events {
		if e.ref == ref && e.kind == kind {
			found = append(found, e)
		}
	}
	return found
}

// await waits for at least count events of a kind from one incarnation.
func (r *recorder) await(ref api.EntryRef, kind string, count int) []event {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		if got := len(r.find(ref, kind)); got < count {
			return poll.Continue("%d of %d events %s of %s", got, count, kind, ref)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(60*time.Second))
	return r.find(ref, kind)
}

// process is a mesh with the recorder of its events.
type process struct {
	*Mesh
	*recorder
	ref     api.EntryRef
	address string
}

// start runs a mesh that listens on address.
func start(t *testing.T, name string, incarnation uint64, address string, cfg Config) *process {
	t.Helper()
	cfg.Self = api.EntryRef{Name: name, Incarnation: incarnation}
	cfg.HeartbeatInterval = 20 * time.Millisecond
	if cfg.DownAfter == 0 {
		cfg.DownAfter = 20 * time.Second
	}
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	if cfg.TLS != nil {
		listener = tls.NewListener(listener, &tls.Config{
			Certificates: cfg.TLS.Certificates, ClientCAs: cfg.TLS.RootCAs, ClientAuth: tls.RequireAndVerifyClientCert})
	}
	r := &recorder{t: t, up: map[string]api.EntryRef{}}
	p := &process{Mesh: New(cfg, r), recorder: r, ref: cfg.Self, address: listener.Addr().String()}
	served := make(chan error, 1)
	go func() { served <- p.Serve(listener) }()
	t.Cleanup(func() {
		assert.Check(t, p.Close())
		assert.Check(t, <-served)
	})
	return p
}

const loopback = "127.0.0.1:0"

// pair connects a to b through a relay.
func pair(t *testing.T, cfg Config) (a, b *process, r *relay) {
	t.Helper()
	a, b = start(t, "a", 1, loopback, cfg), start(t, "b", 1, loopback, cfg)
	r = newRelay(t, b.address)
	b.SetPeers(map[string]string{"a": a.address})
	a.SetPeers(map[string]string{"a": a.address, "b": r.address()})
	a.await(b.ref, "up", 1)
	b.await(a.ref, "up", 1)
	return a, b, r
}

// TestMesh guards against missing or duplicate links, and against messages and
// summaries that are not delivered.
func TestMesh(t *testing.T) {
	var all []*process
	peers := map[string]string{}
	for _, name := range []string{"a", "b", "c"} {
		p := start(t, name, 5, loopback, Config{})
		peers[name] = p.address
		all = append(all, p)
	}
	for _, p := range all {
		p.SetPeers(peers)
	}
	for _, p := range all {
		for _, q := range all {
			if p != q {
				p.await(q.ref, "up", 1)
			}
		}
	}
	a, b, c := all[0], all[1], all[2]
	assert.NilError(t, a.SetSummary(message.Summary{Roll: 3}))
	assert.DeepEqual(t, c.await(a.ref, "message", 1)[0].msg, message.Summary{Roll: 3})
	started := message.Started{Attempt: api.AttemptID{Job: "j"}}
	assert.NilError(t, c.Send(b.ref, started, true))
	assert.NilError(t, c.Send(b.ref, started, false))
	for _, e := range b.await(c.ref, "message", 2) {
		assert.DeepEqual(t, e.msg, started)
	}
	err := a.Send(api.EntryRef{Name: "b", Incarnation: 4}, started, true)
	assert.Equal(t, fault.KindOf(err), fault.Unavailable)
	assert.Equal(t, c.Stats()[1].MessagesSent, uint64(2))

	delete(peers, "c")
	a.SetPeers(peers)
	assert.Assert(t, errors.Is(a.await(c.ref, "down", 1)[0].err, errRemoved))
	c.await(a.ref, "down", 1)
	assert.Equal(t, fault.KindOf(a.Send(c.ref, started, true)), fault.Unavailable)
}

// TestRestart guards against a new incarnation that is reported up before the old
// one is reported down, and against a link that is not opened again after either
// side restarts.
func TestRestart(t *testing.T) {
	for _, restarted := range []string{"a", "b"} {
		t.Run(restarted, func(t *testing.T) {
			a, b, _ := pair(t, Config{})
			old, other := a, b
			if restarted == "b" {
				old, other = b, a
			}
			assert.NilError(t, old.Close())
			next := start(t, restarted, 2, old.address, Config{})
			next.SetPeers(map[string]string{other.ref.Name: other.address})
			other.await(next.ref, "up", 1)
			next.await(other.ref, "up", 1)
			assert.Equal(t, len(other.find(old.ref, "down")), 1)
		})
	}
}

// TestNewIncarnation guards against a restarted peer that is reported up before
// its old link is reported down. The old link is stalled and has not timed out.
func TestNewIncarnation(t *testing.T) {
	a, b, r := pair(t, Config{})
	r.stall(toTarget)
	assert.NilError(t, a.Close())
	next := start(t, "a", 2, loopback, Config{})
	next.SetPeers(map[string]string{"b": b.address})
	b.await(next.ref, "up", 1)
	assert.Assert(t, errors.Is(b.await(a.ref, "down", 1)[0].err, errReplaced))
}

// TestOneWayStall guards against a link that stays up on one side when only one
// direction stalls.
func TestOneWayStall(t *testing.T) {
	a, b, r := pair(t, Config{DownAfter: time.Second})
	r.stall(toTarget)
	assert.Assert(t, errors.Is(a.await(b.ref, "down", 1)[0].err, errNoEcho))
	// The heartbeats that b misses would also echo those of b.
	cause := b.await(a.ref, "down", 1)[0].err
	assert.Assert(t, errors.Is(cause, errNoHeartbeat) || errors.Is(cause, errNoEcho), "%v", cause)
}

// TestBulkStall guards against a link that stays up on the heartbeats of the
// urgent connection while the bulk connection delivers nothing.
func TestBulkStall(t *testing.T) {
	a, b, r := pair(t, Config{DownAfter: time.Second})
	r.stallConnection(1)
	assert.NilError(t, a.Send(b.ref, message.FetchRoll{}, false))
	assert.Assert(t, errors.Is(a.await(b.ref, "down", 1)[0].err, errBulkStall))
	assert.Equal(t, len(b.find(a.ref, "message")), 0)
}

// TestUrgentOvertakesBulk guards against a long answer that delays urgent or
// shorter messages, and against its corruption.
func TestUrgentOvertakesBulk(t *testing.T) {
	a, b, r := pair(t, Config{})
	ended := func(size int) message.Ended {
		return message.Ended{Report: api.TaskReport{Body: bytes.Repeat([]byte{7}, size)}}
	}
	r.stallConnection(1)
	assert.NilError(t, a.Send(b.ref, ended(20<<20), true))
	assert.NilError(t, a.Send(b.ref, ended(200<<10), true))
	assert.NilError(t, a.Send(b.ref, message.FetchRoll{}, true))
	assert.DeepEqual(t, b.await(a.ref, "message", 1)[0].msg, message.FetchRoll{})
	r.resume()
	got := b.await(a.ref, "message", 3)
	for i, size := range []int{200 << 10, 20 << 20} {
		body := got[i+1].msg.(message.Ended).Report.Body
		assert.Assert(t, bytes.Equal(body, ended(size).Report.Body), fmt.Sprint(len(body)))
	}
}

// TestQueueFull guards against messages that are lost without an error when a
// peer does not read.
func TestQueueFull(t *testing.T) {
	a, b, r := pair(t, Config{QueueMessages: 10})
	r.stall(toTarget)
	large := message.Ended{Report: api.TaskReport{Body: make([]byte, MaxMessageBytes/10)}}
	var err error
	for i := 0; i < 1000 && err == nil; i++ {
		err = a.Send(b.ref, large, false)
	}
	assert.Assert(t, errors.Is(err, errQueueFull))
	assert.Assert(t, errors.Is(a.await(b.ref, "down", 1)[0].err, errQueueFull))
	large.Report.Body = make([]byte, MaxMessageBytes+1)
	assert.Equal(t, fault.KindOf(a.Send(b.ref, large, false)), fault.Unavailable)
	_, err = prepare(large)
	assert.Equal(t, fault.KindOf(err), fault.Invalid)
}

// TestMalformedFrame guards against a link that stays up after a malformed frame
// and one that is not opened again.
func TestMalformedFrame(t *testing.T) {
	a, b, _ := pair(t, Config{})
	l := a.peers["b"].link()
	l.queue.add(outgoing{frame: []byte{255, 0xa0}}, true)
	assert.ErrorContains(t, b.await(a.ref, "down", 1)[0].err, "frame number 255 is unknown")
	b.await(a.ref, "up", 2)
}
