package placement

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// Rates at which the learned ratio moves towards the peak of a task. The fast
// rise and slow fall make it settle near the upper end of the observed ratios:
// charging too little harms a worker's other tasks, charging too much only
// costs room.
const (
	learnUp   = 0.25
	learnDown = 0.05
	// maxRatio bounds one observation; declared sizes are off by up to 3 times,
	// and a larger ratio is likelier a fault of the measurement.
	maxRatio = 8
	// relearnGrowth is the growth of a running task's peak that is worth
	// another observation before the task ends.
	relearnGrowth = 1.1
)

// learnedDimensions are those in which a task can use more than it declared.
// Slots and accelerators are handed out whole.
var learnedDimensions = [...]api.Dimension{api.CPU, api.Memory, api.Connection}

// ratios are used/declared amounts by dimension.
type ratios [api.NumDimensions]float64

// kindKey names a kind of work.
type kindKey struct{ workspace, class string }

// kind is what is known about the work of a workspace in a class. The number of
// kinds is bounded by the workspaces and classes of the bundles seen so far.
type kind struct {
	learned   ratios
	outcomes  []outcome // recent, of workers that are not on probation
	oldest    int       // in outcomes, once it is full
	condemned map[*worker]struct{}
}

func (p *Pool) kindOf(workspace, class string) *kind {
	key := kindKey{workspace: workspace, class: class}
	k, ok := p.kinds[key]
	if !ok {
		k = &kind{condemned: make(map[*worker]struct{})}
		for d := range k.learned {
			k.learned[d] = 1 // the declared size is the first estimate
		}
		p.kinds[key] = k
	}
	return k
}

// estimate is the expected use: the declared amounts times the learned ratio
// where that is above 1, and at least one slot.
func (k *kind) estimate(declared api.Resources) api.Resources {
	v := vector(declared)
	for _, d := range learnedDimensions {
		if k.learned[d] > 1 {
			v[d] = int64(float64(v[d]) * k.learned[d])
		}
	}
	v[api.Slot] = max(v[api.Slot], 1)
	return resources(v)
}

// charge is what a task is accounted with on a worker of the given capacity:
// never less than declared, and the estimate as far as the worker can hold it.
func (k *kind) charge(declared, capacity api.Resources) api.Resources {
	return declared.Max(smaller(k.estimate(declared), capacity))
}

// RecordUse notes the measured use of a running task. Use above the charge is
// kept free of new tasks until the task ends or shrinks. Reports for attempts
// that do not run on the worker have no effect.
func (p *Pool) RecordUse(now time.Time, worker string, a api.AttemptID, used api.Resources) {
	p.advance(now)
	t, ok := p.tasks[a]
	if !ok || t.worker.Name != worker {
		return
	}
	t.reportedAt = now
	p.measure(t, used)
	t.observe(used)
}

// measure replaces the task's last measurement in the sums of its worker.
func (p *Pool) measure(t *task, used api.Resources) {
	w := t.worker
	w.usedMemory += used.MemoryMB - t.usedMemory
	t.usedMemory = used.MemoryMB
	if excess := positive(used.Sub(t.charge)); excess != t.excess {
		w.excess = w.excess.Add(excess).Sub(t.excess)
		t.excess = excess
		p.touch(w)
	}
	if w.usedMemory > w.Capacity.MemoryMB {
		p.pressured[w.Name] = w
	} else {
		delete(p.pressured, w.Name)
	}
}

// observe notes the task's peak use and learns from growth at once, because
// tasks of the same kind are being placed meanwhile.
func (t *task) observe(used api.Resources) {
	for _, d := range learnedDimensions {
		declared := t.spec.Resources.Get(d)
		if declared <= 0 {
			continue
		}
		ratio := min(float64(used.Get(d))/float64(declared), maxRatio)
		if ratio > t.peak[d]*relearnGrowth && ratio > t.kind.learned[d] {
			t.kind.learn(d, ratio)
		}
		t.peak[d] = max(t.peak[d], ratio)
	}
}

// learnEnd learns from the final peak of a task.
func (k *kind) learnEnd(peak ratios) {
	for _, d := range learnedDimensions {
		if peak[d] > 0 {
			k.learn(d, peak[d])
		}
	}
}

func (k *kind) learn(d api.Dimension, ratio float64) {
	rate := learnDown
	if ratio > k.learned[d] {
		rate = learnUp
	}
	k.learned[d] += rate * (ratio - k.learned[d])
}
