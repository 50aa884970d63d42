package placement

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// task is a reservation or a running attempt.
type task struct {
	spec        api.TaskSpec // payload unset
	worker      *worker
	position    int // in worker.tasks
	class       *classState
	kind        *kind
	charge      api.Resources
	preemptible bool
	running     bool
	reserved    bool      // counted in worker.reservations
	expires     time.Time // of a reservation

	excess     api.Resources // last measured use above the charge
	usedMemory int64         // last measured, in mebibytes
	reportedAt time.Time     // of the last measurement
	peak       ratios        // largest used/declared

	pressed    Step      // last step against memory pressure
	pressedFor time.Time // reportedAt of the report that the step answered
	evicted    Step      // last step in favour of more urgent work
	evictedAt  time.Time
}

// expiry is the end of a reservation's life.
type expiry struct{ t *task }

// Adopt accounts for a running task that the worker listed. It may take the
// worker over its capacity; then nothing new is placed there until it has room
// again. A task already known on the worker becomes running. The call has no
// effect if the worker is not held.
func (p *Pool) Adopt(now time.Time, worker string, spec api.TaskSpec) {
	p.advance(now)
	w, ok := p.workers[worker]
	if !ok {
		return
	}
	if t, known := p.tasks[spec.Attempt]; known {
		if t.worker == w {
			p.run(t)
			return
		}
		p.drop(t)
	}
	k := p.kindOf(spec.Workspace, spec.Class)
	t := p.book(w, spec, k, k.charge(spec.Resources, w.Capacity))
	p.run(t)
}

// Start makes a reservation a running task. It returns ok false if there is no
// reservation or its time has passed; a task that runs already is reported as
// started, since a repeated commit must not look like a refusal.
func (p *Pool) Start(now time.Time, a api.AttemptID) (worker string, ok bool) {
	p.advance(now)
	t, known := p.tasks[a]
	if !known || !t.running && !t.expires.After(now) {
		return "", false
	}
	p.run(t)
	return t.worker.Name, true
}

// Release ends a reservation or a running task and frees its room. It reports
// whether the attempt was known and takes constant amortised time.
func (p *Pool) Release(a api.AttemptID) bool {
	t, ok := p.tasks[a]
	if !ok {
		return false
	}
	if t.running && !t.reportedAt.IsZero() {
		t.kind.learnEnd(t.peak)
	}
	p.drop(t)
	return true
}

// Expire releases the reservations whose time has passed and returns them.
func (p *Pool) Expire(now time.Time) []api.AttemptID {
	p.advance(now)
	var expired []api.AttemptID
	for e, ok := p.expiries.pop(now); ok; e, ok = p.expiries.pop(now) {
		t := e.value.t
		if p.tasks[t.spec.Attempt] == t && !t.running && !t.expires.After(now) {
			expired = append(expired, t.spec.Attempt)
			p.drop(t)
		}
	}
	p.forgetClaims(now)
	return expired
}

// reserve books a reservation for the query on the worker.
func (p *Pool) reserve(q *query, w *worker) *task {
	spec := q.request.Spec
	t := p.book(w, spec, q.kind, q.kind.charge(spec.Resources, w.Capacity))
	t.reserved = true
	w.reservations++
	w.health.takeTrial(t, p.now)
	p.renew(t, q.expires)
	return t
}

// renew sets the time at which a reservation expires.
func (p *Pool) renew(t *task, expires time.Time) {
	if t.running {
		return
	}
	t.expires = expires
	p.expiries.push(expires, expiry{t: t})
}

// run makes a task running.
func (p *Pool) run(t *task) {
	t.running = true
	t.endReservation()
}

func (t *task) endReservation() {
	if t.reserved {
		t.reserved = false
		t.worker.reservations--
	}
}

// book enters a new task into all sums.
func (p *Pool) book(w *worker, spec api.TaskSpec, k *kind, charge api.Resources) *task {
	spec.Payload = nil
	t := &task{spec: spec, worker: w, class: p.classes.get(spec.Class), kind: k, charge: charge}
	t.preemptible = t.class.policy.Preemptible
	t.position = len(w.tasks)
	w.tasks = append(w.tasks, t)
	p.tasks[spec.Attempt] = t
	p.account(t, 1)
	return t
}

// drop takes a task out of all sums in constant time.
func (p *Pool) drop(t *task) {
	w := t.worker
	t.endReservation()
	p.measure(t, api.Resources{})
	p.account(t, -1)
	w.health.endTrial(t)
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.position] = last
	last.position = t.position
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	delete(p.tasks, t.spec.Attempt)
}

// account adds the task's charge to the sums of its worker, rack and class, or
// takes it out with sign -1.
func (p *Pool) account(t *task, sign int) {
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
	p.touch(w)
}
