package cell

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SetWorkers replaces the workers of the platform's registry. A worker that is no
// longer registered keeps its accounting while it may run something: until LeaseExpired
// reports that it does not, or, if it has not sent a listing to this holder, until
// Config.RestoreUntil.
func (s *Scheduler) SetWorkers(infos []WorkerInfo) {
	registered := make(map[string]bool, len(infos))
	for _, info := range infos {
		registered[info.ID] = true
		w := s.workers[info.ID]
		if w == nil {
			w = &worker{idHash: xxhash.Sum64String(info.ID), attempts: map[runKey]*attempt{}, life: newLife(0)}
			s.workers[info.ID] = w
			delete(s.dropped, info.ID)
			switch u := s.unreconciled[info.ID]; {
			case u == nil:
				w.rosterSeq = unwritten
				s.rosterDirty = true
			case u.closed:
				w.rosterSeq = unwritten // and listed as closed until it is reconciled
			}
			if s.rosterLost && s.unreconciled[info.ID] == nil {
				s.unreconciled[info.ID] = &unreconciledWorker{} // the roster may have named it
				s.openUnreconciled++
			}
		}
		if info.Draining && !w.Draining {
			s.emit(LogEvent{Event: EventWorkerDraining, Worker: info.ID, AgeMS: info.LeavesInMS})
		}
		if !w.registered || !w.suitsLike(&info) {
			s.workersVersion++
		}
		news := info.LeavesInMS != w.LeavesInMS
		w.WorkerInfo = info
		w.registered = true
		if w.rosterSeq == notInRoster && !w.Draining {
			w.rosterSeq = unwritten
			s.rosterDirty = true
		}
		s.updateClosed(w)
		s.updateLeaveTime(w, news)
	}
	for id, w := range s.workers {
		w.registered = registered[id]
		if w.registered {
			continue
		}
		s.updateClosed(w)
		s.removeIfGone(w)
	}
}

// removeIfGone deletes a worker that has left and can run nothing any more. A worker in
// Scheduler.unreconciled may run tasks of an earlier holder.
func (s *Scheduler) removeIfGone(w *worker) {
	if !w.registered && !w.fenced && len(w.attempts) == 0 && s.unreconciled[w.ID] == nil {
		s.removeWorker(w)
	}
}

// HasWorker reports whether there is accounting for the worker: it is registered or may
// run something.
func (s *Scheduler) HasWorker(workerID string) bool { return s.workers[workerID] != nil }

// LeaseExpired reports that the lease of a worker's known incarnation has expired, so that nothing
// that it has answered can still run there. These tasks are placed again. A start without an answer may
// have been carried out by a later incarnation, which the holder has not listed: its task is placed
// again once the longest lease after the worker stopped answering has passed.
func (s *Scheduler) LeaseExpired(workerID string) {
	if w := s.workers[workerID]; w != nil && w.hasUnansweredStart() {
		silentSince := s.now
		if w.unreachable {
			silentSince = w.silentSince
		}
		w.unansweredUntil = silentSince + unansweredOrderMS + Instant(s.cfg.LongestLeaseMS)
		s.unanswered[w] = true
	}
	s.runsGone(workerID, reconciledLeaseExpired)
}

// unansweredOrderMS is how long after a worker has stopped answering an order that was sent before may
// reach it, in ms. Starts time out after 400 ms.
const unansweredOrderMS = 500

// hasUnansweredStart reports whether a start was sent that the worker has not answered.
func (w *worker) hasUnansweredStart() bool {
	for _, a := range w.attempts {
		if a.isUnanswered() {
			return true
		}
	}
	return false
}

// isUnanswered reports whether the worker has not answered the start. An answer to its stop is of one
// incarnation, and the next one may still carry out the start.
func (a *attempt) isUnanswered() bool { return !a.accepted }

