package cell

// A worker whose tasks fail far more often than those of its peers takes no work
// for a while, and one task at a time after that.
const (
	// suspectFailures is the weight of recent failures from which on a worker is
	// put on probation. A healthy worker fails about one task in twenty.
	suspectFailures = 2.5
	// goodWeight is what an end as done takes from the weight of failures.
	goodWeight = 0.5
	// probationMS is the first pause of a suspected worker, in ms.
	probationMS = 2000
	// maxProbationMS bounds the pause, in ms.
	maxProbationMS = 8000
)

// health is the standing of a worker.
type health struct {
	failures float64
	trial    bool // one task at a time
	pauseMS  int64
	until    Instant
}

// note weighs the end of a run.
func (h *health) note(now Instant, kind EndKind) {
	switch kind {
	case EndDone:
		h.failures = max(h.failures-goodWeight, 0)
		if h.trial && h.failures == 0 {
			*h = health{}
		}
	case EndFailed:
		h.failures++
		if h.trial || h.failures >= suspectFailures {
			h.suspect(now)
		}
	}
}

func (h *health) suspect(now Instant) {
	h.pauseMS = min(max(2*h.pauseMS, probationMS), maxProbationMS)
	h.until = now + Instant(h.pauseMS)
	h.trial = true
	h.failures = 1
}

// allows reports whether a worker with n running tasks may get another one.
func (h *health) allows(now Instant, n int) bool {
	return now >= h.until && (!h.trial || n == 0)
}

// A task that makes no progress for hangFactor times the time that one percent
// takes, and at least hangMS, is stopped and placed elsewhere.
const (
	hangFactor = 12
	hangMS     = 2500
)

// checkHangs stops runs that stand still.
func (s *Scheduler) checkHangs() {
	for _, w := range s.workers {
		if !w.fenced {
			continue
		}
		for _, a := range w.attempts {
			if a.phase == running && a.progress.at > 0 && s.isHung(a) {
				w.health.suspect(s.now)
				s.act(Decision{Event: EventRunHung, Failed: true, Job: a.task.step.job.ID, Task: a.task.id().String(), Run: a.run, Worker: w.ID, AgeMS: int64(s.now - a.progress.at)})
				s.stop(a, "no_progress")
			}
		}
	}
}

func (s *Scheduler) isHung(a *attempt) bool {
	st := a.task.step
	if st.def.Service || st.def.EstimateMS == 0 {
		return false
	}
	patience := max(Instant(st.def.EstimateMS)*hangFactor/100, hangMS)
	return a.worker.lastListed-a.progress.at > patience
}
