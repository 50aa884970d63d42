package core

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

func (cluster *fakeCluster) acquire(p *fakeProcess, a AcquireLease) {
	w := cluster.workers[a.Worker]
	if w == nil || cluster.isDown(p, w) {
		p.inbox = append(p.inbox, LeaseRefused{Worker: a.Worker})
		return
	}
	if cluster.now.Before(w.expires) {
		p.inbox = append(p.inbox, LeaseRefused{Worker: a.Worker, Holder: w.holder.String(), Remaining: w.expires.Sub(cluster.now)})
		return
	}
	w.epoch++
	w.holder = p.ref
	w.expires = cluster.now.Add(fakeLease)
	p.held[a.Worker] = w.epoch
	grant := api.Grant{Worker: a.Worker, Epoch: w.epoch, Boot: w.boot, Capacity: w.vm.Capacity}
	for _, t := range sortedAttempts(w.tasks, anyAttempt) {
		grant.Tasks = append(grant.Tasks, t.report())
	}
	p.inbox = append(p.inbox, LeaseGranted{Grant: grant})
}

// isDown reports whether the worker does not answer the process.
func (cluster *fakeCluster) isDown(p *fakeProcess, w *fakeWorker) bool {
	return w.down || cluster.unreachable[[2]string{p.ref.Name, w.vm.Name}]
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

// reach returns the worker if it answers and the epoch is its present one. If it does
// not answer, the action is repeated for as long as the process holds the lease.
func (cluster *fakeCluster) reach(p *fakeProcess, name string, epoch uint64, action Action) *fakeWorker {
	w := cluster.workers[name]
	if w == nil || w.epoch != epoch {
		return nil
	}
	if cluster.isDown(p, w) {
		if p.held[name] == epoch {
			p.repeat = append(p.repeat, action)
		}
		return nil
	}
	return w
}

func (cluster *fakeCluster) acknowledge(p *fakeProcess, a AcknowledgeTasks) {
	w := cluster.reach(p, a.Worker, a.Epoch, a)
	if w == nil {
		return
	}
	for _, id := range a.Attempts {
		delete(w.tasks, id)
	}
}

func (cluster *fakeCluster) startTask(p *fakeProcess, a StartTask) {
	w := cluster.reach(p, a.Worker, a.Epoch, a)
	if w == nil {
		return
	}
	id := a.Spec.Attempt
	if w.tasks[id] != nil {
		p.inbox = append(p.inbox, TaskStarted{Worker: a.Worker, Epoch: a.Epoch, Attempt: id})
		return
	}
	if !w.used().Add(a.Spec.Resources).Fits(w.vm.Capacity) {
		cluster.violation("worker %s was asked for more than it holds by %s", a.Worker, id)
		p.inbox = append(p.inbox, TaskStartRefused{Worker: a.Worker, Epoch: a.Epoch, Attempt: id,
			Reason: fault.New(fault.NoCapacity, "full", "")})
		return
	}
	cluster.checkStart(a.Spec)
	if w.vm.Leaving && cluster.now.Sub(w.leaving) > leavingGrace {
		cluster.violation("task %s starts on the leaving worker %s", id, a.Worker)
	}
	run := time.Duration(a.Spec.RunTimeMS) * time.Millisecond
	w.tasks[id] = &fakeTask{spec: a.Spec, endsAt: cluster.now.Add(run)}
	p.inbox = append(p.inbox, TaskStarted{Worker: a.Worker, Epoch: a.Epoch, Attempt: id})
}

// checkStart counts a start and reports the guarantees that it violates.
func (cluster *fakeCluster) checkStart(spec api.TaskSpec) {
	id := spec.Attempt
	for name, w := range cluster.workers {
		for other, t := range w.tasks {
			if other.Job == id.Job && other.Task == id.Task && !t.ended {
				cluster.violation("task %s starts while %s runs on %s", id, other, name)
			}
		}
	}
	cluster.startsByAttempt[id]++
	cluster.startsByJob[id.Job]++
	if !spec.Idempotent && spec.Kind == api.KindRequest && cluster.startsByJob[id.Job] > 1 {
		cluster.violation("non-idempotent job %s started again", id.Job)
	}
}
