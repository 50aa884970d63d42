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
	"github.com/fulmarlatch/fulmarlatch/internal/link"
)

// holder is the tenure of this process as the holder of a cell. Its control
// goroutine owns the scheduler; everything else reaches it through post.
type holder struct {
	agent  *agent
	node   *Node
	claim  claim
	logger *zap.Logger
	begun  time.Time

	events chan event
	writer *recordWriter
	ctx    context.Context
	cancel context.CancelFunc
	ready  atomic.Bool   // the jobs of earlier holders are read
	beats  atomic.Uint32 // confirmed renewals of the claim
	tasks  conc.WaitGroup

	// Owned by the control goroutine.
	sched    *cell.Scheduler
	sessions map[string]*session
	waiters  []waiter
	accepts  []pendingAccept
	stored   uint64
	lagging  time.Time     // since when events have waited too long
	longest  time.Duration // wait of an event since the last line with the state
	turns    int           // of the control goroutine since then
	passFrom time.Time     // before which no pass begins; zero if one may begin now

	toldSilent time.Time // when the followers were last told of a silent log
	summarized time.Time // when the state of the cell was last logged

	mu        sync.Mutex
	followers map[string]*link.Link
	cause     string
	releasing chan struct{} // closed when a planned stop begins
	released  chan struct{} // closed when the tenure has ended
	renewed   time.Duration // since boot, when the newest sign that the cell is held was asked for
	claimed   time.Duration // since boot, when the newest confirmed renewal was sent
	claimTook time.Duration // of that renewal
	renew     chan struct{} // to renew the claim before its time
	renewing  time.Duration // how long an earlier holder may go on to renew leases
}

// event is something that the control goroutine has to do.
type event struct {
	posted time.Time
	do     func(*cell.Scheduler)
}

// Causes of the end of a tenure that others look at.
const (
	causeReleased = "released"
	causeSlow     = "too_slow"
)

// waiter is called when the records up to seq are stored.
type waiter struct {
	seq  uint64
	call func()
}

// Bounds of the control goroutine.
const (
	eventQueueLength = 8192
	controlInterval  = 25 * time.Millisecond
	maxEventsPerTurn = 256
)

// newHolder returns a holder that has not begun. An earlier holder may go on to renew
// leases of workers for the time renewing.
func newHolder(a *agent, c claim, renewing time.Duration) *holder {
	ctx, cancel := context.WithCancel(context.Background())
	h := &holder{
		agent: a, node: a.node, claim: c,
		logger:    a.logger.With(zap.Int64("token", c.Token)),
		begun:     time.Now(),
		events:    make(chan event, eventQueueLength),
		ctx:       ctx,
		cancel:    cancel,
		sessions:  map[string]*session{},
		followers: map[string]*link.Link{},
		releasing: make(chan struct{}),
		released:  make(chan struct{}),
		renewed:   clock.SinceBoot(),
		renew:     make(chan struct{}, 1),
		renewing:  renewing,
	}
	h.writer = newRecordWriter(a.node.platform.Log, a.cell, a.node.cfg.Partitions, c.Token, h.logger)
	h.writer.open = c.Lanes | firstLane
	h.writer.confirmed = h.confirm
	h.writer.claimsAnswer = h.claimsAnswer
	h.writer.renewClaim = h.renewNow
	h.writer.fenced = func() { h.lose("records_fenced") }
	h.writer.stored = func(seq uint64) { h.post(func(s *cell.Scheduler) { h.onStored(s, seq) }) }
	return h
}

// now returns the time of the scheduler's clock.
func (h *holder) now() cell.Instant { return cell.Instant(time.Since(processStart).Milliseconds()) }

// processStart is the zero of the scheduler's clock.
var processStart = time.Now()

// lose ends the tenure.
func (h *holder) lose(cause string) {
	h.mu.Lock()
	if h.cause == "" {
		h.cause = cause
	}
	h.mu.Unlock()
	h.cancel()
}

// post passes an event to the control goroutine.
func (h *holder) post(do func(*cell.Scheduler)) {
	select {
	case h.events <- event{time.Now(), do}:
	case <-h.ctx.Done():
	}
}

// run serves the cell until the claim is lost, released or ctx ends. End is the
// end of the partition of claims. It returns the cause.
func (h *holder) run(ctx context.Context, end int64) string {
	stop := context.AfterFunc(ctx, func() { h.lose("process_stops") })
	defer stop()
	h.tasks.Go(func() { h.keepClaim(end) })
	if h.restore() {
		h.tasks.Go(func() { h.writer.run(h.ctx) })
		h.tasks.Go(func() { h.writer.runSweep(h.ctx) })
		h.tasks.Go(func() { h.node.platform.Registry.WatchWorkers(h.ctx, h.setWorkers) })
		h.tasks.Go(h.announce)
		h.tasks.Go(h.keepWaves)
		h.ready.Store(true)
		h.control()
	}
	h.cancel()
	h.closeLinks()
	h.tasks.Wait()
	h.writer.calls.Wait()
	close(h.released)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cause
}

// control is the control goroutine: events in, actions out.
func (h *holder) control() {
	timer := time.NewTicker(controlInterval)
	defer timer.Stop()
	pass := time.NewTimer(0)
	defer pass.Stop()
	h.updateCallers(h.sched)
	due := false // a pass is due when the timer fires
	for {
		select {
		case e := <-h.events:
			h.tick()
			h.checkPace(e.posted)
			e.do(h.sched)
			h.drainEvents()
			due = true
		case <-timer.C:
			h.tick()
			h.checkLog()
			h.logSummary()
			due = true
		case <-pass.C:
			h.passFrom = time.Time{}
		case <-h.ctx.Done():
			return
		}
		if due && h.passFrom.IsZero() {
			due = false
			h.pass(pass)
		}
	}
}

