package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Guards against an accepted submission of a cancelled job whose record is removed as unsent, and is never stored.
func TestAcceptedSubmissionOfCancelledJobIsStored(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(1)
	n := startNode(t, "a", log, fleet)
	eventually(t, "a holder", n.holds)
	assert.NilError(t, n.Submit(within(3*time.Second), testJob(9)))
	h, _, _ := n.agents()[0].route()
	eventually(t, "an idle writer", h.writer.idle)

	job := testJob(1)
	log.setDown(true, false)
	cancelled, submitted := make(chan error, 1), make(chan error, 1)
	go func() { cancelled <- n.Cancel(within(8*time.Second), job.ID, cell.Caller{}) }()
	eventually(t, "an append of the cancelling", func() bool { return h.writer.silentFor() > 0 })
	go func() { submitted <- n.Submit(within(8*time.Second), job) }()
	eventually(t, "a silent log", h.isLogSilent)
	time.Sleep(300 * time.Millisecond) // unsent jobs are refused
	log.setDown(false, false)
	eventually(t, "the record of another job", func() bool { return n.Submit(within(3*time.Second), testJob(10)) == nil })
	t.Log("cancel:", <-cancelled)
	err := <-submitted
	t.Log("submit:", err)
	assert.NilError(t, n.Cancel(within(3*time.Second), job.ID, cell.Caller{}))
	eventually(t, "an idle writer", h.writer.idle)
	state, statusErr := n.Status(within(3*time.Second), job.ID, cell.Caller{})
	t.Log("state before the takeover:", state, statusErr)

	n.stop()
	next := startNode(t, "b", log, fleet)
	eventually(t, "a takeover", next.holds)
	if err == nil {
		state, err := next.Status(within(3*time.Second), job.ID, cell.Caller{})
		assert.NilError(t, err, "the job was answered with success")
		assert.Equal(t, state, cell.Cancelled)
	}
}

// Guards against a second cancelling without an answer because the record of the submission before it was removed as unsent.
func TestCancellingAfterRemovedSubmissionIsAnswered(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(1)
	n := startNode(t, "a", log, fleet)
	eventually(t, "a holder", n.holds)
	assert.NilError(t, n.Submit(within(3*time.Second), testJob(9)))
	h, _, _ := n.agents()[0].route()
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	fleet.endAll(cell.EndDone)
	eventually(t, "an end", func() bool {
		s, err := n.Status(within(3*time.Second), testJob(9).ID, cell.Caller{})
		return err == nil && s == cell.Completed
	})
	eventually(t, "an idle writer", h.writer.idle)

	job := testJob(1)
	log.setDown(true, false)
	go func() { _ = n.Cancel(within(8*time.Second), job.ID, cell.Caller{}) }()
	eventually(t, "an append of the cancelling", func() bool { return h.writer.silentFor() > 0 })
	go func() { _ = n.Submit(within(8*time.Second), job) }()
	eventually(t, "a silent log", h.isLogSilent)
	time.Sleep(300 * time.Millisecond)
	log.setDown(false, false)
	eventually(t, "an idle writer", h.writer.idle)
	assert.NilError(t, n.Cancel(within(3*time.Second), job.ID, cell.Caller{}))
}

// Guards against a denial of an unknown job's cancelling that only rests on a renewal of the claim.
func TestUnknownCancellingIsStoredBeforeItsAnswer(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(1)
	n := startNode(t, "a", log, fleet)
	eventually(t, "a holder", n.holds)
	h, _, _ := n.agents()[0].route()
	eventually(t, "an idle writer", h.writer.idle)
	for lane := range laneCount {
		log.setOutage(laneTopic(lane), partitionOf(0, laneOffsets[lane], h.node.cfg.Partitions), refuses)
	}
	err := n.Cancel(within(1500*time.Millisecond), testJob(1).ID, cell.Caller{})
	assert.Equal(t, fault.KindOf(err), fault.OutcomeLost, "%v", err)
}
