package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/caller"
	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/operator"
	"github.com/fulmarlatch/fulmarlatch/internal/peer"
	"github.com/fulmarlatch/fulmarlatch/internal/platformlog"
	"github.com/fulmarlatch/fulmarlatch/internal/settings"
	"github.com/fulmarlatch/fulmarlatch/internal/vmlist"
)

// Streams of the platform's log.
const (
	streamRolls = "rolls"
	streamWork  = "work"
)

// maxQueuedEvents limits the events queued for the control goroutine. Drivers block
// while the queue is full.
const maxQueuedEvents = 4096

// Node is one entry process with its core, drivers and listeners.
type Node struct {
	settings settings.Settings
	self     api.EntryRef // this process and its incarnation
	log      *zap.Logger
	registry metrics.Registry

	// Owned by the control goroutine. replies holds the waiting callers by token.
	core    *core.Core
	chain   *bundle.Chain
	replies map[uint64]chan<- api.Answer
	rolls   rollState

	events      chan event
	stopped     chan struct{} // closed when the core reports Stopped
	done        chan struct{} // closed to end the control goroutine
	recordsLost chan struct{} // buffered, signals that the log dropped unread records

	lastToken   atomic.Uint64
	tokenHashes atomic.Pointer[tokenHashes]
	readiness   atomic.Pointer[operator.Readiness]

	workers   *workerDriver
	mesh      *peer.Mesh
	vms       *vmHandler
	logClient *platformlog.Client
	appender  *platformlog.Appender
	workTail  *platformlog.Tail
	rollTail  *platformlog.Tail
	vmClient  *vmlist.Client
	callers   *caller.Server
	operators *operator.Server
	listeners listeners
	drivers   conc.WaitGroup
}

// listeners are the listening sockets of a node.
type listeners struct{ caller, peer, operator net.Listener }

// Addresses holds the addresses (host:port) on which a node listens.
type Addresses struct {
	Entry    string `json:"entry"`
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
}

// New returns a node whose listeners are bound. The caller has to call Run. The
// error is a *fault.Error.
func New(s settings.Settings, log *zap.Logger) (*Node, error) {
	n := &Node{
		settings:    s,
		self:        api.EntryRef{Name: s.Entry, Incarnation: uint64(time.Now().UnixNano())},
		log:         log,
		registry:    metrics.NewRegistry(),
		chain:       bundle.NewChain(s.OperatorKeys()),
		replies:     make(map[uint64]chan<- api.Answer),
		events:      make(chan event, maxQueuedEvents),
		stopped:     make(chan struct{}),
		done:        make(chan struct{}),
		recordsLost: make(chan struct{}, 1),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.core = core.New(core.Config{Self: n.self, Domain: s.Domain, Seed: n.self.Incarnation})
	n.readiness.Store(&operator.Readiness{Entry: s.Entry, Reasons: []string{reasonNoBundle}})
	n.workers = newWorkerDriver(n)
	peerTLS, err := dialConfig(s.Peer.TLS)
	if err != nil {
		n.listeners.close()
		return nil, err
	}
	n.mesh = peer.New(peer.Config{Self: n.self, Domain: s.Domain, TLS: peerTLS, Logger: log}, meshHandler{n})
	n.vms = newVMHandler(n)
	n.openLog()
	n.vmClient = vmlist.NewClient(s.VMList)
	n.callers = caller.NewServer(caller.Config{
		Backend:        backend{n},
		MaxBodyBytes:   int(s.Limits.MaxBodyBytes),
		MaxConnections: int(s.Limits.MaxConnections),
		MaxWaiting:     int(s.Limits.MaxWaiting),
		Logger:         log,
	})
	n.operators = operator.NewServer(operator.Sources{
		Ready:   func() operator.Readiness { return *n.readiness.Load() },
		Dump:    n.dump,
		Metrics: n.registry,
	})
	return n, nil
}

// listen binds all listeners, or none if it fails.
func (n *Node) listen() error {
	bound := &n.listeners
	for _, l := range []struct {
		from settings.Listener
		to   *net.Listener
	}{
		{n.settings.Caller, &bound.caller},
		{n.settings.Peer, &bound.peer},
		{n.settings.Operator, &bound.operator},
	} {
		listener, err := bind(l.from)
		if err != nil {
			bound.close()
			return err
		}
		*l.to = listener
	}
	return nil
}

func bind(l settings.Listener) (net.Listener, error) {
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "cannot listen on "+l.Listen, "free the address or change it in the settings")
	}
	if l.TLS == nil {
		return listener, nil
	}
	config, err := l.TLS.Config()
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, config), nil
}

