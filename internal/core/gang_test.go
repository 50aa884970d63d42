package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestGangsAfterExpiredReservations guards against gangs of which only a part
// starts: their reservations expire while the log is slow, and two of them then
// take the room task by task and wait for each other.
func TestGangsAfterExpiredReservations(t *testing.T) {
	cell := warmCell(t, 2, 4)
	cell.ask("e0", 1, message.OpSubmit, batch(api.KindGang, 12, 2*time.Second))
	cell.ask("e1", 1, message.OpSubmit, batch(api.KindGang, 12, 2*time.Second))
	ids := func() []string {
		return []string{cell.answer("e0", 1).JobID, cell.answer("e1", 1).JobID}
	}
	for ids()[0] == "" || ids()[1] == "" {
		cell.step()
	}
	cell.logUp = false
	cell.advance(5 * time.Second)
	cell.logUp = true
	inPart := make(map[string]int) // steps
	for range 600 {
		cell.step()
		for _, id := range ids() {
			n := cell.ran[id]
			if n > 0 && n < 12 {
				inPart[id]++
			}
			// A commit takes a step to the other process.
			assert.Assert(t, inPart[id] <= 2, "gang %s has %d tasks started", id, n)
		}
	}
	for _, id := range ids() {
		assert.Equal(t, cell.ran[id], 12)
	}
}

// TestCancelledGangLeavesNoUse guards against use of a workspace that is never given
// back: a task of a gang that is tried again by itself is cancelled while it looks
// for room.
func TestCancelledGangLeavesNoUse(t *testing.T) {
	cell := warmCell(t, 1, 1)
	p := cell.procs["e0"]
	job := batch(api.KindGang, 2, time.Minute)
	job.ID = cell.mint(t, "e0")
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.advance(time.Second)
	j := p.core.jobs.byID[job.ID]
	j.tasks[0].phase = taskWaiting
	a := p.core.attempts.byTask[taskRef{job.ID, 0}]
	p.core.uncount(a)
	p.core.attempts.remove(a)
	p.core.queue.Requeue(cell.now, j.item(0, true))
	it, ok := p.core.queue.Next(cell.now)
	assert.Assert(t, ok)
	again := p.core.newAttempt(j, it, 0)
	again.phase = attemptReserving
	p.core.cancelTasks(j)
	placing := 0
	for _, class := range p.core.queue.Stats() {
		placing += class.Placing
	}
	assert.Equal(t, placing, 0)
}
