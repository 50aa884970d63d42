package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// Step is what is done to a task that must give room back.
type Step string

// Steps, in the order of escalation.
const (
	StepThrottle   Step = "throttle"
	StepCheckpoint Step = "checkpoint"
	StepStop       Step = "stop"
)

// Victim is a task that must give room back.
type Victim struct {
	Attempt api.AttemptID
	Worker  string
	Step    Step
}

const (
	// evictionTries is the number of workers with enough preemptible work among
	// which the smallest set is looked for; it bounds the time of a decision.
	evictionTries = 48
	// exactVictims is the number of preemptible tasks on a worker up to which
	// the smallest set is found exactly; beyond, a greedy set is taken.
	exactVictims = 16
	// evictionPatience is the time that a victim has to go before the same
	// request may name others or the victim is told to stop.
	evictionPatience = 5 * time.Second
)

// claimKey names the task that room is being made for.
type claimKey struct {
	job  string
	task int
}

func claimOf(a api.AttemptID) claimKey { return claimKey{job: a.Job, task: a.Task} }

// Victims returns the smallest set of tasks on one worker whose end makes room
// for the request, and nil if there is none, the class is at its ceiling or the
// request has room already.
// Victims are idempotent, belong to preemptible classes of a larger rank
// number, and leave their own class at its floor or above. Synchronous requests
// are stopped, because they cannot resume; other tasks are checkpointed and, if
// they are still there evictionPatience later, stopped. Within that time the
// call returns nil for the same task, since the room is on its way.
func (p *Pool) Victims(now time.Time, r Request) []Victim {
	p.advance(now)
	claim := claimOf(r.Spec.Attempt)
	if now.Before(p.claims[claim]) {
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
	p.claims[claim] = now.Add(evictionPatience)
	victims := make([]Victim, 0, len(chosen))
	for _, t := range chosen {
		t.evicted, t.evictedAt = t.evictionStep(), now
		victims = append(victims, Victim{Attempt: t.spec.Attempt, Worker: t.worker.Name, Step: t.evicted})
	}
	return victims
}

// smallestEviction looks at the workers with preemptible tasks from a random
// one on, and returns the smallest set among the first evictionTries workers
// whose evictable tasks together make room.
func (p *Pool) smallestEviction(q *query) []*task {
	if len(p.preemptible) == 0 {
		return nil
	}
	var smallest []*task
	offset := p.rng.IntN(len(p.preemptible))
	for i, tries := 0, 0; i < len(p.preemptible) && tries < evictionTries; i++ {
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

// betterEviction prefers fewer tasks, then less urgent ones.
func betterEviction(a, b []*task) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[0].class.policy.Rank > b[0].class.policy.Rank
}

// canEvict reports whether the end of all evictable tasks on w would make room,
// and sets q.need to the charge on w.
func (p *Pool) canEvict(q *query, w *worker) bool {
	if !w.node.indexed {
		return false
	}
	q.need = q.kind.charge(q.request.Spec.Resources, w.Capacity)
	// The excess of a victim ends with it, so it counts as room here.
	if !q.need.Fits(w.free().Add(w.excess).Add(w.preemptible)) || !q.need.Fits(p.classes.ceilingLeft(q.class)) {
		return false
	}
	room := w.free()
	for _, t := range w.tasks {
		if p.evictable(q, t) {
			room = room.Add(released(t))
		}
	}
	return q.need.Fits(room)
}

// evictionOn returns the smallest set of tasks on w that makes room, or nil. It
// gives up above limit tasks unless limit is 0.
func (p *Pool) evictionOn(q *query, w *worker, limit int) []*task {
	e := &eviction{pool: p, query: q, candidates: p.evictionOrder(q, w), free: w.free()}
	if len(e.candidates) > exactVictims {
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
		t.class.policy.Rank > q.request.Rank && !t.leaving(p.now)
}

// evictionOrder lists the evictable tasks on w, least urgent first, then
// smallest first.
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

// leaving reports whether the task was told to go a short while ago.
func (t *task) leaving(now time.Time) bool {
	return t.evicted != "" && now.Before(t.evictedAt.Add(evictionPatience))
}

func (t *task) evictionStep() Step {
	if t.spec.Kind == api.KindRequest || t.evicted == StepCheckpoint {
		return StepStop
	}
	return StepCheckpoint
}

// forgetClaims drops claims whose time has passed.
func (p *Pool) forgetClaims(now time.Time) {
	for claim, until := range p.claims {
		if !now.Before(until) {
			delete(p.claims, claim)
		}
	}
}

// eviction is the search for a set of tasks on one worker.
type eviction struct {
	pool       *Pool
	query      *query
	candidates []*task
	free       api.Resources // without the tasks in set
	set        []*task
}

// smallest returns the smallest sufficient set of at most limit tasks, the least
// urgent one first among equals.
func (e *eviction) smallest(limit int) []*task {
	for size := 1; size <= limit; size++ {
		if e.choose(0, size) {
			return e.set
		}
	}
	return nil
}

// choose extends the set by size candidates from index from on.
func (e *eviction) choose(from, size int) bool {
	if size == 0 {
		return e.sufficient()
	}
	for i := from; i+size <= len(e.candidates); i++ {
		e.take(e.candidates[i])
		if e.choose(i+1, size-1) {
			return true
		}
		e.putBack()
	}
	return false
}

// greedy takes candidates until the room is sufficient, then puts back those
// that turn out not to be needed.
func (e *eviction) greedy() []*task {
	for _, t := range e.candidates {
		e.take(t)
		if e.sufficient() {
			return e.prune()
		}
	}
	return nil
}

func (e *eviction) prune() []*task {
	taken := e.set
	for i := range taken {
		trial := &eviction{pool: e.pool, query: e.query, free: e.free.Sub(released(taken[i]))}
		trial.set = slices.Delete(slices.Clone(e.set), slices.Index(e.set, taken[i]), slices.Index(e.set, taken[i])+1)
		if trial.sufficient() {
			e.set, e.free = trial.set, trial.free
		}
	}
	return e.set
}

func (e *eviction) take(t *task) {
	e.set = append(e.set, t)
	e.free = e.free.Add(released(t))
}

func (e *eviction) putBack() {
	last := len(e.set) - 1
	e.free = e.free.Sub(released(e.set[last]))
	e.set = e.set[:last]
}

// released is the room on its worker that the end of a task frees.
func released(t *task) api.Resources { return t.charge.Add(t.excess) }

// sufficient reports whether the request fits without the set and floors hold.
func (e *eviction) sufficient() bool {
	if !e.query.need.Fits(e.free) {
		return false
	}
	classes := e.pool.classes
	freed := api.Resources{}
	for _, t := range e.set {
		freed = freed.Add(t.charge)
		if classes.belowFloor(t.class, e.takenFrom(t.class)) {
			return false
		}
	}
	return e.query.need.Fits(classes.floorRoom(e.query.class, freed))
}

// takenFrom is what the set takes from a class.
func (e *eviction) takenFrom(s *classState) (amount api.Resources) {
	for _, t := range e.set {
		if t.class == s {
			amount = amount.Add(t.charge)
		}
	}
	return amount
}
