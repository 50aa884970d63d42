package entry

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sourcegraph/conc"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/guard"
	"github.com/fulmarlatch/fulmarlatch/internal/link"
	"github.com/fulmarlatch/fulmarlatch/internal/logging"
)

// holder represents one term of this process as the holder of a cell. Its control
// goroutine owns the scheduler; other goroutines use the scheduler through post.
type holder struct {
	agent     *agent
	node      *Node
	claim     claim
	tokens    *orderTokens // of the orders to workers
	logger    *zap.Logger
	startedAt time.Time

	events   chan event
	writer   *recordWriter
	ctx      context.Context
	cancel   context.CancelFunc
	ready    atomic.Bool   // the records of earlier holders have been restored
	renewals atomic.Uint32 // confirmed renewals of the claim
	tasks    conc.WaitGroup

	// Owned by the control goroutine.
	sched          *cell.Scheduler
	sessions       map[string]*session
	waiters        []waiter
	pendingAccepts []pendingAccept
	stored         uint64
	lag            lagMeter
	longestWait    time.Duration // of an event, since the last summary
	passes         int           // since the last summary
	// workspacesVersion is that of the configuration whose limits the scheduler has.
	workspacesVersion uint64
	nextPassAt        time.Time // zero if the next pass may begin now

	silenceReportedAt time.Time // when the followers were last notified of a silent log
	summarizedAt      time.Time // when the last summary was logged

	mu             sync.Mutex
	followers      map[string]*link.Link
	cause          string
	releasing      chan struct{}    // closed when a planned release begins
	released       chan struct{}    // closed when the term has ended
	confirmedAt    time.Duration    // since boot, send time of the newest confirmed renewal or append
	unproven       []unprovenAnswer // in the order of their time
	renewalSentAt  time.Duration    // since boot, send time of the newest confirmed renewal
	renewalTook    time.Duration    // duration of that renewal
	renewEarly     chan struct{}    // requests a renewal before the next interval
	priorAuthority time.Duration    // how long an earlier holder may still renew leases
}

// event is a function that the control goroutine must call.
type event struct {
	posted time.Time
	call   func(*cell.Scheduler)
}

// Causes of the end of a term that are used in more than one place.
const (
	causeReleased = "released"
	causeSlow     = "too_slow"
	causePanic    = "panic"
	causeYielded  = "yielded"
)

// waiter is a callback for when all records up to seq are stored.
type waiter struct {
	seq  uint64
	call func()
}

// Limits of the control goroutine.
const (
	eventQueueLength = 8192
	controlInterval  = 25 * time.Millisecond
	maxEventBatch    = 256
)

// newHolder returns a holder that is not running yet. For up to priorAuthority, an
// earlier holder may still renew leases of workers.
func newHolder(a *agent, c claim, priorAuthority time.Duration) *holder {
	ctx, cancel := context.WithCancel(context.Background())
	h := &holder{
		agent: a, node: a.node, claim: c, tokens: newOrderTokens(c.Token),
		logger:         a.logger.With(zap.Int64("token", c.Token)),
		startedAt:      time.Now(),
		events:         make(chan event, eventQueueLength),
		ctx:            ctx,
		cancel:         cancel,
		sessions:       map[string]*session{},
		followers:      map[string]*link.Link{},
		releasing:      make(chan struct{}),
		released:       make(chan struct{}),
		confirmedAt:    clock.SinceBoot(),
		renewEarly:     make(chan struct{}, 1),
		priorAuthority: priorAuthority,
	}
	h.writer = newRecordWriter(a.node.platform.Log, a.cell, a.node.cfg.Partitions, c.Token, h.logger)
	h.writer.running = &a.node.running
	h.writer.open = c.Lanes | firstLane
	h.writer.onConfirmed = h.confirm
	h.writer.claimsRespond = h.claimsRespond
	h.writer.renewClaim = h.renewNow
	h.writer.onFenced = func() { h.endTerm("records_fenced") }
	h.writer.onDiscarded = func(p cell.Persist) { h.post(func(s *cell.Scheduler) { h.onDiscarded(s, p) }) }
	h.writer.onStored = func(seq uint64) { h.post(func(s *cell.Scheduler) { h.onStored(s, seq) }) }
	return h
}