// releaseUnanswered has the tasks of unanswered starts placed again that can run nowhere any more.
func (s *Scheduler) releaseUnanswered() {
	for w := range s.unanswered {
		if min(s.now, s.confirmed) >= w.unansweredUntil {
			s.forgetUnanswered(w)
			s.closeUnanswered(w)
			s.removeIfGone(w)
		}
	}
}

// closeUnanswered closes the attempts of a worker that has not answered their start.
func (s *Scheduler) closeUnanswered(w *worker) {
	for _, a := range w.attempts {
		if a.isUnanswered() {
			s.closeAttempt(a)
			s.retryAfterLoss(a)
		}
	}
}

// resendStops has the stops of a worker's attempts sent again. The session that repeated them may have
// ended while the attempts outlived the lease.
func (s *Scheduler) resendStops(w *worker) {
	for _, a := range w.attempts {
		if a.phase == stopping {
			s.emitStop(a, "worker_listed")
		}
	}
}

// forgetUnanswered ends the wait for starts that a worker has not answered.
func (s *Scheduler) forgetUnanswered(w *worker) {
	w.unansweredUntil = 0
	delete(s.unanswered, w)
}

// runsGone has the tasks of a worker placed again that can run nothing any more.
func (s *Scheduler) runsGone(workerID, how string) {
	s.markReconciled(workerID, how)
	w := s.workers[workerID]
	if w == nil {
		return
	}
	if len(w.attempts) > 0 {
		s.emit(LogEvent{Event: EventWorkerLeaseExpired, Failed: true, Worker: workerID, AgeMS: int64(len(w.attempts))})
	}
	s.closeAttempts(w)
	w.fenced = false
	s.forgetUnknownRuns(w)
	s.removeIfGone(w)
}

// WorkerReplaced reports that a worker has ended and that another one answers at its
// address, as the answer to a renewal that was sent at the given time. Like LeaseExpired, it
// has the tasks placed again, and it counts a crash for those that were running.
func (s *Scheduler) WorkerReplaced(workerID string, renewalSentAt Instant) {
	if w := s.workers[workerID]; w != nil {
		s.recordLostRuns(w, renewalSentAt)
		s.forgetUnanswered(w)
	}
	s.runsGone(workerID, reconciledReplaced)
	s.confirmCrash(workerID)
}

// removeWorker deletes a worker that has left and runs nothing any more.
func (s *Scheduler) removeWorker(w *worker) {
	delete(s.workers, w.ID)
	s.emit(WorkerRemoved{w.ID})
	delete(s.unstored, w)
	delete(s.unanswered, w)
	s.rosterDirty = true
}

// closeAttempts closes the attempts of a worker that runs nothing any more, but for starts without an
// answer that are waited for.
func (s *Scheduler) closeAttempts(w *worker) {
	for _, a := range w.attempts {
		if a.isUnanswered() && s.now < w.unansweredUntil {
			continue
		}
		s.closeAttempt(a)
		s.retryAfterLoss(a)
	}
}

// Listed processes a worker's report of its running and ended tasks.
func (s *Scheduler) Listed(l Listing) {
	w := s.workers[l.Worker]
	if w == nil {
		s.reportDropped(l)
		return
	}
	if !l.EndsOmitted {
		s.markReconciled(l.Worker, reconciledListed)
	}
	if w.fenced && w.incarnation != l.Incarnation {
		s.emit(LogEvent{Event: EventWorkerRestarted, Failed: true, Worker: w.ID, AgeMS: int64(len(w.attempts))})
		s.recordLostRuns(w, l.RequestedAt)
		listed := l.runs()
		s.discountListedRuns(w.ID, listed)
		s.closeFormerAttempts(w, listed, l.RequestedAt)
		s.beginLife(w, l.Incarnation)
	}
	if !w.fenced {
		s.resendStops(w)
		s.beginLife(w, l.Incarnation)
		w.fenced = true
	}
	w.unreachable = false
	s.forgetUnanswered(w)
	s.uncordon(w, l.RequestedAt)
	s.resolveLostRuns(w.ID, l.Incarnation)
	s.updateClosed(w)
	silent := w.silentBefore(l.RequestedAt)
	w.lastListing, w.endsOmitted = max(w.lastListing, l.RequestedAt), l.EndsOmitted
	for i := range l.Ended {
		s.handleEnd(w, &l.Ended[i])
	}
	present := make(map[runKey]bool, len(l.Running))
	for i := range l.Running {
		key := runKey{l.Running[i].Task, l.Running[i].Run}
		present[key] = true
		s.handleRunning(w, key, &l.Running[i], silent, l.RequestedAt)
	}
	if !l.EndsOmitted {
		s.closeMissing(w, present, l.RequestedAt)
	}
}

