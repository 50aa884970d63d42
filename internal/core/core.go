package core

import (
	"math/rand/v2"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/placement"
	"github.com/fulmarlatch/fulmarlatch/internal/queue"
	"github.com/fulmarlatch/fulmarlatch/internal/record"
)

// Config holds the settings of a Core. They are fixed when the Core is created,
// except that LogRetention replaces KeyRetention and RefreshInterval.
type Config struct {
	Self   api.EntryRef
	Domain string // failure domain of the entry VM
	Seed   uint64 // for sampling and jitter
	// ResultRetention is how long the answers of finished jobs are kept, so that
	// a retried request gets the same answer.
	ResultRetention time.Duration
	// KeyRetention is how long idempotency keys are kept. It must be at least
	// the log's retention.
	KeyRetention time.Duration
	// RefreshInterval is the age at which live logged jobs are appended again.
	// It must be less than half of the log's retention.
	RefreshInterval time.Duration
}

// Defaults for the zero fields of Config.
const (
	DefaultResultRetention = 10 * time.Minute
	DefaultKeyRetention    = 2 * time.Hour
	DefaultRefreshInterval = 15 * time.Minute
)

// Core holds the scheduling state of one entry process. It is not safe for
// concurrent use: the control goroutine of package node owns it.
type Core struct {
	cfg Config
	now time.Time
	rng *rand.Rand

	roll         uint64
	policy       *policy
	stopping     bool
	stopped      bool
	keepsWorkers bool // stopping without a live peer: holds workers until its requests end
	logUp        bool
	caughtUp     bool
	logGap       bool // the log dropped records before this process read them

	queue *queue.Queue
	pool  *placement.Pool

	members  members
	workers  workers
	held     heldTasks
	jobs     jobTable
	attempts attemptTable
	requests requestTable

	lastSecond time.Time // when tick last did the work of each second
	resumedAt  time.Time // end of the last pause of the process
	out        []Action
	local      []message.Message // messages from this process to itself
	counters   Counters
}

// New returns a Core without a bundle, peers or workers. It is not ready before the
// first BundleChanged event.
func New(cfg Config) *Core {
	if cfg.ResultRetention == 0 {
		cfg.ResultRetention = DefaultResultRetention
	}
	if cfg.KeyRetention == 0 {
		cfg.KeyRetention = DefaultKeyRetention
	}
	if cfg.RefreshInterval == 0 {
		cfg.RefreshInterval = DefaultRefreshInterval
	}
	return &Core{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		queue:    queue.New(cfg.Seed),
		pool:     placement.New(cfg.Seed),
		members:  newMembers(),
		workers:  newWorkers(),
		held:     newHeldTasks(),
		jobs:     newJobTable(),
		attempts: newAttemptTable(),
		requests: newRequestTable(),
	}
}

// Step handles one event at the given time and returns the resulting actions, in
// order. Time must not go back between calls.
func (c *Core) Step(now time.Time, ev Event) []Action {
	if now.Sub(c.now) >= pauseThreshold {
		c.resumedAt = now
	}
	c.now = now
	c.handle(ev)
	c.deliverLocal()
	c.dispatch()
	c.checkStopped()
	out := c.out
	c.out = nil
	return out
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Tick:
		c.tick()
	case BundleChanged:
		c.setBundle(e)
	case VMsChanged:
		c.updateVMs(e)
	case PeerUp:
		c.peerUp(e)
	case PeerDown:
		c.peerDown(e.Ref)
	case PeerMessage:
		c.receive(e.From, e.Message)
	case LeaseGranted:
		c.leaseGranted(e.Grant)
	case LeaseRefused:
		c.leaseRefused(e)
	case LeaseLost:
		c.leaseLost(e.Worker, e.Epoch)
	case LeaseReleased:
		c.leaseReleased(e)
	case TaskStarted:
		c.taskStarted(e)
	case TaskStartRefused:
		c.taskStartRefused(e)
	case TaskEnded:
		c.taskEnded(e)
	case TaskUsage:
		c.taskUsage(e)
	case CallerRequest:
		c.callerRequest(e)
	case CallerGone:
		c.callerGone(e.Token)
	case RecordRead:
		c.applyRecord(e.Offset, e.Record)
	case LogCaughtUp:
		c.caughtUp = !c.logGap
	case LogGap:
		c.handleLogGap()
	case LogState:
		c.logUp = e.Up
	case LogRetention:
		c.setRetention(e.Retention)
	case StopRequested:
		c.stop()
	}
}

