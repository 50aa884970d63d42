package cell

import (
	"cmp"
	"slices"
	"strconv"
)

// A task may crash the worker that starts it, and with it all other runs there. This file
// finds such tasks among those that only ran beside one. A task is suspected if its worker
// stopped answering soon after the start. A suspected task is started again on a worker
// that starts no other task meanwhile, and given up if that worker crashes too.
const (
	// crashWindowMS is how soon after the start of a task its worker must stop answering
	// for the task to be suspected, in ms. Broken connections show a crash at once.
	crashWindowMS = 500
	// provenCrashes is the number of crashes soon after a start at which the task is given
	// up, provided that no other step started a task on the worker of the last one.
	provenCrashes = 2
	// maxCrashes is the number of crashes at any time of its runs at which a task is given
	// up, which also ends tasks that crash workers late. Services are exempt, because their
	// runs last for days and see crashes that they did not cause.
	maxCrashes = 5
	// lostRunsKeptMS is how long the runs of a silent worker are kept in case the worker
	// turns out to have crashed, in ms. Workers return after some seconds.
	lostRunsKeptMS = 60_000
)

// crashes counts the workers that crashed while they ran a task.
type crashes struct {
	total     int
	early     int // soon after the start, since a run last outlasted crashWindowMS
	suspected bool
}

// lostRun is a run on a worker that has stopped answering.
type lostRun struct {
	task  *task
	early bool // the worker stopped answering soon after the start
	alone bool // no other step had started a task there shortly before
	// wasSuspected is whether the task was suspected before.
	wasSuspected bool
}

// lostRuns are the runs of a worker when it stopped answering.
type lostRuns struct {
	at   Instant
	runs []lostRun
}

// startedRecently reports whether this holder has started the run within crashWindowMS.
func (a *attempt) startedRecently(now Instant) bool {
	return a.placed && (a.phase == starting || now-max(a.started, a.confirmed) <= crashWindowMS)
}

// recordLostRuns keeps the runs of a worker that has stopped answering, and suspects the
// tasks that were started shortly before.
func (s *Scheduler) recordLostRuns(w *worker) {
	if s.lost[w.ID] != nil || w.Draining || w.cordoned {
		return // the end of a worker that leaves is no crash
	}
	l := &lostRuns{at: s.now}
	steps := map[*step]bool{}
	for _, a := range w.attempts {
		early := a.startedRecently(s.now)
		if early {
			steps[a.task.step] = true
		}
		l.runs = append(l.runs, lostRun{task: a.task, early: early, wasSuspected: a.task.crashes.suspected})
	}
	for i := range l.runs {
		r := &l.runs[i]
		r.alone = r.early && len(steps) == 1
		if r.early {
			s.setSuspected(r.task, true)
		}
	}
	s.lost[w.ID] = l
}

// forgetLostRuns is called when a worker answers again without a restart.
func (s *Scheduler) forgetLostRuns(workerID string) {
	l := s.lost[workerID]
	if l == nil {
		return
	}
	delete(s.lost, workerID)
	for _, r := range l.runs {
		s.setSuspected(r.task, r.wasSuspected)
	}
}

// countCrash counts a crash of the worker for each task that was running there, and gives
// up the tasks that have caused too many.
func (s *Scheduler) countCrash(workerID string) {
	l := s.lost[workerID]
	if l == nil {
		return
	}
	delete(s.lost, workerID)
	onTrial := slices.ContainsFunc(l.runs, func(r lostRun) bool { return r.early && r.wasSuspected })
	for _, r := range l.runs {
		t := r.task
		if t.done || t.step.job.final != "" || onTrial && !r.early {
			continue // a task on trial explains the crash
		}
		c := &t.crashes
		c.total++
		if r.early {
			c.early++
			s.emit(LogEvent{Event: EventCrashSuspected, Failed: true, Job: t.step.job.ID, Task: t.id().String(), Worker: workerID, Detail: strconv.FormatBool(r.alone), AgeMS: int64(c.early)})
		}
		s.markDirty(t.step.job)
		if r.alone && c.early >= provenCrashes || c.total >= maxCrashes && !t.step.def.LongRunning {
			s.emit(LogEvent{Event: EventTaskGivenUp, Failed: true, Job: t.step.job.ID, Task: t.id().String(), Worker: workerID, Detail: t.step.job.Queue.Name, AgeMS: int64(c.total)})
			s.finish(t.step.job, Failed)
		}
	}
}

// dropOldLostRuns forgets the runs of workers that have been away for long.
func (s *Scheduler) dropOldLostRuns() {
	for id, l := range s.lost {
		if s.now-l.at > lostRunsKeptMS {
			delete(s.lost, id)
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
	} else {
		t.step.suspects--
	}
	s.markDirty(t.step.job)
	s.enqueue(t.step)
}

// beginTrial begins to watch a run of a suspected task.
func (s *Scheduler) beginTrial(a *attempt) {
	a.onTrial = true
	s.trials = append(s.trials, a)
	if a.worker.trial == nil {
		a.worker.trial = a
	}
}

// checkTrials ends the trials of runs that have ended, and of those that have outlasted
// crashWindowMS: their tasks are no longer suspected.
func (s *Scheduler) checkTrials() {
	kept := s.trials[:0]
	for _, a := range s.trials {
		open := slices.Contains(a.task.attempts, a)
		if open && (a.phase != running || a.worker.unreachable || s.now-a.confirmed <= crashWindowMS) {
			kept = append(kept, a)
			continue
		}
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

// placeTrial starts a suspected task of the step unless one is on trial already, on the
// worker with the fewest runs among those that have started no task for crashWindowMS. If
// there is none, it keeps a worker from starting tasks until it is one.
func (s *Scheduler) placeTrial(st *step) (placed bool) {
	t := st.nextSuspect()
	if t == nil {
		return false
	}
	cands, fitsWithoutPermit := s.candidates(st)
	cands = slices.DeleteFunc(cands, func(c candidate) bool { return t.runsOn(c.worker) })
	if len(cands) == 0 {
		s.requestMorePermits(st, fitsWithoutPermit)
		return false
	}
	best := slices.MinFunc(cands, func(a, b candidate) int {
		return cmp.Or(
			compareBools(!a.worker.isQuiet(s.now), !b.worker.isQuiet(s.now)),
			compareBools(a.worker.keptFor != st, b.worker.keptFor != st),
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

// nextSuspect returns the suspected task of the step that should be started next, or nil
// if there is none or one is on trial.
func (s *step) nextSuspect() *task {
	var next *task
	for _, t := range s.tasks {
		if !t.crashes.suspected {
			continue
		}
		if slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.onTrial }) {
			return nil
		}
		if next == nil && t.isPlaceable() {
			next = t
		}
	}
	return next
}

// outlasted reports whether a run of the step has outlasted crashWindowMS, which shows
// that not every task of the step crashes its worker.
func (s *step) outlasted(now Instant) bool {
	return s.done > 0 || slices.ContainsFunc(s.tasks, func(t *task) bool {
		return slices.ContainsFunc(t.attempts, func(a *attempt) bool {
			return a.phase == running && !a.worker.unreachable && now-a.confirmed > crashWindowMS
		})
	})
}
