package cell

import (
	"fmt"
	"slices"
	"strings"
)

// This file reports why a step still waits. A step that waits long although workers are
// free is held by one constraint, which the counts of placed steps do not show.

const (
	// waitReportMS is how long a step must have waited to be reported, and the interval
	// between two reports about it, in ms.
	waitReportMS = 10_000
	// waitReportsPerCheck limits the reports of one check of the runs. Each visits all
	// workers.
	waitReportsPerCheck = 2
)

// reportWaits emits EventStepWaits for steps that have waited for waitReportMS since
// they were ready or last reported, in placement order.
func (s *Scheduler) reportWaits() {
	left := waitReportsPerCheck
	for _, st := range s.waiting {
		if left == 0 {
			return
		}
		if s.now-max(st.readyAt, st.waitReported) < waitReportMS || st.job.final != "" || !st.unplaced() {
			continue
		}
		left--
		st.waitReported = s.now
		s.emit(LogEvent{Event: EventStepWaits, Job: st.job.ID, Task: st.name(), Detail: s.describeWait(st), AgeMS: int64(s.now - st.readyAt)})
	}
}

// waitCheck is a condition that a worker must meet to start tasks of a step, with the
// workers that meet it and all earlier ones.
type waitCheck struct {
	name    string
	passes  func(*worker) bool
	fits    func(*worker) int // tasks that one worker takes
	workers int
	tasks   int
}

// waitChecks returns the conditions for a worker in the order in which they are checked.
// The tasks of the first ones are those that fit on empty workers.
func (s *Scheduler) waitChecks(st *step) []waitCheck {
	limit := len(st.tasks)
	if st.def.MaxPerWorker > 0 {
		limit = min(limit, st.def.MaxPerWorker)
	}
	empty := func(w *worker) int { return w.Capacity.FitCount(st.demand, limit) }
	free := func(w *worker) int { return w.free().FitCount(st.demand, limit) }
	unreserved := func(w *worker) int { return s.fitCount(st, w) }
	always := func(*worker) bool { return true }
	avoided := s.avoided(st)
	return []waitCheck{
		{name: "registered", passes: func(w *worker) bool { return w.Service == st.job.Queue.Service && w.registered }, fits: empty},
		{name: "label", passes: func(w *worker) bool { return w.hasLabel(st.def.Label) }, fits: empty},
		{name: "usable", passes: func(w *worker) bool { return s.isEligible(st, w) }, fits: empty},
		{name: "asked", passes: func(w *worker) bool { return st.job.Queue.Policy == nil || st.permits.hasAnswer(w) }, fits: empty},
		{name: "allowed", passes: st.isAllowed, fits: empty},
		{name: "not_avoided", passes: func(w *worker) bool { return !slices.Contains(avoided, w.ID) }, fits: empty},
		{name: "free", passes: always, fits: free},
		{name: "unreserved", passes: always, fits: unreserved},
		{name: "permit", passes: func(w *worker) bool { return st.permitted(w, s.now) }, fits: unreserved},
	}
}

// describeWait names the constraint that holds the step, and how many workers meet each
// condition and the tasks that they take, as NAME=WORKERS/TASKS.
func (s *Scheduler) describeWait(st *step) string {
	checks := s.waitChecks(st)
	for _, w := range s.workers {
		for i := range checks {
			if !checks[i].passes(w) {
				break
			}
			if n := checks[i].fits(w); n > 0 {
				checks[i].workers++
				checks[i].tasks += n
			}
		}
	}
	need := 1
	if st.def.Gang {
		need = len(st.tasks)
	}
	held := s.heldBy(st)
	var counts strings.Builder
	for _, c := range checks {
		if held == "" && c.tasks < need {
			held = c.name
		}
		fmt.Fprintf(&counts, " %s=%d/%d", c.name, c.workers, c.tasks)
	}
	switch {
	case held == "asked" && !st.permits.answered:
		held = "policy_call"
	case held == "":
		held = "turn"
	}
	return fmt.Sprintf("%s need=%d%s", held, need, &counts)
}

// heldOn names where a worker may be running a task of the step without an attempt, or returns
// "". Only a gang waits for such runs of tasks that are done.
func (st *step) heldOn() string {
	held := ""
	for _, t := range st.tasks {
		switch {
		case t.done && !st.def.Gang:
		case len(t.unreconciledOn) > 0:
			return "closed_worker"
		case len(t.unknownOn) > 0:
			held = "unknown_run"
		}
	}
	return held
}

// heldBy names what keeps the step from being placed on any worker, or returns "".
func (s *Scheduler) heldBy(st *step) string {
	switch {
	case st.job.acceptSeq > s.stored:
		return "not_stored"
	case st.job.restored && !s.mayPlaceRestored():
		return "takeover"
	case st.heldOn() != "":
		return st.heldOn()
	case st.def.Gang && st.hasAttempts():
		return "runs_ending"
	case st.limited:
		return "workspace_limit"
	case st.suspects > 0:
		return "crash_trial"
	}
	return ""
}
