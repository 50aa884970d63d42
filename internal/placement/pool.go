package placement

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

// Worker is a worker whose lease this process holds.
type Worker struct {
	Name     string        `json:"name"`
	Domain   string        `json:"domain"` // failure domain
	Rack     string        `json:"rack,omitempty"`
	Capacity api.Resources `json:"capacity"`
	Epoch    uint64        `json:"epoch"` // of the lease
	Boot     uint64        `json:"boot"`  // changes when the worker restarts
}

// Pool accounts for the resources of all held workers. It is not safe for
// concurrent use.
type Pool struct {
	rng      *rand.Rand
	now      time.Time // latest time passed in
	sequence uint64

	workers      map[string]*worker
	names        []string // sorted; nil when out of date
	workerShapes []workerShape
	racks        map[rackKey]*rack
	leaving      map[string]bool // may list workers that are not held
	drained      map[string]bool
	preemptible  []*worker              // workers with preemptible tasks, in no order
	pressured    map[string]*worker     // workers whose tasks use more memory than they have
	saved        map[string]savedHealth // by worker name
	probation    int                    // held workers on probation

	tasks            map[api.AttemptID]*task
	expiries         timers[expiry]
	pendingEvictions map[taskKey]time.Time // end of the grace period

	classes   *classTable
	workloads map[workloadKey]*workload

	index         *index
	dirty         []*worker       // workers whose index entry is out of date
	reindexTimes  timers[*worker] // when blocked workers accept new work again
	filters       []filter
	scorer        scorer
	reserver      reserver
	packingWeight float64   // 0 spreads tasks, 1 packs them tightly
	candidates    []*worker // of the current search; the slice is reused
}

// New returns a Pool without workers and without a policy, in which every class may
// take the whole capacity. The same seed and calls give the same results.
func New(seed uint64) *Pool {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := &Pool{
		rng:              rng,
		workers:          make(map[string]*worker),
		racks:            make(map[rackKey]*rack),
		leaving:          make(map[string]bool),
		drained:          make(map[string]bool),
		pressured:        make(map[string]*worker),
		saved:            make(map[string]savedHealth),
		tasks:            make(map[api.AttemptID]*task),
		pendingEvictions: make(map[taskKey]time.Time),
		classes:          newClassTable(),
		workloads:        make(map[workloadKey]*workload),
		index:            &index{rng: rng},
	}
	p.filters = []filter{capacityFilter{}, policyFilter{classes: p.classes}}
	p.reserver = p
	p.setPackingWeight(1)
	return p
}

// SetPolicy applies the classes and fleet settings of a bundle. Running tasks stay,
// even if their class is now above its ceiling.
func (p *Pool) SetPolicy(classes []bundle.Class, fleet bundle.Fleet) {
	if p.classes.setPolicy(classes) {
		p.recountPreemptible()
	}
	p.setPackingWeight(fleet.PackingWeight)
	old := p.drained
	p.drained = make(map[string]bool, len(fleet.Drain))
	for _, name := range fleet.Drain {
		p.drained[name] = true
		p.updateAccepting(name)
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		p.updateAccepting(name)
	}
}

// Add adds a worker after its lease was granted. It replaces a worker of the same
// name together with its attempts; the caller then adopts the tasks that the grant
// lists.
func (p *Pool) Add(now time.Time, info Worker) {
	p.advance(now)
	p.Remove(info.Name)
	p.sequence++
	w := &worker{Worker: info, sequence: p.sequence, accepting: p.accepts(info.Name)}
	p.workers[w.Name] = w
	p.names = nil
	w.rack = p.rackOf(w)
	w.rack.workers++
	w.rack.capacity = w.rack.capacity.Add(w.Capacity)
	p.countWorkerShape(w.Capacity, 1)
	if w.accepting {
		p.classes.capacity = p.classes.capacity.Add(w.Capacity)
	}
	p.restoreProbation(w)
	p.markDirty(w)
}

// Remove removes a worker whose lease was lost or released, and returns the attempts
// on it, which are removed too. It takes time proportional to their number.
func (p *Pool) Remove(name string) []api.AttemptID {
	w, ok := p.workers[name]
	if !ok {
		return nil
	}
	attempts := make([]api.AttemptID, 0, len(w.tasks))
	for len(w.tasks) > 0 {
		t := w.tasks[len(w.tasks)-1]
		attempts = append(attempts, t.spec.Attempt)
		p.removeTask(t)
	}
	if w.accepting {
		p.classes.capacity = p.classes.capacity.Sub(w.Capacity)
	}
	p.saveProbation(w)
	p.countWorkerShape(w.Capacity, -1)
	p.removeFromRack(w)
	if w.node.indexed {
		p.index.remove(w)
	}
	w.removed = true
	delete(p.pressured, name)
	delete(p.workers, name)
	p.names = nil
	return attempts
}

