package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// mustStart reserves and starts a task and returns its worker.
func mustStart(t *testing.T, p *Pool, r Request) string {
	t.Helper()
	w, err := p.Reserve(start, r, start.Add(time.Second))
	assert.NilError(t, err)
	_, ok := p.Start(start, r.Spec.Attempt)
	assert.Assert(t, ok)
	return w
}

// tryReserve returns the worker of the reservation, or the kind of the error.
func tryReserve(p *Pool, now time.Time, r Request) (string, fault.Kind) {
	w, err := p.Reserve(now, r, now.Add(time.Second))
	if err != nil {
		return "", fault.KindOf(err)
	}
	return w, ""
}

// TestReserveErrors guards against a job that is refused permanently although it only
// has to wait, and against an error that names the wrong limit.
func TestReserveErrors(t *testing.T) {
	p := newPool(1, smallShape)
	p.Add(start, Worker{Name: "big", Capacity: largeShape})
	mustStart(t, p, request(0, "c", size(64_000, 1)))
	for _, c := range []struct {
		name string
		ask  api.Resources
		kind fault.Kind
		text string
	}{
		{"waits", size(64_000, 1), fault.NoCapacity, "no worker has room"},
		{"memory", size(1, 129<<10), fault.NeverFits, "memory_mb=132096, the nearest worker has 131072"},
		{"accelerator", api.Resources{Accelerators: 1}, fault.NeverFits, "accelerators=1, the nearest worker has 0"},
		{"slots", api.Resources{Slots: 9}, fault.NeverFits, "slots=9"},
	} {
		_, err := p.Reserve(start, request(1, "c", c.ask), start)
		assert.Equal(t, fault.KindOf(err), c.kind, c.name)
		assert.ErrorContains(t, err, c.text)
	}
	_, kind := tryReserve(New(1), start, request(1, "c", size(1, 1)))
	assert.Equal(t, kind, fault.NoCapacity, "a process without workers must not refuse permanently")
}

// TestOnlyFeasibleWorker guards against an index that misses the only worker on which a
// task fits, in each dimension, and against placing tasks on workers that accept no new
// work.
func TestOnlyFeasibleWorker(t *testing.T) {
	full := api.Resources{CPUMilli: 1000, MemoryMB: 1000, Accelerators: 8, Slots: 8, Connections: 100}
	for d := api.CPU; d < api.NumDimensions; d++ {
		p := newPool(300, full)
		filler := vector(full)
		filler[d]--
		ask := [api.NumDimensions]int64{api.Slot: 1}
		ask[d] = 2
		rest := vector(full)
		rest[d] = 2
		for i, name := range p.Workers() {
			r := request(i, "c", resources(filler))
			r.Spec.Resources.Slots = min(r.Spec.Resources.Slots, 7)
			if name == "w00123" {
				r.Spec.Resources = full.Sub(resources(ask)).Sub(api.Resources{Slots: 1 - ask[api.Slot]%2})
			}
			p.Adopt(start, name, r.Spec)
		}
		w, err := p.Reserve(start, request(1000, "c", resources(ask)), start.Add(1))
		assert.NilError(t, err, d.String())
		assert.Equal(t, w, "w00123", d.String())
	}
	p := newPool(2, full)
	p.SetLeaving("w00000", true)
	p.SetPolicy(nil, bundle.Fleet{Drain: []string{"w00001"}})
	_, kind := tryReserve(p, start, request(1, "c", size(1, 1)))
	assert.Equal(t, kind, fault.NoCapacity)
	assert.Equal(t, p.Capacity(), api.Resources{})
	p.SetLeaving("w00000", false)
	assert.Equal(t, mustStart(t, p, request(1, "c", size(1, 1))), "w00000")
}

// TestLearnedSizeOnSmallWorker guards against a learned size above a worker's capacity
// that keeps tasks off a worker on which the declared size fits.
func TestLearnedSizeOnSmallWorker(t *testing.T) {
	p := newPool(1, largeShape)
	for i := range 40 {
		r := request(i, "c", size(1000, 10<<10))
		w := mustStart(t, p, r)
		p.RecordUse(start, w, r.Spec.Attempt, size(1000, 30<<10))
		p.Release(r.Spec.Attempt)
	}
	w := mustStart(t, p, request(100, "c", size(1000, 10<<10)))
	assert.Assert(t, p.workers[w].charged.MemoryMB > 28<<10, "the learned size must be charged")
	assert.Equal(t, p.workers[w].charged.CPUMilli, int64(1000))
	p.Remove(w)
	p.Add(start, Worker{Name: "small", Capacity: api.Resources{CPUMilli: 8000, MemoryMB: 16 << 10, Slots: 8, Connections: 8}})
	assert.Equal(t, mustStart(t, p, request(101, "c", size(1000, 10<<10))), "small")
	assert.Equal(t, p.workers["small"].charged.MemoryMB, int64(16<<10))
}

