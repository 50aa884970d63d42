package placement

import (
	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

// classState is the policy of a class and what its tasks take on the workers
// that accept new work.
type classState struct {
	policy bundle.Class
	tasks  int // on all held workers
	use    api.Resources
}

// classTable keeps floors and ceilings. Tasks on workers that take no new work
// count neither as use nor as capacity.
type classTable struct {
	byName   map[string]*classState
	listed   []*classState // in the order of the bundle
	capacity api.Resources
	use      api.Resources
}

func newClassTable() *classTable {
	return &classTable{byName: make(map[string]*classState)}
}

// get returns the state of a class. A class that the bundle does not list has
// no floor, the whole capacity as its ceiling, and is not preemptible.
func (c *classTable) get(name string) *classState {
	s, ok := c.byName[name]
	if !ok {
		s = &classState{policy: bundle.Class{Name: name, Ceiling: 1}}
		c.byName[name] = s
	}
	return s
}

// setPolicy puts new policies in force and reports whether the preemptible
// flag of a class with tasks changed.
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
	c.forgetUnlisted(policies)
	return changed
}

// forgetUnlisted drops classes that have left the bundle and have no tasks.
func (c *classTable) forgetUnlisted(policies []bundle.Class) {
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

// floorLeft is the part of the class's floor that it does not use; amounts are
// negative where its use is above the floor. Other classes leave it free only
// until the class's dominant share reaches the floor.
func (c *classTable) floorLeft(s *classState) api.Resources {
	return share(c.capacity, s.policy.Floor).Sub(s.use)
}

// ceilingLeft is what the class may take before it reaches its ceiling.
func (c *classTable) ceilingLeft(s *classState) api.Resources {
	return share(c.capacity, s.policy.Ceiling).Sub(s.use)
}

// floorRoom is what the class may take without using room that the unused
// floors of other classes guarantee, but at least its own unused floor. A
// preemptible class may borrow all of it, because it can be made to give back.
// The amount freed counts as no longer in use.
func (c *classTable) floorRoom(s *classState, freed api.Resources) api.Resources {
	if s.policy.Preemptible {
		return c.capacity
	}
	room := c.capacity.Sub(c.use).Add(freed)
	for _, other := range c.listed {
		if other != s && c.belowFloor(other, api.Resources{}) {
			room = room.Sub(positive(c.floorLeft(other)))
		}
	}
	return room.Max(c.floorLeft(s))
}

// allows reports whether the class may take need more.
func (c *classTable) allows(s *classState, need api.Resources) bool {
	return need.Fits(c.ceilingLeft(s)) && need.Fits(c.floorRoom(s, api.Resources{}))
}

// belowFloor reports whether the dominant share of the class, without amount,
// is less than its floor.
func (c *classTable) belowFloor(s *classState, amount api.Resources) bool {
	return s.policy.Floor > 0 && s.use.Sub(amount).DominantShare(c.capacity) < s.policy.Floor
}
