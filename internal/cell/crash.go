package cell

import (
	"cmp"
	"slices"
	"strconv"
)

// A task may crash the worker that starts it, and with it all other runs there. This file
// finds such tasks among those that only ran beside one. A task is suspected if its worker
// stopped answering soon after the start. A suspected task is started again on a worker
// that starts no other task meanwhile, and given up if that worker crashes too. Tasks of
// services are never given up: they are started again, after growing delays.
const (
	// crashWindowMS is how soon after the start of a task its worker must stop answering
	// for the task to be suspected, in ms. Broken connections show a crash at once.
	crashWindowMS = 500
	// provenCrashes is the number of crashes soon after a start at which the task is given
	// up, provided that no other step started a task on the worker of the last one.
	provenCrashes = 2
	// maxEarlyCrashes is the number of crashes soon after a start at which the task is given
	// up in any case.
	maxEarlyCrashes = 3
	// maxCrashes is the number of crashes at any time of its runs at which a task is given
	// up, which also ends tasks that crash workers late.
	maxCrashes = 5
	// steadyRunMS is how long a run must have lasted for earlier crashes not to count any
	// more, in ms. The runs of services last for days and see crashes of other causes.
	steadyRunMS = 60_000
	// goneMS is how long a worker must be silent to count as crashed although it does not
	// return, in ms. Workers return after some seconds.
	goneMS = 15_000
)

// crashes counts the workers that crashed while they ran a task. A worker that has stopped
// answering counts until it answers again, so that the count outlasts a takeover.
type crashes struct {
	total     int
	early     int // soon after a confirmed start, since a run last outlasted crashWindowMS
	suspected bool
}

// openCrash is a crash that is counted for a run whose worker has stopped answering. It is
// taken back if the worker reports the run or its end.
type openCrash struct {
	_     struct{} `cbor:",toarray"`
	Run   uint32
	Early bool // counted as such
}

// lostRun is a run on a worker that has stopped answering.
type lostRun struct {
	task   *task
	run    uint32
	recent bool // the start was sent soon before the worker stopped answering
	early  bool // and the worker had confirmed it
	alone  bool // no other step had started a task there shortly before
}

// lostRuns are the runs of a worker when it stopped answering.
type lostRuns struct {
	at          Instant
	incarnation int64 // of the worker
	runs        []lostRun
}

// surelyRunningShare is the share of its estimated run time after which a run may have ended
// by itself. Estimates of callers are off by half.
const surelyRunningShare = 0.5

// mayHaveEnded reports whether the run may have ended by itself, with its end unread, before
// its worker stopped answering a renewal that was sent at the given time. While a renewal
// waits at the worker, each end is answered at once; an end before it is read only with its
// answer.
func (a *attempt) mayHaveEnded(renewalSentAt Instant) bool {
	if !a.accepted || a.task.step.def.LongRunning || a.runningSince >= renewalSentAt {
		return false
	}
	return float64(renewalSentAt-a.runningSince) >= surelyRunningShare*float64(a.estimatedEnd-a.runningSince)
}

// startedRecently reports whether this holder has started the run within crashWindowMS.
func (a *attempt) startedRecently(now Instant) bool {
	return a.placed && (a.phase == starting || now-max(a.started, a.runningSince) <= crashWindowMS)
}

