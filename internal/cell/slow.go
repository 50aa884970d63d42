package cell

import "slices"

// The speed of a worker is measured by comparing its runs with the median of the other
// runs of their step, since the tasks of a step are alike. Callers' estimates are too
// imprecise for this.
const (
	// speedIntervalMS is the interval between two comparisons, in ms.
	speedIntervalMS = 500
	// minPeers is the minimum number of runs of a step for a comparison with their
	// median.
	minPeers = 3
	// speedWeight is the weight of a new comparison in the moving average.
	speedWeight = 0.5
	// slowSpeed is the relative speed below which a worker is slow and used last.
	slowSpeed = 0.5
	// speedRecoveryMS is the time in ms after which a worker without new comparisons is
	// no longer considered slow.
	speedRecoveryMS = 4000
	// minTimeSavedMS is the minimum time in ms that moving a run off a slow worker must
	// save. It covers the stop, the wait for capacity and the restart from the
	// checkpoint.
	minTimeSavedMS = 2000
)

// speed is the speed of a worker relative to others.
type speed struct {
	relative float64 // 1 for the median; 0 before the first comparison
	at       Instant // of the newest comparison
}

func (v *speed) update(now Instant, relative float64) {
	if v.relative == 0 || now-v.at > speedRecoveryMS {
		v.relative = 1
	}
	v.relative += speedWeight * (relative - v.relative)
	v.at = now
}

// isSlow reports whether the worker is much slower than others.
func (v *speed) isSlow(now Instant) bool {
	return v.relative > 0 && v.relative < slowSpeed && now-v.at <= speedRecoveryMS
}

// rate returns the percentage points per ms by which the run advances, and whether that
// is known.
func (p *progress) rate() (float64, bool) {
	advance := p.percent - p.firstPercent
	if advance < minProjectedPercent || p.at <= p.firstAt {
		return 0, false
	}
	return float64(advance) / float64(p.at-p.firstAt), true
}

// compareSpeeds compares the runs of each step with each other and acts on stragglers.
func (s *Scheduler) compareSpeeds() {
	if s.now < s.nextComparison {
		return
	}
	s.nextComparison = s.now + speedIntervalMS
	rates := map[*step][]float64{}
	s.eachRate(func(a *attempt, rate float64) {
		rates[a.task.step] = append(rates[a.task.step], rate)
	})
	for _, r := range rates {
		slices.Sort(r)
	}
	s.eachRate(func(a *attempt, rate float64) {
		peers := rates[a.task.step]
		if len(peers) < minPeers || a.comparedAt == a.progress.at {
			return
		}
		a.comparedAt = a.progress.at
		a.relative = rate / peers[len(peers)/2]
		a.worker.speed.update(s.now, a.relative)
	})
	s.mitigateStragglers()
}

// eachRate calls visit for each run with a known rate, except services and fillers.
func (s *Scheduler) eachRate(visit func(*attempt, float64)) {
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if a.phase != running || a.task.step.def.Service || a.task.step.def.Filler {
				continue
			}
			if rate, known := a.progress.rate(); known {
				visit(a, rate)
			}
		}
	}
}

// mitigateStragglers moves runs with checkpoints off slow workers, and starts a second
// attempt of tasks that allow copies.
func (s *Scheduler) mitigateStragglers() {
	for _, w := range s.workers {
		if !w.speed.isSlow(s.now) {
			continue
		}
		for _, a := range w.attempts {
			if a.phase == running && a.timeSaved(s.now) > minTimeSavedMS {
				s.mitigateStraggler(a)
			}
		}
	}
}

// timeSaved returns how much sooner the task would end on a worker of median speed, in
// ms.
func (a *attempt) timeSaved(now Instant) int64 {
	if a.relative == 0 || a.relative >= slowSpeed {
		return 0
	}
	left := float64(a.estimatedEnd - now)
	return int64(left * (1 - a.relative))
}

func (s *Scheduler) mitigateStraggler(a *attempt) {
	st := a.task.step
	switch {
	case st.def.Copies:
		if len(a.task.attempts) == 1 {
			a.task.speculate = true
			s.enqueue(st)
		}
	case st.def.Checkpoints:
		s.emit(Decision{Event: EventRunSlow, Job: st.job.ID, Task: a.task.id().String(), Run: a.run, Worker: a.worker.ID, AgeMS: a.timeSaved(s.now)})
		s.stop(a, "slow_worker")
		if st.def.Gang {
			s.stopStep(st, "slow_gang_member")
		}
	}
}
