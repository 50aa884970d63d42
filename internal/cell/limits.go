package cell

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// This file keeps what the tasks of a workspace use on all workers of the cell within the limit
// of the workspace. A task counts from before its start is sent until no worker can be running
// it any more, so the count is too high at times and never too low.

// workspaceUse is what a workspace uses, and its limit.
type workspaceUse struct {
	name  string
	limit Resources // in this cell; an amount of 0 means no limit
	used  Resources // by attempts and by runs without an attempt
	// unlisted is the most that workers use which may be running tasks for an earlier holder and
	// have not listed them.
	unlisted Resources
	attempts map[*attempt]bool

	pass      uint64 // in which the fields below were set
	blockedBy *step  // the first step in placement order that the limit keeps from starting
	held      int    // number of steps that the limit holds
	plan      limitPlan

	limitedSince Instant // since when the limit holds steps; 0 if it does not
	limitedAt    Instant // when it held one last
}

// limitPlan is when a gang that the limit keeps from starting is expected to start. Tasks of the
// workspace that come after it in placement order may start if they end before, or if they
// leave it enough of the limit.
type limitPlan struct {
	gang  *step
	start Instant
	spare Resources // what the gang leaves of the limit at its start
	until Instant   // when the plan must be recomputed
}

// charge is what a run without an attempt uses.
type charge struct {
	use    *workspaceUse
	amount Resources
}

// add adds n times the amount to what the workspace uses. It does nothing for nil.
func (u *workspaceUse) add(amount Resources, n int64) {
	if u != nil {
		u.used = u.used.AddScaled(amount, n)
	}
}

func (c charge) refund() { c.use.add(c.amount, -1) }

// limited returns amount without the dimensions in which the workspace has no limit.
func (u *workspaceUse) limited(amount Resources) Resources {
	if u.limit.CPUMilli == 0 {
		amount.CPUMilli = 0
	}
	if u.limit.MemoryMB == 0 {
		amount.MemoryMB = 0
	}
	if u.limit.GPUs == 0 {
		amount.GPUs = 0
	}
	return amount
}

// free returns what is left of the limit.
func (u *workspaceUse) free() Resources {
	return u.limit.AddScaled(u.used, -1).AddScaled(u.unlisted, -1)
}

// useOf returns the use of a workspace, or nil for jobs without one.
func (s *Scheduler) useOf(workspace string) *workspaceUse {
	if workspace == "" {
		return nil
	}
	u := s.uses[workspace]
	if u == nil {
		u = &workspaceUse{name: workspace, attempts: map[*attempt]bool{}}
		s.uses[workspace] = u
	}
	return u
}

// SetWorkspaces replaces the limits of workspaces. One that is not in the list has no limit: no
// job of it is submitted any more. Limits that are lower than what is running stop nothing.
func (s *Scheduler) SetWorkspaces(list []Workspace) {
	s.limitsKnown = true
	for _, u := range s.uses {
		u.limit, u.plan = Resources{}, limitPlan{}
	}
	for _, w := range list {
		if u := s.useOf(w.Name); u != nil {
			u.limit = w.Limit
		}
	}
	for name, u := range s.uses {
		if u.limit == (Resources{}) && len(u.attempts) == 0 && u.used == (Resources{}) && !s.hasJobOf(u) {
			delete(s.uses, name)
		}
	}
}

func (s *Scheduler) hasJobOf(u *workspaceUse) bool {
	for _, j := range s.jobs {
		if j.use == u {
			return true
		}
	}
	return false
}

// checkLimit returns a QuotaExceeded error if a step of the job can never start within the limit
// of its workspace, which is known.
func (s *Scheduler) checkLimit(spec *Job) error {
	u := s.uses[spec.Workspace]
	if u == nil {
		return nil
	}
	for i := range spec.Steps {
		def := &spec.Steps[i]
		need := def.Resources
		if def.Gang {
			need = Resources{}.AddScaled(need, int64(def.Tasks))
		}
		if u.limited(need).FitsInto(u.limit) {
			continue
		}
		e := fault.New(fault.QuotaExceeded, fmt.Sprintf("step %d needs %v at once, and workspace %s may use %v", i, need, u.name, u.limit),
			"use smaller tasks or gangs, or have the limit of the workspace raised")
		e.RetryAfterMS = retryNoCapacityMS
		return e
	}
	return nil
}

