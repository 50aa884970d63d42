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

// candidateLimit is the number of feasible workers that are scored from each
// end of the index.
const candidateLimit = 16

// noCapacityRetryMS is the advised pause in milliseconds before another try.
const noCapacityRetryMS = 100

// Request asks for room for one attempt.
type Request struct {
	Spec api.TaskSpec // the attempt is set, the payload is not needed
	Rank int          // of the class; lower is more urgent
}

// Reserve finds a worker for the request and keeps the room until expires. A
// repeated request for a known attempt returns its worker and extends the
// reservation. The error is a *fault.Error: NeverFits if no held worker could
// hold the task even when empty, else NoCapacity.
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
	delete(p.claims, claimOf(r.Spec.Attempt))
	return w.Name, nil
}

// ReserveAll reserves all requests, as for a gang, or none. It returns the
// workers in the order of the requests, or the error of the first request that
// has no room. The largest tasks are placed first, because they have the
// fewest workers to go to.
func (p *Pool) ReserveAll(now time.Time, rs []Request, expires time.Time) ([]string, error) {
	p.advance(now)
	sequence := make([]int, len(rs))
	for i := range sequence {
		sequence[i] = i
	}
	slices.SortStableFunc(sequence, func(a, b int) int {
		return cmp.Compare(p.size(rs[b]), p.size(rs[a]))
	})
	if i := p.hopeless(rs); i >= 0 {
		return nil, p.refusal(p.newQuery(rs[i], expires))
	}
	workers := make([]string, len(rs))
	var booked []api.AttemptID
	for _, i := range sequence {
		attempt := rs[i].Spec.Attempt
		_, known := p.tasks[attempt]
		name, err := p.Reserve(now, rs[i], expires)
		if err != nil {
			p.releaseAll(booked)
			return nil, err
		}
		workers[i] = name
		if !known {
			booked = append(booked, attempt)
		}
	}
	return workers, nil
}

// hopeless returns the first request that no worker could hold, or at which the
// sum of the declared sizes is more than all free room, so that such a gang is
// refused without trying its tasks. It returns -1 if there is none.
func (p *Pool) hopeless(rs []Request) int {
	p.flush()
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

// size is the request's dominant share of the pool.
func (p *Pool) size(r Request) float64 {
	return r.Spec.Resources.DominantShare(p.classes.capacity)
}

func (p *Pool) newQuery(r Request, expires time.Time) *query {
	return &query{
		request: r,
		kind:    p.kindOf(r.Spec.Workspace, r.Spec.Class),
		class:   p.classes.get(r.Spec.Class),
		expires: expires,
	}
}

// find returns the best worker for the query, or nil. It sets q.need to the
// charge that it searched with.
func (p *Pool) find(q *query) *worker {
	p.flush()
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

// needs returns the distinct charges of the task on the held workers, largest
// first. There is more than one only if some worker's whole capacity is less
// than the learned size, so that the charge is limited there.
func (p *Pool) needs(q *query) []api.Resources {
	declared := q.request.Spec.Resources
	var needs []api.Resources
	for i := len(p.shapes) - 1; i >= 0; i-- {
		need := q.kind.charge(declared, p.shapes[i].capacity)
		if need.Fits(p.shapes[i].capacity) && !slices.Contains(needs, need) {
			needs = append(needs, need)
		}
	}
	return needs
}

// best collects candidates from the index, filters and scores them.
func (p *Pool) best(q *query) *worker {
	p.candidates = p.candidates[:0]
	if p.weight > 0 {
		p.collect(q, tightestFirst)
	}
	if p.weight < 1 {
		p.collect(q, roomiestFirst)
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

// collect adds feasible workers from one end of the index to the candidates.
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

// refusal explains why the query has no worker.
func (p *Pool) refusal(q *query) *fault.Error {
	asked := q.request.Spec.Resources
	if len(p.shapes) > 0 && !p.fitsEmpty(asked) {
		return p.neverFits(asked)
	}
	err := fault.New(fault.NoCapacity,
		fmt.Sprintf("no worker has room for %s in class %q", asked, q.request.Spec.Class),
		"try again later or at another entry process")
	err.RetryAfterMS = noCapacityRetryMS
	return err
}

func (p *Pool) fitsEmpty(asked api.Resources) bool {
	return slices.ContainsFunc(p.shapes, func(s shape) bool { return asked.Fits(s.capacity) })
}

// neverFits names the limit on the worker that comes nearest to holding the
// task: the dimension that is exceeded by the largest factor there.
func (p *Pool) neverFits(asked api.Resources) *fault.Error {
	least := math.Inf(1)
	var dimension api.Dimension
	var limit int64
	for i, s := range p.shapes {
		d, factor := worstExcess(asked, s.capacity)
		if i == 0 || factor < least {
			dimension, limit, least = d, s.capacity.Get(d), factor
		}
	}
	return fault.New(fault.NeverFits,
		fmt.Sprintf("the task asks for %s=%d, the nearest worker has %d in all", dimension, asked.Get(dimension), limit),
		fmt.Sprintf("ask for at most %s=%d or split the task", dimension, limit))
}

// worstExcess returns the dimension with the largest asked/capacity factor.
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
