package load

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Source returns arrivals in the order of their times, and false at the end.
// *Schedule implements it.
type Source interface{ Next() (Arrival, bool) }

// Run sends the arrivals of source, which belong to experiment e, and returns
// what callers saw once every request is answered or timed out. If ctx ends, no
// further request is sent, and the result is marked as interrupted.
func Run(ctx context.Context, e *Experiment, source Source, dial Dial) Result {
	r := &runner{
		experiment: e,
		pools:      newPools(e, dial),
		slots:      newSlots(e),
		collector:  newCollector(e),
		began:      time.Now(),
	}
	defer r.pools.close()
	interrupted := r.dispatch(ctx, source)
	r.requests.Wait()
	result := r.collector.result()
	result.Started = r.began.UTC().Format(time.RFC3339)
	result.ElapsedMS = time.Since(r.began).Milliseconds()
	result.Interrupted = interrupted
	return result
}

type runner struct {
	experiment *Experiment
	pools      *pools
	slots      map[string]chan struct{} // by stream; one element for each outstanding request
	requests   conc.WaitGroup
	collector  *collector
	began      time.Time
}

// dispatch starts every request at its intended time. It reports whether ctx
// ended first.
func (r *runner) dispatch(ctx context.Context, source Source) (interrupted bool) {
	for {
		a, ok := source.Next()
		if !ok {
			return false
		}
		if !sleepUntil(ctx, r.began.Add(a.At)) {
			return true
		}
		r.start(a)
	}
}

// newSlots gives the phases one bound together and each flood one of its own, so
// that a flood cannot keep the requests beside it from being sent.
func newSlots(e *Experiment) map[string]chan struct{} {
	slots := map[string]chan struct{}{}
	phases := make(chan struct{}, e.MaxOutstanding)
	for _, p := range e.Phases {
		slots[p.Name] = phases
	}
	for _, f := range e.Floods {
		slots[f.Name] = make(chan struct{}, e.MaxOutstanding)
	}
	return slots
}

// start sends a request on a goroutine of its own, or counts it as not sent if
// too many are outstanding.
func (r *runner) start(a Arrival) {
	slots := r.slots[a.Stream]
	select {
	case slots <- struct{}{}:
		r.collector.sending(len(slots))
	default:
		r.collector.notSent(a)
		return
	}
	r.requests.Go(func() {
		defer func() { <-slots }()
		x := exchange{runner: r, arrival: a, work: r.experiment.Works[a.Work], intended: r.began.Add(a.At)}
		r.collector.add(x.run())
	})
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	pause := time.Until(at)
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
