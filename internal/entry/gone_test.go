package entry

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// startOnFirst starts a process with two workers and a job that runs on one of them, and returns that one's ID.
func startOnFirst(t *testing.T, fleet *fakeFleet) (h *holder, runsOn string) {
	t.Helper()
	n := startNode(t, "a", newFakeLog(), fleet)
	eventually(t, "a holder", n.holds)
	job := testJob(1)
	job.Steps[0].EstimateMS = 60_000
	assert.NilError(t, n.Submit(within(3*time.Second), job))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	h, _, _ = n.agents()[0].route()
	for id, w := range fleet.workers {
		if len(w.running) > 0 {
			runsOn = id
		}
	}
	return h, runsOn
}

// Guards against calls to workers that are gone for good, which go on until the term ends.
func TestSessionOfGoneWorkerEnds(t *testing.T) {
	fleet := newFakeFleet(2)
	view := &cutFleet{fakeFleet: fleet}
	n := startCutNode(t, "a", newFakeLog(), view)
	eventually(t, "a holder", n.holds)
	h, _, _ := n.agents()[0].route()
	view.set(map[string]bool{"w0": true})
	h.setWorkers(fleet.infos[1:])
	eventually(t, "the end of the lease", func() bool {
		removed := make(chan bool, 1)
		h.post(func(s *cell.Scheduler) { removed <- s.Summary().Workers == 1 })
		return <-removed
	})
	time.Sleep(2 * time.Second)
	before := view.unheard.Load()
	time.Sleep(3 * time.Second)
	assert.Equal(t, view.unheard.Load(), before, "calls to a worker that is neither registered nor known")
}

// Guards against tasks that wait for ever because the lease of a silent worker is forgotten when its entry names another address.
func TestLeaseOfMovedWorkerExpires(t *testing.T) {
	for _, moved := range []bool{false, true} {
		fleet := newFakeFleet(2)
		h, runsOn := startOnFirst(t, fleet)
		fleet.setSilent(runsOn, true)
		if moved {
			infos := slices.Clone(fleet.infos)
			for i := range infos {
				if infos[i].ID == runsOn {
					infos[i].Address = "moved"
				}
			}
			h.setWorkers(infos)
		}
		for start := time.Now(); fleet.started() < 2 && time.Since(start) < 15*time.Second; {
			time.Sleep(20 * time.Millisecond)
		}
		assert.Equal(t, fleet.started(), 2, "moved: %v", moved)
	}
}
