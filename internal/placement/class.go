package placement

import (
	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

// classState is the policy of a class and the use by its tasks.
type classState struct {
	policy bundle.Class
	tasks  int           // on all held workers
	use    api.Resources // on the workers that accept new work
}

// classTable enforces floors and ceilings. Workers that accept no new work count
// neither towards the capacity nor, with their tasks, towards the use.
type classTable struct {
	byName   map[string]*classState
	listed   []*classState // in the order of the bundle
	capacity api.Resources
	use      api.Resources
}

func newClassTable() *classTable {
	return &classTable{byName: make(map[string]*classState)}
}

// get returns the state of a class. A class that is not in the bundle has no floor,
// the whole capacity as its ceiling, and is not preemptible.
func (c *classTable) get(name string) *classState {
	s, ok := c.byName[name]
	if !ok {
		s = &classState{policy: bundle.Class{Name: name, Ceiling: 1}}
		c.byName[name] = s
	}
	return s
}

// setPolicy replaces the policies and reports whether the preemptible flag of a
// class with tasks changed.
func (c *classTable) setPolicy(policies []bundle.Class) (changed bool) {
	old := make(map[string]bool, len(c.byName))
	for name, s := range c.byName {
		old[name] = s.policy.Preemptible
		s.policy = bundle.Class{Name: name, Ceiling: 1}
	}
	c.listed = c.listed[:0]
	for _, policy := range policies {
		s := c.get(policy.Name)
		s.policy = policy
		c.listed = append(c.listed, s)
	}
	for name, s := range c.byName {
		changed = changed || s.tasks > 0 && s.policy.Preemptible != old[name]
	}
	c.removeUnlisted(policies)
	return changed
}

// removeUnlisted removes classes without tasks that are no longer in the bundle.
func (c *classTable) removeUnlisted(policies []bundle.Class) {
	listed := make(map[string]bool, len(policies))
	for _, policy := range policies {
		listed[policy.Name] = true
	}
	for name, s := range c.byName {
		if !listed[name] && s.tasks == 0 {
			delete(c.byName, name)
		}
	}
}

// add changes the use of a class by amount, which may be negative.
func (c *classTable) add(s *classState, amount api.Resources) {
	s.use = s.use.Add(amount)
	c.use = c.use.Add(amount)
}

// floorLeft returns the unused part of the class's floor; amounts are negative where
// its use is above the floor. Other classes must leave this amount free only while
// the dominant share of the class is below the floor.
func (c *classTable) floorLeft(s *classState) api.Resources {
	return share(c.capacity, s.policy.Floor).Sub(s.use)
}

// ceilingLeft returns the amount by which the use of the class is below its ceiling;
// amounts are negative where its use is above the ceiling.
func (c *classTable) ceilingLeft(s *classState) api.Resources {
	return share(c.capacity, s.policy.Ceiling).Sub(s.use)
}

// availableUnderFloors returns the amount that the class may use without touching the
// unused floors of other classes, but at least its own unused floor. A preemptible
// class may use those floors too, because its tasks can be evicted. The amount freed
// counts as no longer in use.
func (c *classTable) availableUnderFloors(s *classState, freed api.Resources) api.Resources {
	if s.policy.Preemptible {
		return c.capacity
	}
	available := c.capacity.Sub(c.use).Add(freed)
	for _, other := range c.listed {
		if other != s && c.belowFloor(other, api.Resources{}) {
			available = available.Sub(positive(c.floorLeft(other)))
		}
	}
	return available.Max(c.floorLeft(s))
}

// allows reports whether floors and ceilings allow the class to take need in addition.
func (c *classTable) allows(s *classState, need api.Resources) bool {
	return need.Fits(c.ceilingLeft(s)) && need.Fits(c.availableUnderFloors(s, api.Resources{}))
}

// belowFloor reports whether the dominant share of the class is below its floor,
// after amount is subtracted from its use.
func (c *classTable) belowFloor(s *classState, amount api.Resources) bool {
	return s.policy.Floor > 0 && s.use.Sub(amount).DominantShare(c.capacity) < s.policy.Floor
}
