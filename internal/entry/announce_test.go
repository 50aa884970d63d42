package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// The registration of a VM that was replaced must be dropped some time. Each one that
// stays is dialed every 2 s by every later holder, and 1,700 VMs are replaced a day.
func TestRegistrationsOfReplacedVMsAreDropped(t *testing.T) {
	start := time.Now()
	gone, back, restarted := registration{"1:1", "a"}, registration{"1:2", "b"}, registration{"1:3", "c"}
	a := absences{}
	all := map[string]registration{"gone": gone, "back": back, "restarted": restarted}
	assert.Equal(t, len(a.update(all, start)), 0)
	delete(all, "back")
	assert.Equal(t, len(a.update(all, start.Add(registrationTimeout/2))), 0)
	all["back"] = back
	all["restarted"] = registration{"1:3", "c2"}
	assert.DeepEqual(t, a.update(all, start.Add(registrationTimeout)), []string{"gone"})
	delete(all, "gone")
	a.update(all, start.Add(registrationTimeout))
	assert.Equal(t, len(a), 2)
}

// A process that registers while the holder decides to drop it must stay registered.
func TestNewRegistrationIsNotDropped(t *testing.T) {
	log := newFakeLog()
	n := NewNode(Config{Name: "a", Cells: 1}, Platform{Log: log})
	h := newHolder(newAgent(n, 0), claim{Term: 1, Token: 5}, authorityPeriod)
	register := func() int64 {
		end, err := log.Append(t.Context(), Append{Topic: topicNodes, Records: []cell.Record{{Key: "b", Value: mustMarshal(registration{"1:1", "x"})}}})
		assert.NilError(t, err)
		return end
	}
	registered := func() int {
		records, _, err := log.Newest(t.Context(), topicNodes, 0)
		assert.NilError(t, err)
		return len(records)
	}
	seen := register()
	register()
	h.dropRegistrations([]string{"b"}, seen)
	assert.Equal(t, registered(), 1)
	h.dropRegistrations([]string{"b"}, seen+1)
	assert.Equal(t, registered(), 0)
}

// A worker that does not answer for a while but keeps its lease must keep its runs: they
// must neither be started elsewhere nor count as failed.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	log, fleet := newFakeLog(), newFakeFleet(2)
	n := startNode(t, "a", log, fleet)
	eventually(t, "a holder", n.holds)
	job := testJob(1)
	assert.NilError(t, n.Submit(within(3*time.Second), job))
	eventually(t, "a start", func() bool { return fleet.started() == 1 })
	fleet.mu.Lock()
	fleet.silent = true
	fleet.mu.Unlock()
	time.Sleep(3500 * time.Millisecond) // of a lease of 6 s
	assert.Equal(t, fleet.started(), 1, "started elsewhere while the worker was silent")
	fleet.mu.Lock()
	fleet.silent = false
	fleet.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	fleet.endAll(cell.EndDone)
	eventually(t, "the completed job", func() bool {
		state, err := n.Status(within(time.Second), job.ID, cell.Caller{})
		return err == nil && state == cell.Completed
	})
	assert.Equal(t, fleet.started(), 1)
}
