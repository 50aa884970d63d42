package placement

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// worker is a held worker with its tasks. The sum of their charges is at most its
// capacity, unless adopted tasks exceed it.
type worker struct {
	Worker
	sequence     uint64 // order of addition
	rack         *rack
	tasks        []*task
	reservations int
	charged      api.Resources // sum over tasks
	excess       api.Resources // measured use above the charge, sum over tasks
	usedMemory   int64         // measured, in mebibytes
	accepting    bool          // neither leaving nor drained
	removed      bool
	dirty        bool // listed in Pool.dirty
	health       health
	node         node

	// preemptible is the sum of the charges of tasks of preemptible classes.
	preemptible      api.Resources
	preemptibleTasks int
	preemptibleIndex int // in Pool.preemptible
}

// free returns the free capacity. Amounts are negative where adopted tasks, or tasks
// that use more than they are charged, exceed the capacity.
func (w *worker) free() api.Resources {
	return w.Capacity.Sub(w.charged).Sub(w.excess)
}

// rackKey identifies a rack; rack names are only unique within a failure domain.
type rackKey struct{ domain, rack string }

// rack holds sums over the held workers of a rack.
type rack struct {
	workers  int
	capacity api.Resources
	charged  api.Resources
}

// rackOf returns the rack of a worker, and creates it if needed.
func (p *Pool) rackOf(w *worker) *rack {
	key := rackKey{domain: w.Domain, rack: w.Rack}
	r, ok := p.racks[key]
	if !ok {
		r = &rack{}
		p.racks[key] = r
	}
	return r
}

// removeFromRack subtracts a worker from the sums of its rack.
func (p *Pool) removeFromRack(w *worker) {
	w.rack.workers--
	w.rack.capacity = w.rack.capacity.Sub(w.Capacity)
	if w.rack.workers == 0 {
		delete(p.racks, rackKey{domain: w.Domain, rack: w.Rack})
	}
}

// countPreemptible adds a task's charge to the preemptible sum of its worker with
// sign 1, or subtracts it with sign -1, and updates Pool.preemptible.
func (p *Pool) countPreemptible(t *task, sign int) {
	w := t.worker
	w.preemptible = w.preemptible.Add(t.charge.Scale(int64(sign)))
	had := w.preemptibleTasks > 0
	w.preemptibleTasks += sign
	switch has := w.preemptibleTasks > 0; {
	case has && !had:
		w.preemptibleIndex = len(p.preemptible)
		p.preemptible = append(p.preemptible, w)
	case had && !has:
		last := p.preemptible[len(p.preemptible)-1]
		p.preemptible[w.preemptibleIndex] = last
		last.preemptibleIndex = w.preemptibleIndex
		p.preemptible[len(p.preemptible)-1] = nil
		p.preemptible = p.preemptible[:len(p.preemptible)-1]
	}
}

// recountPreemptible updates the preemptible sums after the preemptible flag of a class
// has changed.
func (p *Pool) recountPreemptible() {
	for _, name := range p.Workers() {
		for _, t := range p.workers[name].tasks {
			if t.preemptible != t.class.policy.Preemptible {
				t.preemptible = t.class.policy.Preemptible
				sign := -1
				if t.preemptible {
					sign = 1
				}
				p.countPreemptible(t, sign)
			}
		}
	}
}
