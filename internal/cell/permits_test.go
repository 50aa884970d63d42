package cell

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func permitQueue() Queue {
	return Queue{Name: "q", Service: "svc", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMS: 1000, Policy: &PolicyCost{DecisionMS: 10, PerWorkerMS: 1}}
}

// A step whose workers are all refused by the policy service must ask for workers
// that join later; otherwise it never runs.
func TestStepAsksForNewWorkers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(_, worker string) bool { return worker == "late" }
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}})
	r.pass(100)
	assert.Equal(t, len(r.starts), 0)
	r.workers["late"] = &rigWorker{}
	r.infos = append(r.infos, WorkerInfo{ID: "late", Service: "svc", Capacity: Resources{CPUMilli: 1000, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos)
	for range 5 {
		r.pass(50)
	}
	assert.Equal(t, len(r.starts), 1)
	assert.Equal(t, r.starts[0].Worker, "late")
}

// Steps that can be placed nowhere stay at the front of the queue. They must not
// keep all others from being tried.
func TestStuckStepsDoNotStarveOthers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range 300 {
		job := oneStep(TaskID{Job: "stuck", Index: n}.String(), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, Label: "none", EstimateMS: 100})
		r.submit(job)
	}
	r.silent = true // the job is not placed before it is stored
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}))
	r.pass(60000) // all are late by now
	r.silent = false
	r.s.Stored(r.s.seq)
	for range 20 {
		r.pass(10)
	}
	assert.Equal(t, len(r.starts), 1)
}

// A job that fits no worker of its service would wait for ever; callers must hear
// it at once.
func TestServable(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	cpu := func(milli int64) Resources { return Resources{CPUMilli: milli} }
	for _, test := range []struct {
		name string
		step Step
		want bool
	}{
		{"fits", Step{Tasks: 9, Resources: cpu(1000)}, true},
		{"too large", Step{Tasks: 1, Resources: cpu(1001)}, false},
		{"gang fits", Step{Tasks: 4, Resources: cpu(500), Gang: true}, true},
		{"gang too wide", Step{Tasks: 5, Resources: cpu(500), Gang: true}, false},
		{"gang limited per worker", Step{Tasks: 4, Resources: cpu(500), Gang: true, MaxPerWorker: 1}, false},
		{"label", Step{Tasks: 1, Resources: cpu(1), Label: "a"}, true},
		{"no such label", Step{Tasks: 1, Resources: cpu(1), Label: "b"}, false},
		{"filler takes no processors", Step{Tasks: 1, Resources: cpu(5000), Filler: true}, true},
	} {
		job := oneStep(jobID(1), test.step)
		job.Queue.Service = "svc"
		assert.Equal(t, r.s.Servable(&job), test.want, test.name)
		job.Queue.Service = "unknown"
		assert.Equal(t, r.s.Servable(&job), true, "no worker of the service is known")
	}
}

// A call of the policy service takes longer for each worker that it names. A small
// urgent step asks for some workers with room, and for others once those are taken.
func TestSmallStepAsksForSomeWorkers(t *testing.T) {
	r := newRig(t, 60, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}}})
	assert.Equal(t, len(r.asks), 1)
	first := r.asks[0]
	assert.Equal(t, len(first.Workers), int(taskRoomFactor*2/unknownShare))
	r.s.Permitted(Permitted{Caller: first.Caller, Step: first.Step, Workers: first.Workers, ValidForMS: 1500})
	for range 3 {
		r.pass(widenIntervalMS)
	}
	assert.Equal(t, len(r.asks), 2, "none of the first workers is allowed")
	for _, id := range r.asks[1].Workers {
		assert.Assert(t, !slices.Contains(first.Workers, id))
	}
}

// A queue whose policy allows few workers asks for more of them, as its first answers
// show.
func TestAskedWorkersFollowAllowedShare(t *testing.T) {
	r := newRig(t, 90, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(_, worker string) bool { return worker == "w00" }
	for n := range 10 {
		r.submit(Job{ID: jobID(n), Queue: permitQueue(), Steps: []Step{{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}}})
	}
	first, last := r.asks[0], r.asks[0]
	for _, ask := range r.asks {
		if strings.HasPrefix(ask.Step, jobID(9)) && last.Step == first.Step {
			last = ask
		}
	}
	assert.Assert(t, len(last.Workers) > 2*len(first.Workers), "asked for %d, then for %d", len(first.Workers), len(last.Workers))
}

// Waiting steps whose permits have expired all see the same room. Only the first of
// them may ask again: calls of the others kept all callers busy, and what they saw was
// gone by the time of the answer.
func TestFewStepsRenewAtOnce(t *testing.T) {
	r := newRig(t, 20, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(string, string) bool { return true }
	job := func(n int) Job {
		return Job{ID: jobID(n), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}}}
	}
	for n := range 60 {
		r.submit(job(n))
	}
	assert.Equal(t, len(r.starts), 20)
	r.pass(2000) // the permits of the others expire
	r.allow, r.asks = nil, nil
	r.end(r.starts[0].Worker, r.starts[0].Task, r.starts[0].Run, EndDone)
	for range 4 {
		r.pass(searchIntervalMS)
	}
	assert.Assert(t, len(r.asks) <= 2*maxShortCalls && len(r.s.asks) <= 1, "%d calls, %d wait", len(r.asks), len(r.s.asks))
}

// Long calls may use a share of the callers only, and wait for it. They must not keep
// short calls from renewing permits meanwhile: callers were idle, and steps waited beside
// free workers.
func TestLongCallsDoNotBlockRenewals(t *testing.T) {
	r := newRig(t, 20, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.s.SetCallers([]string{"e1", "e2", "e3", "e4"})
	quick := Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}}}
	slow := permitQueue()
	slow.Policy = &PolicyCost{DecisionMS: 2 * longCallMS}
	r.submit(oneStep(jobID(0), Step{Tasks: 20, Resources: Resources{CPUMilli: 1000}, EstimateMS: 9000}))
	r.allow = func(string, string) bool { return true }
	r.submit(quick)
	r.allow = nil
	for n := range 12 { // two of them are under way, the others wait
		r.submit(Job{ID: jobID(2 + n), Queue: slow, Steps: []Step{{Tasks: 4, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000, Gang: true}}})
	}
	r.pass(2000) // the permit of the quick step expires
	r.asks = nil
	r.end(r.starts[0].Worker, r.starts[0].Task, r.starts[0].Run, EndDone)
	for range 3 {
		r.pass(searchIntervalMS)
	}
	assert.Equal(t, len(r.asks), 1)
	assert.Assert(t, strings.HasPrefix(r.asks[0].Step, quick.ID))
}
