package cell

import (
	"slices"
	"strconv"
)

// This file keeps the roster: which workers may be running tasks, as far as the log
// knows. Starts are not recorded, so a new holder must not place a restored task while
// an open worker of the roster, on which any task may have been started, has not sent a
// listing. Of a closed worker, the roster names the tasks that may be running there, and
// only these wait. Workers that are unreachable, not in the registry, draining or under
// maintenance are closed: without that, all restored tasks would wait for the leases of
// workers that are gone.

// unreconciledWorker is a worker of an earlier holder that has not sent a listing.
type unreconciledWorker struct {
	closed  bool
	tasks   []TaskID // that may be running on a closed worker
	charges []charge // of these tasks
}

// closingDelayMS is how long the roster may lack a closed worker, in ms. Many workers are
// often closed one after the other, and some of them only for a moment.
const closingDelayMS = 100

// isClosed reports whether the roster lists the worker as closed, so that it must get no
// tasks.
func (w *worker) isClosed() bool { return w.Draining || w.cordoned || w.unreachable || !w.registered }

// isInRoster reports whether the stored roster contains the worker as open. No other
// worker may get tasks.
func (s *Scheduler) isInRoster(w *worker) bool { return w.rosterSeq <= s.stored }

// WorkerUnreachable reports that a worker did not answer a renewal of its lease that was sent
// at the given time. It gets no tasks until its next listing; its runs continue.
func (s *Scheduler) WorkerUnreachable(workerID string, renewalSentAt Instant) {
	if w := s.workers[workerID]; w != nil {
		if !w.unreachable {
			w.silentSince = s.now
		}
		w.unreachable = true
		s.recordLostRuns(w, renewalSentAt)
		s.updateClosed(w)
	}
}

// updateClosed has the roster written after the worker may have been closed or opened.
// If the roster lists it as closed, it gets tasks again once the next one is stored.
func (s *Scheduler) updateClosed(w *worker) {
	switch closed := w.isClosed(); {
	case closed && !w.listedClosed && w.rosterSeq != notInRoster && s.closingDue == 0:
		s.closingDue = s.now + closingDelayMS
	case !closed && w.listedClosed:
		w.listedClosed = false
		w.rosterSeq = unwritten
		s.rosterDirty = true
	}
}

// writeRoster persists the roster if a worker was added, closed or opened, or if one
// that has left or is draining can no longer run anything.
func (s *Scheduler) writeRoster() {
	if !s.rosterDirty && (s.closingDue == 0 || s.now < s.closingDue) {
		return
	}
	s.rosterDirty, s.closingDue = false, 0
	r := roster{Incomplete: s.rosterLost}
	for id, u := range s.unreconciled {
		r.add(id, u.closed, u.tasks)
	}
	for id, w := range s.workers {
		if s.unreconciled[id] == nil && w.rosterSeq != notInRoster {
			w.listedClosed = r.add(id, w.isClosed(), w.tasks())
		}
	}
	s.rosterSeq = s.persist(rosterKey, encode(r))
	for id, w := range s.workers {
		if u := s.unreconciled[id]; (u == nil || !u.closed) && w.rosterSeq == unwritten && !w.isClosed() {
			w.rosterSeq = s.rosterSeq
		}
	}
}

// maxClosedTasks limits the tasks in a roster, of about 25 bytes each. The log accepts
// records of 256 KiB.
const maxClosedTasks = 4096

// add adds a worker, with its tasks if it is closed and the limit allows it, and reports
// whether it lists the worker as closed.
func (r *roster) add(id string, closed bool, tasks []TaskID) (listedClosed bool) {
	r.Workers = append(r.Workers, id)
	if !closed || r.closedTasks+len(tasks) > maxClosedTasks {
		return false
	}
	r.closedTasks += len(tasks)
	c := closedWorker{ID: id}
	for _, t := range tasks {
		c.Tasks = append(c.Tasks, t.String())
	}
	r.Closed = append(r.Closed, c)
	return true
}

// tasks returns the tasks that may be running on the worker.
func (w *worker) tasks() []TaskID {
	out := make([]TaskID, 0, len(w.attempts)+len(w.unknownRuns))
	for key := range w.attempts {
		out = append(out, key.task)
	}
	for key := range w.unknownRuns {
		out = append(out, key.task)
	}
	return out
}

// restoreRoster loads the roster of earlier holders.
func (s *Scheduler) restoreRoster(r Record) error {
	var old roster
	if err := decodeRecord(r, &old); err != nil {
		return err
	}
	s.rosterLost = old.Incomplete
	for _, id := range old.Workers {
		s.unreconciled[id] = &unreconciledWorker{}
	}
	for _, c := range old.Closed {
		u := &unreconciledWorker{closed: true}
		for _, name := range c.Tasks {
			id, err := ParseTaskID(name)
			if err != nil {
				return err // the worker counts as open
			}
			u.tasks = append(u.tasks, id)
		}
		s.unreconciled[c.ID] = u
	}
	return nil
}

