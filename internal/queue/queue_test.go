package queue

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

func task(id, workspace, class string, size int64) Item {
	return Item{Key: Key{id, 0}, Workspace: workspace, Class: class, Kind: api.KindBatch, Resources: slots(size), Tasks: 1, Submitted: epoch}
}

func request(id, workspace, class string, size int64) Item {
	it := task(id, workspace, class, size)
	it.Kind = api.KindRequest
	return it
}

func offer(t *testing.T, q *Queue, items ...Item) {
	for _, it := range items {
		assert.NilError(t, q.Offer(epoch, it))
	}
}

// startAll starts all items that Next returns and returns their job IDs in order.
func startAll(q *Queue, now time.Time) (ids []string) {
	for it, ok := q.Next(now); ok; it, ok = q.Next(now) {
		q.Started(now, it)
		ids = append(ids, it.Key.JobID)
	}
	return ids
}

// TestOfferRefuses guards against items that are admitted although they cannot be
// served, and against refusals without a remedy or a suggested retry delay.
func TestOfferRefuses(t *testing.T) {
	classes := []bundle.Class{{Name: "a", QueueBound: 3}, {Name: "b", Rank: 1, QueueBound: 9, Kinds: []api.Kind{api.KindRequest}}}
	late := request("late", "x", "a", 1)
	late.Deadline = epoch
	peerUse := func(q *Queue) { q.SetPeerUse(map[string]api.Resources{"small": slots(8)}) }
	ownUse := func(q *Queue) { q.Started(epoch, task("r", "small", "a", 4)) }
	full := func(q *Queue) { offer(t, q, task("1", "x", "a", 1), task("2", "x", "a", 1)) }
	for _, c := range []struct {
		name  string
		setup func(q *Queue)
		item  Item
		kind  fault.Kind
		retry bool
	}{
		{"unknown class", nil, task("i", "x", "none", 1), fault.Invalid, false},
		{"unknown workspace", nil, task("i", "none", "a", 1), fault.Invalid, false},
		{"kind not taken", nil, task("i", "x", "b", 1), fault.Invalid, false},
		{"negative amount", nil, task("i", "x", "a", -1), fault.Invalid, false},
		{"no tasks", nil, Item{Workspace: "x", Class: "a"}, fault.Invalid, false},
		{"duplicate", nil, task("0", "x", "a", 1), fault.Conflict, false},
		{"never in quota", nil, task("i", "small", "a", 9), fault.QuotaExceeded, false},
		{"deadline passed", nil, late, fault.TooLate, false},
		{"quota in use by peers", peerUse, request("i", "small", "a", 1), fault.QuotaExceeded, true},
		{"quota in use by this process", ownUse, request("i", "small", "a", 5), fault.QuotaExceeded, true},
		{"bound", full, task("i", "x", "a", 1), fault.QueueFull, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(10, classes)
			q.SetPolicy(classes, append(workspacesOf("x"), bundle.Workspace{Name: "small", Weight: 1, Quota: slots(8)}))
			offer(t, q, task("0", "x", "a", 1))
			if c.setup != nil {
				c.setup(q)
			}
			before := q.Len()
			var refusal *fault.Error
			assert.Assert(t, errors.As(q.Offer(epoch, c.item), &refusal))
			assert.Equal(t, refusal.Kind, c.kind)
			assert.Assert(t, refusal.Remedy != "")
			assert.Equal(t, refusal.RetryAfterMS > 0, c.retry)
			assert.Equal(t, q.Len(), before)
		})
	}
}

// TestBoundLeavesRoomForOtherWorkspaces guards against a flood of one workspace that
// fills the class and shuts out the others, and against a queue that grows beyond
// twice the bound.
func TestBoundLeavesRoomForOtherWorkspaces(t *testing.T) {
	q := newQueue(10, []bundle.Class{{Name: "a", QueueBound: 10}}, "flood", "y", "z")
	admitted := map[string]int{}
	for i := range 60 {
		workspace := []string{"flood", "y", "z"}[i/20]
		if q.Offer(epoch, task(fmt.Sprint(i), workspace, "a", 1)) == nil {
			admitted[workspace]++
		}
	}
	assert.DeepEqual(t, admitted, map[string]int{"flood": 10, "y": 5, "z": 3})
}

// TestQuotaHoldsLoggedWork guards against items of logged kinds that are refused, or
// that start beyond the quota, while the quota is in use.
func TestQuotaHoldsLoggedWork(t *testing.T) {
	q := newQueue(100, nil)
	q.SetPolicy([]bundle.Class{{Name: "a", QueueBound: 10}}, []bundle.Workspace{{Name: "x", Quota: slots(2)}, {Name: "y"}})
	offer(t, q, task("1", "x", "a", 2), task("2", "x", "a", 1), task("3", "y", "a", 1))
	assert.DeepEqual(t, startAll(q, epoch), []string{"1", "3"})
	q.Finished(at(1), task("1", "x", "a", 2), time.Second)
	assert.DeepEqual(t, startAll(q, at(1)), []string{"2"})
}

