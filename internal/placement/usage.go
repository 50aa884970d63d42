package placement

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// Rates at which the learned ratio moves towards the peak ratio of a task. It rises
// fast and falls slowly, so that it settles near the upper end of the observed ratios:
// charging too little harms the other tasks on a worker, charging too much only wastes
// capacity.
const (
	learnRateUp   = 0.25
	learnRateDown = 0.05
	// maxRatio limits one observation. Declared sizes are off by a factor of up to 3;
	// a much larger ratio is more likely a measurement error.
	maxRatio = 8
	// relearnGrowth is the factor of growth in a running task's peak above which the
	// ratio is updated before the task ends.
	relearnGrowth = 1.1
)

// learnedDimensions are the dimensions in which a task can use more than it declared.
// Slots and accelerators are assigned as whole units.
var learnedDimensions = [...]api.Dimension{api.CPU, api.Memory, api.Connection}

// ratios are the ratios of used to declared amounts by dimension.
type ratios [api.NumDimensions]float64

// workloadKey identifies a workload.
type workloadKey struct{ workspace, class string }

// workload holds what has been learned about the tasks of a workspace in a class. The
// number of workloads is bounded by the workspaces and classes of all bundles so far.
type workload struct {
	learned    ratios
	outcomes   []outcome            // recent, on workers that were not on probation
	oldest     int                  // index in outcomes, once that is full
	probations map[*worker]struct{} // held workers whose probation this workload caused
}

// workloadOf returns the workload of a workspace in a class, and creates it if needed.
func (p *Pool) workloadOf(workspace, class string) *workload {
	key := workloadKey{workspace: workspace, class: class}
	wl, ok := p.workloads[key]
	if !ok {
		wl = &workload{probations: make(map[*worker]struct{})}
		for d := range wl.learned {
			wl.learned[d] = 1 // the declared size is the first estimate
		}
		p.workloads[key] = wl
	}
	return wl
}

// estimate returns the expected use: the declared amounts times the learned ratio
// where that is above 1, and at least one slot.
func (wl *workload) estimate(declared api.Resources) api.Resources {
	v := vector(declared)
	for _, d := range learnedDimensions {
		if wl.learned[d] > 1 {
			v[d] = int64(float64(v[d]) * wl.learned[d])
		}
	}
	v[api.Slot] = max(v[api.Slot], 1)
	return resources(v)
}

// charge returns the amounts accounted for a task on a worker of the given capacity:
// the estimate, limited to the capacity, but never less than declared.
func (wl *workload) charge(declared, capacity api.Resources) api.Resources {
	return declared.Max(smaller(wl.estimate(declared), capacity))
}

// RecordUse records the measured use of a running task. Use above the charge reduces
// the worker's free capacity until the task ends or uses less. Reports for attempts
// that are not on the worker have no effect.
func (p *Pool) RecordUse(now time.Time, worker string, a api.AttemptID, used api.Resources) {
	p.advance(now)
	t, ok := p.tasks[a]
	if !ok || t.worker.Name != worker {
		return
	}
	t.reportedAt = now
	p.setMeasured(t, used)
	t.updatePeak(used)
}

// setMeasured replaces the task's last measurement in the sums of its worker.
func (p *Pool) setMeasured(t *task, used api.Resources) {
	w := t.worker
	w.usedMemory += used.MemoryMB - t.usedMemory
	t.usedMemory = used.MemoryMB
	if excess := positive(used.Sub(t.charge)); excess != t.excess {
		w.excess = w.excess.Add(excess).Sub(t.excess)
		t.excess = excess
		p.markDirty(w)
	}
	if w.usedMemory > w.Capacity.MemoryMB {
		p.pressured[w.Name] = w
	} else {
		delete(p.pressured, w.Name)
	}
}

// updatePeak updates the task's peak use. It learns from growth at once, because
// further tasks of the workload are placed before this one ends.
func (t *task) updatePeak(used api.Resources) {
	for _, d := range learnedDimensions {
		declared := t.spec.Resources.Get(d)
		if declared <= 0 {
			continue
		}
		ratio := min(float64(used.Get(d))/float64(declared), maxRatio)
		if ratio > t.peak[d]*relearnGrowth && ratio > t.workload.learned[d] {
			t.workload.learn(d, ratio)
		}
		t.peak[d] = max(t.peak[d], ratio)
	}
}

// learnPeak updates the learned ratios by the final peak of a task.
func (wl *workload) learnPeak(peak ratios) {
	for _, d := range learnedDimensions {
		if peak[d] > 0 {
			wl.learn(d, peak[d])
		}
	}
}

// learn moves the learned ratio of a dimension towards ratio.
func (wl *workload) learn(d api.Dimension, ratio float64) {
	rate := learnRateDown
	if ratio > wl.learned[d] {
		rate = learnRateUp
	}
	wl.learned[d] += rate * (ratio - wl.learned[d])
}
