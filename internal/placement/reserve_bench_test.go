package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

// loadedPool returns a pool that is filled with tasks of mixed sizes until 20 were
// refused, the running tasks, and the random number generator used.
func loadedPool(workers int, shape string) (p *Pool, running []Request, rng *rand.Rand) {
	p = newPool(workers, workerShapes[shape])
	rng = rand.New(rand.NewPCG(7, 7))
	for refused := 0; refused < 20; {
		r := request(len(running), "c", mixedSize(rng, workerShapes[shape]))
		if _, err := p.Reserve(start, r, start.Add(time.Hour)); err != nil {
			refused++
			continue
		}
		p.Start(start, r.Spec.Attempt)
		running = append(running, r)
	}
	return p, running, rng
}

// BenchmarkReserve measures one placement on a loaded pool: a random task ends, and one
// of another size is reserved and started.
func BenchmarkReserve(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000, 13_000} {
		for shape := range workerShapes {
			for _, c := range choosers {
				b.Run(fmt.Sprintf("%d/%s/%s", workers, shape, c.name), func(b *testing.B) {
					benchmarkReserve(b, workers, shape, c.choose)
				})
			}
		}
	}
}

func benchmarkReserve(b *testing.B, workers int, shape string, choose chooser) {
	p, running, rng := loadedPool(workers, shape)
	now, placed := start, 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		i := rng.IntN(len(running))
		p.Release(running[i].Spec.Attempt)
		p.advance(now)
		p.Expire(now)
		r := running[rng.IntN(len(running))]
		r.Spec.Attempt = running[i].Spec.Attempt
		q := p.newQuery(r, now.Add(time.Second))
		if w := choose(p, q); w != nil {
			p.reserve(q, w)
			p.Start(now, r.Spec.Attempt)
			placed++
		}
	}
	b.ReportMetric(100*float64(placed)/float64(b.N), "%placed")
}

// BenchmarkReserveRefused measures a request that fits on no worker.
func BenchmarkReserveRefused(b *testing.B) {
	for _, workers := range []int{50, 13_000} {
		for shape, capacity := range workerShapes {
			b.Run(fmt.Sprintf("%d/%s", workers, shape), func(b *testing.B) {
				p, _, _ := loadedPool(workers, shape)
				r := request(-1, "c", share(capacity, 0.6))
				r.Spec.Resources.Slots = 1
				for b.Loop() {
					if _, err := p.Reserve(start, r, start); err == nil {
						b.Fatal("a request that exceeds the free capacity was placed")
					}
				}
			})
		}
	}
}

// BenchmarkVictims measures the choice of victims on a loaded pool.
func BenchmarkVictims(b *testing.B) {
	for _, workers := range []int{50, 13_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p, _, _ := loadedPool(workers, "64c128g")
			p.SetPolicy([]bundle.Class{{Name: "c", Rank: 9, Ceiling: 1, Preemptible: true}}, bundle.Fleet{PackingWeight: 1})
			r := request(-1, "urgent", share(largeShape, 0.5))
			now := start
			for b.Loop() {
				now = now.Add(evictionGracePeriod)
				if len(p.Victims(now, r)) == 0 {
					b.Fatal("no victims")
				}
			}
		})
	}
}
