package standin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/upstream"
)

const (
	defaultTaskTTL = time.Minute // lease of a task if no request sets one
	// pastAttemptTTL is how long a refused or acknowledged attempt is kept. A start
	// request that arrives after its sender timed out must not start the attempt
	// again.
	pastAttemptTTL = time.Minute
	maxEvents      = 256     // per poll
	maxEventBytes  = 1 << 20 // of inline answers per poll
)

// worker is the stand-in for one worker. It holds mu during a whole request, so that
// requests are atomic; only a poll releases it while it waits.
type worker struct {
	ctx      context.Context
	name     string
	capacity api.Resources
	usageLag time.Duration
	history  *history

	mu        sync.Mutex // guards the fields below
	faults    workerFaults
	boot      uint64        // grows with every restart
	epoch     uint64        // of the last lease
	holder    string        // of the last lease
	leaseEnd  time.Time     // of the last lease
	taskTTL   time.Duration // lease of a task
	tasks     map[api.AttemptID]*task
	past      map[api.AttemptID]pastAttempt // attempts that must not be started again
	free      api.Resources
	events    []upstream.Event // not yet confirmed by a poll
	sequence  uint64           // of the last event
	changed   broadcast        // wakes polls when a task ends or the lease changes
	sampledAt time.Time        // time of sample
	sample    []upstream.Usage // usage to publish after usageLag
}

// pastAttempt is an attempt of the current epoch that was refused (refusal is set) or
// acknowledged.
type pastAttempt struct {
	at      time.Time
	refusal error
}

func newWorker(ctx context.Context, name string, capacity api.Resources, usageLag time.Duration, h *history) *worker {
	// The clock as initial value makes boot numbers and epochs increase across
	// restarts of the stand-ins' process.
	boot := uint64(time.Now().UnixMicro())
	return &worker{ctx: ctx, name: name, capacity: capacity, usageLag: usageLag, history: h,
		boot: boot, epoch: boot, taskTTL: defaultTaskTTL, free: capacity, changed: make(broadcast),
		tasks: map[api.AttemptID]*task{}, past: map[api.AttemptID]pastAttempt{}}
}

// lease grants the lease under a new epoch and lists the tasks atomically. It refuses
// while another lease is in force.
func (w *worker) lease(request upstream.LeaseRequest) (api.Grant, *upstream.LeaseRefusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.leaseEnd) {
		return api.Grant{}, &upstream.LeaseRefusal{
			Error:  *fault.New(fault.Conflict, "a lease is in force", "wait until it expires"),
			Holder: w.holder, RemainingMS: max(1, time.Until(w.leaseEnd).Milliseconds())}
	}
	w.epoch++
	w.holder = request.Holder
	w.events, w.sequence = nil, 0
	clear(w.past)
	w.renew(now, request.TTLMS, request.TaskTTLMS)
	w.changed.wake()
	grant := api.Grant{Worker: w.name, Epoch: w.epoch, Boot: w.boot, Capacity: w.capacity, Tasks: []api.TaskReport{}}
	for _, t := range w.tasks {
		grant.Tasks = append(grant.Tasks, t.report())
	}
	sort.Slice(grant.Tasks, func(i, j int) bool {
		return grant.Tasks[i].Spec.Attempt.String() < grant.Tasks[j].Spec.Attempt.String()
	})
	return grant, nil
}

// renew extends the leases of the worker and of its tasks. w.mu must be held.
func (w *worker) renew(now time.Time, ttlMS, taskTTLMS int64) {
	w.leaseEnd = now.Add(milliseconds(ttlMS))
	if taskTTLMS > 0 {
		w.taskTTL = milliseconds(taskTTLMS)
	}
	for _, t := range w.tasks {
		t.leaseEnd = now.Add(w.taskTTL)
	}
}

// checkEpoch returns a StaleEpoch fault unless epoch is that of the lease in force.
// w.mu must be held.
func (w *worker) checkEpoch(epoch uint64) error {
	if epoch != w.epoch || !time.Now().Before(w.leaseEnd) {
		return fault.New(fault.StaleEpoch, fmt.Sprintf("epoch %d has no lease in force on worker %s", epoch, w.name),
			"request the lease again")
	}
	return nil
}

