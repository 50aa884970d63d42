package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// candidateLimit is the number of feasible workers that are scored for each search
// order of the index.
const candidateLimit = 16

// noCapacityRetryMS is the suggested retry delay in milliseconds.
const noCapacityRetryMS = 100

// Request is a request to reserve resources for one attempt.
type Request struct {
	Spec api.TaskSpec // with the attempt set; the payload is not used
	Rank int          // of the class; lower is more urgent
}

// Reserve reserves resources for the request on a worker until expires, and returns the
// worker's name. For an attempt that is already placed it returns the worker and
// extends the reservation. The error is a *fault.Error: NeverFits if the task does
// not fit on any held worker even if empty, else NoCapacity.
func (p *Pool) Reserve(now time.Time, r Request, expires time.Time) (worker string, err error) {
	p.advance(now)
	if t, ok := p.tasks[r.Spec.Attempt]; ok {
		p.renew(t, expires)
		return t.worker.Name, nil
	}
	q := p.newQuery(r, expires)
	w := p.find(q)
	if w == nil {
		return "", p.refusal(q)
	}
	p.reserver.reserve(q, w)
	delete(p.pendingEvictions, taskKeyOf(r.Spec.Attempt))
	return w.Name, nil
}

// ReserveAll reserves resources for all requests, for example those of a gang, or for
// none. It returns the workers in the order of the requests, or the error for a
// request that cannot be placed. The largest tasks are placed first, because they fit
// on the fewest workers.
func (p *Pool) ReserveAll(now time.Time, rs []Request, expires time.Time) ([]string, error) {
	p.advance(now)
	sequence := make([]int, len(rs))
	for i := range sequence {
		sequence[i] = i
	}
	slices.SortStableFunc(sequence, func(a, b int) int {
		return cmp.Compare(p.size(rs[b]), p.size(rs[a]))
	})
	if i := p.firstUnplaceable(rs); i >= 0 {
		return nil, p.refusal(p.newQuery(rs[i], expires))
	}
	workers := make([]string, len(rs))
	var newlyReserved []api.AttemptID
	for _, i := range sequence {
		attempt := rs[i].Spec.Attempt
		_, known := p.tasks[attempt]
		name, err := p.Reserve(now, rs[i], expires)
		if err != nil {
			p.releaseAll(newlyReserved)
			return nil, err
		}
		workers[i] = name
		if !known {
			newlyReserved = append(newlyReserved, attempt)
		}
	}
	return workers, nil
}

// firstUnplaceable returns the index of the first request that does not fit on any
// empty worker, or else of the first one at which the sum of the declared sizes
// exceeds the total free amounts, or else -1. Such a gang is refused without trying
// to place its tasks.
func (p *Pool) firstUnplaceable(rs []Request) int {
	p.updateIndex()
	total, over := api.Resources{}, -1
	for i, r := range rs {
		if _, known := p.tasks[r.Spec.Attempt]; known {
			continue
		}
		if !p.fitsEmpty(r.Spec.Resources) {
			return i
		}
		total = total.Add(r.Spec.Resources)
		if over < 0 && !total.Fits(p.index.free) {
			over = i
		}
	}
	return over
}

func (p *Pool) releaseAll(attempts []api.AttemptID) {
	for _, a := range attempts {
		p.Release(a)
	}
}

// size returns the request's dominant share of the pool's capacity.
func (p *Pool) size(r Request) float64 {
	return r.Spec.Resources.DominantShare(p.classes.capacity)
}

func (p *Pool) newQuery(r Request, expires time.Time) *query {
	return &query{
		request:  r,
		workload: p.workloadOf(r.Spec.Workspace, r.Spec.Class),
		class:    p.classes.get(r.Spec.Class),
		expires:  expires,
	}
}

// find returns the best worker for the query, or nil. It sets q.need to the charge
// used in the search.
func (p *Pool) find(q *query) *worker {
	p.updateIndex()
	q.weights = p.classes.scarcity()
	for _, need := range p.needs(q) {
		if !p.classes.allows(q.class, need) {
			continue
		}
		q.need = need
		if w := p.best(q); w != nil {
			return w
		}
	}
	return nil
}

