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
	defaultTaskLease = time.Minute
	// A request may reach the worker long after its sender gave up. Attempts are
	// remembered so long after they were refused or acknowledged that such a
	// request does not start them.
	rememberAttempts = time.Minute
	maxEvents        = 256     // in one poll
	maxEventBytes    = 1 << 20 // of inline answers in one poll
)

// worker is one worker. mu makes every request one atomic step.
type worker struct {
	ctx      context.Context
	name     string
	capacity api.Resources
	usageLag time.Duration
	history  *history

	mu       sync.Mutex
	faults   workerFaults
	boot     uint64
	epoch    uint64
	holder   string
	until    time.Time // end of the lease in force
	taskTTL  time.Duration
	tasks    map[api.AttemptID]*task
	past     map[api.AttemptID]pastAttempt
	free     api.Resources
	events   []upstream.Event
	sequence uint64
	ended    broadcast // a task ended or the lease changed
	sampled  time.Time
	sample   []upstream.Usage
}

// pastAttempt is a refused (refusal is set) or acknowledged attempt of the epoch.
type pastAttempt struct {
	at      time.Time
	refusal error
}

func newWorker(ctx context.Context, name string, capacity api.Resources, usageLag time.Duration, h *history) *worker {
	// Taken from the clock, boot numbers and epochs keep growing when the
	// process of the stand-ins is started again.
	boot := uint64(time.Now().UnixMicro())
	return &worker{ctx: ctx, name: name, capacity: capacity, usageLag: usageLag, history: h,
		boot: boot, epoch: boot, taskTTL: defaultTaskLease, free: capacity, ended: make(broadcast),
		tasks: map[api.AttemptID]*task{}, past: map[api.AttemptID]pastAttempt{}}
}

// lease grants the lease and lists the tasks in one step.
func (w *worker) lease(request upstream.LeaseRequest) (api.Grant, *upstream.LeaseRefusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.until) {
		return api.Grant{}, &upstream.LeaseRefusal{
			Error:  *fault.New(fault.Conflict, "a lease is in force", "wait until it lapses"),
			Holder: w.holder, RemainingMS: max(1, time.Until(w.until).Milliseconds())}
	}
	w.epoch++
	w.holder = request.Holder
	w.events, w.sequence = nil, 0
	clear(w.past)
	w.renew(now, request.TTLMS, request.TaskTTLMS)
	w.ended.wake()
	grant := api.Grant{Worker: w.name, Epoch: w.epoch, Boot: w.boot, Capacity: w.capacity, Tasks: []api.TaskReport{}}
	for _, t := range w.tasks {
		grant.Tasks = append(grant.Tasks, t.report())
	}
	sort.Slice(grant.Tasks, func(i, j int) bool {
		return grant.Tasks[i].Spec.Attempt.String() < grant.Tasks[j].Spec.Attempt.String()
	})
	return grant, nil
}

func (w *worker) renew(now time.Time, ttlMS, taskTTLMS int64) {
	w.until = now.Add(milliseconds(ttlMS))
	if taskTTLMS > 0 {
		w.taskTTL = milliseconds(taskTTLMS)
	}
	for _, t := range w.tasks {
		t.leaseUntil = now.Add(w.taskTTL)
	}
}

// check refuses every epoch but the one whose lease is in force.
func (w *worker) check(epoch uint64) error {
	if epoch != w.epoch || !time.Now().Before(w.until) {
		return fault.New(fault.StaleEpoch, fmt.Sprintf("epoch %d has no lease in force at %s", epoch, w.name),
			"request the lease again")
	}
	return nil
}

