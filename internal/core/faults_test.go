package core

import (
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// setLogRetention sets the retention of the log in steps.
func (cluster *fakeCluster) setLogRetention(steps int) {
	cluster.retentionSteps = steps
	for _, p := range cluster.sortedProcs() {
		p.core.cfg.RefreshInterval = cluster.refreshInterval()
	}
}

// acceptedIDs returns the IDs of the logged jobs of one kind, or of all if kind is
// empty.
func (cluster *fakeCluster) acceptedIDs(kind api.Kind) (ids []string) {
	for _, r := range cluster.log {
		if r.Accept != nil && len(r.Accept.Tasks) == 0 && (kind == "" || r.Accept.Job.Kind == kind) {
			ids = append(ids, r.Accept.Job.ID)
		}
	}
	return ids
}

// rollBundle puts a bundle in force at all processes.
func (cluster *fakeCluster) rollBundle(b bundle.Bundle) {
	cluster.bundle = b
	for _, p := range cluster.sortedProcs() {
		p.inbox = append(p.inbox, BundleChanged{Roll: uint64(cluster.steps), Bundle: b})
	}
}

// advance runs the simulation for d and replaces processes whose shutdown is complete.
func (f *faultDriver) advance(d time.Duration) {
	for end := f.cluster.now.Add(d); f.cluster.now.Before(end); {
		f.cluster.step()
		for _, p := range f.cluster.sortedProcs() {
			if !p.stopped || !p.alive {
				continue
			}
			f.checkTokens(p)
			f.incarnation++
			f.cluster.start(p.ref.Name, f.incarnation)
		}
	}
}

func (f *faultDriver) stop(p *fakeProcess) {
	if p.running() {
		p.inbox = append(p.inbox, StopRequested{})
	}
}

// pauseOrResume pauses a process, or resumes it so that it reads the log only after a
// lag. Some pauses are longer than the retention of the log.
func (f *faultDriver) pauseOrResume(name string) {
	p := f.cluster.procs[name]
	if !p.paused {
		p.paused = true
		return
	}
	if rapid.IntRange(0, 4).Draw(f.rt, "long") == 0 {
		f.advance(30 * time.Second)
	}
	f.cluster.resumeLate(name, time.Duration(rapid.IntRange(0, 40).Draw(f.rt, "lag"))*TickInterval)
}

// changeWorker makes a worker leave, then disappear with its tasks, then come back.
func (f *faultDriver) changeWorker(name string) {
	w := f.cluster.workers[name]
	switch {
	case w.vm.Gone:
		w.vm.Gone, w.vm.Leaving, w.down = false, false, false
	case w.vm.Leaving:
		w.vm.Gone, w.down = true, true
		f.cluster.restartWorker(name)
	default:
		w.vm.Leaving = true
		w.leaving = f.cluster.now
	}
	f.cluster.reportVM(w.vm)
}

// changeBundle removes a class or a workspace from the bundle, sets a quota, or puts
// the original bundle back.
func (f *faultDriver) changeBundle() {
	b := testBundle()
	switch rapid.IntRange(0, 3).Draw(f.rt, "bundle") {
	case 0:
		b.Classes = b.Classes[:1]
	case 1:
		b.Workspaces = b.Workspaces[1:]
	case 2:
		b.Workspaces[0].Quota = api.Resources{CPUMilli: 3000}
	}
	f.cluster.rollBundle(b)
}

// disconnectCaller disconnects a caller that may be waiting.
func (f *faultDriver) disconnectCaller(p *fakeProcess) {
	tokens := f.asked[p.ref.String()]
	if len(tokens) == 0 || !p.running() {
		return
	}
	i := rapid.IntRange(0, len(tokens)-1).Draw(f.rt, "gone")
	p.inbox = append(p.inbox, CallerGone{Token: tokens[i]})
	f.asked[p.ref.String()] = append(append([]uint64(nil), tokens[:i]...), tokens[i+1:]...)
}

// cancelServices cancels all services, which never end by themselves.
func (f *faultDriver) cancelServices() {
	for _, id := range f.cluster.acceptedIDs(api.KindService) {
		for _, p := range f.cluster.sortedProcs() {
			f.token++
			f.cluster.ask(p.ref.Name, f.token, message.OpCancel, api.Job{ID: id, Workspace: "a"})
		}
	}
}

// checkTokens checks that a process has answered every caller that it must answer.
func (f *faultDriver) checkTokens(p *fakeProcess) {
	for _, token := range f.asked[p.ref.String()] {
		_, ok := f.cluster.answers[p.ref.Name][token]
		assert.Assert(f.rt, ok, "token %d of %s has no answer", token, p.ref)
	}
}

// checkAnswered checks that all callers were answered and that no state is left over
// when all work is done.
func (f *faultDriver) checkAnswered() {
	for _, p := range f.cluster.sortedProcs() {
		f.checkTokens(p)
		c := p.core
		assert.Equal(f.rt, len(c.jobs.byCoordinator), 0, "unfinished logged jobs at %s", p.ref)
		assert.Equal(f.rt, len(c.jobs.logging), 0, "jobs without record at %s", p.ref)
		assert.Equal(f.rt, len(c.attempts.byID), 0, "unfinished attempts at %s", p.ref)
		assert.Equal(f.rt, len(c.attempts.byWorker), 0, "bound attempts at %s", p.ref)
		assert.Equal(f.rt, len(c.attempts.delayed), 0, "delayed tasks at %s", p.ref)
		assert.Equal(f.rt, len(c.attempts.workspaceUse), 0, "use left at %s", p.ref)
		assert.Equal(f.rt, len(c.requests.jobs)+len(c.requests.forwards), 0, "waiting callers at %s", p.ref)
		assert.Equal(f.rt, len(c.held.reservations), 0, "reservations at %s", p.ref)
		assert.Equal(f.rt, c.queue.Len(), 0, "waiting items at %s", p.ref)
		for _, class := range c.queue.Stats() {
			assert.Equal(f.rt, class.Placing+class.Running, 0, "items handed out at %s", p.ref)
		}
		for _, t := range c.held.tasks {
			// Attempts of an unknown job whose coordinator is gone are kept for
			// endedRetention. A logged one may run until then: its records may have
			// expired before any process adopted the job.
			isKept := t.phase == heldEnded || t.spec.Kind.Logged()
			assert.Assert(f.rt, isKept && !c.isUp(t.spec.Coordinator) && c.jobs.byID[t.spec.Attempt.Job] == nil,
				"attempt %s left at %s", t.spec.Attempt, p.ref)
		}
	}
}
