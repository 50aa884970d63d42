package core

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

func (cell *fakeCell) acquire(p *fakeProcess, a AcquireLease) {
	w := cell.workers[a.Worker]
	if w == nil || cell.isDown(p, w) {
		p.inbox = append(p.inbox, LeaseRefused{Worker: a.Worker})
		return
	}
	if cell.now.Before(w.expires) {
		p.inbox = append(p.inbox, LeaseRefused{Worker: a.Worker, Holder: w.holder.String(), Remaining: w.expires.Sub(cell.now)})
		return
	}
	w.epoch++
	w.holder = p.ref
	w.expires = cell.now.Add(fakeLease)
	p.held[a.Worker] = w.epoch
	grant := api.Grant{Worker: a.Worker, Epoch: w.epoch, Boot: w.boot, Capacity: w.vm.Capacity}
	for _, t := range sortedAttempts(w.tasks, anyAttempt) {
		grant.Tasks = append(grant.Tasks, t.report())
	}
	p.inbox = append(p.inbox, LeaseGranted{Grant: grant})
}

// isDown reports whether the worker does not answer the process.
func (cell *fakeCell) isDown(p *fakeProcess, w *fakeWorker) bool {
	return w.down || cell.unreachable[[2]string{p.ref.Name, w.vm.Name}]
}

func (t *fakeTask) report() api.TaskReport {
	r := api.TaskReport{Spec: t.spec, State: api.TaskRunning}
	if t.ended {
		r.State = api.TaskEnded
		r.Outcome = api.OutcomeCompleted
		r.Error = t.err
		if t.err != "" {
			r.Outcome = api.OutcomeFailed
		}
		r.Body = []byte(t.spec.Attempt.Job)
		r.Length = int64(len(r.Body))
	}
	return r
}

// reach returns a worker that answers under the epoch. The action is repeated for
// one that does not answer while the process holds its lease.
func (cell *fakeCell) reach(p *fakeProcess, name string, epoch uint64, action Action) *fakeWorker {
	w := cell.workers[name]
	if w == nil || w.epoch != epoch {
		return nil
	}
	if cell.isDown(p, w) {
		if p.held[name] == epoch {
			p.repeat = append(p.repeat, action)
		}
		return nil
	}
	return w
}

func (cell *fakeCell) acknowledge(p *fakeProcess, a AcknowledgeTasks) {
	w := cell.reach(p, a.Worker, a.Epoch, a)
	if w == nil {
		return
	}
	for _, id := range a.Attempts {
		delete(w.tasks, id)
	}
}

func (cell *fakeCell) startTask(p *fakeProcess, a StartTask) {
	w := cell.reach(p, a.Worker, a.Epoch, a)
	if w == nil {
		return
	}
	id := a.Spec.Attempt
	if w.tasks[id] != nil {
		p.inbox = append(p.inbox, TaskStarted{Worker: a.Worker, Epoch: a.Epoch, Attempt: id})
		return
	}
	if !w.used().Add(a.Spec.Resources).Fits(w.vm.Capacity) {
		cell.problem("worker %s was asked for more than it holds by %s", a.Worker, id)
		p.inbox = append(p.inbox, TaskStartRefused{Worker: a.Worker, Epoch: a.Epoch, Attempt: id,
			Reason: fault.New(fault.NoCapacity, "full", "")})
		return
	}
	cell.checkStart(a.Spec)
	if w.vm.Leaving && cell.now.Sub(w.leaving) > leavingBound {
		cell.problem("task %s starts on the leaving worker %s", id, a.Worker)
	}
	run := time.Duration(a.Spec.RunTimeMS) * time.Millisecond
	w.tasks[id] = &fakeTask{spec: a.Spec, endsAt: cell.now.Add(run)}
	p.inbox = append(p.inbox, TaskStarted{Worker: a.Worker, Epoch: a.Epoch, Attempt: id})
}

// checkStart notes a start and the promises that it breaks.
func (cell *fakeCell) checkStart(spec api.TaskSpec) {
	id := spec.Attempt
	for name, w := range cell.workers {
		for other, t := range w.tasks {
			if other.Job == id.Job && other.Task == id.Task && !t.ended {
				cell.problem("task %s starts while %s runs on %s", id, other, name)
			}
		}
	}
	cell.starts[id]++
	cell.ran[id.Job]++
	if !spec.Idempotent && spec.Kind == api.KindRequest && cell.ran[id.Job] > 1 {
		cell.problem("non-idempotent job %s started again", id.Job)
	}
}
