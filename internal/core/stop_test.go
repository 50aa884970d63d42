package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

// TestStopEnds guards against a planned stop that hangs or cuts off requests.
func TestStopEnds(t *testing.T) {
	for name, c := range map[string]struct {
		processes int
		before    func(cell *fakeCell)
	}{
		"alone":              {1, func(*fakeCell) {}},
		"alone, log down":    {1, func(cell *fakeCell) { cell.logUp = false }},
		"with a peer":        {2, func(*fakeCell) {}},
		"log down":           {2, func(cell *fakeCell) { cell.logUp = false }},
		"peer paused":        {2, func(cell *fakeCell) { cell.pause("e1") }},
		"peers stop as well": {3, func(cell *fakeCell) { cell.stopAll("e1", "e2") }},
		"peer dies":          {2, func(cell *fakeCell) { cell.kill("e1") }},
	} {
		t.Run(name, func(t *testing.T) {
			cell := warmCell(t, c.processes, 2)
			for i := range 12 {
				job := request(4 * time.Second)
				job.Idempotent = false
				cell.ask("e0", uint64(i), message.OpSubmit, job)
			}
			cell.ask("e0", 50, message.OpSubmit, batch(api.KindBatch, 20, 3*time.Second))
			cell.ask("e0", 51, message.OpSubmit, batch(api.KindGang, 6, 3*time.Second))
			cell.advance(700 * time.Millisecond)
			keyed := request(time.Second)
			keyed.Key = "stop"
			c.before(cell)
			cell.ask("e0", 52, message.OpSubmit, keyed)
			cell.ask("e0", 53, message.OpSubmit, batch(api.KindBatch, 1, time.Second))
			cell.stopAll("e0")
			cell.advance(40 * time.Second)
			for i := range 12 {
				assert.Assert(t, cell.answer("e0", uint64(i)).Outcome != "", "request %d", i)
			}
			for token := uint64(50); token <= 53; token++ {
				assert.Assert(t, cell.answer("e0", token).Outcome != "", "token %d", token)
			}
			assert.Assert(t, cell.procs["e0"].stopped)
		})
	}
}

func (cell *fakeCell) stopAll(names ...string) {
	for _, name := range names {
		cell.procs[name].inbox = append(cell.procs[name].inbox, StopRequested{})
	}
}

// TestRequestAfterStop guards against a request that arrives when the stop is
// complete and is forwarded to a process whose answer nobody waits for.
func TestRequestAfterStop(t *testing.T) {
	cell := warmCell(t, 2, 2)
	job := request(time.Second)
	job.ID = cell.mint(t, "e1")
	cell.stopAll("e0")
	for !cell.procs["e0"].stopped {
		cell.step()
	}
	cell.ask("e0", 1, message.OpSubmit, job)
	cell.step()
	assert.Equal(t, cell.answer("e0", 1).Outcome, api.OutcomeUnknown)
}