// Worker returns the held worker of the given name, and whether there is one.
func (p *Pool) Worker(name string) (Worker, bool) {
	w, ok := p.workers[name]
	if !ok {
		return Worker{}, false
	}
	return w.Worker, true
}

// Workers returns the names of the held workers, sorted. The caller must not
// change the slice.
func (p *Pool) Workers() []string {
	if p.names == nil {
		p.names = make([]string, 0, len(p.workers))
		for name := range p.workers {
			p.names = append(p.names, name)
		}
		slices.Sort(p.names)
	}
	return p.names
}

// SetLeaving sets whether a worker's VM is leaving; a leaving worker accepts no new
// work. The setting also applies to a worker that is added later.
func (p *Pool) SetLeaving(name string, leaving bool) {
	if leaving {
		p.leaving[name] = true
	} else {
		delete(p.leaving, name)
	}
	p.updateAccepting(name)
}

// HasReservations reports whether the worker has reservations that are neither
// started, released nor expired.
func (p *Pool) HasReservations(worker string) bool {
	w, ok := p.workers[worker]
	return ok && w.reservations > 0
}

// Capacity returns the total capacity of the held workers that accept new work.
func (p *Pool) Capacity() api.Resources { return p.classes.capacity }

func (p *Pool) accepts(name string) bool { return !p.leaving[name] && !p.drained[name] }

// updateAccepting adds a worker and its tasks to the sums to which floors and
// ceilings refer, or subtracts them, if the worker's state has changed.
func (p *Pool) updateAccepting(name string) {
	w, ok := p.workers[name]
	if !ok || w.accepting == p.accepts(name) {
		return
	}
	w.accepting = !w.accepting
	sign := int64(-1)
	if w.accepting {
		sign = 1
	}
	p.classes.capacity = p.classes.capacity.Add(w.Capacity.Scale(sign))
	for _, t := range w.tasks {
		p.classes.add(t.class, t.charge.Scale(sign))
	}
	p.markDirty(w)
}

// advance sets the current time, which never moves back.
func (p *Pool) advance(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
}

// markDirty marks the worker's index entry as out of date. The next search updates
// it, so that many releases on one worker cost a single update.
func (p *Pool) markDirty(w *worker) {
	if !w.dirty {
		w.dirty = true
		p.dirty = append(p.dirty, w)
	}
}

// updateIndex brings the index up to date.
func (p *Pool) updateIndex() {
	for due, ok := p.reindexTimes.pop(p.now); ok; due, ok = p.reindexTimes.pop(p.now) {
		p.markDirty(due.value)
	}
	for i, w := range p.dirty {
		p.dirty[i] = nil
		w.dirty = false
		p.reindex(w)
	}
	p.dirty = p.dirty[:0]
}

// reindex removes the worker from the index and inserts it again if it currently
// accepts new work.
func (p *Pool) reindex(w *worker) {
	if w.node.indexed {
		p.index.remove(w)
	}
	if w.removed || !w.accepting {
		return
	}
	if until := w.health.blockedUntil(); until.After(p.now) {
		p.reindexTimes.push(until, w)
		return
	}
	p.index.insert(w)
}

// workerShape counts the held workers of one capacity.
type workerShape struct {
	capacity api.Resources
	workers  int
}

// countWorkerShape changes the number of workers of a shape. The shapes are sorted
// by capacity.
func (p *Pool) countWorkerShape(capacity api.Resources, change int) {
	i, ok := slices.BinarySearchFunc(p.workerShapes, capacity, func(s workerShape, c api.Resources) int {
		a, b := vector(s.capacity), vector(c)
		return slices.CompareFunc(a[:], b[:], cmp.Compare[int64])
	})
	if !ok {
		p.workerShapes = slices.Insert(p.workerShapes, i, workerShape{capacity: capacity})
	}
	p.workerShapes[i].workers += change
	if p.workerShapes[i].workers == 0 {
		p.workerShapes = slices.Delete(p.workerShapes, i, i+1)
	}
}
