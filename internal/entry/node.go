package entry

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/guard"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// Node is an entry process. It is safe for concurrent use.
type Node struct {
	cfg      Config
	platform Platform
	cells    atomic.Pointer[[]*agent] // nil until the layout is known
	holding  atomic.Int32             // number of cells that this process holds or claims
	server   *link.Server
	ctx      context.Context
	cancel   context.CancelFunc
	stopping atomic.Bool
	requests atomic.Int64 // number of caller requests in progress
	speed    speedMeter
	running  runClock

	mu     sync.Mutex
	closed bool
	tasks  conc.WaitGroup
	meters *meters
}

// NewNode returns an entry process that is not started yet.
func NewNode(cfg Config, platform Platform) *Node {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	n := &Node{cfg: cfg, platform: platform}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.meters = newMeters(cfg.Metrics)
	n.server = link.NewServer(n.linkConfig(0, n.handleFromFollower), n.followerUp)
	return n
}

// spawn runs f in a new goroutine, unless the process has stopped. A panic in f is
// logged and ends only f.
func (n *Node) spawn(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.tasks.Go(func() { _ = guard.Run(n.cfg.Logger, "a task of the process", f) })
	}
}

// Start serves links on ln and starts to follow or hold the cells.
func (n *Node) Start(ln net.Listener) {
	n.spawn(func() {
		if err := n.server.Serve(ln); err != nil {
			n.cfg.Logger.Error("link_listener_failed", zap.Error(err))
		}
	})
	n.spawn(n.startCells)
	n.spawn(n.register)
	n.spawn(n.probeSpeed)
}

// startCells starts the agents of the cells once the layout is known.
func (n *Node) startCells() {
	cells := n.cfg.Cells
	if cells == 0 {
		cells = n.findLayout(n.ctx)
	}
	agents := make([]*agent, cells)
	for i := range agents {
		agents[i] = newAgent(n, i)
	}
	n.cells.Store(&agents)
	n.cfg.Logger.Info("layout_known", zap.Int("cells", cells))
	for _, a := range agents {
		n.spawn(func() { a.run(n.ctx) })
	}
}

// agents returns the agents of the cells, or nil before the layout is known.
func (n *Node) agents() []*agent {
	if agents := n.cells.Load(); agents != nil {
		return *agents
	}
	return nil
}

// stopPollInterval is the interval at which a planned stop checks for remaining work.
const stopPollInterval = 50 * time.Millisecond

// HandOver begins a planned stop: the process is no longer ready, and it releases the
// cells that it holds. It continues to serve callers through the new holders. HandOver
// returns when notice has passed, no request is in progress and no cell is kept. Once
// latest has passed, it waits only for a release in progress.
func (n *Node) HandOver(notice, latest time.Duration) {
	n.stopping.Store(true)
	start := time.Now()
	for time.Since(start) < latest {
		held := n.releaseCells(time.Since(start) > latest/2, latest-time.Since(start))
		if time.Since(start) >= notice && n.requests.Load() == 0 && held == 0 {
			return
		}
		time.Sleep(stopPollInterval)
	}
	n.cfg.Logger.Warn("stop_incomplete", zap.Int64("requests", n.requests.Load()))
}

// releaseCells releases the cells that this process holds. While the log is silent no
// other process could claim a cell, so it keeps the cell unless force is set. It
// returns the number of cells that it keeps. It waits at most for limit.
func (n *Node) releaseCells(force bool, limit time.Duration) (held int) {
	var releases conc.WaitGroup
	defer releases.Wait()
	for _, a := range n.agents() {
		h, _, _ := a.route()
		switch {
		case h == nil:
		case force || !h.isLogSilent():
			releases.Go(func() { h.releaseWithin(causeReleased, min(limit, releaseTimeout)) })
		default:
			held++
		}
	}
	return held
}

// Limits of the wait for the link listener and for all goroutines when a process closes.
// The goroutines end as soon as the calls that they make notice the end of their context. A
// planned stop leaves 700 ms for both.
const (
	closeTimeout     = 200 * time.Millisecond
	closeTaskTimeout = 500 * time.Millisecond
)

// Close ends all links, stops following or holding the cells and waits until all
// goroutines of the process have ended, or closeTaskTimeout has passed.
func (n *Node) Close() {
	n.cancel()
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := n.server.Shutdown(ctx); err != nil {
		n.cfg.Logger.Debug("link_listener_open", zap.Error(err))
	}
	ended := make(chan struct{})
	go func() {
		n.tasks.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closeTaskTimeout):
		n.cfg.Logger.Warn("close_timeout", zap.Duration("after", closeTaskTimeout))
	}
}

// Stopping reports whether a planned stop has begun.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// maxUnreachable is how long a cell may have no holder before the process is not ready.
// Most takeovers are shorter.
const maxUnreachable = 2 * time.Second

