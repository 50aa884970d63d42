package node

import (
	"context"
	"errors"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/core"
	"github.com/fulmarlatch/fulmarlatch/internal/upstream"
)

// workerDriver executes the actions of the core on workers. Each held lease has a
// session with its own goroutines.
type workerDriver struct {
	node   *Node
	ctx    context.Context
	leases conc.WaitGroup // goroutines of acquire

	mu       sync.Mutex             // guards sessions
	sessions map[string]heldSession // by worker
}

// heldSession is the session of one lease.
type heldSession struct {
	epoch   uint64
	session *upstream.Session
}

func newWorkerDriver(n *Node) *workerDriver {
	return &workerDriver{node: n, ctx: context.Background(), sessions: make(map[string]heldSession)}
}

// start sets the context of all leases. It must be called before the first action.
func (d *workerDriver) start(ctx context.Context) { d.ctx = ctx }

// wait returns when all sessions have ended.
func (d *workerDriver) wait() { d.leases.Wait() }

func (d *workerDriver) post(ev core.Event) { d.node.post(coreEvent{ev}) }

// acquire requests a lease and holds it until it is lost or released.
func (d *workerDriver) acquire(a core.AcquireLease) {
	d.leases.Go(func() {
		client := upstream.NewClient(a.Address)
		defer client.Close()
		held, err := client.Lease(d.ctx, d.node.self.String(), a.Lease, a.TaskLease)
		if err != nil {
			d.post(leaseRefused(a.Worker, err))
			return
		}
		config := upstream.Config{Lease: a.Lease, TaskLease: a.TaskLease, Renew: a.Renew}
		session := upstream.NewSession(client, config, held, workerSink{d})
		d.addSession(a.Worker, heldSession{held.Grant.Epoch, session})
		_ = session.Hold(d.ctx)
		d.removeSession(a.Worker, held.Grant.Epoch)
	})
}

// leaseRefused returns the event for a lease that was not granted.
func leaseRefused(worker string, err error) core.LeaseRefused {
	refused := core.LeaseRefused{Worker: worker}
	var held *upstream.HeldError
	if errors.As(err, &held) {
		refused.Holder = held.Holder
		refused.Remaining = held.Remaining
	}
	return refused
}

func (d *workerDriver) addSession(worker string, s heldSession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sessions[worker] = s
}

func (d *workerDriver) removeSession(worker string, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[worker].epoch == epoch {
		delete(d.sessions, worker)
	}
}

// session returns the session of a lease, or nil if the lease has ended.
func (d *workerDriver) session(worker string, epoch uint64) *upstream.Session {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.sessions[worker]; s.epoch == epoch {
		return s.session
	}
	return nil
}

func (d *workerDriver) release(a core.ReleaseLease) {
	if s := d.session(a.Worker, a.Epoch); s != nil {
		s.Release()
	}
}

func (d *workerDriver) startTask(a core.StartTask) {
	if s := d.session(a.Worker, a.Epoch); s != nil {
		s.Start(a.Spec)
	}
}

func (d *workerDriver) controlTask(a core.ControlTask) {
	if s := d.session(a.Worker, a.Epoch); s != nil {
		s.Control(a.Attempt, upstream.Command(a.Command))
	}
}

func (d *workerDriver) acknowledge(a core.AcknowledgeTasks) {
	if s := d.session(a.Worker, a.Epoch); s != nil {
		s.Acknowledge(a.Attempts)
	}
}

// workerSink implements upstream.Sink. It posts the reports of a session as events
// of the core.
type workerSink struct{ d *workerDriver }

func (s workerSink) Granted(g api.Grant) { s.d.post(core.LeaseGranted{Grant: g}) }

func (s workerSink) Lost(worker string, epoch uint64) {
	s.d.post(core.LeaseLost{Worker: worker, Epoch: epoch})
}

func (s workerSink) Released(worker string, epoch uint64) {
	s.d.post(core.LeaseReleased{Worker: worker, Epoch: epoch})
}

func (s workerSink) Started(worker string, epoch uint64, attempt api.AttemptID) {
	s.d.post(core.TaskStarted{Worker: worker, Epoch: epoch, Attempt: attempt})
}

func (s workerSink) StartRefused(worker string, epoch uint64, attempt api.AttemptID, reason error) {
	s.d.post(core.TaskStartRefused{Worker: worker, Epoch: epoch, Attempt: attempt, Reason: reason})
}

func (s workerSink) Ended(worker string, epoch uint64, report api.TaskReport) {
	s.d.post(core.TaskEnded{Worker: worker, Epoch: epoch, Report: report})
}

func (s workerSink) Usage(worker string, epoch uint64, used map[api.AttemptID]api.Resources) {
	s.d.post(core.TaskUsage{Worker: worker, Epoch: epoch, Used: used})
}
