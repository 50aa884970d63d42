package placement

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// Summary is the state that peers use to choose a holder for a task.
type Summary struct {
	Held int `json:"held"` // workers held
	// Capacity is the total of the held workers that accept new work.
	Capacity api.Resources `json:"capacity"`
	// Free and Largest are the sum and the largest of the free amounts per dimension
	// over the workers on which a task can currently be placed.
	Free    api.Resources `json:"free"`
	Largest api.Resources `json:"largest"`
	// FreeByClass is the amount that each class of the bundle may still take under
	// floors and ceilings, at most Free.
	FreeByClass map[string]api.Resources `json:"free_by_class,omitempty"`
}

// Summary returns the current totals, in time proportional to the number of classes
// and of workers changed since the last call.
func (p *Pool) Summary() Summary {
	p.updateIndex()
	s := Summary{
		Held:        len(p.workers),
		Capacity:    p.classes.capacity,
		Free:        p.index.free,
		FreeByClass: make(map[string]api.Resources, len(p.classes.listed)),
	}
	if p.index.root != nil {
		s.Largest = positive(p.index.root.node.maxFree)
	}
	for _, c := range p.classes.listed {
		available := smaller(p.classes.ceilingLeft(c), p.classes.availableUnderFloors(c, api.Resources{}))
		s.FreeByClass[c.policy.Name] = positive(smaller(available, s.Free))
	}
	return s
}

// WorkerState is a worker in the state dump of the process.
type WorkerState struct {
	Worker
	Charged    api.Resources `json:"charged"`
	Free       api.Resources `json:"free"`           // negative where tasks use more than the capacity
	UsedMemory int64         `json:"used_memory_mb"` // measured, in mebibytes
	Leaving    bool          `json:"leaving,omitempty"`
	Drained    bool          `json:"drained,omitempty"`
	Probation  bool          `json:"probation,omitempty"`
	// BlockedUntil is set while the worker accepts no new work because of probation.
	BlockedUntil time.Time   `json:"blocked_until,omitzero"`
	Tasks        []TaskState `json:"tasks,omitempty"`
}

// TaskState is a reservation or running attempt in the state dump.
type TaskState struct {
	Attempt   api.AttemptID `json:"attempt"`
	Class     string        `json:"class"`
	Workspace string        `json:"workspace"`
	Charge    api.Resources `json:"charge"`
	Running   bool          `json:"running"`
	Expires   time.Time     `json:"expires,omitzero"` // of a reservation
}

// Dump returns the state of all held workers, sorted by name.
func (p *Pool) Dump() []WorkerState {
	states := make([]WorkerState, 0, len(p.workers))
	for _, name := range p.Workers() {
		w := p.workers[name]
		state := WorkerState{
			Worker:     w.Worker,
			Charged:    w.charged,
			Free:       w.free(),
			UsedMemory: w.usedMemory,
			Leaving:    p.leaving[name],
			Drained:    p.drained[name],
			Probation:  w.health.probation,
		}
		if until := w.health.blockedUntil(); until.After(p.now) {
			state.BlockedUntil = until
		}
		for _, t := range w.tasks {
			state.Tasks = append(state.Tasks, t.state())
		}
		states = append(states, state)
	}
	return states
}

func (t *task) state() TaskState {
	s := TaskState{Attempt: t.spec.Attempt, Class: t.spec.Class, Workspace: t.spec.Workspace, Charge: t.charge, Running: t.running}
	if !t.running {
		s.Expires = t.expires
	}
	return s
}
