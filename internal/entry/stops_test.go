package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// Guards against a job whose end takes the memory of its holder by the number of runs that are stopped at once.
func TestStopsOfAWorkerAreSentFewAtATime(t *testing.T) {
	const tasks = 200
	log, fleet := newFakeLog(), newFakeFleet(1)
	fleet.stopTook = 5 * time.Millisecond
	holder, _ := startPair(t, log, fleet)
	job := testJob(1)
	job.Steps[0] = cell.Step{Tasks: tasks, EstimateMS: 60_000}
	assert.NilError(t, holder.Submit(within(5*time.Second), job))
	eventually(t, "the starts", func() bool { return fleet.started() == tasks })
	assert.NilError(t, holder.Cancel(within(5*time.Second), job.ID, cell.Caller{}))
	eventually(t, "the ends", func() bool {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		return len(fleet.workers[fleet.infos[0].ID].running) == 0
	})
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	assert.Assert(t, fleet.mostStops > 1 && fleet.mostStops <= maxConcurrentStops, "%d stops at once", fleet.mostStops)
}
