package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// mix is a distribution of task sizes.
type mix struct {
	name   string
	memory float64 // factor applied to the memory of each task
}

// In the first mix CPU is the bottleneck. In the second one CPU and memory are equally
// scarce, so one of them is often left free without the other and 100% cannot be
// reached.
var mixes = []mix{{"cpubound", 0.75}, {"balanced", 1}}

// packingRun repeatedly fills workers from a backlog of mixed sizes and then ends a
// fifth of the tasks. The declared sizes of each workspace are off by a factor between
// 0.3 and 3.
type packingRun struct {
	pool    *Pool
	rng     *rand.Rand
	choose  chooser
	shape   api.Resources
	mix     mix
	factors []float64 // used/declared by workspace
	next    int
}

const (
	packingWorkers    = 50
	packingWorkspaces = 12
	packingBacklog    = 1000 // tasks offered in a round, several times the free capacity
	packingRounds     = 20
	packingWarmUp     = 5 // unmeasured rounds at the start, in which sizes are learned
)

func newPackingRun(shape api.Resources, m mix, choose chooser, seed uint64) *packingRun {
	r := &packingRun{pool: newPool(packingWorkers, shape), rng: rand.New(rand.NewPCG(seed, 1)), choose: choose, shape: shape, mix: m}
	for range packingWorkspaces {
		r.factors = append(r.factors, 0.3*math.Exp(r.rng.Float64()*math.Log(10)))
	}
	return r
}

// offer tries to place and start the next task of the backlog and reports its use.
func (r *packingRun) offer() {
	workspace := r.rng.IntN(packingWorkspaces)
	used := mixedSize(r.rng, r.shape)
	used.MemoryMB = int64(float64(used.MemoryMB) * r.mix.memory)
	declared := smaller(share(used, 1/r.factors[workspace]), r.shape)
	declared.Slots = 1
	request := request(r.next, "c", declared)
	request.Spec.Workspace = fmt.Sprint(workspace)
	r.next++
	q := r.pool.newQuery(request, start.Add(1))
	if w := r.choose(r.pool, q); w != nil {
		r.pool.reserve(q, w)
		r.pool.Start(start, request.Spec.Attempt)
		r.pool.RecordUse(start, w.Name, request.Spec.Attempt, used)
	}
}

// endSome ends a fifth of the running tasks.
func (r *packingRun) endSome() {
	for _, name := range r.pool.Workers() {
		for _, t := range append([]*task(nil), r.pool.workers[name].tasks...) {
			if r.rng.IntN(5) == 0 {
				r.pool.Release(t.spec.Attempt)
			}
		}
	}
}

// cpuInUse returns the share of CPU, which is a bottleneck in both mixes, that is taken
// by charges and by measured use above them.
func (r *packingRun) cpuInUse() float64 {
	free := int64(0)
	for _, w := range r.pool.workers {
		free += max(w.free().CPUMilli, 0)
	}
	return 1 - float64(free)/float64(r.pool.Capacity().CPUMilli)
}

// run returns the mean share of CPU in use after the measured rounds.
func (r *packingRun) run() (mean float64) {
	for round := range packingRounds {
		r.endSome()
		for range packingBacklog {
			r.offer()
		}
		if round >= packingWarmUp {
			mean += r.cpuInUse() / (packingRounds - packingWarmUp)
		}
	}
	return mean
}

// BenchmarkPacking reports the share of CPU in use in percent. The backlog needs more
// than the capacity, so the share is not limited by a lack of tasks.
func BenchmarkPacking(b *testing.B) {
	for name, shape := range workerShapes {
		for _, m := range mixes {
			for _, c := range choosers {
				b.Run(name+"/"+m.name+"/"+c.name, func(b *testing.B) {
					sum := 0.0
					for i := range b.N {
						sum += newPackingRun(shape, m, c.choose, uint64(i)).run()
					}
					b.ReportMetric(100*sum/float64(b.N), "%inuse")
				})
			}
		}
	}
}

// TestPackingAheadOfFirstFit guards against scoring that leaves the free capacity
// fragmented, so that less of it can be used than with first-fit.
func TestPackingAheadOfFirstFit(t *testing.T) {
	for name, shape := range workerShapes {
		pool := newPackingRun(shape, mixes[0], (*Pool).find, 1).run()
		first := newPackingRun(shape, mixes[0], firstFit, 1).run()
		assert.Assert(t, pool > first, "%s: %.3f in use, %.3f with first-fit", name, pool, first)
		assert.Assert(t, pool > 0.95, "%s: %.3f in use", name, pool)
	}
}
