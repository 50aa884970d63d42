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

// eventBacklog bounds the events that wait for the control goroutine. Drivers
// wait when it is full.
const eventBacklog = 4096

// Node is one entry process.
type Node struct {
	settings settings.Settings
	self     api.EntryRef
	log      *zap.Logger
	registry metrics.Registry

	// The control goroutine owns core, chain and waiting.
	core    *core.Core
	chain   *bundle.Chain
	waiting map[uint64]chan<- api.Answer
	rolls   rollState

	events  chan event
	stopped chan struct{} // closed when the core reports Stopped
	done    chan struct{} // closed when the control goroutine must end
	logLost chan struct{} // has one signal when the log dropped unread records

	tokens     atomic.Uint64
	workspaces atomic.Pointer[workspaceTokens]
	readiness  atomic.Pointer[operator.Readiness]

	workers   *workerDriver
	mesh      *peer.Mesh
	members   *memberList
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

// listeners are the bound sockets of a node.
type listeners struct{ caller, peer, operator net.Listener }

// Addresses are the bound addresses of a node, as host:port.
type Addresses struct {
	Entry    string `json:"entry"`
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
}

// New binds the listeners of an entry process. The error is a *fault.Error.
func New(s settings.Settings, log *zap.Logger) (*Node, error) {
	n := &Node{
		settings: s,
		self:     api.EntryRef{Name: s.Entry, Incarnation: uint64(time.Now().UnixNano())},
		log:      log,
		registry: metrics.NewRegistry(),
		chain:    bundle.NewChain(s.OperatorKeys()),
		waiting:  make(map[uint64]chan<- api.Answer),
		events:   make(chan event, eventBacklog),
		stopped:  make(chan struct{}),
		done:     make(chan struct{}),
		logLost:  make(chan struct{}, 1),
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
	n.members = newMemberList(n)
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

// dialConfig returns how to dial peers: with the certificate of the peer listener.
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

// Addresses returns the bound addresses.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Entry:    n.settings.Entry,
		Caller:   n.listeners.caller.Addr().String(),
		Peer:     n.listeners.peer.Addr().String(),
		Operator: n.listeners.operator.Addr().String(),
	}
}

// Run serves until ctx ends and then stops gracefully: no new work, leases handed
// over, requests in progress finished, within the shutdown grace of the settings.
// It returns an Unavailable fault if the grace was too short. It stops in the same
// way with a LogDown fault when the log dropped records that were not read yet;
// the process has to be started again then.
func (n *Node) Run(ctx context.Context) error {
	driverCtx, stopDrivers := context.WithCancel(context.Background())
	defer stopDrivers()
	var control conc.WaitGroup
	control.Go(n.control)
	n.startDrivers(driverCtx)
	n.log.Info("started", zap.String("self", n.self.String()))
	lost := n.awaitStop(ctx)
	err := errors.Join(lost, n.finish())
	stopDrivers()
	n.stopServers()
	n.stopRefreshes()
	n.drivers.Wait()
	close(n.done)
	control.Wait()
	n.log.Info("stopped")
	return err
}

// awaitStop returns when the process has to stop, with the fault that is the cause
// or nil for a planned stop.
func (n *Node) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.logLost:
		return fault.New(fault.LogDown, "the log dropped records that this process had not read", "start the process again")
	}
}

func (n *Node) startDrivers(ctx context.Context) {
	n.workers.start(ctx)
	n.drivers.Go(func() { n.logEnd("caller_listener", n.callers.Serve(n.listeners.caller)) })
	n.drivers.Go(func() { n.logEnd("operator_listener", n.operators.Serve(n.listeners.operator)) })
	n.drivers.Go(func() { n.logEnd("peer_listener", n.mesh.Serve(n.listeners.peer)) })
	n.drivers.Go(func() { _ = n.workTail.Run(ctx) })
	n.drivers.Go(func() { _ = n.rollTail.Run(ctx) })
	n.drivers.Go(func() { _ = n.appender.Run(ctx) })
	n.drivers.Go(func() { _ = vmlist.NewFollower(n.vmClient, n.members.changed, n.members.failed).Run(ctx) })
	n.drivers.Go(func() { n.watchRetention(ctx) })
}

func (n *Node) logEnd(name string, err error) {
	if err != nil {
		n.log.Error("listener_failed", zap.String("listener", name), zap.Error(err))
	}
}

// finish waits for the core to finish what is in progress, and for the time in
// which callers are told to use another process.
func (n *Node) finish() error {
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

// serverStopBound is the time for the last responses to be written.
const serverStopBound = 2 * time.Second

func (n *Node) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), serverStopBound)
	defer cancel()
	_ = n.callers.Shutdown(ctx)
	_ = n.mesh.Close()
	_ = n.operators.Shutdown(ctx)
	n.workers.wait()
	n.logClient.Close()
	n.vmClient.Close()
}
