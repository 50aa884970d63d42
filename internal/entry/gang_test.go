package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// gangTimeout is how long a worker lets a member of a gang wait for the others.
const gangTimeout = 3 * time.Second

// Guards against a gang member that waits alone on its worker because the cell is released between the starts of the gang, of which
// the holder does not send the rest.
func TestReleaseBetweenStartsOfGang(t *testing.T) {
	fleet := newFakeFleet(2)
	n := startNode(t, "a", newFakeLog(), fleet)
	eventually(t, "a holder", n.holds)
	h, _, _ := n.agents()[0].route()
	slots := make(chan chan struct{}, 1)
	eventually(t, "a session", func() bool {
		h.post(func(*cell.Scheduler) {
			if s := h.sessions["w1"]; s != nil && s.isAnswering() {
				slots <- s.startSlots
			} else {
				slots <- nil
			}
		})
		held := <-slots
		for len(held) < cap(held) {
			held <- struct{}{} // the start on w1 waits for a slot
		}
		return held != nil
	})
	job := testJob(1)
	job.Steps[0] = cell.Step{Tasks: 2, Resources: cell.Resources{CPUMilli: 5000}, EstimateMS: 60_000, Gang: true}
	assert.NilError(t, n.Submit(within(3*time.Second), job))
	eventually(t, "the start on w0", func() bool { return fleet.started() == 1 })
	began := time.Now()
	h.release(causeReleased)
	eventually(t, "the starts of the next term", func() bool { return fleet.started() == 3 })
	assert.Assert(t, time.Since(began) < gangTimeout, "the member on w0 has waited for %v", time.Since(began))
	fleet.endAll(cell.EndDone)
	eventually(t, "the completed job", func() bool {
		state, err := n.Status(within(time.Second), job.ID, cell.Caller{})
		return err == nil && state == cell.Completed
	})
}
