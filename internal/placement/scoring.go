package placement

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// query is the state of the search for a worker for one request.
type query struct {
	request  Request
	workload *workload
	class    *classState
	need     api.Resources              // charge used in the current search
	weights  [api.NumDimensions]float64 // scarcity of the dimensions
	expires  time.Time
}

// filter checks whether a worker is feasible for a query.
type filter interface {
	feasible(q *query, w *worker) bool
}

// scorer rates a feasible worker from 0 to 1; larger is better.
type scorer interface {
	score(q *query, w *worker) float64
}

// reserver adds a reservation on the chosen worker.
type reserver interface {
	reserve(q *query, w *worker) *task
}

// capacityFilter accepts workers on which the task's charge on that worker fits. The
// index only excludes workers on which query.need does not fit.
type capacityFilter struct{}

func (capacityFilter) feasible(q *query, w *worker) bool {
	return q.workload.charge(q.request.Spec.Resources, w.Capacity).Fits(w.free())
}

// policyFilter accepts workers on which the task's charge respects the ceiling of its
// class and the floors of other classes. query.need has already been checked, but on
// a worker of another capacity the charge of a learned size may be larger.
type policyFilter struct{ classes *classTable }

func (f policyFilter) feasible(q *query, w *worker) bool {
	charge := q.workload.charge(q.request.Spec.Resources, w.Capacity)
	return charge == q.need || f.classes.allows(q.class, charge)
}

// imbalanceWeight is the weight of the difference between the largest and the
// smallest remaining share. Free capacity in one scarce dimension without any in the
// others is of no use to later tasks.
const imbalanceWeight = 0.3

// bestFit prefers the worker on which the largest share that remains free in any
// dimension is smallest. Shares are weighted by the scarcity of the dimension, because
// an abundant dimension, such as connections, would otherwise dominate on every worker.
type bestFit struct{}

func (bestFit) score(q *query, w *worker) float64 {
	left, capacity := vector(w.free().Sub(q.need)), vector(w.Capacity)
	most, least := 0.0, 1.0
	for d, weight := range q.weights {
		if capacity[d] <= 0 {
			continue
		}
		part := float64(left[d]) / float64(capacity[d])
		most = max(most, part*weight)
		least = min(least, part*weight+1-weight)
	}
	return 1 - (most+imbalanceWeight*(most-least))/(1+imbalanceWeight)
}

// scarcity returns the weight of each dimension: the eighth power of its used share
// relative to that of the scarcest dimension. In the packing benchmark, powers from 4
// to 16 give about the same result and 1 gives a worse one.
func (c *classTable) scarcity() (weights [api.NumDimensions]float64) {
	use, capacity := vector(c.use), vector(c.capacity)
	highest := 0.0
	for d := range weights {
		if capacity[d] > 0 {
			weights[d] = float64(use[d]) / float64(capacity[d])
		}
		highest = max(highest, weights[d])
	}
	for d := range weights {
		if highest <= 0 {
			weights[d] = 1
			continue
		}
		relative := weights[d] / highest
		relative *= relative
		relative *= relative
		weights[d] = relative * relative
	}
	return weights
}

// spreading prefers the worker and the rack with the smallest share in use, so that
// tasks compete less for resources and fewer are lost with a rack.
type spreading struct{}

func (spreading) score(q *query, w *worker) float64 {
	worker := w.Capacity.Sub(w.free()).Add(q.need).DominantShare(w.Capacity)
	rack := w.rack.charged.DominantShare(w.rack.capacity)
	return 1 - (worker+rack)/2
}

// weightedScorer is the weighted mean of two scorers.
type weightedScorer struct {
	first, second scorer
	weight        float64 // of first, 0 to 1
}

func (m weightedScorer) score(q *query, w *worker) float64 {
	return m.weight*m.first.score(q, w) + (1-m.weight)*m.second.score(q, w)
}

// setPackingWeight sets the weight of bestFit against spreading, limited to 0 to 1.
func (p *Pool) setPackingWeight(weight float64) {
	p.packingWeight = min(max(weight, 0), 1)
	p.scorer = weightedScorer{first: bestFit{}, second: spreading{}, weight: p.packingWeight}
}
