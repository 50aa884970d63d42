package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Worker shapes of the two current users of the scheduler.
var (
	largeShape   = api.Resources{CPUMilli: 64_000, MemoryMB: 128 << 10, Slots: 8, Connections: 60}
	smallShape   = api.Resources{CPUMilli: 16_000, MemoryMB: 32 << 10, Slots: 8, Connections: 60}
	workerShapes = map[string]api.Resources{"64c128g": largeShape, "16c32g": smallShape}
)

func size(cpu, memory int64) api.Resources {
	return api.Resources{CPUMilli: cpu, MemoryMB: memory, Slots: 1, Connections: 1}
}

func request(id int, class string, r api.Resources) Request {
	spec := api.TaskSpec{Attempt: api.AttemptID{Job: fmt.Sprint("j", id)}, Workspace: "t", Class: class, Kind: api.KindBatch, Idempotent: true, Resources: r}
	return Request{Spec: spec, Rank: 1}
}

// newPool returns a pool with n workers of one shape, six per rack, and the given
// classes.
func newPool(n int, shape api.Resources, classes ...bundle.Class) *Pool {
	p := New(1)
	p.SetPolicy(classes, bundle.Fleet{PackingWeight: 1})
	for i := range n {
		p.Add(start, Worker{Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprint("r", i/6), Capacity: shape, Epoch: 1, Boot: 1})
	}
	return p
}

// chooser chooses a worker for a query, or returns nil.
type chooser func(p *Pool, q *query) *worker

// choosers lists the pool's own chooser and the baselines to compare it with.
var choosers = []struct {
	name   string
	choose chooser
}{
	{"pool", (*Pool).find},
	{"firstfit", firstFit},
	{"random", randomChoice},
}

// firstFit returns the first feasible worker by name.
func firstFit(p *Pool, q *query) *worker { return scan(p, q, 0) }

// randomChoice returns the first feasible worker by name, starting at a random one.
func randomChoice(p *Pool, q *query) *worker { return scan(p, q, p.rng.IntN(len(p.workers))) }

func scan(p *Pool, q *query, offset int) *worker {
	names := p.Workers()
	for i := range names {
		w := p.workers[names[(offset+i)%len(names)]]
		if w.accepting && !w.health.blockedUntil().After(p.now) && p.feasible(q, w) {
			return w
		}
	}
	return nil
}

// mixedSize draws a random task size: half of the tasks take 2% to 6% of a worker, 35%
// take 8% to 20% and the others 20% to 50%. The shares of CPU and memory differ by a
// factor of up to 2 either way.
func mixedSize(rng *rand.Rand, shape api.Resources) api.Resources {
	low, high := 0.02, 0.06
	switch draw := rng.Float64(); {
	case draw > 0.85:
		low, high = 0.20, 0.50
	case draw > 0.50:
		low, high = 0.08, 0.20
	}
	part := low + rng.Float64()*(high-low)
	tilt := math.Exp2(rng.Float64() - 0.5)
	return api.Resources{
		CPUMilli:    int64(float64(shape.CPUMilli) * part * tilt),
		MemoryMB:    int64(float64(shape.MemoryMB) * part / tilt),
		Slots:       1,
		Connections: 1 + rng.Int64N(8),
	}
}
