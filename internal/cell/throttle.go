package cell

// Fillers increase the tail latency of the service tasks on their worker. Their CPU
// share is reduced at once when the tail latency of a service task approaches its
// target, and raised in small steps while it is well below.
const (
	fullCPUShare = 100 // percent
	// throttleIntervalMS is the minimum interval between two changes on a worker, in
	// ms. It is twice the window over which workers measure the tail latency.
	throttleIntervalMS = 1000
	// The CPU share is reduced when the tail latency of a service task exceeds
	// slowDownRatio times its target, and raised when it is below speedUpRatio times
	// its target.
	slowDownRatio = 0.85
	speedUpRatio  = 0.6
	cpuShareStep  = 20 // percent
)

// throttleFillers adjusts the CPU share of the fillers on each worker to the tail
// latency of the service tasks there.
func (s *Scheduler) throttleFillers() {
	for _, w := range s.workers {
		if !w.fenced || s.now-w.throttledAt < throttleIntervalMS {
			continue
		}
		worstRatio, fillers := w.interference()
		if len(fillers) == 0 || worstRatio < 0 {
			continue
		}
		for _, a := range fillers {
			s.throttle(w, a, nextCPUShare(a.cpuShare, worstRatio))
		}
	}
}

// interference returns the highest ratio of tail latency to target among the worker's
// service tasks, or -1 if there are none, and the worker's fillers.
func (w *worker) interference() (worstRatio float64, fillers []*attempt) {
	worstRatio = -1
	for _, a := range w.attempts {
		def := a.task.step.def
		switch {
		case a.phase != running:
		case def.Filler:
			fillers = append(fillers, a)
		case def.LongRunning && def.TailTargetMS > 0:
			worstRatio = max(worstRatio, float64(a.load)/float64(def.TailTargetMS))
		}
	}
	return worstRatio, fillers
}

// nextCPUShare returns the next CPU share of a filler in percent, given the current one
// and the ratio of tail latency to target.
func nextCPUShare(cpuShare int, ratio float64) int {
	switch {
	case ratio > 1:
		return 0
	case ratio > slowDownRatio:
		return cpuShare / 2
	case ratio < speedUpRatio:
		return min(cpuShare+cpuShareStep, fullCPUShare)
	}
	return cpuShare
}

// throttle sets the CPU share of a filler, in percent.
func (s *Scheduler) throttle(w *worker, a *attempt, cpuShare int) {
	if cpuShare == a.cpuShare {
		return
	}
	a.cpuShare = cpuShare
	w.throttledAt = s.now
	s.emit(Throttle{Worker: w.ID, Task: a.task.id(), Run: a.run, Percent: cpuShare})
}

// ThrottleFailed reports that a worker has not confirmed a Throttle action. The filler
// is assumed to run at its full CPU share, so that the share is reduced again if
// necessary.
func (s *Scheduler) ThrottleFailed(p Throttle) {
	if w := s.workers[p.Worker]; w != nil {
		if a := w.attempts[runKey{p.Task, p.Run}]; a != nil {
			a.cpuShare = fullCPUShare
		}
	}
}
