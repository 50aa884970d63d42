package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// oldFleet returns workers that have been up for a minute, with the given longest lease. Only the first
// one is registered.
func oldFleet(workers int, longestLeaseMS int64) (fleet *fakeFleet, all []cell.WorkerInfo) {
	fleet = newFakeFleet(workers)
	fleet.longestLeaseMS = longestLeaseMS
	for _, w := range fleet.workers {
		w.bornMS = -60_000
	}
	all = fleet.infos
	fleet.infos = all[:1]
	return fleet, all
}

// submitLong submits a job of one task that runs for a minute.
func submitLong(t *testing.T, n *testNode) {
	t.Helper()
	job := testJob(1)
	job.Steps[0].EstimateMS = 60_000
	assert.NilError(t, n.Submit(within(3*time.Second), job))
}

// Guards against a task that runs twice because a renewal for the former life of its worker gave the new one a longer lease than the holder gives.
func TestLongestLeaseOfARestartedWorker(t *testing.T) {
	fleet, all := oldFleet(2, 10_000)
	n := startLeased(t, fleet, fleet, 10_000)
	eventually(t, "a holder", n.holds)
	eventually(t, "renewals", func() bool { return fleet.renewed() > 3 })
	fleet.restart("w0") // the renewal that waits there is answered by the new life
	h, _, _ := n.agents()[0].route()
	eventually(t, "a listing of the new life", func() bool { return sessionOf(h, "w0").lastLife().incarnation == 2 })
	submitLong(t, n)
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	fleet.setRegistered(all...)
	time.Sleep(500 * time.Millisecond) // the other worker is listed, and in the stored roster
	fleet.setSilent("w0", true)
	eventually(t, "the next start", func() bool { return fleet.started() == 2 })
	assert.Equal(t, len(fleet.startedTwice()), 0)
}

// Guards against the same when another holder takes over that does not reach the worker.
func TestNextHolderWaitsForTheLongestLease(t *testing.T) {
	s := testSession()
	s.holder.node.cfg.LongestLeaseMS = 10_000
	s.holder.priorAuthority = authorityPeriod
	waits := time.Duration(s.holder.longestPriorLease()) * time.Millisecond
	assert.Assert(t, waits >= authorityPeriod+10*time.Second, "waits for %v", waits)
}