// Ready reports whether the process can serve callers.
func (n *Node) Ready() bool {
	if n.Stopping() || len(n.agents()) == 0 {
		return false
	}
	for _, a := range n.agents() {
		if a.unreachableFor() > maxUnreachable {
			return false
		}
	}
	return true
}

func (n *Node) linkConfig(index int, handle func(*link.Link, *link.Request)) link.Config {
	return link.Config{
		Self:              link.Hello{Name: n.cfg.Name, Domain: n.cfg.Domain, Topic: strconv.Itoa(index), Incarnation: n.cfg.Incarnation},
		HeartbeatInterval: linkHeartbeat,
		DownAfter:         linkDownAfter,
		Handle:            handle,
		Status:            func() link.Status { return n.linkStatus(index) },
		Logger:            n.cfg.Logger,
	}
}

// linkStatus returns what this process reports of a cell over its links: how often it has
// renewed its claim, or with which CPU share it could become the holder.
func (n *Node) linkStatus(index int) link.Status {
	agents := n.agents()
	if index >= len(agents) {
		return link.Status{}
	}
	if h, _, _ := agents[index].route(); h != nil {
		return link.Status{Renewals: uint64(h.renewals.Load())}
	}
	if n.Stopping() {
		return link.Status{}
	}
	if agents[index].isSlow() {
		return link.Status{} // it has just released the cell because it was too slow
	}
	// A process that holds other cells has only a part of its share left.
	return link.Status{CPUMilli: n.cpuMilli() / uint64(1+n.holding.Load())}
}

// holderFor returns this process's holder of the cell that the link is for, or nil.
func (n *Node) holderFor(l *link.Link) *holder {
	index, err := strconv.Atoi(l.Peer().Topic)
	agents := n.agents()
	if err != nil || index < 0 || index >= len(agents) {
		return nil
	}
	h, _, _ := agents[index].route()
	return h
}

// followerUp registers the link of a follower with the cell's holder.
func (n *Node) followerUp(l *link.Link) {
	if l.Peer().Topic == topicAnnounce {
		return
	}
	h := n.holderFor(l)
	if h == nil {
		l.Close()
		return
	}
	h.addFollower(l)
}

func (n *Node) handleFromFollower(l *link.Link, r *link.Request) {
	switch r.Kind {
	case kindAnnounce:
		n.handleAnnouncement(r)
		return
	case kindConfiguration:
		n.handleConfigurationRequest(r)
		return
	}
	if h := n.holderFor(l); h != nil {
		h.serve(r)
		return
	}
	r.Reply(nil, errNotHolder())
}

func errNotHolder() error {
	e := fault.New(fault.NotReady, "this process does not hold the cell", "send the request to the holder of the cell")
	e.RetryAfterMS = retryNoHolderMS
	return e
}

// permitsTimeout limits a call to the policy service. It is longer than any call should
// take.
const permitsTimeout = 3 * time.Second

// permits calls the policy service.
func (n *Node) permits(in permitsRequest) (permitsReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), permitsTimeout)
	defer cancel()
	start := time.Now()
	tickets, valid, err := n.platform.Policy.Permits(ctx, in.Step, in.Workers)
	recordSince(n.meters.permits, start)
	if err != nil {
		n.cfg.Logger.Warn("policy_call_failed", zap.String("step", in.Step), zap.Int("workers", len(in.Workers)), zap.Duration("after", time.Since(start)), zap.Error(err))
		return permitsReply{}, err
	}
	return permitsReply{Tickets: tickets, ValidForMS: valid}, nil
}

// CellDump is the state of a cell at one process, for diagnostics.
type CellDump struct {
	Cell      int
	Role      string // holder, follower or none
	Holder    string // name of the holder
	Token     int64  `json:",omitempty"`
	Followers []string
	SilentMS  int64      `json:",omitempty"` // how long an append has been outstanding
	State     *cell.Dump `json:",omitempty"` // set for the holder only
}

// Dump returns the state of the process and its cells for diagnostics. Errors are
// *fault.Error.
func (n *Node) Dump(ctx context.Context) (any, error) {
	var cells []CellDump
	for _, a := range n.agents() {
		d := CellDump{Cell: a.cell, Role: "none"}
		h, l, _ := a.route()
		switch {
		case h != nil:
			d.Role, d.Holder, d.Token, d.SilentMS = "holder", n.cfg.Name, h.claim.Token, h.writer.silentFor().Milliseconds()
			for name := range h.followerLinks() {
				d.Followers = append(d.Followers, name)
			}
			state, err := await(ctx, h, func(reply func(cell.Dump, error)) {
				h.post(func(s *cell.Scheduler) { reply(s.Dump(), nil) })
			})
			if err != nil {
				return nil, err
			}
			d.State = &state
		case l != nil:
			d.Role, d.Holder = "follower", l.Peer().Name
		}
		cells = append(cells, d)
	}
	return struct {
		Entry    string
		Stopping bool
		Cells    []CellDump
	}{n.cfg.Name, n.Stopping(), cells}, nil
}
