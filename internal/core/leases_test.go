package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// reportVM reports a change in the VM list to every process.
func (cluster *fakeCluster) reportVM(vm api.VM) {
	for _, p := range cluster.sortedProcs() {
		p.inbox = append(p.inbox, VMsChanged{VMs: []api.VM{vm}})
	}
}

func (cluster *fakeCluster) heldWorkers() int {
	held := 0
	for _, p := range cluster.procs {
		if p.running() {
			held += p.core.workers.heldCount
		}
	}
	return held
}

// TestWorkerListedAgain guards against a worker that stays unusable after the VM list
// reported it as gone by mistake, because its lease is renewed for ever.
func TestWorkerListedAgain(t *testing.T) {
	cluster := warmCluster(t, 2, 2)
	vm := cluster.workers["w00"].vm
	vm.Gone = true
	cluster.reportVM(vm)
	cluster.advance(10 * time.Second)
	assert.Equal(t, cluster.heldWorkers(), 1)
	vm.Gone = false
	cluster.reportVM(vm)
	cluster.advance(10 * time.Second)
	assert.Equal(t, cluster.heldWorkers(), 2)
}

// TestSecondChoiceKeepsWorker guards against repeated failed handovers of a worker to
// its preferred holder, which cannot reach it.
func TestSecondChoiceKeepsWorker(t *testing.T) {
	cluster := warmCluster(t, 2, 1)
	holder := cluster.workers["w00"].holder.Name
	cluster.unreachable = map[[2]string]bool{{holder, "w00"}: true}
	cluster.advance(30 * time.Second)
	held := 0
	const steps = 2400
	for range steps {
		cluster.step()
		held += cluster.heldWorkers()
	}
	assert.Assert(t, held > steps*3/4, "held in %d of %d steps", held, steps)
}
