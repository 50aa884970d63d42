package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

// benchQueue returns a queue with 5 classes, 160 workspaces and the given number of
// waiting items, and a function that generates further items.
func benchQueue(waiting int) (*Queue, func(now time.Time) Item) {
	q := New(1)
	q.SetCapacity(api.Resources{CPUMilli: 832_000_000, MemoryMB: 1 << 30, Slots: 104_000, Connections: 780_000})
	var classes []bundle.Class
	for rank := range 5 {
		classes = append(classes, bundle.Class{Name: fmt.Sprint("c", rank), Rank: rank, Floor: 0.1, QueueBound: 1 << 20})
	}
	names := make([]string, 160)
	for i := range names {
		names[i] = fmt.Sprint("workspace", i)
	}
	q.SetPolicy(classes, workspacesOf(names...))
	number := 0
	item := func(now time.Time) Item {
		number++
		return Item{Key: Key{fmt.Sprint(number), 0}, Workspace: names[number*7%160], Class: classes[number%5].Name,
			Kind: api.KindRequest, Tasks: 1, Submitted: now, Deadline: now.Add(time.Hour),
			Resources: api.Resources{CPUMilli: 500 << (number % 6), MemoryMB: 512 << (number % 5), Slots: 1, Connections: 1}}
	}
	for range waiting {
		_ = q.Offer(epoch, item(epoch))
	}
	return q, item
}

// BenchmarkOfferNext measures the path of one item through the queue.
func BenchmarkOfferNext(b *testing.B) {
	for _, waiting := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q, item := benchQueue(waiting)
			now := epoch
			for b.Loop() {
				now = now.Add(time.Millisecond)
				_ = q.Offer(now, item(now))
				if it, ok := q.Next(now); ok {
					q.Started(now, it)
					q.Finished(now, it, time.Second)
				}
			}
		})
	}
}

// BenchmarkSaturated measures a scheduling round on a saturated system: one item has
// ended, one item starts, and the following ones are postponed.
func BenchmarkSaturated(b *testing.B) {
	q, item := benchQueue(100_000)
	now := epoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		_ = q.Offer(now, item(now))
		q.CapacityFreed(now)
		it, _ := q.Next(now)
		q.Started(now, it)
		for next, ok := q.Next(now); ok; next, ok = q.Next(now) {
			q.Postpone(now, next, now.Add(time.Second))
		}
		q.Finished(now, it, time.Second)
	}
}

// BenchmarkRefuse measures the refusal of items by full classes.
func BenchmarkRefuse(b *testing.B) {
	q, item := benchQueue(100_000)
	for _, c := range q.classes {
		c.policy.QueueBound = 1
	}
	for b.Loop() {
		_ = q.Offer(epoch, item(epoch))
	}
}

// BenchmarkCancelWave measures the cancellation of all waiting items.
func BenchmarkCancelWave(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		q, _ := benchQueue(100_000)
		b.StartTimer()
		for number := range 100_000 {
			q.Cancel(Key{fmt.Sprint(number + 1), 0})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/100_000, "ns/item")
}