// recordLostRuns counts a crash for the runs of a worker that has not answered a renewal sent
// at the given time, and suspects the tasks that were started shortly before. Runs that may
// have ended before the crash are no evidence: giving up a sound job costs its caller more than
// another trial costs.
func (s *Scheduler) recordLostRuns(w *worker, renewalSentAt Instant) {
	if s.lost[w.ID] != nil || w.Draining || w.cordoned {
		return // the end of a worker that leaves is no crash
	}
	l := &lostRuns{at: s.now, incarnation: w.incarnation}
	steps := map[*step]bool{}
	for _, a := range w.attempts {
		recent := a.startedRecently(s.now)
		early := recent && a.accepted
		if recent {
			steps[a.task.step] = true
		}
		if a.mayHaveEnded(renewalSentAt) {
			continue
		}
		if recent {
			s.setSuspected(a.task, true)
		}
		c := &a.task.crashes
		if s.now-a.started >= steadyRunMS {
			c.total = 0
		}
		c.total++
		if early {
			c.early++
		}
		a.task.openCrashes = append(a.task.openCrashes, openCrash{Run: a.run, Early: early})
		s.markDirty(a.task.step, a.task.index)
		l.runs = append(l.runs, lostRun{task: a.task, run: a.run, recent: recent, early: early})
	}
	for i := range l.runs {
		l.runs[i].alone = l.runs[i].early && len(steps) == 1
	}
	s.lost[w.ID] = l
}

// resolveLostRuns is called when a worker answers again that has stopped answering. It has
// crashed if it is another incarnation.
func (s *Scheduler) resolveLostRuns(workerID string, incarnation int64) {
	l := s.lost[workerID]
	switch {
	case l == nil:
	case l.incarnation != incarnation:
		s.confirmCrash(workerID)
	default:
		delete(s.lost, workerID)
		for _, r := range l.runs {
			s.discountCrash(r)
		}
	}
}

// discountListedRuns takes back the crashes that were counted for runs which the next incarnation of
// the worker lists: they did not run on the one that crashed.
func (s *Scheduler) discountListedRuns(workerID string, listed map[runKey]bool) {
	l := s.lost[workerID]
	if l == nil {
		return
	}
	l.runs = slices.DeleteFunc(l.runs, func(r lostRun) bool {
		if !listed[runKey{r.task.id(), r.run}] {
			return false
		}
		s.discountCrash(r)
		return true
	})
}

// discountCrash takes back the crash that was counted for a lost run.
func (s *Scheduler) discountCrash(r lostRun) {
	r.task.closeCrash(r.run)
	c := &r.task.crashes
	c.total = max(c.total-1, 0)
	if r.early {
		c.early = max(c.early-1, 0)
	}
	if r.recent && c.early == 0 {
		s.setSuspected(r.task, false)
	}
	s.markDirty(r.task.step, r.task.index)
}

// confirmCrash is called when a worker has crashed. It gives up the tasks that have caused
// too many crashes. If one of them explains this crash, it does not count for the others.
func (s *Scheduler) confirmCrash(workerID string) {
	l := s.lost[workerID]
	if l == nil {
		return
	}
	delete(s.lost, workerID)
	explained := false
	for _, r := range l.runs {
		if r.task.closeCrash(r.run) {
			s.markDirty(r.task.step, r.task.index)
		}
		c, id := r.task.crashes, r.task.id()
		if !r.early || c.early == 0 || r.task.isOver() {
			continue // a later run has outlasted crashWindowMS
		}
		s.emit(LogEvent{Event: EventCrashSuspected, Failed: true, Job: id.Job, Task: id.String(), Worker: workerID, Detail: strconv.FormatBool(r.alone), AgeMS: int64(c.early)})
		if c.early >= maxEarlyCrashes || r.alone && c.early >= provenCrashes {
			explained = true
			if !r.task.step.def.LongRunning {
				s.giveUp(r.task, workerID)
			}
		}
	}
	for _, r := range l.runs {
		switch {
		case r.task.isOver():
		case explained:
			s.discountCrash(lostRun{task: r.task, run: r.run})
		case r.task.crashes.total >= maxCrashes && !r.task.step.def.LongRunning:
			s.giveUp(r.task, workerID)
		}
	}
}

// closeCrash removes the open crash of a run and reports whether there was one.
func (t *task) closeCrash(run uint32) bool {
	i := slices.IndexFunc(t.openCrashes, func(c openCrash) bool { return c.Run == run })
	if i < 0 {
		return false
	}
	t.openCrashes = slices.Delete(t.openCrashes, i, i+1)
	return true
}