// now returns the scheduler's current time.
func (h *holder) now() cell.Instant { return cell.Instant(time.Since(processStart).Milliseconds()) }

// processStart is the zero point of the scheduler's clock.
var processStart = time.Now()

// endTerm ends the term. A cause that is already set is kept.
func (h *holder) endTerm(cause string) {
	h.mu.Lock()
	if h.cause == "" {
		h.cause = cause
	}
	h.mu.Unlock()
	h.cancel()
}

// post queues an event for the control goroutine. While the queue is full, it blocks
// until the term ends.
func (h *holder) post(call func(*cell.Scheduler)) {
	select {
	case h.events <- event{time.Now(), call}:
	case <-h.ctx.Done():
	}
}

// run serves the cell until the claim is lost or released or ctx ends, and returns the
// cause. The claims partition ends at the offset end.
func (h *holder) run(ctx context.Context, end int64) string {
	stop := context.AfterFunc(ctx, func() { h.endTerm("process_stops") })
	defer stop()
	h.spawn("the renewals of the claim", func() { h.keepClaim(end) })
	h.spawn("the search for a better holder", h.yieldToStronger)
	h.contain("the control goroutine", func() {
		if h.restore() {
			h.serveCell()
		}
	})
	h.cancel()
	h.closeFollowerLinks()
	h.tasks.Wait()
	h.writer.calls.Wait()
	close(h.released)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cause
}

// serveCell serves the cell, whose records are restored, until the term ends.
func (h *holder) serveCell() {
	h.spawn("the writer of records", func() { h.writer.run(h.ctx) })
	h.spawn("the sweep of records", func() { h.writer.runSweep(h.ctx) })
	h.spawn("the watch of workers", func() { h.node.platform.Registry.WatchWorkers(h.ctx, h.setWorkers) })
	h.spawn("the announcements", h.announce)
	h.spawn("the maintenance waves", h.runWaves)
	h.ready.Store(true)
	h.control()
}

// spawn runs f in a new goroutine of the term. A panic in f ends the term.
func (h *holder) spawn(where string, f func()) {
	h.tasks.Go(func() { h.contain(where, f) })
}

// contain calls f and ends the term if f panics. A term whose claim is still renewed but
// that does not work any more would keep every other process from serving the cell.
func (h *holder) contain(where string, f func()) {
	if err := guard.Run(h.logger, where, f); err != nil {
		h.endTerm(causePanic)
	}
}

// control runs the control goroutine: it handles events and performs the scheduler's
// actions.
func (h *holder) control() {
	timer := time.NewTicker(controlInterval)
	defer timer.Stop()
	pass := time.NewTimer(0)
	defer pass.Stop()
	h.updateCallers(h.sched)
	due := false // a pass is needed and begins when the timer allows it
	for {
		select {
		case e := <-h.events:
			h.tick()
			h.checkLag(e.posted)
			e.call(h.sched)
			h.handleQueuedEvents()
			due = true
		case <-timer.C:
			h.tick()
			h.updateWorkspaces()
			h.checkLog()
			h.logSummary()
			due = true
		case <-pass.C:
			h.nextPassAt = time.Time{}
		case <-h.ctx.Done():
			return
		}
		if due && h.nextPassAt.IsZero() && !h.isReleasing() {
			due = false
			h.pass(pass)
		}
	}
}

// passDelayFactor is the interval between the starts of two passes, as a multiple of
// the duration of the first one. Without this delay, passes over a long queue would
// leave no CPU time for requests and appends.
const passDelayFactor = 1.5

// pass performs the scheduler's actions and sets the timer to when the next pass may
// begin.
func (h *holder) pass(next *time.Timer) {
	start := time.Now()
	h.confirmScheduler()
	h.perform(h.sched.Actions())
	h.passes++
	delay := time.Duration(float64(time.Since(start)) * passDelayFactor)
	h.nextPassAt = start.Add(delay)
	next.Reset(delay)
}

