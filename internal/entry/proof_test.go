package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Guards against a paused holder that denies what the next one has accepted.
func TestSupersededHolderDeniesNothing(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(1)
	fleet.silent = true // no worker tells the former holder that it is superseded
	former, next := startPair(t, log, fleet)
	former.log.disconnected.Store(true)
	eventually(t, "a takeover", next.holds)
	job := testJob(1)
	assert.NilError(t, next.Submit(within(3*time.Second), job))
	assert.Assert(t, former.holds(), "the former holder knows that it is superseded")

	const timeout = 300 * time.Millisecond
	_, err := former.Status(within(timeout), job.ID, cell.Caller{})
	assert.Equal(t, fault.KindOf(err), fault.OutcomeLost, "%v", err)
	assert.Equal(t, fault.KindOf(former.Cancel(within(timeout), job.ID, cell.Caller{})), fault.OutcomeLost)
	_, err = former.Pending(within(timeout), job.Queue.Name)
	assert.Equal(t, fault.KindOf(err), fault.OutcomeLost, "%v", err)
	large := testJob(2)
	large.Steps[0].Resources.CPUMilli = 1 << 20
	assert.Assert(t, fault.KindOf(former.Submit(within(timeout), large)) != fault.NoCapacity)

	// Once it reaches the log again, the next holder answers.
	cancelled := make(chan error, 1)
	go func() { cancelled <- former.Cancel(within(5*time.Second), job.ID, cell.Caller{}) }()
	former.log.disconnected.Store(false)
	assert.NilError(t, <-cancelled)
}

// Guards against proofs older than the request, and against denials that wait for long.
func TestProofIsSentAfterTheRequest(t *testing.T) {
	n := startNode(t, "a", newFakeLog(), newFakeFleet(1))
	eventually(t, "a holder", n.holds)
	start := time.Now()
	_, err := n.Status(within(3*time.Second), testJob(1).ID, cell.Caller{})
	assert.Equal(t, fault.KindOf(err), fault.NotFound)
	assert.Assert(t, time.Since(start) < 4*renewInterval, "answered after %v", time.Since(start))

	h := newHolder(newAgent(NewNode(Config{Name: "a", Cells: 1}, Platform{}), 0), claim{Term: 1}, 0)
	before := clock.SinceBoot()
	sent := 0
	h.whenProven(func() { sent++ })
	h.confirm(before)
	assert.Equal(t, sent, 0)
	h.confirm(clock.SinceBoot())
	h.confirm(clock.SinceBoot())
	assert.Equal(t, sent, 1)
}
