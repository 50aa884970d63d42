package queue

import (
	"cmp"
	"slices"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

const (
	// minBaseFraction is the part of the cell to which shares refer at least,
	// as a divisor. Peers that use the whole cell would otherwise bring the
	// ceilings of this process to 0. Today's 8 to 9 entry processes each have
	// more than this part.
	minBaseFraction = 16
	// rescaleFactor is the change of capacity at which virtual times start
	// anew. Charges made against a much smaller cell would otherwise hold a
	// workspace back for very long.
	rescaleFactor = 2
)

func (q *Queue) setWorkspaces(workspaces []bundle.Workspace) {
	for _, t := range q.workspaces {
		t.live = false
	}
	for _, policy := range workspaces {
		t := q.workspaces[policy.Name]
		if t == nil {
			t = &workspace{elsewhere: q.workspacesElsewhere[policy.Name]}
			q.workspaces[policy.Name] = t
		}
		t.policy, t.live = policy, true
	}
}

func (q *Queue) setClasses(classes []bundle.Class) {
	for _, c := range q.classes {
		c.live = false
	}
	for _, policy := range classes {
		c := q.classes[policy.Name]
		if c == nil {
			c = newClass()
			q.classes[policy.Name] = c
		}
		c.policy, c.live = policy, true
		c.reweigh()
	}
}

// reweigh adds the weights of the active workspaces up again.
func (c *class) reweigh() {
	c.activeWeight = 0
	for _, f := range c.active {
		c.activeWeight += f.workspace.weight()
	}
}

// removeVanished drops classes and workspaces that are not in force, and returns
// their waiting items. One that still has work handed out is kept to account
// for its use.
func (q *Queue) removeVanished() []Item {
	var gone []*entry
	for _, c := range q.classes {
		for _, f := range c.active {
			if !c.live || !f.workspace.live {
				gone = f.appendWaiting(gone)
			}
		}
	}
	slices.SortFunc(gone, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	removed := make([]Item, 0, len(gone))
	for _, e := range gone {
		q.remove(e)
		removed = append(removed, e.item)
	}
	q.forgetVanished()
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

func (q *Queue) forgetVanished() {
	for name, t := range q.workspaces {
		if t.live {
			continue
		}
		for _, c := range q.classes {
			delete(c.flows, name)
		}
		if t.use == (api.Resources{}) {
			delete(q.workspaces, name)
		}
	}
	for name, c := range q.classes {
		if !c.live && c.placing+c.running == 0 {
			delete(q.classes, name)
		}
	}
}

func (q *Queue) sortClasses() {
	q.order = q.order[:0]
	for _, c := range q.classes {
		if c.live {
			q.order = append(q.order, c)
		}
	}
	slices.SortFunc(q.order, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.policy.Rank, b.policy.Rank), cmp.Compare(a.policy.Name, b.policy.Name))
	})
}

// rebase computes the capacity to which floors and ceilings refer: the cell
// without what peers use. Peers report their use by workspace and not by class, so
// each process guarantees the shares within what is left to it; processes with
// equal load then divide the cell equally.
func (q *Queue) rebase() {
	minimum := func(left, cell int64) int64 {
		if cell <= 0 {
			return 0
		}
		return max(left, cell/minBaseFraction, 1)
	}
	left := q.cell.Sub(q.elsewhere)
	q.base = api.Resources{
		CPUMilli:     minimum(left.CPUMilli, q.cell.CPUMilli),
		MemoryMB:     minimum(left.MemoryMB, q.cell.MemoryMB),
		Accelerators: minimum(left.Accelerators, q.cell.Accelerators),
		Slots:        minimum(left.Slots, q.cell.Slots),
		Connections:  minimum(left.Connections, q.cell.Connections),
	}
}

// rescale starts the virtual times anew after a large change of capacity.
func (q *Queue) rescale() {
	if q.scale != (api.Resources{}) &&
		q.cell.DominantShare(q.scale) <= rescaleFactor &&
		q.scale.DominantShare(q.cell) <= rescaleFactor {
		return
	}
	q.scale = q.cell
	for _, ch := range q.handedOut {
		ch.rate = q.chargeRate(ch.need, ch.workspace)
	}
	for _, c := range q.classes {
		c.virtualTime = 0
		for _, f := range c.flows {
			f.virtualTime = 0
		}
	}
}
