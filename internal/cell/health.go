package cell

import "strconv"

// A worker whose tasks fail far more often than those of its peers is put on probation:
// it gets no tasks for a while, and one task at a time after that.
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

// allows reports whether a worker with n running tasks may get another one.
func (h *health) allows(now Instant, n int) bool {
	return now >= h.pausedUntil && (!h.probation || n == 0)
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