// TestCeilingWithLearnedSize guards against a class that exceeds its ceiling because the
// ceiling was checked with the charge on a small worker, but the task was placed on a
// large one with a larger charge.
func TestCeilingWithLearnedSize(t *testing.T) {
	p := newPool(1, largeShape, bundle.Class{Name: "c", Ceiling: 0.5})
	p.Add(start, Worker{Name: "small", Capacity: api.Resources{CPUMilli: 8000, MemoryMB: 16 << 10, Slots: 8, Connections: 8}})
	p.workloadOf("t", "c").learned[api.Memory] = 3
	mustStart(t, p, request(1, "other", size(1, 1<<10)))
	p.Adopt(start, "small", request(2, "other", size(8000, 1)).Spec)
	mustStart(t, p, request(3, "c", size(1, 15<<10)))
	_, kind := tryReserve(p, start, request(4, "c", size(1, 10<<10)))
	assert.Equal(t, kind, fault.NoCapacity)
}

// TestFloorsAndCeilings guards against a flood of one class that takes the share
// guaranteed to another, and against a floor that its own class cannot use.
func TestFloorsAndCeilings(t *testing.T) {
	classes := []bundle.Class{
		{Name: "urgent", Rank: 1, Ceiling: 0.5},
		{Name: "floor", Rank: 2, Floor: 0.25, Ceiling: 1},
		{Name: "batch", Rank: 3, Ceiling: 1, Preemptible: true},
		{Name: "plain", Rank: 4, Ceiling: 1},
	}
	for _, c := range []struct {
		class string
		fill  int // slots out of 40 that the class can take if alone
	}{{"urgent", 20}, {"floor", 40}, {"batch", 40}, {"plain", 30}} {
		p := newPool(5, largeShape, classes...)
		placed := 0
		for i := range 41 {
			if _, kind := tryReserve(p, start, request(i, c.class, size(1, 1))); kind == "" {
				placed++
			}
		}
		assert.Equal(t, placed, c.fill, c.class)
	}
	p := newPool(5, largeShape, classes...)
	for i := range 38 {
		mustStart(t, p, request(i, "batch", size(1, 1)))
	}
	_, kind := tryReserve(p, start, request(50, "plain", size(1, 1)))
	assert.Equal(t, kind, fault.NoCapacity)
	mustStart(t, p, request(51, "floor", size(1, 1)))
	assert.Equal(t, p.Summary().FreeByClass["floor"].Slots, int64(1))
	assert.Equal(t, p.Summary().FreeByClass["plain"].Slots, int64(0))
}

// TestReserveAll guards against a refused gang that keeps some of its reservations.
func TestReserveAll(t *testing.T) {
	p := newPool(2, largeShape)
	gang := func(sizes ...int64) (rs []Request) {
		for i, cpu := range sizes {
			rs = append(rs, request(i, "c", size(cpu, 1)))
		}
		return rs
	}
	_, err := p.ReserveAll(start, gang(30_000, 40_000, 40_000), start.Add(1))
	assert.Equal(t, fault.KindOf(err), fault.NoCapacity)
	assert.Equal(t, len(p.tasks), 0)
	_, err = p.ReserveAll(start, gang(1, 65_000), start.Add(1))
	assert.Equal(t, fault.KindOf(err), fault.NeverFits)
	workers, err := p.ReserveAll(start, gang(24_000, 40_000, 24_000, 40_000), start.Add(1))
	assert.NilError(t, err)
	assert.Assert(t, workers[1] != workers[3])
	assert.Equal(t, len(p.Expire(start.Add(1))), 4)
	assert.Equal(t, p.classes.use, api.Resources{})
}