// tick sets the scheduler's time.
func (h *holder) tick() { h.sched.Tick(h.now(), time.Now().UnixMilli()) }

// confirmScheduler tells the scheduler when the holder was last confirmed.
func (h *holder) confirmScheduler() {
	h.sched.Confirm(h.now() - cell.Instant(h.sinceConfirmed().Milliseconds()) - 1)
}

// handleQueuedEvents handles queued events without waiting, up to maxEventBatch of them. The
// scheduler's time is set for each event: it compares when a start was confirmed with when
// listings were requested, and an earlier time would let it miss a run that has just started.
func (h *holder) handleQueuedEvents() {
	for range maxEventBatch {
		select {
		case e := <-h.events:
			h.tick()
			e.call(h.sched)
		default:
			return
		}
	}
}

// If events wait longer than lagLimit for more than maxLagDuration, the VM is too slow
// and the holder releases the cell.
const (
	lagLimit       = 120 * time.Millisecond
	maxLagDuration = 600 * time.Millisecond
	// maxLagStep is the most that one event counts, so that a single pause of the process
	// is no reason to release the cell.
	maxLagStep = 200 * time.Millisecond
)

// lagMeter measures for how long events have waited too long. Time without lag counts
// half as much as time with lag: on a VM that is too slow, some events still wait little.
type lagMeter struct {
	checkedAt time.Time
	lagging   time.Duration
}

// check records that an event has waited for the given time, and reports whether the
// lag has lasted too long.
func (m *lagMeter) check(now time.Time, waited time.Duration) bool {
	passed := min(now.Sub(m.checkedAt), maxLagStep)
	m.checkedAt = now
	if waited >= lagLimit {
		m.lagging += passed
	} else {
		m.lagging = max(m.lagging-passed/2, 0)
	}
	return m.lagging > maxLagDuration
}

// checkLag releases the cell if events have waited too long and a follower is linked.
func (h *holder) checkLag(posted time.Time) {
	now := time.Now()
	waited := now.Sub(posted)
	h.longestWait = max(h.longestWait, waited)
	if h.lag.check(now, waited) && len(h.followerLinks()) > 0 {
		h.logger.Warn("holder_too_slow", zap.Duration("lag", waited), zap.Int("events", len(h.events)))
		h.lag.lagging = 0
		h.node.spawn(func() { h.release(causeSlow) })
	}
}

// perform carries out actions of the scheduler.
func (h *holder) perform(actions []cell.Action) {
	orders := orderLog{logger: h.logger}
	defer orders.flush()
	for _, action := range actions {
		switch a := action.(type) {
		case cell.Start:
			orders.start(a)
			if s := h.sessions[a.Worker]; s != nil {
				s.start(a)
			} else {
				h.onStarted(a, cell.StartUnhealthy)
			}
		case cell.Stop:
			orders.stop(a)
			if s := h.sessions[a.Worker]; s != nil {
				s.stop(a)
			}
		case cell.Throttle:
			if s := h.sessions[a.Worker]; s != nil {
				s.throttle(a)
			}
		case cell.RequestPermits:
			h.requestPermits(a)
		case cell.Acknowledge:
			if s := h.sessions[a.Worker]; s != nil {
				s.acknowledge(a.Incarnation, a.Number)
			}
		case cell.Persist:
			h.writer.add(a)
		case cell.WorkerRemoved:
			if s := h.sessions[a.Worker]; s != nil && !h.sched.HasWorker(a.Worker) {
				h.closeSession(s)
			}
		case cell.LogEvent:
			h.logEvent(a, orders.takeStarts(a))
		}
	}
}

// logEvent logs an event, with the runs that it is about if they are known, and records it in
// the metrics.
func (h *holder) logEvent(e cell.LogEvent, runs string) {
	h.node.meters.record(e)
	level := zapcore.InfoLevel
	if e.Failed {
		level = zapcore.WarnLevel
	}
	checked := h.logger.Check(level, string(e.Event))
	if checked == nil {
		return
	}
	fields := make([]zap.Field, 0, 8)
	switch e.Event {
	case cell.EventJobAccepted, cell.EventJobCompleted, cell.EventPermitsGiven:
		fields = append(fields, logging.Routine)
	}
	for _, f := range [...]struct{ key, value string }{{"job", e.Job}, {"task", e.Task}, {"worker", e.Worker}, {"detail", e.Detail}, {"runs", runs}} {
		if f.value != "" {
			fields = append(fields, zap.String(f.key, f.value))
		}
	}
	if e.Run > 0 {
		fields = append(fields, zap.Uint32("run", e.Run))
	}
	checked.Write(append(fields, zap.Int64("age_ms", e.AgeMS))...)
}

