package cell

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// When the start of one gang member gets no response, the other members must be stopped
// at once. Otherwise they wait until the unreachable worker has answered a stop.
func TestGangStopsWhenMemberStartIsUnanswered(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.workers["w01"].unreachable = true
	r.submit(oneStep(jobID(1), Step{Tasks: 2, Resources: Resources{CPUMilli: 600}, EstimateMS: 100, Gang: true}))
	assert.Equal(t, len(r.starts), 2)
	for _, start := range r.starts {
		if start.Worker == "w01" {
			r.s.Started("w01", start.Task, start.Run, StartUnanswered)
		}
	}
	r.runActions()
	assert.Equal(t, len(r.stops), 2)
	assert.Equal(t, len(r.workers["w00"].running), 0, "the other member of the gang still runs")
}

// A gang that does not fit reserves capacity, so that a stream of small tasks does not
// starve it. Tasks that end before the gang can start may use that capacity.
func TestGangReservesCapacity(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	for n := range 2 {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 900}, EstimateMS: 1000}))
	}
	r.submit(oneStep(jobID(2), Step{Tasks: 4, Resources: Resources{CPUMilli: 500}, EstimateMS: 1000, Gang: true}))
	r.submit(oneStep(jobID(3), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 5000}))
	assert.Equal(t, len(r.starts), 2, "a long task took capacity that the gang needs")
	r.submit(oneStep(jobID(4), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 500}))
	assert.Equal(t, len(r.starts), 3, "a short task may use the reserved capacity")
	for _, start := range r.starts {
		r.endRun(start.Worker, start.Task, start.Run, EndDone)
	}
	r.advance(10)
	assert.Equal(t, len(r.starts), 7)
	for _, start := range r.starts[3:] {
		assert.Equal(t, start.Task.Job, jobID(2))
		assert.Equal(t, start.Run, r.starts[3].Run)
	}
}

// Two gangs that wait for the same worker must both reserve capacity there. When only
// the first one did, long tasks took the capacity that the second waited for.
func TestGangsReserveCapacityOnOneWorker(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 2000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1900}, EstimateMS: 1000}))
	for n := range 2 {
		r.submit(oneStep(jobID(2+n), Step{Tasks: 2, Resources: Resources{CPUMilli: 500}, EstimateMS: 1000, Gang: true}))
	}
	r.submit(oneStep(jobID(4), Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 5000}))
	assert.Equal(t, len(r.starts), 1, "a long task took capacity that the second gang needs")
	r.endLast(EndDone)
	assert.Equal(t, len(r.starts), 5)
}

// After a long outage, many gangs fit but all of their permits have expired. They must
// renew them concurrently: with four renewals at a time, the last gangs waited for half
// a minute.
func TestWaitingGangsRenewConcurrently(t *testing.T) {
	const gangs = 8
	r := newRig(t, 12*gangs, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.s.SetCallers([]string{"e01", "e02", "e03", "e04", "e05", "e06", "e07", "e08", "e09", "e10", "e11", "e12", "e13", "e14"})
	r.allow = func(string, string) bool { return true }
	queue := permitQueue()
	for n := range 2 * gangs { // the first half fills all workers
		r.submit(Job{ID: jobID(n), Queue: queue, Steps: []Step{{Tasks: 12, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000, Gang: true}}})
	}
	assert.Equal(t, len(r.starts), 12*gangs)
	r.advance(5000) // permits are valid for 1500 ms
	for _, start := range r.starts {
		r.endRun(start.Worker, start.Task, start.Run, EndDone)
	}
	r.advance(10)
	assert.Equal(t, len(r.starts), 24*gangs)
}

// A gang that waits long for its allowed workers must ask about others while callers of
// the policy service are idle. Late gangs waited for half a minute although workers
// that they had not asked about were free.
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
		r.advance(searchIntervalMS)
	}
	assert.Assert(t, len(r.permitRequests) > 1, "%d calls", len(r.permitRequests))
	for _, ask := range r.permitRequests[1:] {
		for _, id := range ask.Workers {
			assert.Assert(t, !slices.Contains(r.permitRequests[0].Workers, id), "asked about %s again", id)
		}
	}
}

// The reservation budget follows the free capacity: few gangs may reserve on a full
// cell, many on an idle one, where reservations cost nothing.
func TestReservationBudget(t *testing.T) {
	gang := &step{demand: Resources{CPUMilli: 1000}, tasks: make([]*task, 10)}
	reserving := func(r *rig) int {
		b, n := r.s.newReservationBudget(), 0
		for ; b.allows(gang); n++ {
			b.spend(gang)
		}
		return n
	}
	r := newRig(t, 100, Resources{CPUMilli: 1000, MemoryMB: 1000})
	assert.Equal(t, reserving(r), 8)
	for n := range 100 {
		r.submit(oneStep(jobID(n), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 9000}))
	}
	assert.Equal(t, reserving(r), minReservingGangs)
}