// poll renews the leases and waits for an ended task.
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
	if err := w.check(request.Epoch); err != nil {
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

func (w *worker) beginPoll(request upstream.PollRequest) (wake broadcast, ready bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(request.Epoch); err != nil {
		return nil, false, err
	}
	w.renew(time.Now(), request.TTLMS, request.TaskTTLMS)
	received := sort.Search(len(w.events), func(i int) bool { return w.events[i].Sequence > request.After })
	w.events = w.events[received:]
	for _, e := range w.events {
		ready = ready || e.Ended != nil
	}
	return w.ended, ready, nil
}

// start checks the epoch and the capacity and starts the task in one step.
func (w *worker) start(request upstream.StartRequest) (upstream.StartResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(request.Epoch); err != nil {
		return upstream.StartResponse{}, err
	}
	if t := w.tasks[request.Attempt]; t != nil {
		return upstream.StartResponse{State: t.state}, nil
	}
	if past, ok := w.past[request.Attempt]; ok {
		return upstream.StartResponse{State: api.TaskEnded}, past.refusal
	}
	if err := w.refuse(request.TaskSpec); err != nil {
		w.past[request.Attempt] = pastAttempt{time.Now(), err}
		return upstream.StartResponse{}, err
	}
	t := newTask(request.TaskSpec)
	t.leaseUntil = time.Now().Add(w.taskTTL)
	t.run = w.newRun(request)
	t.run.Used = t.used()
	w.tasks[request.Attempt] = t
	w.free = w.free.Sub(t.spec.Resources)
	w.history.started(t.run, w.capacity)
	w.begin(t)
	return upstream.StartResponse{State: t.state}, nil
}

func (w *worker) refuse(spec api.TaskSpec) error {
	if d, negative := spec.Resources.Negative(); negative {
		return fault.New(fault.Invalid, fmt.Sprintf("field resources.%s is negative", d), "use 0 or more")
	}
	if d, exceeds := spec.Resources.Exceeds(w.free); exceeds {
		w.history.refused(w.name, spec.Attempt, d)
		return fault.New(fault.NoCapacity, fmt.Sprintf("%s needs %d of %s, %d are free", spec.Attempt,
			spec.Resources.Get(d), d, w.free.Get(d)), "wait for a task to end or use another worker")
	}
	return nil
}

func (w *worker) newRun(request upstream.StartRequest) *Run {
	return &Run{Worker: w.name, Boot: w.boot, Epoch: request.Epoch, Attempt: request.Attempt,
		Workspace: request.Workspace, Class: request.Class, Kind: request.Kind,
		Idempotent: request.Idempotent, Declared: request.Resources}
}

func (w *worker) begin(t *task) {
	switch {
	case w.faults.failAll:
		w.end(t, api.OutcomeFailed, "the worker fails every task")
	case t.spec.Kind == api.KindService:
	default:
		work := milliseconds(max(0, t.payload.WorkMS))
		t.due = time.Now().Add(work)
		t.timer = time.AfterFunc(work, func() { w.finish(t) })
	}
}

func (w *worker) finish(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case t.state != api.TaskRunning || time.Now().Before(t.due): // throttled meanwhile
	case t.payload.Fail:
		w.end(t, api.OutcomeFailed, "the payload asks for a failure")
	default:
		t.setAnswer()
		w.end(t, api.OutcomeCompleted, "")
	}
}

// end ends a running task and queues the event for the present holder.
func (w *worker) end(t *task, outcome api.Outcome, reason string) {
	t.state, t.outcome, t.err = api.TaskEnded, outcome, reason
	if t.timer != nil {
		t.timer.Stop()
	}
	w.free = w.free.Add(t.spec.Resources)
	w.history.ended(t.run, outcome, reason)
	report := t.report()
	w.queue(upstream.Event{Ended: &report})
	w.ended.wake()
}

func (w *worker) queue(e upstream.Event) {
	w.sequence++
	e.Sequence = w.sequence
	w.events = append(w.events, e)
}

// control carries out a command. Repeated commands have no further effect.
func (w *worker) control(epoch uint64, attempt api.AttemptID, command upstream.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(epoch); err != nil {
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

// throttle doubles the remaining time.
func (w *worker) throttle(t *task) {
	if t.throttled || t.timer == nil {
		return
	}
	t.throttled = true
	t.due = t.due.Add(time.Until(t.due))
	t.timer.Reset(time.Until(t.due))
}

func (w *worker) acknowledge(request upstream.AckRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(request.Epoch); err != nil {
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

func (w *worker) release(epoch uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(epoch); err != nil {
		return err
	}
	w.until = time.Time{}
	w.ended.wake()
	return nil
}

// answer returns the answer of an ended attempt.
func (w *worker) answer(attempt api.AttemptID) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[attempt]
	if t == nil || t.state != api.TaskEnded {
		return nil, fault.New(fault.NotFound, "the worker has no answer of "+attempt.String(), "check the attempt")
	}
	return t.answer, nil
}