// reportDropped reports a listing of a worker without accounting, once until the registry
// names the worker.
func (s *Scheduler) reportDropped(l Listing) {
	if s.dropped[l.Worker] {
		return
	}
	s.dropped[l.Worker] = true
	s.emit(LogEvent{Event: EventListingDropped, Failed: true, Worker: l.Worker, Detail: fmt.Sprintf("%d/%d", len(l.Running), len(l.Ended))})
}

// beginLife replaces what is known about the worker's former incarnation, or about the
// one before its lease expired.
func (s *Scheduler) beginLife(w *worker, incarnation int64) {
	s.forgetUnknownRuns(w)
	w.life = newLife(incarnation)
	s.workersVersion++
	delete(s.unstored, w)
	s.freed = append(s.freed, w)
}

// runs returns the runs that a listing names.
func (l *Listing) runs() map[runKey]bool {
	runs := make(map[runKey]bool, len(l.Running)+len(l.Ended))
	for i := range l.Running {
		runs[runKey{l.Running[i].Task, l.Running[i].Run}] = true
	}
	for i := range l.Ended {
		runs[runKey{l.Ended[i].Task, l.Ended[i].Run}] = true
	}
	return runs
}

// closeFormerAttempts closes the attempts of a worker's former incarnation, after the
// first listing of the next one, which names the given runs: it has carried out their starts
// before it was listed. The next one may still carry out a start that it has not
// answered, or that it answered after the listing was requested: these attempts stay open
// until a stop is answered or a later listing lacks them.
func (s *Scheduler) closeFormerAttempts(w *worker, listed map[runKey]bool, requestedAt Instant) {
	for key, a := range w.attempts {
		switch {
		case listed[key] && a.phase == stopping:
			// The former incarnation answered the stop, and the next one carried out the start late.
			a.confirmed = 0
			s.emitStop(a, "worker_restarted")
		case listed[key]:
		case a.confirmed != 0 && a.confirmed < requestedAt:
			s.closeAttempt(a)
			s.retryAfterLoss(a)
		case a.phase == stopping:
			// The session that repeated the stop may have ended with the former life.
			s.emitStop(a, "worker_restarted")
		}
	}
}

// stopRepeatMS is how long a run may be listed after its stop was emitted, beyond
// Config.StopTimeoutMS, before the stop is emitted again, in ms. The session repeats a stop
// without an answer more often, but no stop outlives its session.
const stopRepeatMS = 1000

// isStopOverdue reports whether a listing that was requested at the given time should lack a
// run whose stop was emitted before.
func (s *Scheduler) isStopOverdue(emitted, requestedAt Instant) bool {
	return requestedAt-emitted > Instant(s.cfg.StopTimeoutMS)+stopRepeatMS
}

