package core

import (
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// limitLog makes the log keep records for a number of steps.
func (cell *fakeCell) limitLog(steps int) {
	cell.keepFor = steps
	for _, p := range cell.sorted() {
		p.core.cfg.RefreshInterval = cell.refreshInterval()
	}
}

// acceptedIDs returns the ids of the logged jobs, of one kind or of all.
func (cell *fakeCell) acceptedIDs(kind api.Kind) (ids []string) {
	for _, r := range cell.log {
		if r.Accept != nil && len(r.Accept.Tasks) == 0 && (kind == "" || r.Accept.Job.Kind == kind) {
			ids = append(ids, r.Accept.Job.ID)
		}
	}
	return ids
}

// putInForce rolls a bundle at all processes.
func (cell *fakeCell) putInForce(b bundle.Bundle) {
	cell.bundle = b
	for _, p := range cell.sorted() {
		p.inbox = append(p.inbox, BundleChanged{Roll: uint64(cell.steps), Bundle: b})
	}
}

// advance lets time pass and ends processes whose stop is complete.
func (f *faultDriver) advance(d time.Duration) {
	for end := f.cell.now.Add(d); f.cell.now.Before(end); {
		f.cell.step()
		for _, p := range f.cell.sorted() {
			if !p.stopped || !p.alive {
				continue
			}
			f.checkTokens(p)
			f.incarnation++
			f.cell.start(p.ref.Name, f.incarnation)
		}
	}
}

func (f *faultDriver) stop(p *fakeProcess) {
	if p.running() {
		p.inbox = append(p.inbox, StopRequested{})
	}
}

// pauseOrResume pauses a process, or resumes it with a tail that lags behind. A
// long pause is longer than the log keeps records.
func (f *faultDriver) pauseOrResume(name string) {
	p := f.cell.procs[name]
	if !p.paused {
		p.paused = true
		return
	}
	if rapid.IntRange(0, 4).Draw(f.rt, "long") == 0 {
		f.advance(30 * time.Second)
	}
	f.cell.resumeLate(name, time.Duration(rapid.IntRange(0, 40).Draw(f.rt, "lag"))*TickInterval)
}

// changeWorker lets a worker leave, vanish with its tasks, or come back.
func (f *faultDriver) changeWorker(name string) {
	w := f.cell.workers[name]
	switch {
	case w.vm.Gone:
		w.vm.Gone, w.vm.Leaving, w.down = false, false, false
	case w.vm.Leaving:
		w.vm.Gone, w.down = true, true
		f.cell.restartWorker(name)
	default:
		w.vm.Leaving = true
		w.leaving = f.cell.now
	}
	f.cell.listVM(w.vm)
}

// changeBundle takes a class or a workspace out of the bundle, or sets a quota.
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
	f.cell.putInForce(b)
}

// loseCaller withdraws a caller that may be waiting.
func (f *faultDriver) loseCaller(p *fakeProcess) {
	tokens := f.asked[p.ref.String()]
	if len(tokens) == 0 || !p.running() {
		return
	}
	i := rapid.IntRange(0, len(tokens)-1).Draw(f.rt, "gone")
	p.inbox = append(p.inbox, CallerGone{Token: tokens[i]})
	f.asked[p.ref.String()] = append(append([]uint64(nil), tokens[:i]...), tokens[i+1:]...)
}

// cancelServices ends all services, which never end by themselves.
func (f *faultDriver) cancelServices() {
	for _, id := range f.cell.acceptedIDs(api.KindService) {
		for _, p := range f.cell.sorted() {
			f.token++
			f.cell.ask(p.ref.Name, f.token, message.OpCancel, api.Job{ID: id, Workspace: "a"})
		}
	}
}

func (f *faultDriver) checkTokens(p *fakeProcess) {
	for _, token := range f.asked[p.ref.String()] {
		_, ok := f.cell.answers[p.ref.Name][token]
		assert.Assert(f.rt, ok, "token %d of %s has no answer", token, p.ref)
	}
}

// checkAnswered guards against callers that are never answered, and against state
// that is left over when all work is done.
func (f *faultDriver) checkAnswered() {
	for _, p := range f.cell.sorted() {
		f.checkTokens(p)
		c := p.core
		assert.Equal(f.rt, len(c.jobs.byOwner), 0, "unfinished logged jobs at %s", p.ref)
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
			// Attempts of which no process knows the job, and whose coordinator is
			// gone, are kept for endedRetention. A logged one may run until then: its
			// records may have expired before any process adopted the job.
			isKept := t.phase == heldEnded || t.spec.Kind.Logged()
			assert.Assert(f.rt, isKept && !c.isUp(t.spec.Coordinator) && c.jobs.byID[t.spec.Attempt.Job] == nil,
				"attempt %s left at %s", t.spec.Attempt, p.ref)
		}
	}
}
