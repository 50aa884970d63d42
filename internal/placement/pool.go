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
	Epoch    uint64        `json:"epoch"`
	Boot     uint64        `json:"boot"`
}

// Pool is the accounting of all held workers. It has a single owner and is not
// safe for concurrent use.
type Pool struct {
	rng      *rand.Rand
	now      time.Time // the latest time that the owner has passed in
	sequence uint64

	workers     map[string]*worker
	names       []string // sorted; nil when out of date
	shapes      []shape
	racks       map[rackKey]*rack
	leaving     map[string]bool // also of workers that are not held
	drained     map[string]bool
	preemptible []*worker // workers with preemptible tasks, in no order
	pressured   map[string]*worker
	condemned   map[string]remembered
	probation   int // held workers on probation

	tasks    map[api.AttemptID]*task
	expiries timers[expiry]
	claims   map[claimKey]time.Time

	classes *classTable
	kinds   map[kindKey]*kind

	index      *index
	dirty      []*worker // their place in the index is out of date
	wakes      timers[*worker]
	filters    []filter
	scorer     scorer
	reserver   reserver
	weight     float64 // packing weight
	candidates []*worker
}

// New returns a Pool without workers and without policy: every class may take
// the whole capacity. Equal seeds and calls give equal results.
func New(seed uint64) *Pool {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := &Pool{
		rng:       rng,
		workers:   make(map[string]*worker),
		racks:     make(map[rackKey]*rack),
		leaving:   make(map[string]bool),
		drained:   make(map[string]bool),
		pressured: make(map[string]*worker),
		condemned: make(map[string]remembered),
		tasks:     make(map[api.AttemptID]*task),
		claims:    make(map[claimKey]time.Time),
		classes:   newClassTable(),
		kinds:     make(map[kindKey]*kind),
		index:     &index{rng: rng},
	}
	p.filters = []filter{roomFilter{}, policyFilter{classes: p.classes}}
	p.reserver = p
	p.setWeight(1)
	return p
}

// SetPolicy puts the classes and fleet rules of a bundle in force. Running
// tasks stay, even where a class is now over its ceiling.
func (p *Pool) SetPolicy(classes []bundle.Class, fleet bundle.Fleet) {
	if p.classes.setPolicy(classes) {
		p.recountPreemptible()
	}
	p.setWeight(fleet.PackingWeight)
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

// Add takes a worker into the pool after a lease grant. A worker of the same
// name is replaced and its attempts are forgotten; the owner adopts the tasks
// that the grant lists.
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
	p.countShape(w.Capacity, 1)
	if w.accepting {
		p.classes.capacity = p.classes.capacity.Add(w.Capacity)
	}
	p.recallProbation(w)
	p.touch(w)
}

// Remove forgets a worker whose lease is lost or released, with its attempts,
// which it returns. The time is proportional to the number of attempts.
func (p *Pool) Remove(name string) []api.AttemptID {
	w, ok := p.workers[name]
	if !ok {
		return nil
	}
	attempts := make([]api.AttemptID, 0, len(w.tasks))
	for len(w.tasks) > 0 {
		t := w.tasks[len(w.tasks)-1]
		attempts = append(attempts, t.spec.Attempt)
		p.drop(t)
	}
	if w.accepting {
		p.classes.capacity = p.classes.capacity.Sub(w.Capacity)
	}
	p.rememberProbation(w)
	p.countShape(w.Capacity, -1)
	p.leaveRack(w)
	if w.node.indexed {
		p.index.remove(w)
	}
	w.removed = true
	delete(p.pressured, name)
	delete(p.workers, name)
	p.names = nil
	return attempts
}

// Worker returns the held worker of that name.
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

// SetLeaving tells whether a worker's VM is leaving; a leaving worker takes no
// new work. The word counts for workers that are added later, too.
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

// Capacity returns the sum over the held workers that take new work.
func (p *Pool) Capacity() api.Resources { return p.classes.capacity }

func (p *Pool) accepts(name string) bool { return !p.leaving[name] && !p.drained[name] }

// updateAccepting moves a worker and its tasks into or out of the sums that
// floors and ceilings refer to.
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
	p.touch(w)
}

// advance notes the time of the owner's clock.
func (p *Pool) advance(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
}

// touch marks the worker's place in the index as out of date. The next search
// repairs it, so a wave of releases on a worker costs one update.
func (p *Pool) touch(w *worker) {
	if !w.dirty {
		w.dirty = true
		p.dirty = append(p.dirty, w)
	}
}

// flush brings the index up to date.
func (p *Pool) flush() {
	for wake, ok := p.wakes.pop(p.now); ok; wake, ok = p.wakes.pop(p.now) {
		p.touch(wake.value)
	}
	for i, w := range p.dirty {
		p.dirty[i] = nil
		w.dirty = false
		p.place(w)
	}
	p.dirty = p.dirty[:0]
}

// place takes the worker out of the index and puts it back where it belongs, if
// it takes new work now.
func (p *Pool) place(w *worker) {
	if w.node.indexed {
		p.index.remove(w)
	}
	if w.removed || !w.accepting {
		return
	}
	if until := w.health.blockedUntil(); until.After(p.now) {
		p.wakes.push(until, w)
		return
	}
	p.index.insert(w)
}

// shape is a distinct capacity among the held workers.
type shape struct {
	capacity api.Resources
	workers  int
}

func (p *Pool) countShape(capacity api.Resources, change int) {
	i, ok := slices.BinarySearchFunc(p.shapes, capacity, func(s shape, c api.Resources) int {
		a, b := vector(s.capacity), vector(c)
		return slices.CompareFunc(a[:], b[:], cmp.Compare[int64])
	})
	if !ok {
		p.shapes = slices.Insert(p.shapes, i, shape{capacity: capacity})
	}
	p.shapes[i].workers += change
	if p.shapes[i].workers == 0 {
		p.shapes = slices.Delete(p.shapes, i, i+1)
	}
}
