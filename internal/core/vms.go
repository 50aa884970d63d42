package core

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// updateVMs applies changes of the platform's VM list. After a change of workers only,
// it recomputes the preferred holders of these; after a change of an entry VM, those
// of all workers.
func (c *Core) updateVMs(e VMsChanged) {
	seen := make(map[string]bool, len(e.VMs))
	var changed []*workerState
	entryChanged := false
	for _, vm := range e.VMs {
		seen[vm.Name] = true
		if vm.Role == api.RoleEntry {
			entryChanged = true
			c.members.leaving[vm.Name] = vm.Leaving || vm.Gone
			continue
		}
		if w := c.updateWorker(vm); w != nil {
			changed = append(changed, w)
		}
	}
	if e.Full {
		c.removeUnlisted(seen)
	}
	c.queue.SetCapacity(c.workers.capacity)
	if entryChanged {
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

// updateWorker applies an entry of the VM list and returns the worker, or nil if it is
// gone.
func (c *Core) updateWorker(vm api.VM) *workerState {
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
		c.workers.addToTotals(w.vm, -1)
	}
	w.vm = vm
	c.workers.addToTotals(vm, 1)
	c.pool.SetLeaving(vm.Name, vm.Leaving)
	return w
}

// removeWorker removes a worker that no longer exists and ends the attempts on it.
func (c *Core) removeWorker(w *workerState) {
	name := w.vm.Name
	if w.phase == leaseHeld {
		// The list may be wrong. A lease that is renewed for ever would then keep
		// all other processes from using the worker.
		c.releaseLease(w)
	}
	if w.phase == leaseReleasing {
		c.dropLease(w)
	}
	w.role = roleNone
	delete(c.workers.byName, name)
	delete(c.workers.misplaced, name)
	c.workers.names = nil
	c.workers.addToTotals(w.vm, -1)
	c.logEvent("worker_gone", Field{"worker", name})
	c.workerGone(name)
}

// addToTotals adds a worker to the totals (sign 1) or subtracts it (sign -1), unless
// it is leaving.
func (t *workers) addToTotals(vm api.VM, sign int) {
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
