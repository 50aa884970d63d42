package core

import (
	"fmt"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
	"github.com/fulmarlatch/fulmarlatch/internal/placement"
)

// heldTasks holds the reservations and attempts on the workers whose leases this
// process has.
type heldTasks struct {
	reservations map[api.AttemptID]reservation
	tasks        map[api.AttemptID]*heldTask
	byWorker     map[string]map[api.AttemptID]*heldTask
	// byCoordinator and ended avoid a scan of all tasks every second.
	byCoordinator map[api.EntryRef]map[api.AttemptID]*heldTask // unlogged tasks
	ended         map[api.AttemptID]*heldTask                  // not acknowledged
}

// reservation is a reservation of resources on a worker for a coordinator's attempt.
type reservation struct {
	spec      api.TaskSpec
	placement message.Placement
}

// heldPhase is the state of an attempt on a held worker.
type heldPhase int

const (
	heldStarting heldPhase = iota // waits for the result of StartTask
	heldRunning
	heldEnded // waits for the coordinator's acknowledgement
)

// heldTask is an attempt on a held worker: a coordinator committed it, or the worker
// listed it when it granted the lease.
type heldTask struct {
	spec              api.TaskSpec // payload unset
	placement         message.Placement
	phase             heldPhase
	coordinatorOffset uint64          // highest that a query named, 0 without a query
	stopRequested     bool            // a stop or checkpoint command was or will be sent
	report            *api.TaskReport // set once ended; payload unset
	endedAt           time.Time
	resends           int // how often the end was sent again under this lease
	lastResent        time.Time
}

func newHeldTasks() heldTasks {
	return heldTasks{
		reservations: make(map[api.AttemptID]reservation),
		tasks:        make(map[api.AttemptID]*heldTask),
		byWorker:     make(map[string]map[api.AttemptID]*heldTask),

		byCoordinator: make(map[api.EntryRef]map[api.AttemptID]*heldTask),
		ended:         make(map[api.AttemptID]*heldTask),
	}
}

func (h *heldTasks) add(t *heldTask) {
	h.tasks[t.spec.Attempt] = t
	addTo(h.byWorker, t.placement.Worker, t)
	if !t.spec.Kind.Logged() {
		addTo(h.byCoordinator, t.spec.Coordinator, t)
	}
	if t.phase == heldEnded {
		h.ended[t.spec.Attempt] = t
	}
}

func (h *heldTasks) remove(t *heldTask) {
	delete(h.tasks, t.spec.Attempt)
	delete(h.ended, t.spec.Attempt)
	removeFrom(h.byWorker, t.placement.Worker, t)
	removeFrom(h.byCoordinator, t.spec.Coordinator, t)
}

// setCoordinator changes the coordinator that receives the reports on a task.
func (h *heldTasks) setCoordinator(t *heldTask, ref api.EntryRef) {
	removeFrom(h.byCoordinator, t.spec.Coordinator, t)
	t.spec.Coordinator = ref
	if t.report != nil {
		t.report.Spec.Coordinator = ref
	}
	if !t.spec.Kind.Logged() {
		addTo(h.byCoordinator, ref, t)
	}
}

// setEnded keeps the report of a task until it is acknowledged.
func (h *heldTasks) setEnded(t *heldTask, report api.TaskReport, now time.Time) {
	t.phase = heldEnded
	t.endedAt = now
	t.report = &report
	h.ended[t.spec.Attempt] = t
}

func addTo[K comparable](sets map[K]map[api.AttemptID]*heldTask, key K, t *heldTask) {
	set := sets[key]
	if set == nil {
		set = make(map[api.AttemptID]*heldTask)
		sets[key] = set
	}
	set[t.spec.Attempt] = t
}

func removeFrom[K comparable](sets map[K]map[api.AttemptID]*heldTask, key K, t *heldTask) {
	set := sets[key]
	if set == nil {
		return
	}
	delete(set, t.spec.Attempt)
	if len(set) == 0 {
		delete(sets, key)
	}
}

func (h *heldTasks) dropWorker(name string) {
	for _, t := range h.byWorker[name] {
		h.remove(t)
	}
	for id, r := range h.reservations {
		if r.placement.Worker == name {
			delete(h.reservations, id)
		}
	}
}