// discountRestoredCrash takes back the crash that an earlier holder has counted for a run,
// whose worker now reports it.
func (s *Scheduler) discountRestoredCrash(w *worker, t *task, run uint32) {
	i := slices.IndexFunc(t.openCrashes, func(c openCrash) bool { return c.Run == run })
	if i >= 0 && s.lost[w.ID] == nil {
		s.discountCrash(lostRun{task: t, run: run, recent: true, early: t.openCrashes[i].Early})
	}
}

// isOver reports whether the task is done or its job has ended.
func (t *task) isOver() bool { return t.done || t.step.job.final != "" }

// giveUp ends the job of a task that crashes its workers.
func (s *Scheduler) giveUp(t *task, workerID string) {
	j := t.step.job
	s.emit(LogEvent{Event: EventTaskGivenUp, Failed: true, Job: j.ID, Task: t.id().String(), Worker: workerID, Detail: j.Queue.Name, AgeMS: int64(t.crashes.total)})
	s.finish(j, Failed)
}

// confirmGone counts workers as crashed that have been silent for goneMS.
func (s *Scheduler) confirmGone() {
	for id, l := range s.lost {
		if s.now-l.at > goneMS {
			s.confirmCrash(id)
		}
	}
}

// restoreCrashes restores the crashes that earlier holders have counted for a step's tasks.
func (s *Scheduler) restoreCrashes(st *step, stored []taskCrashes, open []taskOpenCrashes) {
	for _, o := range open {
		if o.Index >= 0 && o.Index < len(st.tasks) {
			st.tasks[o.Index].openCrashes = o.Crashes
		}
	}
	for _, c := range stored {
		if c.Index >= len(st.tasks) || st.tasks[c.Index].done {
			continue
		}
		t := st.tasks[c.Index]
		if c.Suspected && !t.crashes.suspected {
			st.suspects++
		} else if !c.Suspected && t.crashes.suspected {
			st.suspects--
		}
		t.crashes = crashes{total: c.Total, early: c.Early, suspected: c.Suspected}
	}
}

// giveUpRestored gives up the tasks of restored jobs whose crashes earlier holders have
// counted but did not live to confirm.
func (s *Scheduler) giveUpRestored() {
	for _, j := range s.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				for _, t := range st.tasks {
					if !t.isOver() && !st.def.LongRunning && (t.crashes.early >= maxEarlyCrashes || t.crashes.total >= maxCrashes) {
						s.giveUp(t, "")
					}
				}
			}
		}
	}
}

func (s *Scheduler) setSuspected(t *task, to bool) {
	if t.crashes.suspected == to {
		return
	}
	t.crashes.suspected = to
	s.waitingStale = true
	if to {
		t.step.suspects++
	} else if t.step.suspects--; t.step.suspects == 0 {
		t.step.otherTried = false
	}
	s.markDirty(t.step, t.index)
	s.enqueue(t.step)
}

// beginTrial begins to watch a run of a suspected task.
func (s *Scheduler) beginTrial(a *attempt) {
	a.onTrial = true
	s.trials = append(s.trials, a)
	if a.worker.trial == nil {
		a.worker.trial, a.worker.keptFor = a, nil
	}
}

// checkTrials ends the trials of runs that have ended, and of those that have outlasted
// crashWindowMS: their tasks are no longer suspected.
func (s *Scheduler) checkTrials() {
	kept := s.trials[:0]
	for _, a := range s.trials {
		open := slices.Contains(a.task.attempts, a)
		if open && (a.phase != running || a.worker.unreachable || s.now-a.runningSince <= crashWindowMS) {
			kept = append(kept, a)
			continue
		}
		a.onTrial = false
		if a.worker.trial == a {
			a.worker.trial = nil
			s.freed = append(s.freed, a.worker)
		}
		if open {
			s.clearSuspicion(a.task)
		}
	}
	clear(s.trials[len(kept):])
	s.trials = kept
}

