package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// listVM tells every process of a change in the VM list.
func (cell *fakeCell) listVM(vm api.VM) {
	for _, p := range cell.sorted() {
		p.inbox = append(p.inbox, VMsChanged{VMs: []api.VM{vm}})
	}
}

func (cell *fakeCell) heldWorkers() int {
	held := 0
	for _, p := range cell.procs {
		if p.running() {
			held += p.core.workers.heldCount
		}
	}
	return held
}

// TestWorkerListedAgain guards against a worker that is lost for good because a
// lease on it is renewed for ever after the VM list once called it gone.
func TestWorkerListedAgain(t *testing.T) {
	cell := warmCell(t, 2, 2)
	vm := cell.workers["w00"].vm
	vm.Gone = true
	cell.listVM(vm)
	cell.advance(10 * time.Second)
	assert.Equal(t, cell.heldWorkers(), 1)
	vm.Gone = false
	cell.listVM(vm)
	cell.advance(10 * time.Second)
	assert.Equal(t, cell.heldWorkers(), 2)
}

// TestSecondChoiceKeepsWorker guards against a worker that its preferred holder
// cannot reach and that is handed over to it every few seconds in vain.
func TestSecondChoiceKeepsWorker(t *testing.T) {
	cell := warmCell(t, 2, 1)
	holder := cell.workers["w00"].holder.Name
	cell.unreachable = map[[2]string]bool{{holder, "w00"}: true}
	cell.advance(30 * time.Second)
	held := 0
	const steps = 2400
	for range steps {
		cell.step()
		held += cell.heldWorkers()
	}
	assert.Assert(t, held > steps*3/4, "held in %d of %d steps", held, steps)
}
