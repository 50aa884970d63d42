package cell

// Fillers slow down the service tasks on the same worker. They are slowed down at once
// when the tail latency of a service task approaches its target, and sped up in small
// steps while it is well below.
const (
	fullPace = 100 // percent
	// paceIntervalMS is the minimum interval between two changes on a worker, in ms. It
	// is twice the window over which workers measure the tail latency.
	paceIntervalMS = 1000
	// Fillers are slowed down when the tail latency of a service task exceeds
	// slowDownRatio of its target, and sped up when it is below speedUpRatio.
	slowDownRatio = 0.85
	speedUpRatio  = 0.6
	paceStep      = 20 // percent
)

// paceFillers adjusts the pace of the fillers on each worker to the tail latency of the
// service tasks there.
func (s *Scheduler) paceFillers() {
	for _, w := range s.workers {
		if !w.fenced || s.now-w.pacedAt < paceIntervalMS {
			continue
		}
		worstRatio, fillers := w.interference()
		if len(fillers) == 0 || worstRatio < 0 {
			continue
		}
		for _, a := range fillers {
			s.setPace(w, a, nextPace(a.pace, worstRatio))
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
		case def.Service && def.TailTargetMS > 0:
			worstRatio = max(worstRatio, float64(a.load)/float64(def.TailTargetMS))
		}
	}
	return worstRatio, fillers
}

// nextPace returns the pace that follows, given the ratio of tail latency to target at
// the present pace.
func nextPace(pace int, ratio float64) int {
	switch {
	case ratio > 1:
		return 0
	case ratio > slowDownRatio:
		return pace / 2
	case ratio < speedUpRatio:
		return min(pace+paceStep, fullPace)
	}
	return pace
}

func (s *Scheduler) setPace(w *worker, a *attempt, pace int) {
	if pace == a.pace {
		return
	}
	a.pace = pace
	w.pacedAt = s.now
	s.emit(Pace{Worker: w.ID, Task: a.task.id(), Run: a.run, Percent: pace})
}

// PaceFailed reports that a worker has not confirmed a Pace action. The filler is
// assumed to run at full pace, so that it is slowed down again if necessary.
func (s *Scheduler) PaceFailed(p Pace) {
	if w := s.workers[p.Worker]; w != nil {
		if a := w.attempts[runKey{p.Task, p.Run}]; a != nil {
			a.pace = fullPace
		}
	}
}
