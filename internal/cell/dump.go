package cell

import (
	"cmp"
	"slices"
)

// Summary counts what a scheduler holds.
type Summary struct {
	Jobs         int // that have not ended
	Waiting      int // steps with tasks to place
	Late         int // of these, steps that can no longer be on time
	Attempts     int // open attempts
	Closing      int // of these, attempts that are being stopped
	Workers      int
	Usable       int   // workers that take new work
	Probation    int   // workers that take one task at a time
	FreeCPUMilli int64 // on usable workers
	Calls        int   // calls of the policy service under way
	CallsWaiting int   // steps that wait for a call
	Settled      bool  // restored jobs may be placed
}

// Summary returns the present counts.
func (s *Scheduler) Summary() Summary {
	sum := Summary{Waiting: len(s.waiting), Workers: len(s.workers), CallsWaiting: len(s.asks), Settled: s.Settled()}
	for _, j := range s.jobs {
		if j.final == "" {
			sum.Jobs++
		}
	}
	for _, st := range s.waiting {
		if st.lateness(s.now) != onTime {
			sum.Late++
		}
	}
	for _, c := range s.callers {
		sum.Calls += len(c.calls)
	}
	for _, w := range s.workers {
		sum.add(w, s.now)
	}
	return sum
}

func (sum *Summary) add(w *worker, now Instant) {
	sum.Attempts += len(w.attempts)
	for _, a := range w.attempts {
		if a.phase == closing {
			sum.Closing++
		}
	}
	if w.takesWork(now) {
		sum.Usable++
		sum.FreeCPUMilli += w.free().CPUMilli
	}
	if w.health.trial {
		sum.Probation++
	}
}

// Dump is the state of a scheduler for people.
type Dump struct {
	Summary Summary
	Steps   []StepDump // that wait
	Workers []WorkerDump
}

// StepDump is a waiting step.
type StepDump struct {
	Step      string
	Queue     string
	Tasks     int
	Done      int
	Placed    int   // tasks with an attempt
	LatestMS  int64 // until the latest start, negative if it has passed
	Allowed   int   // workers that the policy service allows
	Permitted int   // of these, with a permit that is valid
	Asking    bool  // a call of the policy service is due or under way
}

// WorkerDump is the accounting of a worker.
type WorkerDump struct {
	ID           string
	Rack         string
	Listed       bool // in the platform's registry
	Fenced       bool // has listed its tasks to this holder
	Draining     bool
	Probation    bool
	Attempts     int
	Foreign      int // runs that this holder does not know
	Free         Resources
	Unstored     int    // ends that may not be acknowledged yet
	Acknowledged uint64 // ends up to this number
}

// Dump returns the state of the scheduler.
func (s *Scheduler) Dump() Dump {
	d := Dump{Summary: s.Summary()}
	for _, st := range s.waiting {
		d.Steps = append(d.Steps, s.dumpStep(st))
	}
	for _, w := range s.workers {
		d.Workers = append(d.Workers, WorkerDump{
			ID: w.ID, Rack: w.Rack, Listed: w.listed, Fenced: w.fenced, Draining: w.Draining, Probation: w.health.trial,
			Attempts: len(w.attempts), Foreign: len(w.foreign), Free: w.free(), Unstored: len(w.ends), Acknowledged: w.acknowledged,
		})
	}
	slices.SortFunc(d.Workers, func(a, b WorkerDump) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

func (s *Scheduler) dumpStep(st *step) StepDump {
	d := StepDump{
		Step: st.name(), Queue: st.job.Queue.Name, Tasks: len(st.tasks), Done: st.done,
		LatestMS: int64(st.latest - s.now), Allowed: len(st.permits.allowed), Asking: st.permits.pending,
	}
	for _, t := range st.tasks {
		if len(t.attempts) > 0 {
			d.Placed++
		}
	}
	for id := range st.permits.allowed {
		if w := s.workers[id]; w != nil && st.permitted(w, s.now) {
			d.Permitted++
		}
	}
	return d
}