// clearSuspicion is called when a run of the task has outlasted crashWindowMS or has ended
// by itself.
func (s *Scheduler) clearSuspicion(t *task) {
	t.crashes.early = 0
	s.setSuspected(t, false)
}

// isKeptForTrial reports whether the worker may not start tasks of the step because a
// suspected task of another one is on trial there, or soon will be.
func (w *worker) isKeptForTrial(st *step, now Instant) bool {
	return w.trial != nil && w.trial.task.step != st || now < w.keptUntil && w.keptFor != st
}

// isQuiet reports whether the last start on the worker was more than crashWindowMS ago.
func (w *worker) isQuiet(now Instant) bool {
	return w.lastStart == 0 || now-w.lastStart > crashWindowMS
}

// placeTrials starts suspected tasks of the step, each on a worker that has started no task
// for crashWindowMS. While no run of the step has outlasted crashWindowMS, only one task is
// on trial at a time. It reports whether it started any.
func (s *Scheduler) placeTrials(st *step) (placed bool) {
	for {
		t := st.nextOnTrial(s.now)
		if t == nil || s.limitFit(st) == 0 || !s.placeTrial(st, t) {
			return placed
		}
		placed = true
	}
}

// placeTrial starts a task on the worker with the fewest runs among those that have started
// no task for crashWindowMS. If there is none, it keeps a worker from starting tasks until
// it is one.
func (s *Scheduler) placeTrial(st *step, t *task) bool {
	cands, fitsWithoutPermit := s.candidates(st)
	cands = slices.DeleteFunc(cands, func(c candidate) bool { return c.worker.trial != nil || t.runsOn(c.worker) })
	if len(cands) == 0 {
		s.requestMorePermits(st, fitsWithoutPermit)
		return false
	}
	best := slices.MinFunc(cands, func(a, b candidate) int {
		return cmp.Or(
			compareBools(!a.worker.isQuiet(s.now), !b.worker.isQuiet(s.now)),
			compareBools(a.worker.keptFor != st, b.worker.keptFor != st),
			compareBools(a.worker.speed.isSlow(s.now), b.worker.speed.isSlow(s.now)),
			compareBools(st.isRemote(a.worker), st.isRemote(b.worker)),
			cmp.Compare(len(a.worker.attempts), len(b.worker.attempts)),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	}).worker
	if !best.isQuiet(s.now) {
		best.keptFor, best.keptUntil = st, best.lastStart+crashWindowMS+2*searchIntervalMS
		return false
	}
	s.start(st, t, best, max(t.lastRun, s.runBase(st))+1, t.checkpoint)
	s.logPlaced(st, 1)
	return true
}

// nextOnTrial returns the task of the step that should be started on trial next, or nil if
// there is none. While the suspected tasks may still be running on silent workers, that is
// one other task: if its run lasts, not every task of the step crashes its worker.
func (s *step) nextOnTrial(now Instant) *task {
	outlasted := s.outlasted(now)
	var suspect, other *task
	for _, t := range s.tasks {
		switch {
		case !outlasted && slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.onTrial }):
			return nil
		case !t.isPlaceable() || now < t.restarts.notBefore:
		case t.crashes.suspected && suspect == nil:
			suspect = t
		case !t.crashes.suspected && other == nil:
			other = t
		}
	}
	if suspect == nil && !outlasted && !s.otherTried {
		return other
	}
	return suspect
}

// outlasted reports whether a run of the step has outlasted crashWindowMS, which shows
// that not every task of the step crashes its worker.
func (s *step) outlasted(now Instant) bool {
	return s.done > 0 || slices.ContainsFunc(s.tasks, func(t *task) bool {
		return slices.ContainsFunc(t.attempts, func(a *attempt) bool {
			return a.phase == running && !a.worker.unreachable && now-a.runningSince > crashWindowMS
		})
	})
}
