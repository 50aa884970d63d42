package cell

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// When the start of a member has no answer, the others must be stopped at once:
// they would wait in vain until the worker that is silent has answered a stop.
func TestGangStopsWhenMemberIsInDoubt(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.workers["w01"].cut = true
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 600}, EstimateMS: 100, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	for _, start := range r.starts {
		if start.Worker == "w01" {
			r.s.Started("w01", start.Task, start.Run, StartUnanswered)
		}
	}
	r.turn()
	assert.Equal(t, len(r.stops), 2)
	assert.Equal(t, len(r.workers["w00"].running), 0, "a member waits for the one in doubt")
}

// A gang that finds no room holds it, so that a stream of small tasks does not
// starve it; tasks that end before the gang can start may use the room.
func TestGangHoldsRoom(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range 2 {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 900}, EstimateMS: 1000}))
	}
	r.submit(oneStep(jobID(2), Step{Tasks: 4, Resources: Resources{CPUMilli: 500}, EstimateMS: 1000, Gang: true}))
	r.submit(oneStep(jobID(3), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 5000}))
	assert.Equal(t, len(r.starts), 2, "a long task took room that the gang needs")
	r.submit(oneStep(jobID(4), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 500}))
	assert.Equal(t, len(r.starts), 3, "a short task may use the room")
	for _, start := range r.starts {
		r.end(start.Worker, start.Task, start.Run, EndDone)
	}
	r.pass(10)
	assert.Equal(t, len(r.starts), 7)
	for _, start := range r.starts[3:] {
		assert.Equal(t, start.Task.Job, jobID(2))
		assert.Equal(t, start.Run, r.starts[3].Run)
	}
}

// Two gangs that wait for the same worker both hold room there. When only the first
// did, long tasks took the room that the second had to wait for.
func TestGangsHoldRoomOnOneWorker(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 2000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1900}, EstimateMS: 1000}))
	for n := range 2 {
		r.submit(oneStep(jobID(2+n), Step{Tasks: 2, Resources: Resources{CPUMilli: 500}, EstimateMS: 1000, Gang: true}))
	}
	r.submit(oneStep(jobID(4), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 5000}))
	assert.Equal(t, len(r.starts), 1, "a long task took room that the second gang needs")
	r.endLast(EndDone)
	assert.Equal(t, len(r.starts), 5)
}

// After a long outage many gangs wait with room for all of them and permits that
// have expired. They must renew them side by side: four at a time kept the last ones
// waiting for half a minute.
func TestWaitingGangsRenewSideBySide(t *testing.T) {
	const gangs = 8
	r := newRig(t, 12*gangs, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.s.SetCallers([]string{"e01", "e02", "e03", "e04", "e05", "e06", "e07", "e08", "e09", "e10", "e11", "e12", "e13", "e14"})
	r.allow = func(string, string) bool { return true }
	queue := permitQueue()
	for n := range 2 * gangs { // the first half fills all workers
		r.submit(Job{ID: jobID(n), Queue: queue, Steps: []Step{{Tasks: 12, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000, Gang: true}}})
	}
	assert.Equal(t, len(r.starts), 12*gangs)
	r.pass(5000) // permits last 1500 ms
	for _, start := range r.starts {
		r.end(start.Worker, start.Task, start.Run, EndDone)
	}
	r.pass(10)
	assert.Equal(t, len(r.starts), 24*gangs)
}

// A gang that waits long for the workers that it is allowed asks for others while
// callers of the policy service are idle. Late gangs waited for half a minute beside
// free workers that they had not asked for.
func TestWaitingGangAsksForMore(t *testing.T) {
	const workers = 220
	r := newRig(t, workers, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range workers {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 900}, EstimateMS: 9000}))
	}
	answers := 0
	r.allow = func(string, string) bool { answers++; return answers%10 == 0 }
	r.submit(Job{ID: jobID(workers), Queue: permitQueue(), Steps: []Step{{Tasks: 4, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000, Gang: true}}})
	for range 5 {
		r.pass(searchIntervalMS)
	}
	assert.Assert(t, len(r.asks) > 1, "%d calls", len(r.asks))
	for _, ask := range r.asks[1:] {
		for _, id := range ask.Workers {
			assert.Assert(t, !slices.Contains(r.asks[0].Workers, id), "asked for %s again", id)
		}
	}
}

// How much room gangs hold follows what is free: on a full cell few may keep it from
// others, on an idle one holding costs nothing.
func TestHoldBudget(t *testing.T) {
	gang := &step{demand: Resources{CPUMilli: 1000}, tasks: make([]*task, 10)}
	holding := func(r *rig) int {
		b, n := r.s.newHoldBudget(), 0
		for ; b.allows(gang); n++ {
			b.take(gang)
		}
		return n
	}
	r := newRig(t, 100, Resources{CPUMilli: 1000, MemoryMB: 1000})
	assert.Equal(t, holding(r), 8)
	for n := range 100 {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 9000}))
	}
	assert.Equal(t, holding(r), minReserving)
}
