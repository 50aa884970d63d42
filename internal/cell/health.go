package cell

import (
	"slices"
	"strconv"
)

// A worker whose tasks fail far more often than those of its peers is put on probation:
// it gets no tasks for a while, and one task at a time after that. Tasks of services, which
// may run there for days, do not count as that one. A failure is the task's own if its step
// has failed on another worker too and has succeeded nowhere.
const (
	// probationFailures is the failure score at which probation starts. On a healthy
	// worker, about one task in twenty fails.
	probationFailures = 2.5
	// successWeight is how much a successful run lowers the failure score.
	successWeight = 0.5
	// probationMS is the first pause of a worker on probation, in ms.
	probationMS = 2000
	// maxProbationMS is the maximum pause, in ms.
	maxProbationMS = 8000
	// quietProbationMS is how long after its last pause a probation ends if no run ends on
	// the worker, in ms. Without it, a worker for which there are only large gangs, which
	// need all of it, would stay on probation.
	quietProbationMS = 10_000
)

// health is the failure score and probation state of a worker.
type health struct {
	failures    float64
	probation   bool // the worker gets one task at a time
	pauseMS     int64
	pausedUntil Instant
}

// recordEnd updates the failure score after a run has ended.
func (h *health) recordEnd(now Instant, kind EndKind) {
	switch kind {
	case EndDone:
		h.failures = max(h.failures-successWeight, 0)
		if h.probation && h.failures == 0 {
			*h = health{}
		}
	case EndFailed:
		h.failures++
		if h.probation || h.failures >= probationFailures {
			h.startProbation(now)
		}
	}
}

// startProbation starts or restarts probation with a pause that doubles each time.
func (h *health) startProbation(now Instant) {
	h.pauseMS = min(max(2*h.pauseMS, probationMS), maxProbationMS)
	h.pausedUntil = now + Instant(h.pauseMS)
	h.probation = true
	h.failures = 1
}

// allows reports whether a worker may get another task that runs n tasks which end by
// themselves.
func (h *health) allows(now Instant, n int) bool {
	return now >= h.pausedUntil && (!h.probation || n == 0)
}

// endingRuns returns the number of the worker's runs that end by themselves.
func (w *worker) endingRuns() int {
	n := 0
	for _, a := range w.attempts {
		if !a.task.step.def.LongRunning {
			n++
		}
	}
	return n
}

// failsElsewhere reports whether the step itself seems to be at fault for a failure on the
// worker.
func (s *step) failsElsewhere(w *worker) bool {
	return s.done == 0 && slices.ContainsFunc(s.failedOn, func(id string) bool { return id != w.ID })
}

// endQuietProbations ends the probations during which nothing has ended for long.
func (s *Scheduler) endQuietProbations() {
	for _, w := range s.workers {
		if w.health.probation && s.now > w.health.pausedUntil+quietProbationMS && w.endingRuns() == 0 {
			w.health = health{}
			s.freed = append(s.freed, w)
		}
	}
}

// A run without progress for hangFactor times the expected time for one percent, and
// for at least minHangMS, is stopped and placed elsewhere.
const (
	hangFactor = 12
	minHangMS  = 2500
)

// stopHungRuns stops runs that make no progress.
func (s *Scheduler) stopHungRuns() {
	for _, w := range s.workers {
		if !w.fenced {
			continue
		}
		for _, a := range w.attempts {
			if a.phase == running && a.progress.at > 0 && s.isHung(a) {
				w.health.startProbation(s.now)
				s.emit(LogEvent{Event: EventRunHung, Failed: true, Job: a.task.step.job.ID, Task: a.task.id().String(), Run: a.run, Worker: w.ID, AgeMS: int64(s.now - a.progress.at), Detail: strconv.Itoa(a.progress.percent)})
				s.stop(a, "no_progress")
			}
		}
	}
}

func (s *Scheduler) isHung(a *attempt) bool {
	st := a.task.step
	if st.def.LongRunning || st.def.EstimateMS == 0 {
		return false
	}
	if st.def.Gang && a.progress.percent >= donePercent {
		return false // waits for the other members of its gang
	}
	limit := max(Instant(st.def.EstimateMS)*hangFactor/100, minHangMS)
	return a.worker.lastListing-a.progress.at > limit
}
