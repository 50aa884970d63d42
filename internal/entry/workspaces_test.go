package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Guards against a job that callers of another workspace see, cancel or take for their own, at the holder
// or through another process, also after a takeover.
func TestJobsOfAnotherWorkspaceAreDenied(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	holder, follower := startPair(t, log, fleet)
	own, other := cell.Caller{Workspace: "a", Checked: true}, cell.Caller{Workspace: "b", Checked: true}
	job := testJob(1)
	job.Workspace = own.Workspace
	assert.NilError(t, holder.Submit(within(3*time.Second), job))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	check := func(n *testNode) {
		t.Helper()
		state, err := n.Status(within(time.Second), job.ID, own)
		assert.NilError(t, err)
		assert.Equal(t, state, cell.Running)
		_, err = n.Status(within(time.Second), job.ID, other)
		assert.Equal(t, fault.KindOf(err), fault.NotFound)
		assert.Equal(t, fault.KindOf(n.Cancel(within(time.Second), job.ID, other)), fault.NotFound)
		foreign := testJob(1)
		foreign.Workspace = other.Workspace
		assert.Equal(t, fault.KindOf(n.Submit(within(time.Second), foreign)), fault.Conflict)
	}
	check(holder)
	check(follower)
	holder.stop()
	eventually(t, "a takeover", follower.holds)
	eventually(t, "a serving holder", func() bool { _, err := follower.Status(within(time.Second), job.ID, own); return err == nil })
	check(follower)
	assert.NilError(t, follower.Cancel(within(time.Second), job.ID, own))
}
