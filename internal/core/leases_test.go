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