// limitFit returns how many tasks of the step may start now without exceeding the limit of
// its workspace, or delaying a gang of it that waits for the limit.
func (s *Scheduler) limitFit(st *step) int {
	n, u := len(st.tasks), st.job.use
	if u == nil {
		return n
	}
	if s.cfg.LimitsRequired && !s.limitsKnown {
		return 0
	}
	demand := u.limited(st.def.Resources)
	n = u.free().FitCount(demand, n)
	switch {
	case u.pass != s.passNumber || u.blockedBy == nil || u.blockedBy == st || st.def.LongRunning:
		return n
	case !u.blockedBy.def.Gang:
		return 0
	case s.endsAfterPlan(u, st):
		return u.plan.spare.FitCount(demand, n)
	}
	return n
}

// endsAfterPlan reports whether a task of the step that starts now is expected to end after the
// planned start of the gang that waits for the limit.
func (s *Scheduler) endsAfterPlan(u *workspaceUse, st *step) bool {
	return st.def.LongRunning || s.now+Instant(st.def.EstimateMS) > u.plan.start
}

// preparedSteps is the number of steps of a workspace that request their first permits while the
// limit holds them, so that they can start as soon as it allows it. More would keep the policy
// service busy for steps that cannot start.
const preparedSteps = 2

// heldByLimit reports whether the limit of its workspace keeps the step from starting. It is
// called in placement order: the first step that is held also holds the later ones but services,
// unless it is a gang that they do not delay.
func (s *Scheduler) heldByLimit(st *step) bool {
	u := st.job.use
	if u == nil || st.def.Gang && st.hasAttempts() {
		return false
	}
	if u.pass != s.passNumber {
		u.pass, u.blockedBy, u.held = s.passNumber, nil, 0
	}
	need := 1
	if st.def.Gang {
		need = len(st.tasks)
	}
	st.limited = s.limitFit(st) < need
	if !st.limited {
		return false
	}
	u.limitedAt = s.now
	if u.blockedBy == nil && s.mayBlock(u, st) {
		u.blockedBy = st
	}
	if u.held++; u.held <= preparedSteps && st.awaitsFirstPermits() {
		s.requestFirstPermits(st)
	}
	return true
}

// mayBlock reports whether the step, which the limit holds, also holds those behind it: it will
// fit into the limit, and its job has a value by then.
func (s *Scheduler) mayBlock(u *workspaceUse, st *step) bool {
	if st.def.Gang {
		return st.lateness(s.now) != expired && s.planForLimit(u, st)
	}
	return u.limited(st.def.Resources).FitsInto(u.limit)
}

// planForLimit computes when the limit allows the gang to start if the running tasks of the
// workspace end as estimated, and reports whether it will.
func (s *Scheduler) planForLimit(u *workspaceUse, st *step) bool {
	if u.plan.gang == st && s.now < u.plan.until {
		return true
	}
	need := u.limited(Resources{}.AddScaled(st.def.Resources, int64(len(st.tasks))))
	ending := make([]*attempt, 0, len(u.attempts))
	for a := range u.attempts {
		if a.endsByItself() {
			ending = append(ending, a)
		}
	}
	slices.SortFunc(ending, func(a, b *attempt) int { return cmp.Compare(a.freeAt(), b.freeAt()) })
	free := u.free()
	for i, a := range ending {
		free = free.AddScaled(a.task.step.def.Resources, 1)
		if i+1 < len(ending) && ending[i+1].freeAt() == a.freeAt() || !need.FitsInto(free) {
			continue
		}
		u.plan = limitPlan{gang: st, start: max(a.freeAt(), s.now), spare: free.AddScaled(need, -1), until: s.now + planReuseMS}
		return true
	}
	return false
}

// chargeAttempt counts an attempt that has been opened.
func (s *Scheduler) chargeAttempt(a *attempt) {
	st := a.task.step
	u := st.job.use
	if u == nil {
		return
	}
	u.add(st.def.Resources, 1)
	u.attempts[a] = true
	if u.pass == s.passNumber && u.blockedBy != nil && u.blockedBy != st && u.blockedBy.def.Gang && s.endsAfterPlan(u, st) {
		u.plan.spare = u.plan.spare.AddScaled(st.def.Resources, -1)
	}
}

// refundAttempt ends the count of an attempt that has been closed.
func (s *Scheduler) refundAttempt(a *attempt) {
	u := a.task.step.job.use
	if u == nil {
		return
	}
	u.add(a.task.step.def.Resources, -1)
	delete(u.attempts, a)
}

