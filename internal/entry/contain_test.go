package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// A panic while an event is handled must end the term. A holder without its control
// goroutine would renew its claim for ever, and no job could be accepted any more.
func TestPanicEndsTheTerm(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	holder, follower := startPair(t, log, fleet)
	before := testJob(1)
	assert.NilError(t, holder.Submit(within(3*time.Second), before))
	h, _, _ := holder.agents()[0].route()
	h.post(func(*cell.Scheduler) { panic("defect") })
	eventually(t, "a takeover", follower.holds)
	assert.NilError(t, holder.Submit(within(3*time.Second), testJob(2)))
	fleet.endAll(cell.EndDone)
	eventually(t, "the job of before", func() bool {
		state, err := holder.Status(within(time.Second), before.ID, cell.Caller{})
		return err == nil && state == cell.Completed
	})
}

// A panic of a goroutine of the term, such as the session with a worker, must end the
// term too. Otherwise the worker's lease is not renewed and its tasks are lost.
func TestPanicOfASessionEndsTheTerm(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	holder, follower := startPair(t, log, fleet)
	h, _, _ := holder.agents()[0].route()
	h.spawn("a test", func() { panic("defect") })
	eventually(t, "a takeover", follower.holds)
}

// A panic while a start order is sent must count as an order without a response, so that
// the run is stopped and the task is placed again.
func TestPanicOfAStartOrderIsUnanswered(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	fleet.panicStart = true
	n := startNode(t, "a", log, fleet)
	eventually(t, "a holder", n.holds)
	assert.NilError(t, n.Submit(within(3*time.Second), testJob(1)))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
}
