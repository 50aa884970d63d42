package placement

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// query is one request for room while it is being decided.
type query struct {
	request Request
	kind    *kind
	class   *classState
	need    api.Resources // charge on the workers looked at
	weights [api.NumDimensions]float64
	expires time.Time
}

// filter tells whether a worker is feasible for a query.
type filter interface {
	feasible(q *query, w *worker) bool
}

// scorer rates a feasible worker from 0 to 1; larger is better.
type scorer interface {
	score(q *query, w *worker) float64
}

// reserver books a reservation on the chosen worker.
type reserver interface {
	reserve(q *query, w *worker) *task
}

// roomFilter passes workers with room for the task's charge on that worker. It
// is exact; the index has only ruled out workers that cannot have the room.
type roomFilter struct{}

func (roomFilter) feasible(q *query, w *worker) bool {
	return q.kind.charge(q.request.Spec.Resources, w.Capacity).Fits(w.free())
}

// policyFilter passes workers on which the task's charge keeps to the class's
// ceiling and the other classes' floors. The query's need has been checked, but
// on a worker of another capacity the charge of a learned size can be larger.
type policyFilter struct{ classes *classTable }

func (f policyFilter) feasible(q *query, w *worker) bool {
	charge := q.kind.charge(q.request.Spec.Resources, w.Capacity)
	return charge == q.need || f.classes.allows(q.class, charge)
}

// imbalanceCost weighs the difference between the most and the least remaining
// share. Room that is left in one scarce dimension without the others is of no
// use to later tasks.
const imbalanceCost = 0.3

// bestFit prefers the worker with the smallest dominant remaining share: the
// share that would stay free in the dimension with the most left. Shares are
// weighed by the scarcity of the dimension, because a dimension of which there
// is plenty everywhere, such as connections, would dominate on every worker.
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
	return 1 - (most+imbalanceCost*(most-least))/(1+imbalanceCost)
}

// scarcity returns the weight of each dimension: the eighth power of its share
// in use relative to the scarcest dimension. In trials with the packing
// benchmark powers from 4 to 16 gave about the same result and 1 a worse one.
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

// spreading prefers the worker and the rack with the smallest share in use, so
// that tasks contend less and the loss of a rack costs fewer of them.
type spreading struct{}

func (spreading) score(q *query, w *worker) float64 {
	worker := w.Capacity.Sub(w.free()).Add(q.need).DominantShare(w.Capacity)
	rack := w.rack.charged.DominantShare(w.rack.capacity)
	return 1 - (worker+rack)/2
}

// mixed weighs two scorers.
type mixed struct {
	first, second scorer
	weight        float64 // of first, 0 to 1
}

func (m mixed) score(q *query, w *worker) float64 {
	return m.weight*m.first.score(q, w) + (1-m.weight)*m.second.score(q, w)
}

// setWeight takes the packing weight, which is limited to 0 to 1.
func (p *Pool) setWeight(weight float64) {
	p.weight = min(max(weight, 0), 1)
	p.scorer = mixed{first: bestFit{}, second: spreading{}, weight: p.weight}
}
