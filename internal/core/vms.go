package core

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// changeVMs takes changes of the platform's VM list. A changed worker costs a
// choice of its own holder only; a change of the entry VMs, one for all workers.
func (c *Core) changeVMs(e VMsChanged) {
	seen := make(map[string]bool, len(e.VMs))
	var changed []*workerState
	entries := false
	for _, vm := range e.VMs {
		seen[vm.Name] = true
		if vm.Role == api.RoleEntry {
			entries = true
			c.members.leaving[vm.Name] = vm.Leaving || vm.Gone
			continue
		}
		if w := c.changeWorker(vm); w != nil {
			changed = append(changed, w)
		}
	}
	if e.Full {
		c.removeUnlisted(seen)
	}
	c.queue.SetCapacity(c.workers.capacity)
	if entries {
		c.chooseHolders()
		return
	}
	c.chooseHoldersOf(changed)
}

func (c *Core) removeUnlisted(listed map[string]bool) {
	for _, name := range sortedKeys(c.workers.byName) {
		if !listed[name] {
			c.removeWorker(c.workers.byName[name])
		}
	}
}

// changeWorker takes a line of the VM list and returns the worker if it exists.
func (c *Core) changeWorker(vm api.VM) *workerState {
	w := c.workers.byName[vm.Name]
	if vm.Gone {
		if w != nil {
			c.removeWorker(w)
		}
		return nil
	}
	if w == nil {
		w = &workerState{}
		c.workers.byName[vm.Name] = w
		c.workers.names = nil
	} else {
		c.workers.count(w.vm, -1)
	}
	w.vm = vm
	c.workers.count(vm, 1)
	c.pool.SetLeaving(vm.Name, vm.Leaving)
	return w
}

// removeWorker forgets a worker that no longer exists. What ran there is over.
func (c *Core) removeWorker(w *workerState) {
	name := w.vm.Name
	if w.phase == leaseHeld {
		// The list may be wrong; a lease that is renewed on and on would keep the
		// worker from everyone.
		c.releaseLease(w)
	}
	if w.phase == leaseReleasing {
		c.dropHeld(w)
	}
	w.role = roleNone
	delete(c.workers.byName, name)
	delete(c.workers.misplaced, name)
	c.workers.names = nil
	c.workers.count(w.vm, -1)
	c.logEvent("worker_gone", Field{"worker", name})
	c.workerGone(name)
}

// count adds a worker to the totals of live workers, or takes it out.
func (t *workers) count(vm api.VM, sign int) {
	if vm.Leaving {
		return
	}
	t.shapes[vm.Capacity] += sign
	if t.shapes[vm.Capacity] == 0 {
		delete(t.shapes, vm.Capacity)
	}
	if sign < 0 {
		t.capacity = t.capacity.Sub(vm.Capacity)
		return
	}
	t.capacity = t.capacity.Add(vm.Capacity)
}
