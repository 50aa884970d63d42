package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// VictimAction is an action on a task to free resources.
type VictimAction string

// Actions in order of escalation.
const (
	ActionThrottle   VictimAction = "throttle"
	ActionCheckpoint VictimAction = "checkpoint"
	ActionStop       VictimAction = "stop"
)

// Victim is a task to act on, and the action to take.
type Victim struct {
	Attempt api.AttemptID
	Worker  string
	Action  VictimAction
}

const (
	// maxEvictionWorkers limits the number of workers with enough evictable tasks that
	// are searched for the smallest set, and so the time of a decision.
	maxEvictionWorkers = 48
	// maxExactCandidates is the number of evictable tasks on a worker up to which the
	// search for the smallest set is exhaustive; above it, the search is greedy.
	maxExactCandidates = 16
	// evictionGracePeriod is the time that victims have to end before other victims may
	// be chosen for the same task, and before a victim may be chosen again and stopped.
	evictionGracePeriod = 5 * time.Second
)

// taskKey identifies a task, independently of the attempt.
type taskKey struct {
	job  string
	task int
}

func taskKeyOf(a api.AttemptID) taskKey { return taskKey{job: a.Job, task: a.Task} }

// Victims returns the smallest set of tasks found on one worker whose end frees enough
// resources for the request. It returns nil if there is none, if the class is at its
// ceiling or if the request fits already.
//
// Victims are idempotent tasks of less urgent preemptible classes, and their end does
// not take their class below its floor. Synchronous requests are stopped, because they
// cannot resume. Other tasks are checkpointed, and stopped if they are still running
// and chosen again after evictionGracePeriod (5 s). Within that time, Victims returns
// nil for the same task, because the chosen victims are about to end.
func (p *Pool) Victims(now time.Time, r Request) []Victim {
	p.advance(now)
	key := taskKeyOf(r.Spec.Attempt)
	if now.Before(p.pendingEvictions[key]) {
		return nil
	}
	q := p.newQuery(r, time.Time{})
	if p.find(q) != nil {
		return nil
	}
	chosen := p.smallestEviction(q)
	if len(chosen) == 0 {
		return nil
	}
	p.pendingEvictions[key] = now.Add(evictionGracePeriod)
	victims := make([]Victim, 0, len(chosen))
	for _, t := range chosen {
		t.evictionAction, t.evictionAt = t.nextEvictionAction(), now
		victims = append(victims, Victim{Attempt: t.spec.Attempt, Worker: t.worker.Name, Action: t.evictionAction})
	}
	return victims
}

// smallestEviction searches the workers with preemptible tasks, starting at a random
// one. It returns the smallest set among the first maxEvictionWorkers workers on which
// the end of all evictable tasks is enough, or nil.
func (p *Pool) smallestEviction(q *query) []*task {
	if len(p.preemptible) == 0 {
		return nil
	}
	var smallest []*task
	offset := p.rng.IntN(len(p.preemptible))
	for i, tries := 0, 0; i < len(p.preemptible) && tries < maxEvictionWorkers; i++ {
		w := p.preemptible[(offset+i)%len(p.preemptible)]
		if !p.canEvict(q, w) {
			continue
		}
		tries++
		set := p.evictionOn(q, w, len(smallest))
		if set == nil {
			continue
		}
		if smallest == nil || betterEviction(set, smallest) {
			smallest = set
		}
	}
	return smallest
}

// betterEviction reports whether a is better than b: it has fewer tasks, or as many and
// the first one is less urgent.
func betterEviction(a, b []*task) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[0].class.policy.Rank > b[0].class.policy.Rank
}

// canEvict reports whether the request would fit on w after the end of all evictable
// tasks, and sets q.need to the charge on w.
func (p *Pool) canEvict(q *query, w *worker) bool {
	if !w.node.indexed {
		return false
	}
	q.need = q.workload.charge(q.request.Spec.Resources, w.Capacity)
	// This quick check ignores which tasks are evictable. A victim's measured excess
	// ends with it, so the excess counts as free.
	if !q.need.Fits(w.free().Add(w.excess).Add(w.preemptible)) || !q.need.Fits(p.classes.ceilingLeft(q.class)) {
		return false
	}
	free := w.free()
	for _, t := range w.tasks {
		if p.evictable(q, t) {
			free = free.Add(freedBy(t))
		}
	}
	return q.need.Fits(free)
}

// evictionOn returns a set of tasks on w whose end frees enough, or nil. It is the
// smallest one unless w has more than maxExactCandidates evictable tasks. A limit above
// 0 is the largest size of the set in an exhaustive search.
func (p *Pool) evictionOn(q *query, w *worker, limit int) []*task {
	e := &evictionSearch{pool: p, query: q, candidates: p.evictionOrder(q, w), free: w.free()}
	if len(e.candidates) > maxExactCandidates {
		return e.greedy()
	}
	if limit == 0 {
		limit = len(e.candidates)
	}
	return e.smallest(min(limit, len(e.candidates)))
}

