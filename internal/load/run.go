package load

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Source returns arrivals in the order of their times, and false after the last one.
// *Schedule implements it.
type Source interface{ Next() (Arrival, bool) }

// Run sends the arrivals of source, which must belong to experiment e, and returns
// the result after every request was answered or timed out. If ctx ends, Run sends no
// further request and marks the result as interrupted.
func Run(ctx context.Context, e *Experiment, source Source, dial Dial) Result {
	r := &runner{
		experiment: e,
		pools:      newPools(e, dial),
		semaphores: newSemaphores(e),
		collector:  newCollector(e),
		started:    time.Now(),
	}
	defer r.pools.close()
	interrupted := r.dispatch(ctx, source)
	r.requests.Wait()
	result := r.collector.result()
	result.Started = r.started.UTC().Format(time.RFC3339)
	result.ElapsedMS = time.Since(r.started).Milliseconds()
	result.Interrupted = interrupted
	return result
}

// runner sends the requests of one run.
type runner struct {
	experiment *Experiment
	pools      *pools
	semaphores map[string]chan struct{} // by stream; holds one element for each outstanding request
	requests   conc.WaitGroup
	collector  *collector
	started    time.Time
}

// dispatch starts every request at its intended time. It reports whether ctx ended
// before the last one.
func (r *runner) dispatch(ctx context.Context, source Source) (interrupted bool) {
	for {
		a, ok := source.Next()
		if !ok {
			return false
		}
		if !sleepUntil(ctx, r.started.Add(a.At)) {
			return true
		}
		r.start(a)
	}
}

// newSemaphores returns one semaphore shared by all phases and one for each flood, so
// that a flood does not count towards the limit of the phases.
func newSemaphores(e *Experiment) map[string]chan struct{} {
	semaphores := map[string]chan struct{}{}
	phases := make(chan struct{}, e.MaxOutstanding)
	for _, p := range e.Phases {
		semaphores[p.Name] = phases
	}
	for _, f := range e.Floods {
		semaphores[f.Name] = make(chan struct{}, e.MaxOutstanding)
	}
	return semaphores
}

// start sends a request on its own goroutine, or counts it as not sent if too many
// are outstanding.
func (r *runner) start(a Arrival) {
	semaphore := r.semaphores[a.Stream]
	select {
	case semaphore <- struct{}{}:
		r.collector.recordOutstanding(len(semaphore))
	default:
		r.collector.addNotSent(a)
		return
	}
	r.requests.Go(func() {
		defer func() { <-semaphore }()
		x := exchange{runner: r, arrival: a, template: r.experiment.Works[a.Work], intended: r.started.Add(a.At)}
		r.collector.add(x.run())
	})
}

// sleepUntil waits until the time at. It reports false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	delay := time.Until(at)
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
