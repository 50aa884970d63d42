package cell

import "slices"

// The speed of a worker is judged by the tasks of one step, which are alike: how fast
// a run is, compared with the median of the other runs of its step. Estimates of
// callers are too rough for it.
const (
	// speedIntervalMS is the pause between two judgements, in ms.
	speedIntervalMS = 500
	// minPeers is the number of runs of a step from which on its median counts.
	minPeers = 3
	// speedWeight is the weight of a new judgement against the earlier ones.
	speedWeight = 0.5
	// slowSpeed is the relative speed below which a worker is used last.
	slowSpeed = 0.5
	// speedRecoveryMS is the time in ms after which a worker without new judgements is
	// used like the others again.
	speedRecoveryMS = 4000
	// moveGainMS is what a run on a slow worker must gain at least to be moved: the
	// stop, the wait for room and the restart of its checkpoint, in ms.
	moveGainMS = 2000
)

// speed is how fast a worker is, compared with others.
type speed struct {
	relative float64 // 1 for a usual worker; 0 before the first judgement
	at       Instant // of the newest judgement
}

func (v *speed) take(now Instant, relative float64) {
	if v.relative == 0 || now-v.at > speedRecoveryMS {
		v.relative = 1
	}
	v.relative += speedWeight * (relative - v.relative)
	v.at = now
}

// isSlow reports whether the worker is much slower than the others.
func (v *speed) isSlow(now Instant) bool {
	return v.relative > 0 && v.relative < slowSpeed && now-v.at <= speedRecoveryMS
}

// rate returns the percent that the run advances in a ms, and whether it is known.
func (p *progress) rate() (float64, bool) {
	advance := p.percent - p.firstPercent
	if advance < minProjectedPercent || p.at <= p.firstAt {
		return 0, false
	}
	return float64(advance) / float64(p.at-p.firstAt), true
}

// judgeSpeeds compares the runs of each step and acts on those that are slow.
func (s *Scheduler) judgeSpeeds() {
	if s.now < s.judgeAt {
		return
	}
	s.judgeAt = s.now + speedIntervalMS
	rates := map[*step][]float64{}
	s.eachRate(func(a *attempt, rate float64) {
		rates[a.task.step] = append(rates[a.task.step], rate)
	})
	for _, r := range rates {
		slices.Sort(r)
	}
	s.eachRate(func(a *attempt, rate float64) {
		peers := rates[a.task.step]
		if len(peers) < minPeers || a.judgedAt == a.progress.at {
			return
		}
		a.judgedAt = a.progress.at
		a.relative = rate / peers[len(peers)/2]
		a.worker.speed.take(s.now, a.relative)
	})
	s.relieveSlow()
}

// eachRate visits the runs whose rate is known.
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

// relieveSlow moves runs that save their work away from slow workers, and starts
// copies of those that allow it.
func (s *Scheduler) relieveSlow() {
	for _, w := range s.workers {
		if !w.speed.isSlow(s.now) {
			continue
		}
		for _, a := range w.attempts {
			if a.phase == running && a.gain(s.now) > moveGainMS {
				s.relieve(a)
			}
		}
	}
}

// gain returns how much sooner the task would end on a usual worker, in ms.
func (a *attempt) gain(now Instant) int64 {
	if a.relative == 0 || a.relative >= slowSpeed {
		return 0
	}
	left := float64(a.ends - now)
	return int64(left * (1 - a.relative))
}

func (s *Scheduler) relieve(a *attempt) {
	st := a.task.step
	switch {
	case st.def.Copies:
		if len(a.task.attempts) == 1 {
			a.task.wantsCopy = true
			s.enqueue(st)
		}
	case st.def.Checkpoints:
		s.act(Decision{Event: EventRunSlow, Job: st.job.ID, Task: a.task.id().String(), Run: a.run, Worker: a.worker.ID, AgeMS: a.gain(s.now)})
		s.stop(a, "slow_worker")
		if st.def.Gang {
			s.stopStep(st, "slow_gang_member")
		}
	}
}