// TestTooLate guards against a drain rate measured over idle time, which would refuse
// a burst that the class can serve, and against admitting items that will expire.
func TestTooLate(t *testing.T) {
	q := newQueue(10, []bundle.Class{{Name: "a", QueueBound: 1000, DeadlineMS: 2000}}, "x")
	number := 0
	try := func(seconds float64) error {
		number++
		it := request(fmt.Sprint(number), "x", "a", 1)
		it.Submitted = at(seconds)
		return q.Offer(at(seconds), it)
	}
	for second := range 60 { // one start per second without waiting
		assert.NilError(t, try(float64(second)))
		startAll(q, at(float64(second)))
	}
	for range 200 {
		assert.NilError(t, try(60))
	}
	for step := range 20 { // busy, 10 starts per second
		it, _ := q.Next(at(60 + float64(step)/10))
		q.Started(q.now, it)
	}
	assert.Equal(t, fault.KindOf(try(61.95)), fault.TooLate)
	assert.Equal(t, q.Stats()[0].Refused[fault.TooLate], uint64(1))
}

// TestColdStart guards against refusals of the first requests after a start of the
// process, when few items have started yet although the workers are idle.
func TestColdStart(t *testing.T) {
	q := newQueue(100, []bundle.Class{{Name: "a", QueueBound: 1000, DeadlineMS: 4300}}, "x")
	for i := range 20 {
		now := at(float64(i) / 20)
		it := request(fmt.Sprint(i), "x", "a", 1)
		it.Submitted = now
		assert.NilError(t, q.Offer(now, it))
		if next, ok := q.Next(now); ok && i < 2 {
			q.Started(now, next)
		} else if ok {
			q.Postpone(now, next, at(1))
		}
	}
}

// TestNextOrder checks the order among classes with floors, ranks and ceilings, and
// that shares refer to the capacity without the use by peers.
func TestNextOrder(t *testing.T) {
	classes := []bundle.Class{{Name: "urgent", QueueBound: 9}, {Name: "floor", Rank: 5, QueueBound: 9, Floor: 0.2},
		{Name: "ceiling", Rank: 1, QueueBound: 9, Ceiling: 0.2}}
	for _, peerUse := range []int64{0, 30} {
		q := newQueue(10+peerUse, classes, "x")
		q.SetPeerUse(map[string]api.Resources{"x": slots(peerUse)})
		for i := range 3 {
			for _, c := range classes {
				offer(t, q, task(fmt.Sprint(c.Name, i), "x", c.Name, 1))
			}
		}
		assert.DeepEqual(t, startAll(q, epoch),
			[]string{"floor0", "floor1", "urgent0", "urgent1", "urgent2", "ceiling0", "ceiling1", "floor2"})
	}
}

// TestFairShare guards against a workspace that gains an advantage by wide items or by
// a wrong declared run time.
func TestFairShare(t *testing.T) {
	q := newQueue(100, nil)
	q.SetPolicy([]bundle.Class{{Name: "a", QueueBound: 1 << 20}}, []bundle.Workspace{{Name: "x", Weight: 2}, {Name: "y", Weight: 1}})
	for i := range 3000 {
		y := task(fmt.Sprint("y", i), "y", "a", 3)
		y.RunTime = time.Millisecond
		offer(t, q, task(fmt.Sprint("x", i), "x", "a", 1), y)
	}
	ran := map[string]time.Duration{"x": time.Second, "y": 2 * time.Second}
	work := map[string]float64{}
	for range 2000 {
		it, _ := q.Next(epoch)
		q.Started(epoch, it)
		q.Finished(epoch, it, ran[it.Workspace])
		work[it.Workspace] += float64(it.Resources.Slots) * ran[it.Workspace].Seconds()
	}
	ratio := work["x"] / work["y"]
	assert.Assert(t, ratio > 1.9 && ratio < 2.1, "ratio %v", ratio)
}

// TestPostpone guards against a wide item that blocks smaller ones, and against
// dispatching items again that were just found not to fit.
func TestPostpone(t *testing.T) {
	q := newQueue(10, []bundle.Class{{Name: "a", QueueBound: 10}, {Name: "b", Rank: 1, QueueBound: 10}}, "x")
	offer(t, q, task("1", "x", "a", 8), task("2", "x", "a", 8), task("3", "x", "a", 2), task("4", "x", "b", 9))
	wide, _ := q.Next(epoch)
	q.Postpone(epoch, wide, at(3))
	assert.DeepEqual(t, startAll(q, epoch), []string{"3"})
	assert.DeepEqual(t, startAll(q, at(3)), []string{"1", "2", "4"})
}