// TestStartAndExpire guards against a late commit that starts a task whose reservation
// has expired, and against a repeated commit that is refused.
func TestStartAndExpire(t *testing.T) {
	p := newPool(1, largeShape)
	r := request(1, "c", size(1, 1))
	_, kind := tryReserve(p, start, r)
	assert.Equal(t, kind, fault.Kind(""))
	assert.Assert(t, p.HasReservations("w00000"))
	_, ok := p.Start(start.Add(time.Second), r.Spec.Attempt)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, p.Expire(start.Add(time.Second)), []api.AttemptID{r.Spec.Attempt})
	mustStart(t, p, r)
	_, ok = p.Start(start.Add(time.Hour), r.Spec.Attempt)
	assert.Assert(t, ok && !p.HasReservations("w00000"))
	assert.Equal(t, len(p.Expire(start.Add(time.Hour))), 0)
	assert.DeepEqual(t, p.Remove("w00000"), []api.AttemptID{r.Spec.Attempt})
	assert.Assert(t, !p.Release(r.Spec.Attempt))
}

// TestSpreading guards against a packing weight without effect. Only candidateLimit
// workers are scored, so spreading may miss a rack.
func TestSpreading(t *testing.T) {
	for weight, want := range map[float64][2]int{0: {4, 6}, 1: {1, 1}} {
		p := newPool(36, largeShape)
		p.SetPolicy(nil, bundle.Fleet{PackingWeight: weight})
		racks := map[string]bool{}
		for i := range 6 {
			w, _ := p.Worker(mustStart(t, p, request(i, "c", size(4000, 8<<10))))
			racks[w.Rack] = true
		}
		assert.Assert(t, len(racks) >= want[0] && len(racks) <= want[1], "weight %v: %d racks", weight, len(racks))
	}
}

// TestProbation guards against a worker on which all tasks fail and that still gets new
// tasks, and against a workload that fails everywhere and puts workers on probation.
func TestProbation(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(worker, round int) bool
		want int // workers on probation
	}{
		{"one bad worker", func(w, _ int) bool { return w == 3 }, 1},
		{"fails everywhere", func(int, int) bool { return true }, 0},
		{"begins to fail everywhere", func(_, round int) bool { return round > 20 }, 0},
		{"fails now and then", func(w, round int) bool { return (w+round)%10 == 0 }, 0},
		{"most workers bad", func(w, _ int) bool { return w > 2 }, 5},
	} {
		p := newPool(10, largeShape)
		for round := range 60 {
			for w, name := range p.Workers() {
				for range 4 { // outcomes of a worker arrive together
					p.RecordOutcome(start, name, "c", "t", !c.fail(w, round))
				}
			}
		}
		if c.want == 5 {
			assert.Assert(t, p.probation <= c.want, c.name)
			continue
		}
		assert.Equal(t, p.probation, c.want, c.name)
	}
}

// TestProbationReturn guards against too many trial tasks on a bad worker, and against
// a probation that never ends.
func TestProbationReturn(t *testing.T) {
	p := newPool(2, largeShape)
	bad, now, id := "w00000", start, 0
	p.SetLeaving("w00001", true)
	for range 20 {
		p.RecordOutcome(now, "w00001", "c", "t", true)
		p.RecordOutcome(now, bad, "c", "t", false)
	}
	trial := func(ok bool) (wait time.Duration) {
		for from := now; ; now = now.Add(100 * time.Millisecond) {
			id++
			r := request(id, "c", size(1, 1))
			if w, _ := tryReserve(p, now, r); w == bad {
				_, kind := tryReserve(p, now, request(-id, "c", size(1, 1)))
				assert.Equal(t, kind, fault.NoCapacity, "only one trial task at a time")
				p.RecordOutcome(now, bad, "c", "t", ok)
				p.Release(r.Spec.Attempt)
				return now.Sub(from)
			}
		}
	}
	trial(false)
	assert.Equal(t, trial(false), 2*time.Second)
	assert.Equal(t, trial(false), 4*time.Second)
	p.Remove(bad)
	p.Add(now, Worker{Name: bad, Capacity: largeShape, Boot: 1})
	assert.Equal(t, trial(true), 8*time.Second, "the loss of a lease must not end the probation")
	trial(true)
	assert.Assert(t, p.workers[bad].health.probation)
	trial(true)
	assert.Assert(t, !p.workers[bad].health.probation)
}