// receive handles a message from a peer or from this process itself.
func (c *Core) receive(from api.EntryRef, m message.Message) {
	switch m := m.(type) {
	case message.Summary:
		c.peerSummary(from, m)
	case message.WorkspaceUse:
		c.peerUse(from, m)
	case message.Reserve:
		c.reserve(from, m)
	case message.Release:
		c.release(m)
	case message.Commit:
		c.commitReserved(from, m)
	case message.Acknowledge:
		c.acknowledge(from, m)
	case message.CancelAttempt:
		c.stopHeld(m.Attempt)
	case message.QueryAttempt:
		c.answerQuery(from, m)
	case message.HandOver:
		c.handedOver(m)
	case message.Reserved:
		c.reserved(from, m)
	case message.Started:
		c.attemptStarted(m.Attempt)
	case message.StartRefused:
		c.attemptRefused(m)
	case message.Ended:
		c.attemptEnded(from, m.Report)
	case message.LeaseAcquired:
		c.leaseAcquired(from, m)
	case message.AttemptState:
		c.attemptState(from, m)
	case message.Forward:
		c.forwarded(from, m)
	case message.ForwardAnswer:
		c.forwardAnswer(m)
	}
}

// tick does the periodic work.
func (c *Core) tick() {
	c.requeueDelayed()
	c.expireQueue()
	c.expireReservations()
	c.timeOutReserving()
	c.updateKeepsWorkers()
	c.updateLeases()
	c.attempts.placementFailures = 0
	if c.now.Sub(c.lastSecond) < time.Second {
		return
	}
	c.lastSecond = c.now
	if c.stopping {
		c.chooseHolders() // unfinished requests may have ended
	}
	c.stopOrphans()
	c.relievePressure()
	c.resendEnded()
	c.queryStranded()
	c.adoptJobs()
	c.refreshJobs()
	c.expireFinished()
	c.shareWorkspaceUse()
	c.updatePeerUse()
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// send sends a message to an entry process. Messages to this process are handled
// before Step returns.
func (c *Core) send(to api.EntryRef, m message.Message) {
	if to == c.cfg.Self {
		c.local = append(c.local, m)
		return
	}
	c.emit(Send{To: to, Message: m, Urgent: isUrgent(m)})
}

// maxUrgentBytes is the largest answer body in bytes that is sent on the urgent
// connection.
const maxUrgentBytes = 16 << 10

func isUrgent(m message.Message) bool {
	switch m := m.(type) {
	case message.Ended:
		return len(m.Report.Body) <= maxUrgentBytes
	case message.ForwardAnswer:
		return len(m.Answer.Body) <= maxUrgentBytes
	}
	return true
}

func (c *Core) deliverLocal() {
	for len(c.local) > 0 {
		batch := c.local
		c.local = nil
		for _, m := range batch {
			c.receive(c.cfg.Self, m)
		}
	}
}

// append appends a record to the work stream under the next sequence number of this
// process.
func (c *Core) append(r record.Record) {
	c.jobs.sequence++
	r.Writer = c.cfg.Self
	r.Sequence = c.jobs.sequence
	c.counters.Appends++
	c.emit(Append{Records: []record.Record{r}})
}

func (c *Core) logEvent(event string, fields ...Field) {
	c.emit(LogEvent{Event: event, Fields: fields})
}

// jitter returns a random duration between d/2 and d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}

// setRetention derives intervals from the retention of the log: keys are kept as
// long as the log keeps their claims, and live jobs are appended again well before
// the log drops their records.
func (c *Core) setRetention(retention time.Duration) {
	if retention <= 0 {
		return
	}
	c.cfg.KeyRetention = retention
	c.cfg.RefreshInterval = retention / 4
}

// Ready reports whether the core accepts new requests: it has a bundle and is not
// stopping.
func (c *Core) Ready() bool { return c.policy != nil && !c.stopping }

// policy holds the parts of the bundle in force that the core uses.
type policy struct {
	classes map[string]bundle.Class
	timing  timing
}

// timing holds the timing section of the bundle as durations.
type timing struct {
	workerLease, renew, taskLease               time.Duration
	reserveTimeout, reservationTTL, orphanGrace time.Duration
}

func (c *Core) setBundle(e BundleChanged) {
	c.roll = e.Roll
	classes := make(map[string]bundle.Class, len(e.Bundle.Classes))
	for _, class := range e.Bundle.Classes {
		classes[class.Name] = class
	}
	isFirst := c.policy == nil
	c.policy = &policy{classes: classes, timing: newTiming(e.Bundle.Timing)}
	c.pool.SetPolicy(e.Bundle.Classes, e.Bundle.Fleet)
	for _, it := range c.queue.SetPolicy(e.Bundle.Classes, e.Bundle.Workspaces) {
		c.refuseRemoved(it)
	}
	if isFirst {
		c.chooseHolders()
	}
}

func newTiming(t bundle.Timing) timing {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return timing{
		workerLease:    ms(t.WorkerLeaseMS),
		renew:          ms(t.LeaseRenewMS),
		taskLease:      ms(t.TaskLeaseMS),
		reserveTimeout: ms(t.ReserveTimeoutMS),
		reservationTTL: ms(t.ReservationTTLMS),
		orphanGrace:    ms(t.OrphanGraceMS),
	}
}