// summaryInterval is the interval at which a summary of the cell's state is logged.
const summaryInterval = 5 * time.Second

func (h *holder) logSummary() {
	if time.Since(h.summarizedAt) < summaryInterval {
		return
	}
	h.summarizedAt = time.Now()
	s := h.sched.Summary()
	h.node.meters.setGauges(s)
	h.logger.Info("cell_state", zap.Int("jobs", s.Jobs), zap.Int("waiting", s.Waiting), zap.Int("late", s.Late),
		zap.Int("attempts", s.Attempts), zap.Int("closing", s.Closing), zap.Int("workers", s.Workers), zap.Int("usable", s.Usable),
		zap.Int("probation", s.Probation), zap.Int64("free_cpu_milli", s.FreeCPUMilli), zap.Int("calls", s.Calls),
		zap.Int("calls_waiting", s.CallsWaiting), zap.Int("limited", s.Limited), zap.Bool("settled", s.Settled), zap.Uint64("stored", h.stored),
		zap.Int("turns", h.passes), zap.Duration("longest_wait", h.longestWait))
	h.passes, h.longestWait = 0, 0
}

// onStarted passes the outcome of a start to the scheduler.
func (h *holder) onStarted(a cell.Start, outcome cell.StartOutcome) {
	h.post(func(s *cell.Scheduler) { s.Started(a.Worker, a.Task, a.Run, outcome) })
}

// onStored marks the records up to seq as stored and calls the waiters for them.
func (h *holder) onStored(s *cell.Scheduler, seq uint64) {
	h.stored = seq
	s.Stored(seq)
	n := sort.Search(len(h.waiters), func(i int) bool { return h.waiters[i].seq > seq })
	for _, w := range h.waiters[:n] {
		w.call()
	}
	h.waiters = h.waiters[n:]
	h.replyStored()
}

// whenStored calls f once all records up to seq are stored.
func (h *holder) whenStored(seq uint64, f func()) {
	if seq <= h.stored {
		f()
		return
	}
	i := sort.Search(len(h.waiters), func(i int) bool { return h.waiters[i].seq > seq })
	h.waiters = append(h.waiters, waiter{})
	copy(h.waiters[i+1:], h.waiters[i:])
	h.waiters[i] = waiter{seq, f}
}

// setWorkers passes those workers of the registry that belong to the cell to the
// scheduler, and opens sessions for them.
func (h *holder) setWorkers(infos []cell.WorkerInfo) {
	h.post(func(s *cell.Scheduler) {
		inCell := infos[:0:0]
		for _, info := range infos {
			if cellOf(info.Rack, len(h.node.agents())) == h.agent.cell {
				inCell = append(inCell, info)
			}
		}
		s.SetWorkers(inCell)
		for _, info := range inCell {
			h.openSession(info)
		}
	})
}

// openSession starts a session for a worker unless one exists for the same address.
func (h *holder) openSession(info cell.WorkerInfo) {
	target := Target{ID: info.ID, Address: info.Address}
	old := h.sessions[info.ID]
	if old != nil && old.target == target {
		old.noteRegistered(info.Incarnation)
		return
	}
	s := newSession(h, target)
	if old != nil {
		old.cancel()
		s.inherit(old)
		h.sched.ResendStops(info.ID)
	}
	h.sessions[info.ID] = s
	h.spawn("the session with a worker", s.run)
}

// closeSession ends a session and removes it.
func (h *holder) closeSession(s *session) {
	s.cancel()
	if h.sessions[s.target.ID] == s {
		delete(h.sessions, s.target.ID)
	}
}
