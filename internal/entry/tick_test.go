package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/cell"
)

// startsOf performs the scheduler's actions as far as they are records, and returns the
// starts among them.
func startsOf(s *cell.Scheduler) (starts []cell.Start) {
	for actions := s.Actions(); len(actions) > 0; actions = s.Actions() {
		for _, action := range actions {
			switch a := action.(type) {
			case cell.Persist:
				s.Stored(a.Seq)
			case cell.Start:
				starts = append(starts, a)
			}
		}
	}
	return starts
}

// Guards against a run that is taken for ended because it is missing from a listing that was
// made before its start: a second run of the task began, and the worker was over its capacity.
func TestStartIsConfirmedWhenItsEventIsHandled(t *testing.T) {
	time.Sleep(5 * time.Millisecond) // the scheduler's clock starts at 0, which stands for no time
	h := newHolder(newAgent(NewNode(Config{Name: "a", Cells: 1}, Platform{}), 0), claim{Term: 1}, 0)
	h.sched = cell.New(cell.Config{KeepEndedMS: 1000})
	s := h.sched
	h.tick()
	s.SetWorkers([]cell.WorkerInfo{{ID: "w", Service: "svc", Capacity: cell.Resources{CPUMilli: 1000, MemoryMB: 1000}}})
	s.Listed(cell.Listing{Worker: "w", Incarnation: 1, RequestedAt: h.now()})
	startsOf(s)
	s.Submit(&cell.Job{
		ID: "0000000000000001", Queue: cell.Queue{Name: "q", Service: "svc", MaxAttempts: 2},
		Steps: []cell.Step{{Tasks: 1, Resources: cell.Resources{CPUMilli: 500}, EstimateMS: 1000}},
	})
	starts := startsOf(s)
	assert.Equal(t, len(starts), 1)

	h.tick()
	h.post(func(*cell.Scheduler) { time.Sleep(30 * time.Millisecond) })
	var requested cell.Instant
	h.post(func(s *cell.Scheduler) {
		requested = h.now() - 10 // the worker made the listing before it carried out the start
		s.Started("w", starts[0].Task, starts[0].Run, cell.StartAccepted)
	})
	h.post(func(s *cell.Scheduler) { s.Listed(cell.Listing{Worker: "w", Incarnation: 1, RequestedAt: requested}) })
	h.handleQueuedEvents()
	assert.Equal(t, len(startsOf(s)), 0, "the task was started again")
}