// evictable reports whether the task may be preempted for the query.
func (p *Pool) evictable(q *query, t *task) bool {
	return t.running && t.preemptible && t.spec.Idempotent &&
		t.class.policy.Rank > q.request.Rank && !t.isBeingEvicted(p.now)
}

// evictionOrder returns the evictable tasks on w, least urgent first, then smallest
// first.
func (p *Pool) evictionOrder(q *query, w *worker) []*task {
	var list []*task
	for _, t := range w.tasks {
		if p.evictable(q, t) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(b.class.policy.Rank, a.class.policy.Rank),
			cmp.Compare(a.charge.DominantShare(w.Capacity), b.charge.DominantShare(w.Capacity)),
			cmp.Compare(a.position, b.position))
	})
	return list
}

// isBeingEvicted reports whether the task was chosen as a victim within
// evictionGracePeriod.
func (t *task) isBeingEvicted(now time.Time) bool {
	return t.evictionAction != "" && now.Before(t.evictionAt.Add(evictionGracePeriod))
}

// nextEvictionAction returns the action to take if the task is chosen as a victim.
func (t *task) nextEvictionAction() VictimAction {
	if t.spec.Kind == api.KindRequest || t.evictionAction == ActionCheckpoint {
		return ActionStop
	}
	return ActionCheckpoint
}

// removeExpiredEvictions removes the pending evictions whose grace period is over.
func (p *Pool) removeExpiredEvictions(now time.Time) {
	for key, until := range p.pendingEvictions {
		if !now.Before(until) {
			delete(p.pendingEvictions, key)
		}
	}
}

// evictionSearch is the search for a set of victims on one worker.
type evictionSearch struct {
	pool       *Pool
	query      *query
	candidates []*task       // evictable tasks, in the order of evictionOrder
	free       api.Resources // if the tasks in set had ended
	set        []*task
}

// smallest returns the smallest sufficient set of at most limit tasks, or nil. Among
// sets of equal size it prefers less urgent tasks.
func (e *evictionSearch) smallest(limit int) []*task {
	for size := 1; size <= limit; size++ {
		if e.choose(0, size) {
			return e.set
		}
	}
	return nil
}

// choose extends the set by size of the candidates starting at index from, and reports
// whether the result is sufficient. Otherwise it leaves the set unchanged.
func (e *evictionSearch) choose(from, size int) bool {
	if size == 0 {
		return e.sufficient()
	}
	for i := from; i+size <= len(e.candidates); i++ {
		e.add(e.candidates[i])
		if e.choose(i+1, size-1) {
			return true
		}
		e.removeLast()
	}
	return false
}

// greedy adds candidates until the set is sufficient, then removes those that turn out
// not to be needed.
func (e *evictionSearch) greedy() []*task {
	for _, t := range e.candidates {
		e.add(t)
		if e.sufficient() {
			return e.prune()
		}
	}
	return nil
}

// prune removes the tasks without which the set is still sufficient.
func (e *evictionSearch) prune() []*task {
	taken := e.set
	for i := range taken {
		reduced := &evictionSearch{pool: e.pool, query: e.query, free: e.free.Sub(freedBy(taken[i]))}
		reduced.set = slices.Delete(slices.Clone(e.set), slices.Index(e.set, taken[i]), slices.Index(e.set, taken[i])+1)
		if reduced.sufficient() {
			e.set, e.free = reduced.set, reduced.free
		}
	}
	return e.set
}

func (e *evictionSearch) add(t *task) {
	e.set = append(e.set, t)
	e.free = e.free.Add(freedBy(t))
}

func (e *evictionSearch) removeLast() {
	last := len(e.set) - 1
	e.free = e.free.Sub(freedBy(e.set[last]))
	e.set = e.set[:last]
}

// freedBy returns the amounts that the end of a task frees on its worker.
func freedBy(t *task) api.Resources { return t.charge.Add(t.excess) }

// sufficient reports whether the request fits once the tasks in the set have ended, and
// all floors are respected.
func (e *evictionSearch) sufficient() bool {
	if !e.query.need.Fits(e.free) {
		return false
	}
	classes := e.pool.classes
	freed := api.Resources{}
	for _, t := range e.set {
		freed = freed.Add(t.charge)
		if classes.belowFloor(t.class, e.classCharge(t.class)) {
			return false
		}
	}
	return e.query.need.Fits(classes.availableUnderFloors(e.query.class, freed))
}

// classCharge returns the total charge of the tasks of the class in the set.
func (e *evictionSearch) classCharge(s *classState) (amount api.Resources) {
	for _, t := range e.set {
		if t.class == s {
			amount = amount.Add(t.charge)
		}
	}
	return amount
}