// dialConfig returns the TLS configuration for dialing peers, which uses the
// certificate of the peer listener, or nil for no TLS.
func dialConfig(t *settings.TLS) (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	return t.ClientConfig()
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Entry:    n.settings.Entry,
		Caller:   n.listeners.caller.Addr().String(),
		Peer:     n.listeners.peer.Addr().String(),
		Operator: n.listeners.operator.Addr().String(),
	}
}

// Run serves until ctx ends and then shuts down gracefully: it accepts no new work,
// hands over leases and finishes requests in progress, within the shutdown grace
// of the settings. It returns an Unavailable fault if work was still in progress
// after that time. If the log drops records that this process has not read, Run
// shuts down in the same way and returns a LogDown fault; the process has to be
// restarted.
func (n *Node) Run(ctx context.Context) error {
	driverCtx, stopDrivers := context.WithCancel(context.Background())
	defer stopDrivers()
	var control conc.WaitGroup
	control.Go(n.control)
	n.startDrivers(driverCtx)
	n.log.Info("started", zap.String("self", n.self.String()))
	lost := n.awaitStop(ctx)
	err := errors.Join(lost, n.drain())
	stopDrivers()
	n.stopServers()
	n.stopRefreshes()
	n.drivers.Wait()
	close(n.done)
	control.Wait()
	n.log.Info("stopped")
	return err
}

// awaitStop waits until the process has to stop. It returns nil if ctx has ended,
// or the fault that requires the stop.
func (n *Node) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.recordsLost:
		return fault.New(fault.LogDown, "the log dropped records that this process had not read", "restart the process")
	}
}

func (n *Node) startDrivers(ctx context.Context) {
	n.workers.start(ctx)
	n.drivers.Go(func() { n.logServeError("caller_listener", n.callers.Serve(n.listeners.caller)) })
	n.drivers.Go(func() { n.logServeError("operator_listener", n.operators.Serve(n.listeners.operator)) })
	n.drivers.Go(func() { n.logServeError("peer_listener", n.mesh.Serve(n.listeners.peer)) })
	n.drivers.Go(func() { _ = n.workTail.Run(ctx) })
	n.drivers.Go(func() { _ = n.rollTail.Run(ctx) })
	n.drivers.Go(func() { _ = n.appender.Run(ctx) })
	n.drivers.Go(func() { _ = vmlist.NewFollower(n.vmClient, n.vms.handleChange, n.vms.handleError).Run(ctx) })
	n.drivers.Go(func() { n.pollRetention(ctx) })
}

func (n *Node) logServeError(name string, err error) {
	if err != nil {
		n.log.Error("listener_failed", zap.String("listener", name), zap.Error(err))
	}
}

// drain asks the core to stop and waits until it has finished the work in progress,
// and at least for the shutdown notice, during which callers are referred to other
// processes. It returns an Unavailable fault after the shutdown grace.
func (n *Node) drain() error {
	n.callers.Drain()
	n.post(coreEvent{core.StopRequested{}})
	notice := time.NewTimer(min(n.settings.ShutdownNotice(), n.settings.ShutdownGrace()))
	defer notice.Stop()
	grace := time.NewTimer(n.settings.ShutdownGrace())
	defer grace.Stop()
	select {
	case <-n.stopped:
		<-notice.C
		return nil
	case <-grace.C:
		return fault.New(fault.Unavailable, "work was still in progress after the shutdown grace", "raise shutdown_grace_ms in the settings")
	}
}

// serverStopTimeout limits the time for writing the last responses.
const serverStopTimeout = 2 * time.Second

func (n *Node) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), serverStopTimeout)
	defer cancel()
	_ = n.callers.Shutdown(ctx)
	_ = n.mesh.Close()
	_ = n.operators.Shutdown(ctx)
	n.workers.wait()
	n.logClient.Close()
	n.vmClient.Close()
}
