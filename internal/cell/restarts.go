package cell

// This file delays the restarts of tasks of services. Such a task is started again however its
// runs end, so one that always fails, or that crashes its workers, would be started without a
// pause.

const (
	// minRestartDelayMS is the delay of the second restart in a row, in ms; the first one has
	// none. It doubles with each further one.
	minRestartDelayMS = 250
	// maxRestartDelayMS is the maximum delay, in ms. Callers expect a task of a service to be
	// started again within 6 s.
	maxRestartDelayMS = 4000
)

// restarts holds the recent restarts of a task of a service.
type restarts struct {
	inRow     int     // since a run last lasted steadyRunMS
	notBefore Instant // when the task may be started again
	lastOn    string  // worker of the run that ended last
}

// delayRestart is called when a run of the task, which started on the worker at the given
// time, has ended or was lost. It has no effect on tasks that end by themselves.
func (s *Scheduler) delayRestart(t *task, w *worker, startedAt Instant) {
	if !t.step.def.LongRunning {
		return
	}
	r := &t.restarts
	if s.now-startedAt >= steadyRunMS {
		r.inRow = 0
	}
	r.inRow++
	r.lastOn = w.ID
	r.notBefore = s.now + restartDelay(r.inRow)
}

// restartDelay returns the delay of the nth restart in a row, in ms.
func restartDelay(n int) Instant {
	delay := Instant(0)
	for ; n > 1 && delay < maxRestartDelayMS; n-- {
		delay = min(max(2*delay, minRestartDelayMS), maxRestartDelayMS)
	}
	return delay
}

// isDelayed reports whether a task of the step may not be started yet.
func (s *step) isDelayed(now Instant) bool {
	for _, t := range s.tasks {
		if now < t.restarts.notBefore {
			return true
		}
	}
	return false
}
