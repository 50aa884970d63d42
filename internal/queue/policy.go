package queue

import (
	"cmp"
	"slices"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

const (
	// minShareDivisor limits how far the use by peers reduces the capacity to which
	// shares refer: at least 1/minShareDivisor of the whole remains. Otherwise peers
	// that use the whole capacity would reduce the ceilings of this process to 0.
	// With 8 or 9 entry processes each has a larger part than this.
	minShareDivisor = 16
	// virtualTimeResetFactor is the factor of change in capacity above which virtual
	// times are reset. Otherwise charges made while the capacity was much smaller
	// would keep a workspace from being served for very long.
	virtualTimeResetFactor = 2
)

func (q *Queue) setWorkspaces(workspaces []bundle.Workspace) {
	for _, w := range q.workspaces {
		w.listed = false
	}
	for _, policy := range workspaces {
		w := q.workspaces[policy.Name]
		if w == nil {
			w = &workspace{peerUse: q.workspacePeerUse[policy.Name]}
			q.workspaces[policy.Name] = w
		}
		w.policy, w.listed = policy, true
	}
}

func (q *Queue) setClasses(classes []bundle.Class) {
	for _, c := range q.classes {
		c.listed = false
	}
	for _, policy := range classes {
		c := q.classes[policy.Name]
		if c == nil {
			c = newClass()
			q.classes[policy.Name] = c
		}
		c.policy, c.listed = policy, true
		c.sumActiveWeight()
	}
}

// sumActiveWeight recomputes the total weight of the workspaces with waiting items.
func (c *class) sumActiveWeight() {
	c.activeWeight = 0
	for _, f := range c.active {
		c.activeWeight += f.workspace.weight()
	}
}

// removeUnlisted removes the classes and workspaces that are no longer in the
// bundle, and returns their waiting items. One that still has dispatched items is
// kept to account for their use.
func (q *Queue) removeUnlisted() []Item {
	var entries []*entry
	for _, c := range q.classes {
		for _, f := range c.active {
			if !c.listed || !f.workspace.listed {
				entries = f.appendWaiting(entries)
			}
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	removed := make([]Item, 0, len(entries))
	for _, e := range entries {
		q.remove(e)
		removed = append(removed, e.item)
	}
	q.deleteUnlisted()
	q.sortClasses()
	q.refreshBlocks()
	return removed
}

func (f *flow) appendWaiting(list []*entry) []*entry {
	for _, b := range f.buckets {
		for _, e := range b.entries.entries {
			if e.waiting {
				list = append(list, e)
			}
		}
	}
	return list
}

// deleteUnlisted deletes the classes and workspaces that are not listed and have no
// dispatched items.
func (q *Queue) deleteUnlisted() {
	for name, w := range q.workspaces {
		if w.listed {
			continue
		}
		for _, c := range q.classes {
			delete(c.flows, name)
		}
		if w.use == (api.Resources{}) {
			delete(q.workspaces, name)
		}
	}
	for name, c := range q.classes {
		if !c.listed && c.placing+c.running == 0 {
			delete(q.classes, name)
		}
	}
}

// sortClasses rebuilds the order of the listed classes by rank, then name.
func (q *Queue) sortClasses() {
	q.order = q.order[:0]
	for _, c := range q.classes {
		if c.listed {
			q.order = append(q.order, c)
		}
	}
	slices.SortFunc(q.order, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.policy.Rank, b.policy.Rank), cmp.Compare(a.policy.Name, b.policy.Name))
	})
}

// updateShareCapacity computes the capacity to which floors and ceilings refer: the
// known capacity without the use by peers. Peers report their use by workspace and
// not by class, so each process guarantees the shares within the rest; processes
// with equal load then divide the capacity equally.
func (q *Queue) updateShareCapacity() {
	atLeastMinimum := func(left, capacity int64) int64 {
		if capacity <= 0 {
			return 0
		}
		return max(left, capacity/minShareDivisor, 1)
	}
	left := q.capacity.Sub(q.peerUse)
	q.shareCapacity = api.Resources{
		CPUMilli:     atLeastMinimum(left.CPUMilli, q.capacity.CPUMilli),
		MemoryMB:     atLeastMinimum(left.MemoryMB, q.capacity.MemoryMB),
		Accelerators: atLeastMinimum(left.Accelerators, q.capacity.Accelerators),
		Slots:        atLeastMinimum(left.Slots, q.capacity.Slots),
		Connections:  atLeastMinimum(left.Connections, q.capacity.Connections),
	}
}

// updateChargeCapacity resets the virtual times after a large change of capacity, and
// charges dispatched items by the new capacity from then on.
func (q *Queue) updateChargeCapacity() {
	if q.chargeCapacity != (api.Resources{}) &&
		q.capacity.DominantShare(q.chargeCapacity) <= virtualTimeResetFactor &&
		q.chargeCapacity.DominantShare(q.capacity) <= virtualTimeResetFactor {
		return
	}
	q.chargeCapacity = q.capacity
	for _, ch := range q.dispatched {
		ch.rate = q.chargeRate(ch.need, ch.workspace)
	}
	for _, c := range q.classes {
		c.virtualTime = 0
		for _, f := range c.flows {
			f.virtualTime = 0
		}
	}
}
