package cell

// progress is the progress of a run as reported by its worker.
type progress struct {
	percent int
	at      Instant // when percent last rose; 0 before the first value
	// firstPercent and firstAt are the first value and its time: 0 at the confirmed
	// start, or the first listing for a run that was resumed or adopted, because that
	// does not start at 0.
	firstPercent int
	firstAt      Instant
}

// update processes a reported percentage. The worker was silent for the given time
// before; if the run has not advanced, the VM was probably suspended, and that time does
// not count.
func (p *progress) update(now Instant, percent int, silent Instant) {
	switch {
	case p.at == 0:
		*p = progress{percent: percent, at: now, firstPercent: percent, firstAt: now}
	case percent > p.percent:
		p.percent, p.at = percent, now
	default:
		skipped := min(silent, now-p.at)
		p.at += skipped
		p.firstAt += skipped
	}
}

// maxListingGapMS is the interval between two listings of a worker, in ms, from which on
// the worker counts as silent in between. Workers send one every 1.5 s or sooner.
const maxListingGapMS = 2500

// silentBefore returns for how long the worker was silent before a listing that was
// requested at the given time; 0 if it was not.
func (w *worker) silentBefore(requested Instant) Instant {
	if gap := requested - w.lastListing; w.lastListing > 0 && gap > maxListingGapMS {
		return gap
	}
	return 0
}

// minProjectedPercent is the minimum advance since the first value for a projection of
// the end of a run. Percentages are whole numbers, so a projection from a smaller
// advance is imprecise.
const minProjectedPercent = 5

// projectedEnd returns when the run will end at its speed so far, and whether that is
// known.
func (p *progress) projectedEnd() (end Instant, known bool) {
	advance := p.percent - p.firstPercent
	if advance < minProjectedPercent {
		return 0, false
	}
	left := Instant(100-p.percent) * (p.at - p.firstAt) / Instant(advance)
	return p.at + left, true
}

// updateProgress processes the reported progress of a run and updates its estimated
// end.
func (a *attempt) updateProgress(now Instant, r *RunningTask, silent Instant) {
	a.load = r.Load
	a.progress.update(now, r.Percent, silent)
	if end, known := a.progress.projectedEnd(); known {
		a.estimatedEnd = end
		a.task.step.updateGangEnd()
	}
}

// donePercent is the progress that workers report for a run that has done its work.
const donePercent = 100

// updateGangEnd recomputes when the gang ends. Its members end together, so one that has
// done its own work occupies its worker until the slowest one is done.
func (s *step) updateGangEnd() {
	if !s.def.Gang {
		return
	}
	s.gangEnd = 0
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			s.gangEnd = max(s.gangEnd, a.estimatedEnd)
		}
	}
}

// endsByItself reports whether the attempt ends without being stopped.
func (a *attempt) endsByItself() bool { return !a.task.step.def.LongRunning }

// freeAt returns when the resources of the attempt are estimated to become free.
func (a *attempt) freeAt() Instant {
	if a.task.step.def.Gang {
		return a.task.step.gangEnd
	}
	return a.estimatedEnd
}
