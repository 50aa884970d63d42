package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func permitQueue() Queue {
	return Queue{Name: "q", Service: "svc", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMS: 1000, Policy: &PolicyCost{DecisionMS: 10, PerWorkerMS: 1}}
}

// When the policy service refuses all workers of a step, the step must ask about
// workers that join later. Otherwise it never runs.
func TestStepAsksForNewWorkers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(_, worker string) bool { return worker == "late" }
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}})
	r.advance(100)
	assert.Equal(t, len(r.starts), 0)
	r.workers["late"] = &fakeWorker{}
	r.infos = append(r.infos, WorkerInfo{ID: "late", Service: "svc", Capacity: Resources{CPUMilli: 1000, MemoryMB: 1000}})
	r.s.SetWorkers(r.infos)
	for range 5 {
		r.advance(50)
	}
	assert.Equal(t, len(r.starts), 1)
	assert.Equal(t, r.starts[0].Worker, "late")
}

// Steps that cannot be placed anywhere stay at the front of the queue. They must not
// keep all other steps from being tried.
func TestStuckStepsDoNotStarveOthers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range 300 {
		job := oneStep(TaskID{Job: "stuck", Index: n}.String(), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, Label: "none", EstimateMS: 100})
		r.submit(job)
	}
	r.logDown = true // the job is not placed before it is stored
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}))
	r.advance(60000) // all steps are late by now
	r.logDown = false
	r.s.Stored(r.s.seq)
	for range 20 {
		r.advance(10)
	}
	assert.Equal(t, len(r.starts), 1)
}

// A job that fits on no worker of its service would wait forever. It must be detected
// at submission.
func TestCanEverRun(t *testing.T) {
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
		{"filler takes no CPU", Step{Tasks: 1, Resources: cpu(5000), Filler: true}, true},
	} {
		job := oneStep(jobID(1), test.step)
		job.Queue.Service = "svc"
		assert.Equal(t, r.s.CanEverRun(&job), test.want, test.name)
		job.Queue.Service = "unknown"
		assert.Equal(t, r.s.CanEverRun(&job), true, "no worker of the service is known")
	}
}

// The duration of a call to the policy service grows with the number of workers it
// names. A small urgent step asks about some workers first, and about others once those
// are full.
func TestSmallStepAsksForSomeWorkers(t *testing.T) {
	r := newRig(t, 60, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}}})
	assert.Equal(t, len(r.permitRequests), 1)
	first := r.permitRequests[0]
	assert.Equal(t, len(first.Workers), int(taskCapacityFactor*2/initialShare))
	r.s.PermitsReceived(PermitResult{Caller: first.Caller, Step: first.Step, Workers: first.Workers, ValidForMS: 1500})
	for range 3 {
		r.advance(widenIntervalMS)
	}
	assert.Equal(t, len(r.permitRequests), 2, "none of the first workers is allowed")
	for _, id := range r.permitRequests[1].Workers {
		assert.Assert(t, !slices.Contains(first.Workers, id))
	}
}

// A queue whose policy allows few workers must name more of them in later calls, based
// on the first answers.
func TestAskedWorkersFollowAllowedShare(t *testing.T) {
	r := newRig(t, 90, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(_, worker string) bool { return worker == "w00" }
	for n := range 10 {
		r.submit(Job{ID: jobID(n), Queue: permitQueue(), Steps: []Step{{Tasks: 2, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}}})
	}
	first, last := r.permitRequests[0], r.permitRequests[0]
	for _, ask := range r.permitRequests {
		if strings.HasPrefix(ask.Step, jobID(9)) && last.Step == first.Step {
			last = ask
		}
	}
	assert.Assert(t, len(last.Workers) > 2*len(first.Workers), "asked about %d, then about %d", len(first.Workers), len(last.Workers))
}

// Waiting steps with expired permits all see the same free capacity. Only the first
// steps may renew: calls for the others kept all callers busy, and the capacity was
// taken by the time of the response.
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
	r.advance(2000) // the permits of the other steps expire
	r.allow, r.permitRequests = nil, nil
	r.endRun(r.starts[0].Worker, r.starts[0].Task, r.starts[0].Run, EndDone)
	for range 4 {
		r.advance(searchIntervalMS)
	}
	assert.Assert(t, len(r.permitRequests) <= 2*maxShortCalls && len(r.s.callQueue) <= 1, "%d calls, %d wait", len(r.permitRequests), len(r.s.callQueue))
}