// needs returns the distinct charges of the task on the held workers, largest first.
// There is more than one only if the whole capacity of some worker is less than the
// learned size, because the charge is limited to the capacity.
func (p *Pool) needs(q *query) []api.Resources {
	declared := q.request.Spec.Resources
	var needs []api.Resources
	for i := len(p.workerShapes) - 1; i >= 0; i-- {
		need := q.workload.charge(declared, p.workerShapes[i].capacity)
		if need.Fits(p.workerShapes[i].capacity) && !slices.Contains(needs, need) {
			needs = append(needs, need)
		}
	}
	return needs
}

// best collects feasible candidates from the index and returns the one with the
// highest score, or nil.
func (p *Pool) best(q *query) *worker {
	p.candidates = p.candidates[:0]
	if p.packingWeight > 0 {
		p.collect(q, leastFreeFirst)
	}
	if p.packingWeight < 1 {
		p.collect(q, mostFreeFirst)
	}
	var chosen *worker
	highest := math.Inf(-1)
	for _, w := range p.candidates {
		if s := p.scorer.score(q, w); s > highest {
			chosen, highest = w, s
		}
	}
	return chosen
}

// collect adds up to candidateLimit feasible workers to the candidates, in the given
// search order.
func (p *Pool) collect(q *query, o order) {
	found := 0
	p.index.search(q.need, o, func(w *worker) bool {
		if p.feasible(q, w) {
			p.candidates = append(p.candidates, w)
			found++
		}
		return found < candidateLimit
	})
}

func (p *Pool) feasible(q *query, w *worker) bool {
	for _, f := range p.filters {
		if !f.feasible(q, w) {
			return false
		}
	}
	return true
}

// refusal returns the error for a query that cannot be placed.
func (p *Pool) refusal(q *query) *fault.Error {
	asked := q.request.Spec.Resources
	if len(p.workerShapes) > 0 && !p.fitsEmpty(asked) {
		return p.neverFits(asked)
	}
	err := fault.New(fault.NoCapacity,
		fmt.Sprintf("no worker has room for %s in class %q", asked, q.request.Spec.Class),
		"try again later or at another entry process")
	err.RetryAfterMS = noCapacityRetryMS
	return err
}

// fitsEmpty reports whether some held worker could hold the amounts if it were empty.
func (p *Pool) fitsEmpty(asked api.Resources) bool {
	return slices.ContainsFunc(p.workerShapes, func(s workerShape) bool { return asked.Fits(s.capacity) })
}

// neverFits returns an error with the dimension that exceeds the capacity by the
// largest factor, on the worker shape where that factor is smallest.
func (p *Pool) neverFits(asked api.Resources) *fault.Error {
	least := math.Inf(1)
	var dimension api.Dimension
	var limit int64
	for i, s := range p.workerShapes {
		d, factor := worstExcess(asked, s.capacity)
		if i == 0 || factor < least {
			dimension, limit, least = d, s.capacity.Get(d), factor
		}
	}
	return fault.New(fault.NeverFits,
		fmt.Sprintf("the task asks for %s=%d, the nearest worker has %d in total", dimension, asked.Get(dimension), limit),
		fmt.Sprintf("ask for at most %s=%d or split the task", dimension, limit))
}

// worstExcess returns the dimension with the largest ratio of asked to capacity, and
// the ratio.
func worstExcess(asked, capacity api.Resources) (api.Dimension, float64) {
	worst, highest := api.CPU, 0.0
	for d := api.CPU; d < api.NumDimensions; d++ {
		if asked.Get(d) <= 0 {
			continue
		}
		if factor := float64(asked.Get(d)) / float64(max(capacity.Get(d), 0)); factor > highest {
			worst, highest = d, factor
		}
	}
	return worst, highest
}