// passPause is how many times as long as a pass took the next one waits. Passes of a
// long queue would otherwise take the whole processor from requests and appends.
const passPause = 1.5

// pass decides and carries out what is decided. The timer fires when the next pass may
// begin.
func (h *holder) pass(next *time.Timer) {
	begun := time.Now()
	h.perform(h.sched.Actions())
	h.turns++
	pause := time.Duration(float64(time.Since(begun)) * passPause)
	h.passFrom = begun.Add(pause)
	next.Reset(pause)
}

func (h *holder) tick() { h.sched.Tick(h.now(), time.Now().UnixMilli()) }

func (h *holder) drainEvents() {
	for range maxEventsPerTurn {
		select {
		case e := <-h.events:
			e.do(h.sched)
		default:
			return
		}
	}
}

// A holder whose events wait for lagLimit over lagPatience gives the cell up: its
// VM is too slow for it.
const (
	lagLimit    = 120 * time.Millisecond
	lagPatience = 600 * time.Millisecond
)

// checkPace looks at how long an event has waited.
func (h *holder) checkPace(posted time.Time) {
	now := time.Now()
	h.longest = max(h.longest, now.Sub(posted))
	if now.Sub(posted) < lagLimit {
		h.lagging = time.Time{}
		return
	}
	if h.lagging.IsZero() {
		h.lagging = now
	}
	if now.Sub(h.lagging) > lagPatience && len(h.links()) > 0 {
		h.logger.Warn("holder_too_slow", zap.Duration("lag", now.Sub(posted)), zap.Int("events", len(h.events)))
		h.lagging = now
		h.node.spawn(func() { h.release(causeSlow) })
	}
}

func (h *holder) perform(actions []cell.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case cell.Start:
			if s := h.sessions[a.Worker]; s != nil {
				s.start(a)
			} else {
				h.onStarted(a, cell.StartUnhealthy)
			}
		case cell.Stop:
			if s := h.sessions[a.Worker]; s != nil {
				s.stop(a)
			}
		case cell.Pace:
			if s := h.sessions[a.Worker]; s != nil {
				s.pace(a)
			}
		case cell.AskPolicy:
			h.askPolicy(a)
		case cell.Acknowledge:
			if s := h.sessions[a.Worker]; s != nil {
				s.acknowledged.Store(a.Number)
			}
		case cell.Persist:
			h.writer.add(a)
		case cell.Decision:
			h.log(a)
		}
	}
}

// log writes a decision and counts it.
func (h *holder) log(d cell.Decision) {
	h.node.meters.note(d)
	level := zapcore.InfoLevel
	if d.Failed {
		level = zapcore.WarnLevel
	}
	checked := h.logger.Check(level, string(d.Event))
	if checked == nil {
		return
	}
	fields := make([]zap.Field, 0, 6)
	for _, f := range [...]struct{ key, value string }{{"job", d.Job}, {"task", d.Task}, {"worker", d.Worker}, {"detail", d.Detail}} {
		if f.value != "" {
			fields = append(fields, zap.String(f.key, f.value))
		}
	}
	if d.Run > 0 {
		fields = append(fields, zap.Uint32("run", d.Run))
	}
	checked.Write(append(fields, zap.Int64("age_ms", d.AgeMS))...)
}

// summaryInterval is the pause between two lines with the state of the cell.
const summaryInterval = 5 * time.Second

func (h *holder) logSummary() {
	if time.Since(h.summarized) < summaryInterval {
		return
	}
	h.summarized = time.Now()
	s := h.sched.Summary()
	h.node.meters.gauge(s)
	h.logger.Info("cell_state", zap.Int("jobs", s.Jobs), zap.Int("waiting", s.Waiting), zap.Int("late", s.Late),
		zap.Int("attempts", s.Attempts), zap.Int("closing", s.Closing), zap.Int("workers", s.Workers), zap.Int("usable", s.Usable),
		zap.Int("probation", s.Probation), zap.Int64("free_cpu_milli", s.FreeCPUMilli), zap.Int("calls", s.Calls),
		zap.Int("calls_waiting", s.CallsWaiting), zap.Bool("settled", s.Settled), zap.Uint64("stored", h.stored),
		zap.Int("turns", h.turns), zap.Duration("longest_wait", h.longest))
	h.turns, h.longest = 0, 0
}

func (h *holder) onStarted(a cell.Start, outcome cell.StartOutcome) {
	h.post(func(s *cell.Scheduler) { s.Started(a.Worker, a.Task, a.Run, outcome) })
}

// onStored notes stored records and calls those who waited for them.
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

// whenStored calls f once the records up to seq are stored.
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

// setWorkers takes the workers of the platform's registry.
func (h *holder) setWorkers(infos []cell.WorkerInfo) {
	h.post(func(s *cell.Scheduler) {
		mine := infos[:0:0]
		for _, info := range infos {
			if cellOf(info.Rack, len(h.node.agents())) == h.agent.cell {
				mine = append(mine, info)
			}
		}
		s.SetWorkers(mine)
		for _, info := range mine {
			h.openSession(info)
		}
	})
}

// openSession starts a session for a worker that has none.
func (h *holder) openSession(info cell.WorkerInfo) {
	target := Target{ID: info.ID, Address: info.Address}
	if old := h.sessions[info.ID]; old != nil {
		if old.target == target {
			return
		}
		old.cancel()
	}
	s := newSession(h, target)
	s.acknowledged.Store(h.sched.Acknowledged(info.ID))
	h.sessions[info.ID] = s
	h.tasks.Go(s.run)
}

// closeSession forgets a session that has ended.
func (h *holder) closeSession(s *session) {
	if h.sessions[s.target.ID] == s {
		delete(h.sessions, s.target.ID)
	}
}