// reserve handles a coordinator's request to reserve resources. It starts nothing.
func (c *Core) reserve(from api.EntryRef, m message.Reserve) {
	if c.policy == nil || c.stopping && from != c.cfg.Self {
		reason := fault.New(fault.NotReady, "the entry process accepts no new work", "ask another holder")
		c.send(from, message.Reserved{Refused: m.Attempts, Reason: reason})
		return
	}
	requests := c.placementRequests(m)
	expires := c.now.Add(time.Duration(m.TTLMS) * time.Millisecond)
	var answer message.Reserved
	if m.AllOrNone {
		answer = c.reserveAll(m, requests, expires)
	} else {
		answer = c.reserveEach(requests, expires)
	}
	if len(answer.Refused) > 0 && m.Preempt {
		c.preempt(requests[len(answer.Placements)])
	}
	c.send(from, answer)
}

func (c *Core) placementRequests(m message.Reserve) []placement.Request {
	rank := c.policy.classes[m.Spec.Class].Rank
	requests := make([]placement.Request, len(m.Attempts))
	for i, id := range m.Attempts {
		spec := m.Spec
		spec.Attempt = id
		requests[i] = placement.Request{Spec: spec, Rank: rank}
	}
	return requests
}

func (c *Core) reserveAll(m message.Reserve, requests []placement.Request, expires time.Time) message.Reserved {
	names, err := c.pool.ReserveAll(c.now, requests, expires)
	if err != nil {
		return message.Reserved{Refused: m.Attempts, Reason: fault.As(err)}
	}
	var answer message.Reserved
	for i, name := range names {
		answer.Placements = append(answer.Placements, c.keepReservation(requests[i].Spec, name))
	}
	return answer
}

func (c *Core) reserveEach(requests []placement.Request, expires time.Time) message.Reserved {
	var answer message.Reserved
	for _, r := range requests {
		name, err := c.pool.Reserve(c.now, r, expires)
		if err != nil {
			answer.Refused = append(answer.Refused, r.Spec.Attempt)
			answer.Reason = fault.As(err)
			continue
		}
		answer.Placements = append(answer.Placements, c.keepReservation(r.Spec, name))
	}
	return answer
}

func (c *Core) keepReservation(spec api.TaskSpec, worker string) message.Placement {
	w := c.workers.byName[worker]
	p := message.Placement{Attempt: spec.Attempt, Worker: worker, Epoch: w.epoch, Boot: w.boot}
	c.held.reservations[spec.Attempt] = reservation{spec: spec, placement: p}
	return p
}

// preempt frees resources for a request by checkpointing or stopping less urgent tasks.
// The coordinator places the refused task again later.
func (c *Core) preempt(r placement.Request) {
	for _, v := range c.pool.Victims(c.now, r) {
		t := c.held.tasks[v.Attempt]
		if t == nil || t.phase != heldRunning || t.stopRequested || !mayRunAgain(t.spec) {
			continue
		}
		t.stopRequested = v.Action != placement.ActionThrottle
		c.counters.Preempted++
		c.control(t, TaskCommand(v.Action))
	}
}

// mayRunAgain reports whether the task may be attempted again after an attempt has
// started.
func mayRunAgain(spec api.TaskSpec) bool { return spec.Idempotent }

func (c *Core) control(t *heldTask, command TaskCommand) {
	c.emit(ControlTask{Worker: t.placement.Worker, Epoch: t.placement.Epoch, Attempt: t.spec.Attempt, Command: command})
}

func (c *Core) release(m message.Release) {
	for _, id := range m.Attempts {
		c.dropReservation(id)
	}
}

func (c *Core) dropReservation(id api.AttemptID) bool {
	if _, ok := c.held.reservations[id]; !ok {
		return false
	}
	delete(c.held.reservations, id)
	c.pool.Release(id)
	c.queue.CapacityFreed(c.now)
	return true
}

func (c *Core) expireReservations() {
	for _, id := range c.pool.Expire(c.now) {
		delete(c.held.reservations, id)
	}
}

// commitReserved starts a reserved attempt. It refuses the commit unless the sender
// has a live reservation in the same epoch, because the sender may have been replaced
// as the coordinator. This is the commit step of spec/claim.pml.
func (c *Core) commitReserved(from api.EntryRef, m message.Commit) {
	id := m.Placement.Attempt
	if t := c.held.tasks[id]; t != nil {
		if t.phase == heldRunning {
			c.send(from, message.Started{Attempt: id})
		}
		return
	}
	r, ok := c.held.reservations[id]
	w := c.workers.byName[m.Placement.Worker]
	if ok && r.spec.Coordinator != from {
		c.refuseCommit(from, id)
		return
	}
	if !ok || r.placement != m.Placement || w == nil || w.phase != leaseHeld || w.epoch != m.Placement.Epoch {
		c.dropReservation(id)
		c.refuseCommit(from, id)
		return
	}
	delete(c.held.reservations, id)
	if _, ok := c.pool.Start(c.now, id); !ok {
		c.refuseCommit(from, id)
		return
	}
	c.held.add(&heldTask{spec: r.spec, placement: r.placement})
	spec := r.spec
	spec.Payload = m.Payload
	c.emit(StartTask{Worker: r.placement.Worker, Epoch: r.placement.Epoch, Spec: spec})
}

