package placement

import "github.com/fulmarlatch/fulmarlatch/internal/api"

// worker is a held worker with its tasks. The sum of the charges of its tasks
// is at most its capacity, unless adopted tasks exceed it.
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
	dirty        bool
	health       health
	node         node

	// preemptible is the sum over tasks of preemptible classes.
	preemptible      api.Resources
	preemptibleTasks int
	preemptibleIndex int // in Pool.preemptible
}

// free is the room for new tasks; amounts are negative where adopted or grown
// tasks take more than the worker has.
func (w *worker) free() api.Resources {
	return w.Capacity.Sub(w.charged).Sub(w.excess)
}

// rackKey names a rack; the names of racks are unique in a failure domain only.
type rackKey struct{ domain, rack string }

// rack sums over the held workers of a rack.
type rack struct {
	workers  int
	capacity api.Resources
	charged  api.Resources
}

func (p *Pool) rackOf(w *worker) *rack {
	key := rackKey{domain: w.Domain, rack: w.Rack}
	r, ok := p.racks[key]
	if !ok {
		r = &rack{}
		p.racks[key] = r
	}
	return r
}

func (p *Pool) leaveRack(w *worker) {
	w.rack.workers--
	w.rack.capacity = w.rack.capacity.Sub(w.Capacity)
	if w.rack.workers == 0 {
		delete(p.racks, rackKey{domain: w.Domain, rack: w.Rack})
	}
}

// countPreemptible adds a task's charge to the worker's preemptible sum, or
// takes it out with sign -1.
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

// recountPreemptible follows a change of the classes' preemptible flags.
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