// chargeOf charges for a run without an attempt. The charge is empty if the job is not known, or
// has no workspace.
func (s *Scheduler) chargeOf(id TaskID) charge {
	j := s.jobs[id.Job]
	if j == nil || j.use == nil {
		return charge{}
	}
	c := charge{j.use, j.stopping.Resources}
	if id.Step >= 0 && id.Step < len(j.Steps) {
		c.amount = j.Steps[id.Step].Resources
	}
	c.use.add(c.amount, 1)
	return c
}

// openRuns returns the runs of a job of a workspace that have not ended.
func (j *job) openRuns() (open stoppingRuns) {
	if j.use == nil {
		return open
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if runs := len(t.attempts) + len(t.unreconciledOn) + len(t.unknownOn); runs > 0 {
					open.Runs += runs
					open.Resources = open.Resources.max(st.def.Resources)
				}
			}
		}
	}
	return open
}

// max returns the larger amount in each dimension.
func (r Resources) max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMB, o.MemoryMB), max(r.GPUs, o.GPUs)}
}

// updateUnlisted estimates what workers use that may be running tasks for an earlier holder and
// have not listed them: no more than the open tasks of restored jobs with the runs that were being
// stopped, and than the capacity of these workers if it is known.
func (s *Scheduler) updateUnlisted() {
	for _, u := range s.uses {
		u.unlisted = Resources{}
	}
	if !s.reconciling || s.mayPlaceRestored() {
		return
	}
	capacity, known := s.unlistedCapacity()
	for _, j := range s.jobs {
		if j.use == nil || !j.restored {
			continue
		}
		if int64(s.now-j.ended) <= s.cfg.LongestLeaseMS+stopRepeatMS {
			j.use.unlisted = j.use.unlisted.AddScaled(j.stopping.Resources, int64(j.stopping.Runs))
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				j.use.unlisted = j.use.unlisted.AddScaled(st.def.Resources, int64(s.unaccountedTasks(st)))
			}
		}
	}
	if !known {
		return
	}
	for _, u := range s.uses {
		u.unlisted = Resources{
			min(u.unlisted.CPUMilli, capacity.CPUMilli), min(u.unlisted.MemoryMB, capacity.MemoryMB), min(u.unlisted.GPUs, capacity.GPUs),
		}
	}
}

// unaccountedTasks returns how many tasks of the step may be running on workers that have not
// listed them.
func (s *Scheduler) unaccountedTasks(st *step) (n int) {
	if st.complete() || !st.occ.isReady(st) {
		return 0
	}
	for _, t := range st.tasks {
		if !t.done && len(t.attempts) == 0 && !t.mayRunUnknown() {
			n++
		}
	}
	return n
}

// unlistedCapacity returns the capacity of the open workers of earlier holders that have not
// listed their tasks, and whether all of them are known.
func (s *Scheduler) unlistedCapacity() (capacity Resources, known bool) {
	if s.rosterLost {
		return Resources{}, false
	}
	for id, u := range s.unreconciled {
		if u.closed {
			continue
		}
		w := s.workers[id]
		if w == nil {
			return Resources{}, false
		}
		capacity = capacity.AddScaled(w.Capacity, 1)
	}
	return capacity, true
}

// limitQuietMS is how long a limit must have held no step to be reported as left, in ms. Tasks
// end and start all the time at a limit.
const limitQuietMS = 1000

// isAtLimit reports whether the limit of a workspace has held steps lately. It is false for nil.
func (s *Scheduler) isAtLimit(u *workspaceUse) bool {
	return u != nil && u.limitedAt != 0 && s.now-u.limitedAt <= limitQuietMS
}

// reportLimits emits an event when the limit of a workspace begins to hold steps, and when it
// has held none for limitQuietMS.
func (s *Scheduler) reportLimits() {
	for _, u := range s.uses {
		switch {
		case u.limitedAt == 0:
		case u.limitedSince == 0:
			u.limitedSince = u.limitedAt
			s.emit(LogEvent{Event: EventLimitReached, Detail: fmt.Sprintf("%s uses %v of %v", u.name, u.used, u.limit)})
		case !s.isAtLimit(u):
			s.emit(LogEvent{Event: EventLimitLeft, Detail: fmt.Sprintf("%s uses %v of %v", u.name, u.used, u.limit), AgeMS: int64(u.limitedAt - u.limitedSince)})
			u.limitedSince, u.limitedAt = 0, 0
		}
	}
}
