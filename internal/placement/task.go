package placement

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// task is a reservation for an attempt, or a running attempt.
type task struct {
	spec        api.TaskSpec // without the payload
	worker      *worker
	position    int // index in worker.tasks
	class       *classState
	workload    *workload
	charge      api.Resources
	preemptible bool
	running     bool
	reserved    bool      // counted in worker.reservations
	expires     time.Time // of a reservation

	excess     api.Resources // last measured use above the charge
	usedMemory int64         // last measured, in mebibytes
	reportedAt time.Time     // of the last measurement
	peak       ratios        // largest measured ratio of used to declared

	pressureAction     VictimAction // last action against memory pressure
	pressureReportedAt time.Time    // reportedAt at that action
	evictionAction     VictimAction // last action to free resources for a more urgent task
	evictionAt         time.Time
}

// expiry is the timer of a reservation.
type expiry struct{ t *task }

// Adopt adds a running task that the worker listed. This may exceed the worker's
// capacity; no task is then placed there until enough capacity is free again. If the
// attempt is already known on the worker, it becomes running. Adopt has no effect if
// the worker is not held.
func (p *Pool) Adopt(now time.Time, worker string, spec api.TaskSpec) {
	p.advance(now)
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	if t, known := p.tasks[spec.Attempt]; known {
		if t.worker == w {
			p.markRunning(t)
			return
		}
		p.removeTask(t)
	}
	wl := p.workloadOf(spec.Workspace, spec.Class)
	t := p.addTask(w, spec, wl, wl.charge(spec.Resources, w.Capacity))
	p.markRunning(t)
}

// Start turns a reservation into a running task and returns its worker. ok is false
// if there is no reservation or it has expired. A task that is already running counts
// as started, because a repeated commit must not be refused.
func (p *Pool) Start(now time.Time, a api.AttemptID) (worker string, ok bool) {
	p.advance(now)
	t, known := p.tasks[a]
	if !known || !t.running && !t.expires.After(now) {
		return "", false
	}
	p.markRunning(t)
	return t.worker.Name, true
}

// Release ends a reservation or a running task and frees its resources, in constant
// amortised time. It reports whether the attempt was known.
func (p *Pool) Release(a api.AttemptID) bool {
	t, ok := p.tasks[a]
	if !ok {
		return false
	}
	if t.running && !t.reportedAt.IsZero() {
		t.workload.learnPeak(t.peak)
	}
	p.removeTask(t)
	return true
}

// Expire releases the reservations that have expired and returns their attempts.
func (p *Pool) Expire(now time.Time) []api.AttemptID {
	p.advance(now)
	var expired []api.AttemptID
	for e, ok := p.expiries.pop(now); ok; e, ok = p.expiries.pop(now) {
		t := e.value.t
		if p.tasks[t.spec.Attempt] == t && !t.running && !t.expires.After(now) {
			expired = append(expired, t.spec.Attempt)
			p.removeTask(t)
		}
	}
	p.removeExpiredEvictions(now)
	return expired
}

// reserve adds a reservation for the query on the worker.
func (p *Pool) reserve(q *query, w *worker) *task {
	spec := q.request.Spec
	t := p.addTask(w, spec, q.workload, q.workload.charge(spec.Resources, w.Capacity))
	t.reserved = true
	w.reservations++
	w.health.startTrial(t, p.now)
	p.renew(t, q.expires)
	return t
}

// renew sets the time at which a reservation expires. It does nothing if the task is
// already running.
func (p *Pool) renew(t *task, expires time.Time) {
	if t.running {
		return
	}
	t.expires = expires
	p.expiries.push(expires, expiry{t: t})
}

// markRunning turns a reservation into a running task.
func (p *Pool) markRunning(t *task) {
	t.running = true
	t.endReservation()
}

func (t *task) endReservation() {
	if t.reserved {
		t.reserved = false
		t.worker.reservations--
	}
}

// addTask adds a new task to its worker and to all sums.
func (p *Pool) addTask(w *worker, spec api.TaskSpec, wl *workload, charge api.Resources) *task {
	spec.Payload = nil
	t := &task{spec: spec, worker: w, class: p.classes.get(spec.Class), workload: wl, charge: charge}
	t.preemptible = t.class.policy.Preemptible
	t.position = len(w.tasks)
	w.tasks = append(w.tasks, t)
	p.tasks[spec.Attempt] = t
	p.updateSums(t, 1)
	return t
}

// removeTask removes a task from its worker and from all sums, in constant time.
func (p *Pool) removeTask(t *task) {
	w := t.worker
	t.endReservation()
	p.setMeasured(t, api.Resources{})
	p.updateSums(t, -1)
	w.health.endTrial(t)
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.position] = last
	last.position = t.position
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	delete(p.tasks, t.spec.Attempt)
}

// updateSums adds the task's charge to the sums of its worker, rack and class with
// sign 1, or subtracts it with sign -1.
func (p *Pool) updateSums(t *task, sign int) {
	w := t.worker
	amount := t.charge.Scale(int64(sign))
	w.charged = w.charged.Add(amount)
	w.rack.charged = w.rack.charged.Add(amount)
	t.class.tasks += sign
	if w.accepting {
		p.classes.add(t.class, amount)
	}
	if t.preemptible {
		p.countPreemptible(t, sign)
	}
	p.markDirty(w)
}
