package cell

import (
	"cmp"
	"slices"
)

// Summary counts the jobs, steps, attempts, workers and policy calls of a Scheduler.
type Summary struct {
	Jobs         int // jobs that have not ended
	Waiting      int // steps with tasks to place
	Late         int // waiting steps whose latest start has passed
	Attempts     int // open attempts
	Closing      int // attempts that are being stopped
	Workers      int
	Usable       int   // workers that accept new tasks
	Probation    int   // workers that get one task at a time
	FreeCPUMilli int64 // free CPU on usable workers, in thousandths of a core
	Calls        int   // calls to the policy service in flight
	CallsWaiting int   // steps waiting for a call to the policy service
	Limited      int   // workspaces whose limit holds steps at present
	Settled      bool  // tasks of restored jobs may be placed
}

// Summary returns the current counts.
func (s *Scheduler) Summary() Summary {
	sum := Summary{Waiting: len(s.waiting), Workers: len(s.workers), CallsWaiting: len(s.callQueue), Settled: s.Settled()}
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
	for _, u := range s.uses {
		if u.limitedSince != 0 {
			sum.Limited++
		}
	}
	return sum
}

func (sum *Summary) add(w *worker, now Instant) {
	sum.Attempts += len(w.attempts)
	for _, a := range w.attempts {
		if a.phase == stopping {
			sum.Closing++
		}
	}
	if w.takesWork(now) {
		sum.Usable++
		sum.FreeCPUMilli += w.free().CPUMilli
	}
	if w.health.probation {
		sum.Probation++
	}
}

// Dump is the state of a Scheduler in a form for operators.
type Dump struct {
	Summary Summary
	Steps   []StepDump // waiting steps
	Workers []WorkerDump
	// Workspaces are those with jobs or a limit.
	Workspaces []WorkspaceDump `json:",omitempty"`
}

// WorkspaceDump describes what a workspace uses.
type WorkspaceDump struct {
	Name     string
	Limit    Resources // in this cell; 0 for no limit
	Used     Resources // by tasks that may be running
	Unlisted Resources // by tasks of an earlier holder on workers that have not listed them, at most
	Held     int       // waiting steps that the limit holds
	HeldMS   int64     // for how long it has held steps
}

// StepDump describes a waiting step.
type StepDump struct {
	Step      string
	Queue     string
	Tasks     int
	Done      int
	Placed    int   // tasks with an attempt
	LatestMS  int64 // ms until the latest start; negative if it has passed
	Allowed   int   // workers that the policy service allows
	Permitted int   // allowed workers with a valid permit
	Asking    bool  // a call to the policy service is queued or in flight
	Limited   bool  // the limit of the workspace holds the step
}

// WorkerDump describes a worker and its resource accounting.
type WorkerDump struct {
	ID           string
	Rack         string
	Listed       bool // in the platform's registry
	Fenced       bool // has reported its tasks to this holder
	Draining     bool
	Probation    bool
	Attempts     int
	Foreign      int // runs unknown to this Scheduler
	Free         Resources
	Unstored     int    // ended runs that may not be acknowledged yet
	Acknowledged uint64 // number up to which ended runs are acknowledged
}

// Dump returns the state of the Scheduler. Steps are in queue order, workers are sorted
// by ID.
func (s *Scheduler) Dump() Dump {
	d := Dump{Summary: s.Summary()}
	for _, st := range s.waiting {
		d.Steps = append(d.Steps, s.dumpStep(st))
	}
	for _, w := range s.workers {
		d.Workers = append(d.Workers, WorkerDump{
			ID: w.ID, Rack: w.Rack, Listed: w.registered, Fenced: w.fenced, Draining: w.Draining, Probation: w.health.probation,
			Attempts: len(w.attempts), Foreign: len(w.unknownRuns), Free: w.free(), Unstored: len(w.pendingEnds), Acknowledged: w.acknowledged,
		})
	}
	slices.SortFunc(d.Workers, func(a, b WorkerDump) int { return cmp.Compare(a.ID, b.ID) })
	d.Workspaces = s.dumpWorkspaces()
	return d
}

// dumpWorkspaces returns the workspaces sorted by name.
func (s *Scheduler) dumpWorkspaces() []WorkspaceDump {
	held := map[*workspaceUse]int{}
	for _, st := range s.waiting {
		if st.limited {
			held[st.job.use]++
		}
	}
	out := make([]WorkspaceDump, 0, len(s.uses))
	for _, u := range s.uses {
		d := WorkspaceDump{Name: u.name, Limit: u.limit, Used: u.used, Unlisted: u.unlisted, Held: held[u]}
		if u.limitedSince != 0 {
			d.HeldMS = int64(s.now - u.limitedSince)
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b WorkspaceDump) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (s *Scheduler) dumpStep(st *step) StepDump {
	d := StepDump{
		Step: st.name(), Queue: st.job.Queue.Name, Tasks: len(st.tasks), Done: st.done,
		LatestMS: int64(st.latestStart - s.now), Allowed: len(st.permits.allowed), Asking: st.permits.pending(), Limited: st.limited,
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