// holdTasks keeps the tasks that may be running on closed workers from being placed. It
// is called when all records have been restored.
func (s *Scheduler) holdTasks() {
	s.restoredAt = s.now
	s.reconciling = len(s.unreconciled) > 0 || s.rosterLost
	for workerID, u := range s.unreconciled {
		for _, id := range u.tasks {
			u.charges = append(u.charges, s.chargeOf(id))
			if t := s.task(id); t != nil {
				t.unreconciledOn = append(t.unreconciledOn, workerID)
			} else if j := s.jobs[id.Job]; j != nil && j.final == "" {
				u.closed = false // its occurrence is not open yet, so the task cannot be held
			}
		}
		if !u.closed {
			s.openUnreconciled++
		}
	}
}

// How a worker of earlier holders was accounted for.
const (
	reconciledListed       = "listed"
	reconciledLeaseExpired = "lease_expired"
	reconciledReplaced     = "replaced"
	reconciledWaited       = "waited" // until Config.RestoreUntil
)

// lateReconciliationMS is the time after the restore, in ms, from which on each worker that
// sends its first listing is logged. Nearly all do so within some 100 ms.
const lateReconciliationMS = 1000

// markReconciled records that a worker of earlier holders has no runs left that this
// holder does not know.
func (s *Scheduler) markReconciled(workerID, how string) {
	u := s.unreconciled[workerID]
	if u == nil {
		return
	}
	delete(s.unreconciled, workerID)
	for _, c := range u.charges {
		c.refund()
	}
	if age := int64(s.now - s.restoredAt); how != reconciledListed || age > lateReconciliationMS {
		s.emit(LogEvent{Event: EventWorkerReconciled, Worker: workerID, Detail: how, AgeMS: age})
	}
	w := s.workers[workerID]
	s.rosterDirty = s.rosterDirty || w == nil || u.closed || w.rosterSeq == unwritten
	if !u.closed {
		s.openUnreconciled--
	} else if w != nil {
		w.rosterSeq = unwritten
	}
	for _, id := range u.tasks {
		t := s.task(id)
		if t == nil {
			continue
		}
		t.unreconciledOn = slices.DeleteFunc(t.unreconciledOn, func(on string) bool { return on == workerID })
		s.queueReady(t.step.occ)
	}
}

// reconcile reports how far the reconciliation with the workers of earlier holders has
// come, and ends it once all leases of earlier holders have expired.
func (s *Scheduler) reconcile() {
	if !s.reconciling {
		return
	}
	age, silent := int64(s.now-s.restoredAt), 0
	if s.priorLeasesExpired() {
		s.rosterDirty = s.rosterDirty || s.rosterLost
		s.rosterLost = false
		for id := range s.unreconciled {
			if !s.awaitsEnds(id) {
				silent++
				s.markReconciled(id, reconciledWaited)
				if w := s.workers[id]; w != nil {
					s.removeIfGone(w)
				}
			}
		}
	}
	if !s.resumed && s.mayPlaceRestored() {
		s.resumed = true
		s.emit(LogEvent{Event: EventCellResumed, AgeMS: age, Detail: strconv.Itoa(len(s.unreconciled))})
	}
	if len(s.unreconciled) == 0 && !s.rosterLost {
		s.reconciling = false
		s.emit(LogEvent{Event: EventCellSettled, AgeMS: age, Detail: strconv.Itoa(silent)})
	}
}

// awaitsEnds reports whether a worker answers but has not listed all of its ended tasks yet.
func (s *Scheduler) awaitsEnds(workerID string) bool {
	w := s.workers[workerID]
	return w != nil && w.fenced && w.endsOmitted
}

// priorLeasesExpired reports whether no lease of an earlier holder can be in force: it has
// ended, and this holder still had no successor then that may have renewed it.
func (s *Scheduler) priorLeasesExpired() bool { return min(s.now, s.confirmed) >= s.cfg.RestoreUntil }

// Settled reports whether all tasks of restored jobs may be placed: every worker that
// may be running one has sent a complete listing or can run nothing any more, or the
// leases of earlier holders have expired and all that answer have sent one.
func (s *Scheduler) Settled() bool {
	if !s.priorLeasesExpired() {
		return len(s.unreconciled) == 0 && !s.rosterLost
	}
	for id := range s.unreconciled {
		if s.awaitsEnds(id) {
			return false
		}
	}
	return true
}

// mayPlaceRestored reports whether tasks of restored jobs may be placed unless they have
// an attempt or are held.
func (s *Scheduler) mayPlaceRestored() bool {
	return s.openUnreconciled == 0 && !s.rosterLost || s.Settled()
}

// isHeld reports whether a worker may be running a task of the step without an attempt.
func (s *step) isHeld() bool {
	return slices.ContainsFunc(s.tasks, (*task).mayRunUnknown)
}