// TestVictims guards against unnecessary or forbidden preemption, and against a victim
// that is not stopped although it keeps running after a checkpoint.
func TestVictims(t *testing.T) {
	urgent := request(99, "urgent", size(20_000, 1))
	asRequest := func(r *Request) { r.Spec.Kind = api.KindRequest }
	for _, c := range []struct {
		name   string
		policy bundle.Class // of the tasks on the worker
		sizes  []int64      // thousandths of a CPU
		change func(*Request)
		want   []VictimAction
	}{
		{"one is enough", bundle.Class{Preemptible: true}, []int64{12_000, 12_000, 20_000, 20_000}, nil, []VictimAction{ActionCheckpoint}},
		{"two are needed", bundle.Class{Preemptible: true}, []int64{16_000, 16_000, 16_000, 16_000}, asRequest, []VictimAction{ActionStop, ActionStop}},
		{"not preemptible", bundle.Class{}, []int64{64_000}, nil, nil},
		{"at its floor", bundle.Class{Preemptible: true, Floor: 0.25}, []int64{64_000}, nil, nil},
		{"above its floor", bundle.Class{Preemptible: true, Floor: 0.25}, []int64{32_000, 32_000}, nil, []VictimAction{ActionCheckpoint}},
		{"not idempotent", bundle.Class{Preemptible: true}, []int64{64_000}, func(r *Request) { r.Spec.Idempotent = false }, nil},
	} {
		c.policy.Name, c.policy.Rank, c.policy.Ceiling = "batch", 5, 1
		p := newPool(1, largeShape, bundle.Class{Name: "urgent", Rank: 1, Ceiling: 1}, c.policy)
		for i, cpu := range c.sizes {
			r := request(i, "batch", size(cpu, 1))
			if c.change != nil {
				c.change(&r)
			}
			mustStart(t, p, r)
		}
		victims := p.Victims(start, urgent)
		assert.Equal(t, len(victims), len(c.want), c.name)
		for i, v := range victims {
			assert.Equal(t, v.Action, c.want[i], c.name)
		}
		assert.Equal(t, len(p.Victims(start, urgent)), 0, "no further victims within the grace period")
		if len(victims) > 0 {
			again := p.Victims(start.Add(evictionGracePeriod), urgent)
			assert.Equal(t, again[0].Action, ActionStop, c.name)
			for _, v := range again {
				p.Release(v.Attempt)
			}
			mustStart(t, p, urgent)
		}
	}
}

// TestVictimsGreedy guards against unnecessary victims on a worker with too many tasks
// for an exhaustive search.
func TestVictimsGreedy(t *testing.T) {
	shape := largeShape
	shape.Slots = 40
	p := newPool(1, shape, bundle.Class{Name: "batch", Rank: 5, Ceiling: 1, Preemptible: true})
	for i := range 17 {
		mustStart(t, p, request(i, "batch", size(1000, 1)))
	}
	mustStart(t, p, request(17, "batch", size(47_000, 1)))
	victims := p.Victims(start, request(99, "urgent", size(20_000, 1)))
	assert.DeepEqual(t, victims, []Victim{{Attempt: api.AttemptID{Job: "j17"}, Worker: "w00000", Action: ActionCheckpoint}})
}

// TestPressureVictims guards against a growing task that exhausts the memory of its
// worker, and against escalation without a new report.
func TestPressureVictims(t *testing.T) {
	p := newPool(1, smallShape)
	for i, idempotent := range []bool{true, false} {
		r := request(i, "c", size(1000, 8<<10))
		r.Spec.Idempotent = idempotent
		mustStart(t, p, r)
	}
	grown := api.AttemptID{Job: "j0"}
	report := func(second int, memory int64) []Victim {
		now := start.Add(time.Duration(second) * time.Second)
		p.RecordUse(now, "w00000", grown, size(1000, memory))
		return p.PressureVictims(now)
	}
	for i, action := range []VictimAction{"", ActionThrottle, ActionCheckpoint, ActionStop} {
		memory := int64(33 << 10)
		if action == "" {
			memory = 20 << 10
		}
		got := report(i, memory)
		assert.Equal(t, len(got) == 1, action != "", fmt.Sprint(i))
		if len(got) == 1 {
			assert.Equal(t, got[0], Victim{Attempt: grown, Worker: "w00000", Action: action})
		}
		assert.Equal(t, len(p.PressureVictims(start.Add(time.Hour))), 0)
	}
	_, kind := tryReserve(p, start, request(5, "c", size(1, 1)))
	assert.Equal(t, kind, fault.NoCapacity, "measured memory must be kept free of new tasks")
}

// TestLearnUpFasterThanDown guards against learned sizes that fall after a small task as
// fast as they rise after a large one, which would overload workers.
func TestLearnUpFasterThanDown(t *testing.T) {
	wl := &workload{}
	wl.learned[api.Memory] = 2
	wl.learn(api.Memory, 4)
	assert.Equal(t, wl.learned[api.Memory], 2+learnRateUp*2)
	wl.learned[api.Memory] = 2
	wl.learn(api.Memory, 1)
	assert.Equal(t, wl.learned[api.Memory], 2-learnRateDown*1)
}