// handleRunning processes a run that the worker reports as running, in a listing that was
// requested at the given time, after it was silent for another one.
func (s *Scheduler) handleRunning(w *worker, key runKey, r *RunningTask, silent, requestedAt Instant) {
	a := w.attempts[key]
	emitted, known := w.unknownRuns[key]
	if a == nil && !known { // an unknown run is being stopped
		a = s.adopt(w, key)
	}
	if a == nil {
		if t := s.task(key.task); t != nil && !known {
			t.unknownOn = append(t.unknownOn, w.ID)
		}
		if !known {
			w.charges[key] = s.chargeOf(key.task)
		}
		if !known || s.isStopOverdue(emitted, requestedAt) {
			s.emitUnknownStop(w, key)
		}
		return
	}
	switch {
	case a.phase == starting:
		s.confirm(a)
	case a.phase == stopping && s.isStopOverdue(a.stopEmitted, requestedAt):
		s.emitStop(a, "stop_overdue")
	}
	a.updateProgress(s.now, r, silent)
	s.updateCheckpoint(a.task, a.run, r.Checkpoint)
}

// emitUnknownStop has a run without an attempt stopped.
func (s *Scheduler) emitUnknownStop(w *worker, key runKey) {
	w.unknownRuns[key] = s.now
	s.emit(Stop{Worker: w.ID, Task: key.task, Run: key.run, Reason: "unknown_run"})
}

// openBegun opens an occurrence of a restored job that has a run although it is not due on
// this holder's clock: an earlier holder, whose clock was ahead, has begun it.
func (s *Scheduler) openBegun(id TaskID) {
	j := s.jobs[id.Job]
	if j == nil || j.final != "" || !j.restored || j.Schedule == nil || id.Occurrence < 0 || id.Occurrence >= j.Schedule.Occurrences {
		return
	}
	if !j.finished.has(id.Occurrence) && j.occurrences[id.Occurrence] == nil {
		s.openOccurrence(j, id.Occurrence, j.occurrenceDue(s, id.Occurrence))
	}
}

// adopt takes over a run that an earlier holder started. It returns nil if the run must
// be stopped.
func (s *Scheduler) adopt(w *worker, key runKey) *attempt {
	s.openBegun(key.task)
	t := s.task(key.task)
	if t == nil {
		return nil
	}
	s.discountRestoredCrash(w, t, key.run)
	st := t.step
	t.lastRun = max(t.lastRun, key.run)
	st.lastRun = max(st.lastRun, key.run)
	if t.done || (len(t.attempts) > 0 && !st.def.Speculative) || !st.matchesGangRun(key.run) {
		return nil
	}
	a := s.openAttempt(t, w, key.run)
	a.resumed = true
	s.confirm(a)
	if t.crashes.suspected {
		s.beginTrial(a)
	}
	return a
}

// matchesGangRun reports whether a run number matches the attempts of a gang. All
// members of a gang share one run number.
func (s *step) matchesGangRun(run uint32) bool {
	if !s.def.Gang {
		return true
	}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if a.run != run {
				return false
			}
		}
	}
	return true
}

// closeMissing closes attempts that the worker has confirmed but no longer reports.
func (s *Scheduler) closeMissing(w *worker, present map[runKey]bool, requestedAt Instant) {
	for key, a := range w.attempts {
		if present[key] || a.confirmed == 0 || a.confirmed >= requestedAt {
			continue
		}
		s.closeAttempt(a)
		s.retryAfterLoss(a)
	}
	for key := range w.unknownRuns {
		if !present[key] {
			s.forgetUnknownRun(w, key)
		}
	}
}

// forgetUnknownRun records that an unknown run has ended, so its task may be placed.
func (s *Scheduler) forgetUnknownRun(w *worker, key runKey) {
	if _, known := w.unknownRuns[key]; !known {
		return
	}
	delete(w.unknownRuns, key)
	w.charges[key].refund()
	delete(w.charges, key)
	if t := s.task(key.task); t != nil {
		if i := slices.Index(t.unknownOn, w.ID); i >= 0 {
			t.unknownOn = slices.Delete(t.unknownOn, i, i+1)
		}
		s.queueReady(t.step.occ)
	}
}

// forgetUnknownRuns records that a worker runs none of its unknown runs any more.
func (s *Scheduler) forgetUnknownRuns(w *worker) {
	for key := range w.unknownRuns {
		s.forgetUnknownRun(w, key)
	}
}