// TestGuardPauses guards against an item that can never fit and blocks its class
// forever.
func TestGuardPauses(t *testing.T) {
	q := newQueue(10, []bundle.Class{{Name: "a", QueueBound: 10}}, "x")
	offer(t, q, task("never", "x", "a", 9), task("small", "x", "a", 1))
	for _, step := range []struct {
		after time.Duration
		id    string
	}{{0, "small"}, {guardAge, ""}, {guardAge + guardWindow, "small"}, {guardAge + 2*guardWindow, ""}} {
		now := epoch.Add(step.after)
		q.CapacityFreed(now)
		it, _ := q.Next(now)
		assert.Equal(t, it.Key.JobID, "never")
		q.Postpone(now, it, now.Add(time.Second))
		it, ok := q.Next(now)
		assert.Equal(t, it.Key.JobID, step.id)
		if ok {
			q.Requeue(now, it)
		}
	}
}

// TestExpire guards against expired items that are dispatched, lost or returned twice.
func TestExpire(t *testing.T) {
	q := newQueue(10, []bundle.Class{{Name: "a", QueueBound: 10}}, "x")
	for i, deadline := range []float64{3, 1, 9} {
		it := task(fmt.Sprint(i), "x", "a", 1)
		it.Deadline = at(deadline)
		offer(t, q, it)
	}
	assert.DeepEqual(t, startAll(q, at(5)), []string{"2"})
	expired := q.Expire(at(5))
	assert.Equal(t, len(expired), 2)
	assert.Equal(t, expired[0].Key.JobID, "1")
	assert.Equal(t, len(q.Expire(at(10))), 0)
}

// TestCancelWave guards against cancelled entries that stay in memory.
func TestCancelWave(t *testing.T) {
	q, _ := benchQueue(100_000)
	for i := range 99_999 {
		assert.Assert(t, q.Cancel(Key{fmt.Sprint(i + 1), 0}))
	}
	assert.Assert(t, !q.Cancel(Key{"1", 0}))
	assert.Equal(t, q.Len(), 1)
	assert.Assert(t, len(q.deadlines.entries) <= compactMinimum)
	assert.DeepEqual(t, startAll(q, epoch), []string{"100000"})
}

// TestAllowRetry guards against retries beyond the retry budget.
func TestAllowRetry(t *testing.T) {
	q := newQueue(10, []bundle.Class{{Name: "a", QueueBound: 10, RetryBudget: 0.125}, {Name: "none", QueueBound: 10}}, "x")
	allowed := func() (n int) {
		for ; q.AllowRetry("a"); n++ {
		}
		return n
	}
	assert.Equal(t, allowed(), retryBurst)
	for i := range 400 {
		it := task(fmt.Sprint(i), "x", "a", 1)
		it.Retry = i%2 == 1 // a retry earns no tokens
		q.Started(epoch, it)
	}
	assert.Equal(t, allowed(), 25)
	assert.Assert(t, !q.AllowRetry("none") && !q.AllowRetry("unknown"))
}

// TestSetPolicy guards against items that are lost when their class or workspace is
// removed, and against a change of policy that drops other items.
func TestSetPolicy(t *testing.T) {
	a, b := bundle.Class{Name: "a", QueueBound: 10}, bundle.Class{Name: "b", QueueBound: 10}
	q := newQueue(10, []bundle.Class{a, b}, "x", "y")
	offer(t, q, task("1", "x", "b", 1), task("2", "x", "a", 1), task("3", "y", "a", 1), task("4", "y", "b", 1))
	out, _ := q.Next(epoch)
	assert.Equal(t, out.Key.JobID, "2")
	removed := q.SetPolicy([]bundle.Class{b}, workspacesOf("x"))
	assert.DeepEqual(t, removed, []Item{task("3", "y", "a", 1), task("4", "y", "b", 1)})
	q.Postpone(epoch, out, at(1)) // its class has been removed
	assert.DeepEqual(t, startAll(q, at(2)), []string{"1"})
	assert.DeepEqual(t, q.Expire(at(2)), []Item{out})
}

// TestShapeOverflow guards against lost items when there are more shapes than the
// table has indices.
func TestShapeOverflow(t *testing.T) {
	q := newQueue(1<<20, []bundle.Class{{Name: "a", QueueBound: 1000}}, "x")
	for i := range 200 {
		it := task(fmt.Sprint(i), "x", "a", 1<<(i%20))
		it.Resources.CPUMilli = 1 << (i / 20)
		offer(t, q, it)
	}
	assert.Equal(t, len(startAll(q, epoch)), 200)
}