func (c *Core) refuseCommit(from api.EntryRef, id api.AttemptID) {
	reason := fault.New(fault.StaleEpoch, fmt.Sprintf("attempt %s has no live reservation", id), "reserve again")
	c.send(from, message.StartRefused{Attempt: id, Reason: reason})
}

// heldAt returns the attempt if it is held on the worker under the epoch, or nil.
func (c *Core) heldAt(id api.AttemptID, worker string, epoch uint64) *heldTask {
	t := c.held.tasks[id]
	if t == nil || t.placement.Worker != worker || t.placement.Epoch != epoch {
		return nil
	}
	return t
}

func (c *Core) taskStarted(e TaskStarted) {
	t := c.heldAt(e.Attempt, e.Worker, e.Epoch)
	if t == nil || t.phase != heldStarting {
		return
	}
	t.phase = heldRunning
	c.send(t.spec.Coordinator, message.Started{Attempt: e.Attempt})
	if t.stopRequested {
		c.control(t, CommandStop)
	}
}

func (c *Core) taskStartRefused(e TaskStartRefused) {
	t := c.heldAt(e.Attempt, e.Worker, e.Epoch)
	if t == nil || t.phase != heldStarting {
		return
	}
	c.held.remove(t)
	c.pool.Release(e.Attempt)
	c.queue.CapacityFreed(c.now)
	c.send(t.spec.Coordinator, message.StartRefused{Attempt: e.Attempt, Reason: fault.As(e.Reason)})
}

func (c *Core) taskEnded(e TaskEnded) {
	t := c.heldAt(e.Report.Spec.Attempt, e.Worker, e.Epoch)
	if t == nil || t.phase == heldEnded {
		return
	}
	report := e.Report
	report.Spec.Payload = nil
	report.Spec.Coordinator = t.spec.Coordinator
	c.held.setEnded(t, report, c.now)
	c.pool.Release(t.spec.Attempt)
	if !wasInterrupted(e.Report) {
		ok := e.Report.Outcome == api.OutcomeCompleted
		c.pool.RecordOutcome(c.now, e.Worker, t.spec.Class, t.spec.Workspace, ok)
	}
	c.queue.CapacityFreed(c.now)
	c.send(t.spec.Coordinator, message.Ended{Report: *t.report})
}

// Errors that a worker reports for a task that was ended by a command.
const (
	errorStopped      = "stopped"
	errorCheckpointed = "checkpointed"
)

// wasInterrupted reports whether a task was ended by a stop or checkpoint command.
func wasInterrupted(r api.TaskReport) bool {
	return r.Error == errorStopped || r.Error == errorCheckpointed
}

func (c *Core) taskUsage(e TaskUsage) {
	for id, used := range e.Used {
		if c.heldAt(id, e.Worker, e.Epoch) != nil {
			c.pool.RecordUse(c.now, e.Worker, id, used)
		}
	}
}

// acknowledge handles a coordinator's acknowledgement of ended attempts.
func (c *Core) acknowledge(from api.EntryRef, m message.Acknowledge) {
	for _, id := range m.Attempts {
		t := c.held.tasks[id]
		if t != nil && t.phase == heldEnded && t.spec.Coordinator == from {
			c.dropEnded(t)
		}
	}
}

// dropEnded drops an ended attempt here and at its worker.
func (c *Core) dropEnded(t *heldTask) {
	c.held.remove(t)
	c.emit(AcknowledgeTasks{Worker: t.placement.Worker, Epoch: t.placement.Epoch, Attempts: []api.AttemptID{t.spec.Attempt}})
}

// stopHeld stops a held attempt, or drops its reservation.
func (c *Core) stopHeld(id api.AttemptID) {
	if c.dropReservation(id) {
		return
	}
	t := c.held.tasks[id]
	if t == nil || t.phase == heldEnded || t.stopRequested {
		return
	}
	t.stopRequested = true
	if t.phase == heldRunning {
		c.control(t, CommandStop)
	}
}
