package queue

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/bundle"
)

const (
	floodSlots    = 100
	floodDuration = 90 * time.Second
)

var floodClasses = []bundle.Class{
	{Name: "urgent", Rank: 0, Floor: 0.25, QueueBound: 5000},
	{Name: "lookup", Rank: 1, Floor: 0.25, QueueBound: 5000},
	{Name: "quote", Rank: 2, Floor: 0.25, QueueBound: 5000},
	{Name: "sweep", Rank: 3, Floor: 0.2, QueueBound: 5000},
}

// floodSources returns sources that offer half of the capacity, spread evenly over
// the classes. For a load above 0.5, one more workspace floods the given class until
// the total is load times the capacity.
func floodSources(flood string, load float64) []source {
	list := []source{
		{class: "urgent", size: 1, run: 200 * time.Millisecond, deadline: 4 * time.Second},
		{class: "lookup", size: 1, run: 500 * time.Millisecond, deadline: 10 * time.Second},
		{class: "quote", size: 4, run: 2 * time.Second, deadline: 30 * time.Second},
		{class: "sweep", size: 2, run: 5 * time.Second, deadline: time.Minute},
	}
	for i := range list {
		list[i].load, list[i].workspace, list[i].workspaces = floodSlots*0.125, "workspace", 10
	}
	for _, src := range list {
		if src.class == flood && load > 0.5 {
			src.load, src.workspace, src.workspaces = floodSlots*(load-0.5), flooder, 0
			list = append(list, src)
		}
	}
	return list
}

func floodQueue() *Queue {
	names := []string{flooder}
	for i := range 10 {
		names = append(names, fmt.Sprint("workspace", i))
	}
	return newQueue(floodSlots, floodClasses, names...)
}

func runFlood(q scheduler, flood string, load float64) *server {
	s := newServer(q, floodSlots, floodSources(flood, load))
	s.run(epoch.Add(floodDuration))
	return s
}

func (s *server) total() (sum float64) {
	for _, work := range s.goodput {
		sum += work
	}
	return sum
}

func (s *server) log(t *testing.T, name string, unflooded *server) {
	for _, c := range floodClasses {
		h := s.waits[c.Name]
		t.Logf("%s %s: goodput %.1f%% of unflooded, wait p50 %d ms p99.9 %d ms", name, c.Name,
			100*s.goodput[c.Name]/unflooded.goodput[c.Name], h.ValueAtQuantile(50), h.ValueAtQuantile(99.9))
	}
	t.Logf("%s all: %.1f%% of capacity", name, 100*s.total()/(floodSlots*floodDuration.Seconds()))
}

// TestFlood guards against a flood of one class by one workspace that takes goodput
// from other classes or workspaces, delays urgent items, or lowers the total goodput.
// The results of the FIFO baseline are logged for comparison.
func TestFlood(t *testing.T) {
	unflooded := runFlood(floodQueue(), "", 0.5)
	unflooded.log(t, "queue 50%", unflooded)
	for _, flood := range []string{"urgent", "quote", "sweep"} {
		previous := unflooded.total()
		for _, load := range []float64{0.9, 3, 10} {
			s := runFlood(floodQueue(), flood, load)
			s.log(t, fmt.Sprintf("queue %.0f%% %s", 100*load, flood), unflooded)
			runFlood(&fifo{Queue: New(1), bound: 20000}, flood, load).log(t, fmt.Sprintf("FIFO %.0f%% %s", 100*load, flood), unflooded)
			for _, c := range floodClasses { // including the other workspaces of the flooded class
				assert.Assert(t, s.goodput[c.Name] >= 0.95*unflooded.goodput[c.Name], "goodput of %s under a flood of %s at load %v", c.Name, flood, load)
			}
			assert.Assert(t, s.waits["urgent"].ValueAtQuantile(99.9) <= 4300)
			assert.Assert(t, s.total() >= 0.98*previous, "total goodput falls at load %v of %s", load, flood)
			previous = s.total()
		}
	}
}

// TestDeterministic guards against results that depend on map iteration order.
func TestDeterministic(t *testing.T) {
	first, second := runFlood(floodQueue(), "sweep", 3), runFlood(floodQueue(), "sweep", 3)
	assert.Assert(t, maps.Equal(first.goodput, second.goodput))
	assert.DeepEqual(t, first.queue.(*Queue).Stats(), second.queue.(*Queue).Stats())
}
