package cell

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// gangOfThree is a gang that needs three workers of the rig and their permits.
func gangOfThree(label string) Job {
	return Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 3, Resources: Resources{CPUMilli: 900}, EstimateMS: 100, Gang: true, Label: label}}}
}

// Guards against a gang that never starts because the workers that become suitable after it has asked about all were known before.
func TestGangAsksAboutWorkersThatBecomeSuitable(t *testing.T) {
	for _, test := range []struct {
		name       string
		unsuitable func(*WorkerInfo)
	}{
		{"back in the registry", nil},
		{"no longer draining", func(w *WorkerInfo) { w.Draining = true }},
		{"with more capacity", func(w *WorkerInfo) { w.Capacity.CPUMilli = 500 }},
		{"with the label", func(w *WorkerInfo) { w.Labels = nil }},
		{"in the service", func(w *WorkerInfo) { w.Service = "other" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
			r.allow = func(string, string) bool { return true }
			suitable := slices.Clone(r.infos)
			for i := range r.infos[1:] {
				if test.unsuitable != nil {
					test.unsuitable(&r.infos[1+i])
				}
			}
			registered := r.infos
			if test.unsuitable == nil {
				registered = r.infos[:1]
			}
			r.s.SetWorkers(registered)
			r.submit(gangOfThree("a"))
			r.advance(searchIntervalMS)
			assert.Equal(t, len(r.starts), 0)
			r.infos = suitable
			r.s.SetWorkers(r.infos)
			for range 5 {
				r.advance(searchIntervalMS)
			}
			assert.Equal(t, len(r.starts), 3)
		})
	}
}

// Guards against a gang that never starts because a refusal for a former life of a worker, or for one that had left, counts for the next.
func TestRefusalEndsWithTheLifeOfTheWorker(t *testing.T) {
	for _, absent := range []bool{false, true} {
		t.Run(fmt.Sprintf("absent=%v", absent), func(t *testing.T) {
			r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
			r.submit(gangOfThree(""))
			assert.Equal(t, len(r.permitRequests), 1)
			if absent {
				r.s.SetWorkers(r.infos[:2])
			}
			first := r.permitRequests[0]
			r.s.PermitsReceived(PermitResult{Caller: first.Caller, Step: first.Step, Workers: first.Workers,
				Tickets: map[string]string{"w00": "t", "w01": "t"}, ValidForMS: 1500})
			r.advance(searchIntervalMS)
			assert.Equal(t, len(r.starts), 0)
			r.allow = func(string, string) bool { return true }
			if !absent {
				r.workers["w02"].incarnation++
			}
			r.s.SetWorkers(r.infos)
			for range 5 {
				r.advance(searchIntervalMS)
			}
			assert.Equal(t, len(r.starts), 3)
		})
	}
}

// Guards against a step that never starts because the workers of a call whose caller has left count as asked about.
func TestWorkersOfAnUnansweredCallAreAskedAboutAgain(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(string, string) bool { return true }
	infos := slices.Clone(r.infos)
	for _, id := range []string{"w01", "w02"} {
		r.workers[id] = &fakeWorker{}
		infos = append(infos, WorkerInfo{ID: id, Service: "svc", Capacity: Resources{CPUMilli: 1000, MemoryMB: 1000}})
	}
	r.submit(gangOfThree(""))
	r.allow = nil
	r.infos = infos
	r.s.SetWorkers(r.infos)
	r.advance(searchIntervalMS)
	last := r.permitRequests[len(r.permitRequests)-1]
	assert.DeepEqual(t, slices.Sorted(slices.Values(last.Workers)), []string{"w01", "w02"})
	r.s.SetCallers(slices.DeleteFunc([]string{"e1", "e2"}, func(name string) bool { return name == last.Caller }))
	r.allow = func(string, string) bool { return true }
	for range 5 {
		r.advance(searchIntervalMS)
	}
	assert.Equal(t, len(r.starts), 3)
}

// replaceWorker has a worker leave with all that it runs, and another one join.
func (r *rig) replaceWorker(i int, newID string) {
	old := r.infos[i].ID
	r.infos[i].ID = newID
	r.workers[newID] = &fakeWorker{}
	r.s.SetWorkers(r.infos)
	r.s.LeaseExpired(old)
	delete(r.workers, old)
}

// Guards against a service that asks about no more workers, or keeps answers without a bound, once all of its workers have been replaced.
func TestServiceAsksAboutReplacedWorkers(t *testing.T) {
	r := newRig(t, 12, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(_, worker string) bool { return worker[len(worker)-1]%2 == 0 }
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 4, Resources: Resources{CPUMilli: 900}, LongRunning: true}}})
	st := r.s.stepByName(jobID(1) + ".0.0")
	for n := range 1000 {
		r.replaceWorker(n%len(r.infos), fmt.Sprintf("n%04d", n))
		r.advance(widenIntervalMS)
		assert.Assert(t, len(st.permits.asked) <= 2*len(r.infos), "after %d workers, answers about %d are kept", n, len(st.permits.asked))
		assert.Assert(t, len(st.permits.allowed) <= 2*len(r.infos))
	}
	for range 100 {
		r.advance(widenIntervalMS)
	}
	for _, task := range st.tasks {
		assert.Equal(t, len(task.attempts), 1, "task %d is not running", task.index)
	}
}

// Guards against a step that asks about no further workers because those that it could use have left.
func TestStepAsksAgainWhenAllowedWorkersHaveLeft(t *testing.T) {
	r := newRig(t, 10, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(string, string) bool { return true }
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 10, Resources: Resources{CPUMilli: 900}, EstimateMS: 60000}}})
	assert.Equal(t, len(r.starts), 10)
	for range 12 { // more than one call can name
		for i := range r.infos {
			r.replaceWorker(i, "x"+r.infos[i].ID)
		}
		r.starts = nil
		for range 5 {
			r.advance(widenIntervalMS)
		}
		assert.Equal(t, len(r.starts), 10)
	}
}

// Guards against a step whose calls the policy service never accepts and whose repeats take the callers from all other steps.
func TestRejectedCallsDoNotStopOtherSteps(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	job := func(n int) Job {
		return Job{ID: jobID(n), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}}
	}
	r.submit(job(1))
	rejected, answered := 0, 0
	answer := func() {
		for _, request := range r.permitRequests {
			p := PermitResult{Caller: request.Caller, Step: request.Step, Workers: request.Workers, ValidForMS: 1500}
			if p.Rejected = request.Step == jobID(1)+".0.0" && answered == 0; p.Rejected {
				rejected++
			} else {
				p.Tickets = map[string]string{"w00": "t", "w01": "t"}
			}
			r.s.PermitsReceived(p)
		}
		r.permitRequests = nil
		r.advance(10)
	}
	for n := range 10 {
		for range 33 {
			answer()
		}
		r.submit(job(2 + n))
		answer()
		assert.Equal(t, len(r.starts), 1, "a step with permits must start at once")
		r.endAll(EndDone)
		r.starts = nil
	}
	for range 10_000 {
		answer()
	}
	assert.Assert(t, rejected < 15, "%d calls in 104 s", rejected)
	answered++ // the service accepts the calls again
	for range maxRejectedDelayMS/10 + 1 {
		answer()
	}
	assert.Equal(t, r.state(jobID(1)), Running)
}