// Long calls may use only a share of the callers and wait for it. While they waited,
// short calls did not renew permits, although callers were idle and workers free.
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
	for n := range 12 { // two calls are in flight, the others wait
		r.submit(Job{ID: jobID(2 + n), Queue: slow, Steps: []Step{{Tasks: 4, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000, Gang: true}}})
	}
	r.advance(2000) // the permit of the quick step expires
	r.permitRequests = nil
	r.endRun(r.starts[0].Worker, r.starts[0].Task, r.starts[0].Run, EndDone)
	for range 3 {
		r.advance(searchIntervalMS)
	}
	assert.Equal(t, len(r.permitRequests), 1)
	assert.Assert(t, strings.HasPrefix(r.permitRequests[0].Step, quick.ID))
}

// Guards against callers that stay idle while long calls wait, because their share of few callers is rounded down.
func TestLongCallsUseTheirShareOfFewCallers(t *testing.T) {
	for callers, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2, 5: 3, 8: 5, 9: 5, 33: 20} {
		r := newRig(t, 4, Resources{CPUMilli: 1000, MemoryMB: 1000})
		var names []string
		for n := range callers {
			names = append(names, fmt.Sprintf("e%02d", n))
		}
		r.s.SetCallers(names)
		slow := permitQueue()
		slow.Policy = &PolicyCost{DecisionMS: 2 * longCallMS}
		for n := range 2 * callers {
			r.submit(Job{ID: fmt.Sprintf("%016x", n), Queue: slow, Steps: []Step{{Tasks: 1, EstimateMS: 1000}}})
		}
		assert.Equal(t, len(r.permitRequests), want, "%d callers", callers)
		r.submit(Job{ID: fmt.Sprintf("%016x", 2*callers), Queue: permitQueue(), Steps: []Step{{Tasks: 1, EstimateMS: 1000}}})
		assert.Equal(t, len(r.permitRequests), min(want+1, callers), "%d callers, a short call", callers)
	}
}

// A wide gang finds room sooner with more allowed workers. While callers are idle, its
// first request must name more workers than fit into one call; otherwise it must leave
// the callers to other steps.
func TestWideGangAsksThroughIdleCallers(t *testing.T) {
	for _, test := range []struct {
		name    string
		callers int
		calls   int
	}{
		{"all idle", 20, 3},
		{"few callers", 2, 1},
	} {
		r := newRig(t, 2*maxCallWorkers+50, Resources{CPUMilli: 1000, MemoryMB: 1000})
		var names []string
		for n := range test.callers {
			names = append(names, strings.Repeat("e", n+1))
		}
		r.s.SetCallers(names)
		job := Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 20, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000, Gang: true}}}
		r.submit(job)
		assert.Equal(t, len(r.permitRequests), test.calls, test.name)
		named := map[string]bool{}
		for _, request := range r.permitRequests {
			assert.Assert(t, len(request.Workers) <= maxCallWorkers)
			for _, id := range request.Workers {
				assert.Assert(t, !named[id], "%s: %s is named twice", test.name, id)
				named[id] = true
			}
		}
		// The answers may come in any order, and a caller may leave instead of answering.
		for i := len(r.permitRequests) - 1; i > 0; i-- {
			request := r.permitRequests[i]
			r.s.PermitsReceived(PermitResult{Caller: request.Caller, Step: request.Step, Workers: request.Workers, ValidForMS: 1500})
			assert.Assert(t, r.s.stepByName(request.Step).permits.pending(), test.name)
		}
		first := r.permitRequests[0]
		r.s.SetCallers(slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == first.Caller }))
		assert.Assert(t, !r.s.stepByName(first.Step).permits.pending(), test.name)
		r.s.PermitsReceived(PermitResult{Caller: first.Caller, Step: first.Step, Workers: first.Workers, ValidForMS: 1500})
		assert.Equal(t, r.s.stepByName(first.Step).permits.calls, 0, test.name)
	}
}

// The first call for a step must not wait until the record of its job is stored: on the
// grown Steppe Lens site that took 45 ms of the 300 ms that urgent jobs have beside their
// work. No task may start before, though.
func TestPermitsAreRequestedWhileJobIsStored(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.allow = func(string, string) bool { return true }
	r.logDown = true
	r.submit(Job{ID: jobID(1), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}})
	assert.Equal(t, len(r.permitRequests), 1)
	r.advance(10)
	assert.Equal(t, len(r.starts), 0, "a task was started before its job was stored")
	r.logDown = false
	r.s.Stored(r.s.seq)
	r.runActions()
	assert.Equal(t, len(r.starts), 1)
	assert.Equal(t, len(r.permitRequests), 1)
}

// Calls go to the preferred callers while these are idle.
func TestCallsPreferNearCallers(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.s.SetCallers([]string{"self", "near", "far"})
	for n := range 4 {
		r.submit(Job{ID: jobID(n), Queue: permitQueue(), Steps: []Step{{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}}})
	}
	var used []string
	for _, request := range r.permitRequests {
		used = append(used, request.Caller)
	}
	assert.DeepEqual(t, used, []string{"self", "near", "far", "self"})
}
