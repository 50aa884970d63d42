package entry

import (
	"net"
	"sync/atomic"
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

// limitedConfiguration is a configuration with workspaces, which a test may replace.
type limitedConfiguration struct {
	fakeConfiguration
	current atomic.Pointer[[]cell.Workspace]
	version atomic.Uint64
}

func (c *limitedConfiguration) set(list ...cell.Workspace) {
	c.current.Store(&list)
	c.version.Add(1)
}

func (c *limitedConfiguration) Workspaces() ([]cell.Workspace, uint64) {
	if list := c.current.Load(); list != nil {
		return *list, c.version.Load()
	}
	return nil, 0
}

// Guards against limits that the holder does not follow: it starts tasks before it knows them, beyond
// them, or not after they were raised.
func TestHolderFollowsLimits(t *testing.T) {
	log, fleet, config := newFakeLog(), newFakeFleet(2), &limitedConfiguration{}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	n := NewNode(Config{Name: "a", Incarnation: "a", LinkAddress: ln.Addr().String(), Cells: 1, LongestLeaseMS: 6000, KeepEndedMS: 120000, RemoteDataFactor: 3, LimitsRequired: true},
		Platform{Log: log, Registry: fleet, Controller: fleet, Policy: fleet, Configuration: config})
	n.Start(ln)
	t.Cleanup(n.Close)
	job := testJob(1)
	job.Workspace = "a"
	job.Steps[0].Tasks, job.Steps[0].Resources = 6, cell.Resources{CPUMilli: 1000}
	eventually(t, "an accepted job", func() bool { return n.Submit(within(time.Second), job) == nil })
	settled := func(want int) {
		t.Helper()
		eventually(t, "the starts", func() bool { return fleet.started() >= want })
		time.Sleep(10 * controlInterval)
		assert.Equal(t, fleet.started(), want)
	}
	settled(0)
	config.set(cell.Workspace{Name: "a", Limit: cell.Resources{CPUMilli: 2000}})
	settled(2)
	config.set(cell.Workspace{Name: "a", Limit: cell.Resources{CPUMilli: 5000}})
	settled(5)
	wide := testJob(2)
	wide.Workspace, wide.Steps = "a", []cell.Step{{Tasks: 6, Gang: true, Resources: cell.Resources{CPUMilli: 1000}}}
	assert.Equal(t, fault.KindOf(n.Submit(within(time.Second), wide)), fault.QuotaExceeded)
}

// Guards against cells that together exceed a limit, and against a share of a limit that is none.
func TestCellsShareLimits(t *testing.T) {
	list := []cell.Workspace{{Name: "a", Limit: cell.Resources{CPUMilli: 10_001, GPUs: 1}}, {Name: "b"}}
	assert.DeepEqual(t, shareLimits(list, 0, 1), list)
	first, second := shareLimits(list, 0, 2), shareLimits(list, 1, 2)
	assert.Equal(t, first[0].Limit, cell.Resources{CPUMilli: 5001, GPUs: 1})
	assert.Equal(t, second[0].Limit, cell.Resources{CPUMilli: 5000, GPUs: -1})
	assert.Equal(t, second[1].Limit, cell.Resources{})
}
