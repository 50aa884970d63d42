package core

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/measure"
	"github.com/fulmarlatch/fulmarlatch/internal/message"
)

const (
	floodWorkers = 24
	floodWarmUp  = 10 * time.Second
	floodLength  = 30 * time.Second
	floodSeed    = 11
)

// arrival is one request of the open-loop load.
type arrival struct {
	at        time.Duration // since the start
	class     string
	workspace string
	need      api.Resources
	run       time.Duration
}

// workload is one stream of arrivals. load is the share of the CPU capacity of all
// workers that it requests.
type workload struct {
	class, workspace string
	cpu              int64
	run              time.Duration
	load             float64
	from             time.Duration
}

func baseLoad(load float64) []workload {
	return []workload{
		{"urgent", "base", 2000, 400 * time.Millisecond, 0.3 * load, 0},
		{"normal", "base", 2000, time.Second, 0.4 * load, 0},
		{"bulk", "base", 4000, 3 * time.Second, 0.3 * load, 0},
	}
}

func floodOf(class string, load float64) workload {
	for _, w := range baseLoad(1) {
		if w.class == class {
			return workload{class, "flood", w.cpu, w.run, load, floodWarmUp}
		}
	}
	panic(class)
}

// arrivals returns one list of arrivals per step of TickInterval. Run times vary by up
// to half of the mean.
func arrivals(seed uint64, work []workload) [][]arrival {
	steps := int((floodWarmUp + floodLength) / TickInterval)
	list := make([][]arrival, steps)
	for i, w := range work {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		perSecond := w.load * floodWorkers * float64(rigShape.CPUMilli) / (float64(w.cpu) * w.run.Seconds())
		for at := w.from.Seconds() + rng.ExpFloat64()/perSecond; ; at += rng.ExpFloat64() / perSecond {
			step := int(at / TickInterval.Seconds())
			if step >= steps {
				break
			}
			run := w.run/2 + time.Duration(rng.Int64N(int64(w.run)))
			list[step] = append(list[step], arrival{time.Duration(at * float64(time.Second)), w.class, w.workspace,
				api.Resources{CPUMilli: w.cpu, MemoryMB: 2 * w.cpu, Slots: 1, Connections: 1}, run})
		}
	}
	for _, step := range list {
		slices.SortFunc(step, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	}
	return list
}

// tally counts the results of the arrivals of one class and workspace after the
// warm-up. Goodput includes only tasks that ended within the arrival period.
type tally struct {
	offered, completed int
	inTime             int // completed within the arrival period
	waits              []time.Duration
	work               float64 // CPU time of the tasks in inTime, in CPU-seconds
}

type tallies map[[2]string]*tally

func (t tallies) get(a arrival) *tally {
	key := [2]string{a.class, a.workspace}
	if t[key] == nil {
		t[key] = &tally{}
	}
	return t[key]
}

func (t *tally) complete(a arrival, wait time.Duration) {
	t.completed++
	t.waits = append(t.waits, wait)
	if a.at+wait+a.run > floodWarmUp+floodLength {
		return
	}
	t.inTime++
	t.work += float64(a.need.CPUMilli) / 1000 * a.run.Seconds()
}

func floodBundle() bundle.Bundle {
	b := bundle.Bundle{Version: 1, Timing: bundle.DefaultTiming(), Fleet: bundle.Fleet{PackingWeight: 0.5}}
	b.Classes = []bundle.Class{
		{Name: "urgent", Rank: 1, Floor: 0.2, Ceiling: 0.6, QueueBound: 400, DeadlineMS: 4000, RetryBudget: 0.1, MaxAttempts: 2},
		{Name: "normal", Rank: 3, Floor: 0.25, Ceiling: 0.8, QueueBound: 1000, DeadlineMS: 30000, RetryBudget: 0.1, MaxAttempts: 2},
		{Name: "bulk", Rank: 5, Floor: 0.2, Ceiling: 0.8, QueueBound: 2000, RetryBudget: 0.1, MaxAttempts: 2, Preemptible: true},
	}
	b.Workspaces = []bundle.Workspace{{Name: "base", Weight: 1}, {Name: "flood", Weight: 1}}
	return b
}

// runCores runs the arrivals through three cores.
func runCores(t *testing.T, trace [][]arrival) tallies {
	cluster := newFakeCluster(0, floodWorkers)
	cluster.bundle = floodBundle()
	for _, w := range cluster.workers {
		w.vm.Capacity = rigShape
	}
	for i := range 3 {
		cluster.start(fmt.Sprintf("e%d", i), 1)
	}
	cluster.advance(5 * time.Second)
	byToken := make(map[uint64]arrival)
	token := uint64(0)
	for _, list := range trace {
		for _, a := range list {
			token++
			byToken[token] = a
			cluster.ask(fmt.Sprintf("e%d", token%3), token, message.OpSubmit, api.Job{Class: a.class, Workspace: a.workspace,
				Kind: api.KindRequest, Idempotent: true, Tasks: 1, Resources: a.need, RunTimeMS: a.run.Milliseconds()})
		}
		cluster.step()
	}
	cluster.advance(10 * time.Second)
	if len(cluster.violations) > 0 {
		t.Errorf("%d violated guarantees, the first: %s", len(cluster.violations), cluster.violations[0])
	}
	result := make(tallies)
	for token, a := range byToken {
		if a.at < floodWarmUp {
			continue
		}
		counts := result.get(a)
		counts.offered++
		answer := cluster.answer(fmt.Sprintf("e%d", token%3), token)
		if answer.Outcome == api.OutcomeCompleted {
			counts.complete(a, time.Duration(answer.WaitMS)*time.Millisecond)
		}
	}
	return result
}

// baselineTask is a running task of a baseline.
type baselineTask struct {
	worker int
	endsAt time.Duration
	need   api.Resources
}

// runBaseline runs the arrivals through one FIFO queue for all workers. place returns
// a worker on which the task fits, or -1. Urgent work leaves the queue after its
// deadline.
func runBaseline(trace [][]arrival, place func(free []api.Resources, need api.Resources) int) tallies {
	free := make([]api.Resources, floodWorkers)
	for i := range free {
		free[i] = rigShape
	}
	result := make(tallies)
	var queue []arrival
	var running []baselineTask
	for step := range len(trace) + int(10*time.Second/TickInterval) {
		now := time.Duration(step+1) * TickInterval
		kept := running[:0]
		for _, task := range running {
			if task.endsAt <= now {
				free[task.worker] = free[task.worker].Add(task.need)
				continue
			}
			kept = append(kept, task)
		}
		running = kept
		if step < len(trace) {
			queue = append(queue, trace[step]...)
		}
		for len(queue) > 0 {
			a := queue[0]
			isLate := a.class == "urgent" && now-a.at > 4*time.Second
			if !isLate {
				worker := place(free, a.need)
				if worker < 0 {
					break
				}
				free[worker] = free[worker].Sub(a.need)
				running = append(running, baselineTask{worker, now + a.run, a.need})
			}
			queue = queue[1:]
			if a.at >= floodWarmUp && !isLate {
				result.get(a).complete(a, now-a.at)
			}
		}
	}
	for _, list := range trace {
		for _, a := range list {
			if a.at >= floodWarmUp {
				result.get(a).offered++
			}
		}
	}
	return result
}

func firstFit(free []api.Resources, need api.Resources) int {
	for i, f := range free {
		if need.Fits(f) {
			return i
		}
	}
	return -1
}

func randomFit(rng *rand.Rand) func([]api.Resources, api.Resources) int {
	return func(free []api.Resources, need api.Resources) int {
		for _, i := range rng.Perm(len(free)) {
			if need.Fits(free[i]) {
				return i
			}
		}
		return -1
	}
}

// schedulers returns the schedulers to compare: three cores, and the baselines.
func schedulers(t *testing.T) []struct {
	name string
	run  func(trace [][]arrival) tallies
} {
	return []struct {
		name string
		run  func(trace [][]arrival) tallies
	}{
		{"cores", func(trace [][]arrival) tallies { return runCores(t, trace) }},
		{"fifo+first-fit", func(trace [][]arrival) tallies { return runBaseline(trace, firstFit) }},
		{"fifo+random", func(trace [][]arrival) tallies {
			return runBaseline(trace, randomFit(rand.New(rand.NewPCG(floodSeed, 0))))
		}},
	}
}

// TestMeasureLoad measures the wait times per class without a flood.
func TestMeasureLoad(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	for _, load := range []float64{0.5, 0.9} {
		trace := arrivals(floodSeed, baseLoad(load))
		for _, s := range schedulers(t) {
			result := s.run(trace)
			for _, class := range []string{"urgent", "normal", "bulk"} {
				reportWaits(t, fmt.Sprintf("%s, load %.0f%%: %s", s.name, 100*load, class), result[[2]string{class, "base"}])
			}
		}
	}
}

func reportWaits(t *testing.T, label string, counts *tally) {
	measure.Report(t, label+" wait p50", ms(measure.Quantile(counts.waits, 0.5)), "ms")
	measure.Report(t, label+" wait p99.9", ms(measure.Quantile(counts.waits, 0.999)), "ms")
	measure.Report(t, label+" completed", 100*float64(counts.completed)/float64(counts.offered), "% of offered")
}

// TestMeasureFlood measures how much of its goodput the base load keeps during floods
// of the most and the least urgent class.
func TestMeasureFlood(t *testing.T) {
	measure.SkipUnlessEnabled(t)
	for _, s := range schedulers(t) {
		noFlood := s.run(arrivals(floodSeed, baseLoad(0.5)))
		for _, class := range []string{"urgent", "bulk"} {
			for _, load := range []float64{3, 10} {
				trace := arrivals(floodSeed, append(baseLoad(0.5), floodOf(class, load)))
				label := fmt.Sprintf("%s, %s flood %.0f%%: ", s.name, class, 100*load)
				reportFlood(t, label, noFlood, s.run(trace))
			}
		}
	}
}

func reportFlood(t *testing.T, label string, noFlood, flooded tallies) {
	total := 0.0
	for _, counts := range flooded {
		total += counts.work
	}
	for _, class := range []string{"urgent", "normal", "bulk"} {
		key := [2]string{class, "base"}
		kept := 100 * float64(flooded[key].inTime) / float64(noFlood[key].inTime)
		measure.Report(t, label+class+" of base keeps", kept, "% of goodput")
	}
	measure.Report(t, label+"urgent of base wait p99.9", ms(measure.Quantile(flooded[[2]string{"urgent", "base"}].waits, 0.999)), "ms")
	if f := flooded[[2]string{"urgent", "flood"}]; f != nil {
		measure.Report(t, label+"urgent of flood wait p99.9", ms(measure.Quantile(f.waits, 0.999)), "ms")
	}
	capacity := floodWorkers * float64(rigShape.CPUMilli) / 1000 * floodLength.Seconds()
	measure.Report(t, label+"work done", 100*total/capacity, "% of capacity")
}