// poll renews the leases, drops the events that the request confirms and returns the
// rest. If no ended task is among them it waits for one up to WaitMS.
func (w *worker) poll(request upstream.PollRequest) (upstream.PollResponse, error) {
	wake, ready, err := w.beginPoll(request)
	if err != nil {
		return upstream.PollResponse{}, err
	}
	if !ready && request.WaitMS > 0 {
		waitFor(w.ctx, wake, milliseconds(request.WaitMS))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(request.Epoch); err != nil {
		return upstream.PollResponse{}, err
	}
	response := upstream.PollResponse{Events: []upstream.Event{}}
	size := 0
	for i, e := range w.events {
		if e.Ended != nil {
			size += len(e.Ended.Body)
		}
		if i == maxEvents || i > 0 && size > maxEventBytes {
			break
		}
		response.Events = append(response.Events, e)
	}
	return response, nil
}

// beginPoll renews the leases and drops confirmed events. It returns the broadcast to
// wait for, and ready if an ended task is queued already.
func (w *worker) beginPoll(request upstream.PollRequest) (wake broadcast, ready bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(request.Epoch); err != nil {
		return nil, false, err
	}
	w.renew(time.Now(), request.TTLMS, request.TaskTTLMS)
	received := sort.Search(len(w.events), func(i int) bool { return w.events[i].Sequence > request.After })
	w.events = w.events[received:]
	for _, e := range w.events {
		ready = ready || e.Ended != nil
	}
	return w.changed, ready, nil
}

// start checks the epoch and the capacity and starts the task atomically. A repeated
// request returns the result of the first one.
func (w *worker) start(request upstream.StartRequest) (upstream.StartResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(request.Epoch); err != nil {
		return upstream.StartResponse{}, err
	}
	if t := w.tasks[request.Attempt]; t != nil {
		return upstream.StartResponse{State: t.state}, nil
	}
	if past, ok := w.past[request.Attempt]; ok {
		return upstream.StartResponse{State: api.TaskEnded}, past.refusal
	}
	if err := w.checkResources(request.TaskSpec); err != nil {
		w.past[request.Attempt] = pastAttempt{time.Now(), err}
		return upstream.StartResponse{}, err
	}
	t := newTask(request.TaskSpec)
	t.leaseEnd = time.Now().Add(w.taskTTL)
	t.run = w.newRun(request)
	t.run.Used = t.used()
	w.tasks[request.Attempt] = t
	w.free = w.free.Sub(t.spec.Resources)
	w.history.recordStart(t.run, w.capacity)
	w.scheduleEnd(t)
	return upstream.StartResponse{State: t.state}, nil
}

// checkResources returns a fault if the task's resources are negative or not free.
// w.mu must be held.
func (w *worker) checkResources(spec api.TaskSpec) error {
	if d, negative := spec.Resources.Negative(); negative {
		return fault.New(fault.Invalid, fmt.Sprintf("field resources.%s is negative", d), "use 0 or more")
	}
	if d, exceeds := spec.Resources.Exceeds(w.free); exceeds {
		w.history.recordRefusal(w.name, spec.Attempt, d)
		return fault.New(fault.NoCapacity, fmt.Sprintf("%s needs %d of %s but %d are free", spec.Attempt,
			spec.Resources.Get(d), d, w.free.Get(d)), "wait for a task to end or use another worker")
	}
	return nil
}

// newRun returns the history entry of a start.
func (w *worker) newRun(request upstream.StartRequest) *Run {
	return &Run{Worker: w.name, Boot: w.boot, Epoch: request.Epoch, Attempt: request.Attempt,
		Workspace: request.Workspace, Class: request.Class, Kind: request.Kind,
		Idempotent: request.Idempotent, Declared: request.Resources}
}

// scheduleEnd schedules the end of a started task, or ends it at once if the worker is
// set to fail every task. w.mu must be held.
func (w *worker) scheduleEnd(t *task) {
	switch {
	case w.faults.failAll:
		w.end(t, api.OutcomeFailed, "the worker is set to fail every task")
	case t.spec.Kind == api.KindService:
	default:
		work := milliseconds(max(0, t.payload.WorkMS))
		t.due = time.Now().Add(work)
		t.timer = time.AfterFunc(work, func() { w.finish(t) })
	}
}

// finish ends a task whose work is done. The task's timer calls it.
func (w *worker) finish(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case t.state != api.TaskRunning || time.Now().Before(t.due): // ended or throttled in the meantime
	case t.payload.Fail:
		w.end(t, api.OutcomeFailed, "the payload requests a failure")
	default:
		t.setAnswer()
		w.end(t, api.OutcomeCompleted, "")
	}
}

// end ends a running task and queues the event for the holder. w.mu must be held.
func (w *worker) end(t *task, outcome api.Outcome, reason string) {
	t.state, t.outcome, t.reason = api.TaskEnded, outcome, reason
	if t.timer != nil {
		t.timer.Stop()
	}
	w.free = w.free.Add(t.spec.Resources)
	w.history.recordEnd(t.run, outcome, reason)
	report := t.report()
	w.queueEvent(upstream.Event{Ended: &report})
	w.changed.wake()
}

// queueEvent queues e under the next sequence number. w.mu must be held.
func (w *worker) queueEvent(e upstream.Event) {
	w.sequence++
	e.Sequence = w.sequence
	w.events = append(w.events, e)
}

// control executes a command on a task. Repeating a command has no further effect.
func (w *worker) control(epoch uint64, attempt api.AttemptID, command upstream.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	t := w.tasks[attempt]
	switch {
	case t == nil:
		return fault.New(fault.NotFound, "the worker does not list "+attempt.String(), "check the attempt")
	case t.state == api.TaskEnded:
	case command == upstream.Stop:
		w.end(t, api.OutcomeFailed, "stopped")
	case command == upstream.Checkpoint:
		w.end(t, api.OutcomeFailed, "checkpointed")
	case command == upstream.Throttle:
		w.throttle(t)
	default:
		return fault.New(fault.Invalid, "unknown command "+string(command), "use stop, throttle or checkpoint")
	}
	return nil
}

// throttle doubles the remaining run time, once per task. w.mu must be held.
func (w *worker) throttle(t *task) {
	if t.throttled || t.timer == nil {
		return
	}
	t.throttled = true
	t.due = t.due.Add(time.Until(t.due))
	t.timer.Reset(time.Until(t.due))
}

// acknowledge removes ended tasks from the list. It ignores other attempts.
func (w *worker) acknowledge(request upstream.AckRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(request.Epoch); err != nil {
		return err
	}
	for _, a := range request.Attempts {
		if t := w.tasks[a]; t != nil && t.state == api.TaskEnded {
			delete(w.tasks, a)
			w.past[a] = pastAttempt{at: time.Now()}
		}
	}
	return nil
}

// release ends the lease.
func (w *worker) release(epoch uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	w.leaseEnd = time.Time{}
	w.changed.wake()
	return nil
}

// answer returns the answer of an ended attempt. The error is a NotFound fault.
func (w *worker) answer(attempt api.AttemptID) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[attempt]
	if t == nil || t.state != api.TaskEnded {
		return nil, fault.New(fault.NotFound, "the worker has no answer for "+attempt.String(), "check the attempt")
	}
	return t.answer, nil
}
