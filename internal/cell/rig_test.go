package cell

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// rig runs a Scheduler against an in-memory log and simulated workers, and carries out
// its actions.
type rig struct {
	t              *testing.T
	s              *Scheduler
	now            Instant
	unixMS         int64
	log            map[string][]byte
	seq            uint64
	logDown        bool // the log does not answer
	starts         []Start
	stops          []Stop
	permitRequests []RequestPermits
	throttles      []Throttle
	workers        map[string]*fakeWorker
	infos          []WorkerInfo
	allow          func(step, worker string) bool
	workspaces     []Workspace // with limits; nil for none
}

type fakeWorker struct {
	running     []RunningTask
	ended       []EndedTask
	number      uint64
	unreachable bool // does not answer the holder
	incarnation int64
	omitted     int // ended tasks that its listings leave out
}

func newRig(t *testing.T, workers int, capacity Resources) *rig {
	r := &rig{t: t, log: map[string][]byte{}, workers: map[string]*fakeWorker{}, unixMS: 1_000_000}
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		r.workers[id] = &fakeWorker{}
		r.infos = append(r.infos, WorkerInfo{ID: id, Service: "svc", Capacity: capacity, Rack: fmt.Sprintf("r%d", i/4), Labels: []string{"a", fmt.Sprintf("r%d", i/4)}})
	}
	r.takeOver(1)
	return r
}

// takeOver replaces the Scheduler with that of a new holder, restored from the log.
func (r *rig) takeOver(term uint32) {
	r.s = New(Config{
		Term: term - 1, RestoreUntil: r.now + 12000, RemoteDataFactor: 3, KeepEndedMS: 120000, StopTimeoutMS: 400, LongestLeaseMS: 6200,
		LimitsRequired: r.workspaces != nil,
	})
	r.s.Tick(r.now, r.unixMS)
	if r.workspaces != nil {
		r.s.SetWorkspaces(r.workspaces)
	}
	var records []Record
	for key, value := range r.log {
		records = append(records, Record{key, value})
	}
	r.s.Confirm(r.now)
	assert.Equal(r.t, len(r.s.Restore(records)), 0)
	r.seq = 0
	r.s.SetCallers([]string{"e1", "e2"})
	r.s.SetWorkers(r.infos)
	for _, info := range r.infos {
		r.sendListing(info.ID)
	}
	r.runActions()
}

// sendListing reports a worker's tasks and drops its acknowledged ends.
func (r *rig) sendListing(id string) {
	w := r.workers[id]
	if w == nil || w.unreachable {
		return
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > r.s.Acknowledged(id) {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	listed := w.ended[:max(len(w.ended)-w.omitted, 0)]
	r.s.Listed(Listing{Worker: id, Incarnation: 1 + w.incarnation, RequestedAt: r.now, Running: append([]RunningTask(nil), w.running...), Ended: append([]EndedTask(nil), listed...), EndsOmitted: w.omitted > 0})
}

// runActions carries out the Scheduler's actions until there are none.
func (r *rig) runActions() {
	for {
		actions := r.s.Actions()
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			r.perform(action)
		}
		if !r.logDown {
			r.s.Stored(r.seq)
		}
	}
}

func (r *rig) perform(action Action) {
	switch a := action.(type) {
	case Start:
		r.starts = append(r.starts, a)
		w := r.workers[a.Worker]
		if w.unreachable {
			return
		}
		w.running = append(w.running, RunningTask{Task: a.Task, Run: a.Run})
		r.s.Started(a.Worker, a.Task, a.Run, StartAccepted)
	case Stop:
		r.stops = append(r.stops, a)
		if w := r.workers[a.Worker]; w != nil && !w.unreachable {
			r.endRun(a.Worker, a.Task, a.Run, EndStopped)
			r.s.Stopped(a.Worker, a.Task, a.Run)
		}
	case Throttle:
		r.throttles = append(r.throttles, a)
	case RequestPermits:
		r.permitRequests = append(r.permitRequests, a)
		if r.allow == nil {
			return
		}
		tickets := map[string]string{}
		for _, id := range a.Workers {
			if r.allow(a.Step, id) {
				tickets[id] = "t-" + id
			}
		}
		r.s.PermitsReceived(PermitResult{Caller: a.Caller, Step: a.Step, Workers: a.Workers, Tickets: tickets, ValidForMS: 1500})
	case Persist:
		if r.logDown {
			return
		}
		r.seq = a.Seq
		if a.Value == nil {
			delete(r.log, a.Key)
		} else {
			r.log[a.Key] = a.Value
		}
	}
}

// endRun ends a run on a worker if it is running there.
func (r *rig) endRun(worker string, task TaskID, run uint32, kind EndKind) {
	w := r.workers[worker]
	for i, running := range w.running {
		if running.Task == task && running.Run == run {
			w.running = append(w.running[:i], w.running[i+1:]...)
			w.number++
			w.ended = append(w.ended, EndedTask{Number: w.number, Task: task, Run: run, Kind: kind, Checkpoint: running.Checkpoint})
			return
		}
	}
}

// endLast ends the run that was started last and reports its end.
func (r *rig) endLast(kind EndKind) {
	last := r.starts[len(r.starts)-1]
	r.endRun(last.Worker, last.Task, last.Run, kind)
	r.advance(10)
}

// advance advances the clocks by ms and reports the tasks of every worker.
func (r *rig) advance(ms int64) {
	r.now += Instant(ms)
	r.unixMS += ms
	r.s.Tick(r.now, r.unixMS)
	if !r.logDown {
		r.s.Confirm(r.now)
	}
	for _, info := range r.infos {
		r.sendListing(info.ID)
	}
	r.runActions()
}

// submit submits a job, to a default queue if it has none.
func (r *rig) submit(j Job) {
	if j.Queue.Service == "" {
		j.Queue = Queue{Name: "q", Service: "svc", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMS: 1000}
	}
	r.s.Submit(&j)
	r.runActions()
}

func (r *rig) state(id string) State {
	state, known := r.s.Status(id)
	if !known {
		return "unknown"
	}
	return state
}

// jobID returns a job ID that ends in n, which must be less than 16.
func jobID(n int) string { return strings.Repeat("0", 15) + fmt.Sprintf("%x", n) }

func oneStep(id string, st Step) Job { return Job{ID: id, Steps: []Step{st}} }
