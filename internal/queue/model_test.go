package queue

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func slots(n int64) api.Resources { return api.Resources{Slots: n} }

// scheduler is a source of items for the server: a Queue or the FIFO baseline.
type scheduler interface {
	Offer(now time.Time, it Item) error
	Next(now time.Time) (Item, bool)
	Postpone(now time.Time, it Item, until time.Time)
	CapacityFreed(now time.Time)
	Started(now time.Time, it Item)
	Finished(now time.Time, it Item, ran time.Duration)
	Expire(now time.Time) []Item
}

// fifo is the baseline: a single queue for all items, in which a head that does not fit
// blocks all others. It has no classes, so Started, Finished and Expire of the embedded
// Queue do nothing.
type fifo struct {
	*Queue
	items   []Item
	bound   int
	head    *Item // postponed because it does not fit
	blocked bool  // by head, until capacity is freed
}

func (f *fifo) Offer(_ time.Time, it Item) error {
	if len(f.items) >= f.bound {
		return errors.New("full")
	}
	f.items = append(f.items, it)
	return nil
}

func (f *fifo) Next(now time.Time) (it Item, ok bool) {
	if f.blocked {
		return Item{}, false
	}
	if f.head != nil {
		it, f.head = *f.head, nil
		return it, true
	}
	for len(f.items) > 0 {
		it, f.items = f.items[0], f.items[1:]
		if it.Deadline.After(now) {
			return it, true
		}
	}
	return Item{}, false
}

func (f *fifo) Postpone(_ time.Time, it Item, _ time.Time) { f.head, f.blocked = &it, true }
func (f *fifo) CapacityFreed(time.Time)                    { f.blocked = false }

// source is a Poisson stream of items of one class.
type source struct {
	class, workspace string
	size             int64 // slots
	run              time.Duration
	deadline         time.Duration // 0 makes the items a batch
	load             float64       // slot-seconds offered per second
	workspaces       int           // number of workspaces to spread items over; 0 for a single one
}

// flooder is the workspace whose results are recorded separately from its class.
const flooder = "flooder"

// label returns the key under which results are recorded.
func label(class, workspace string) string {
	if workspace == flooder {
		return flooder
	}
	return class
}

// event is an arrival from a source, or the end of a running item.
type event struct {
	at     time.Time
	source int // index in server.sources; -1 for an end
	item   Item
}

// server simulates the execution of a scheduler's items on a fixed number of slots.
type server struct {
	queue   scheduler
	free    int64
	now     time.Time
	number  int
	events  []event // ordered by time
	sources []source
	random  []*rand.Rand
	goodput map[string]float64 // slot-seconds finished, by label
	waits   map[string]*hdrhistogram.Histogram
	onStart func(Item)
}

func newServer(q scheduler, capacity int64, sources []source) *server {
	s := &server{queue: q, free: capacity, now: epoch, sources: sources, onStart: func(Item) {},
		goodput: map[string]float64{}, waits: map[string]*hdrhistogram.Histogram{}}
	for i, src := range sources {
		s.random = append(s.random, rand.New(rand.NewPCG(1, uint64(i))))
		s.waits[label(src.class, src.workspace)] = hdrhistogram.New(1, 600_000, 3)
		s.scheduleArrival(i)
	}
	return s
}

func (s *server) push(e event) {
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, i, e)
}

func (s *server) scheduleArrival(i int) {
	src := s.sources[i]
	rate := src.load / (float64(src.size) * src.run.Seconds())
	gap := time.Duration(s.random[i].ExpFloat64() / rate * float64(time.Second))
	s.push(event{at: s.now.Add(gap), source: i})
}

func (s *server) arrive(i int) {
	src := s.sources[i]
	s.number++
	it := Item{Key: Key{strconv.Itoa(s.number), 0}, Workspace: src.workspace, Class: src.class, Kind: api.KindBatch,
		Resources: slots(src.size), Tasks: 1, Submitted: s.now, RunTime: src.run}
	if src.workspaces > 0 {
		it.Workspace += strconv.Itoa(s.random[i].IntN(src.workspaces))
	}
	if src.deadline > 0 {
		it.Kind, it.Deadline = api.KindRequest, s.now.Add(src.deadline)
	}
	_ = s.queue.Offer(s.now, it) // a refused caller does not retry
	s.scheduleArrival(i)
}

func (s *server) run(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		if e.source >= 0 {
			s.arrive(e.source)
		} else {
			s.free += e.item.Resources.Slots
			s.goodput[label(e.item.Class, e.item.Workspace)] += float64(e.item.Resources.Slots) * e.item.RunTime.Seconds()
			s.queue.Finished(s.now, e.item, e.item.RunTime)
			s.queue.CapacityFreed(s.now)
		}
		s.queue.Expire(s.now)
		s.dispatch()
	}
}

func (s *server) dispatch() {
	for it, ok := s.queue.Next(s.now); ok; it, ok = s.queue.Next(s.now) {
		if it.Resources.Slots > s.free {
			s.queue.Postpone(s.now, it, s.now.Add(time.Second))
			continue
		}
		s.free -= it.Resources.Slots
		s.queue.Started(s.now, it)
		s.push(event{at: s.now.Add(it.RunTime), source: -1, item: it})
		if h := s.waits[label(it.Class, it.Workspace)]; h != nil {
			_ = h.RecordValue(s.now.Sub(it.Submitted).Milliseconds())
		}
		s.onStart(it)
	}
}

// newQueue returns a queue with the given slots, classes and workspaces of equal
// weight.
func newQueue(capacity int64, classes []bundle.Class, workspaces ...string) *Queue {
	q := New(1)
	q.SetCapacity(slots(capacity))
	q.SetPolicy(classes, workspacesOf(workspaces...))
	return q
}

func workspacesOf(names ...string) (workspaces []bundle.Workspace) {
	for _, name := range names {
		workspaces = append(workspaces, bundle.Workspace{Name: name, Weight: 1})
	}
	return workspaces
}
