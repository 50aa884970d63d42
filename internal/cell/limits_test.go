package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// limitedRig is a rig with workspaces.
type limitedRig struct {
	*rig
	demands map[int]int64 // CPU of a task, by number of the job
}

// newLimitedRig returns a rig whose workspace a may use the given CPU, and b as much as it wants.
func newLimitedRig(t *testing.T, workers int, cpuMilli int64) *limitedRig {
	r := &limitedRig{newRig(t, workers, Resources{CPUMilli: 8000, MemoryMB: 8000}), map[int]int64{}}
	r.workspaces = []Workspace{{Name: "a", Limit: Resources{CPUMilli: cpuMilli}}, {Name: "b"}}
	r.takeOver(1)
	return r
}

// setLimit changes the limit of workspace a.
func (r *limitedRig) setLimit(cpuMilli int64) {
	r.workspaces[0].Limit.CPUMilli = cpuMilli
	r.s.SetWorkspaces(r.workspaces)
	r.advance(10)
}

// submitTo submits a job of one step to a workspace.
func (r *limitedRig) submitTo(workspace string, n int, st Step) {
	j := oneStep(jobID(n), st)
	j.Workspace = workspace
	r.demands[n] = st.Resources.CPUMilli
	r.submit(j)
}

// inUse returns the CPU that the jobs with the given numbers use on all workers.
func (r *limitedRig) inUse(jobs ...int) (cpuMilli int64) {
	for _, w := range r.workers {
		for _, run := range w.running {
			for _, n := range jobs {
				if run.Task.Job == jobID(n) {
					cpuMilli += r.demands[n]
				}
			}
		}
	}
	return cpuMilli
}

// endOne ends a run of a job.
func (r *limitedRig) endOne(n int) {
	for id, w := range r.workers {
		for _, run := range w.running {
			if run.Task.Job == jobID(n) {
				r.endRun(id, run.Task, run.Run, EndDone)
				r.advance(10)
				return
			}
		}
	}
	r.t.Fatalf("job %d runs nowhere", n)
}

func tasks(n int, estimateMS int64) Step {
	return Step{Tasks: n, Resources: Resources{CPUMilli: 1000, MemoryMB: 10}, EstimateMS: estimateMS}
}

func gangOf(n int, estimateMS int64) Step {
	st := tasks(n, estimateMS)
	st.Gang = true
	return st
}

// Guards against a step whose tasks exceed the limit of its workspace, and against one that does not
// use what the limit allows.
func TestStepRunsInWavesUnderItsLimit(t *testing.T) {
	r := newLimitedRig(t, 4, 5500)
	r.submitTo("a", 1, tasks(12, 100))
	for ended := range 12 {
		assert.Equal(t, r.inUse(1), int64(min(5, 12-ended)*1000), "after %d ends", ended)
		r.endOne(1)
	}
	assert.Equal(t, r.state(jobID(1)), Completed)
	assert.Equal(t, r.s.uses["a"].used, Resources{})
}

// Guards against a workspace at its limit that keeps others, or jobs without a workspace, from starting.
func TestLimitHoldsItsWorkspaceOnly(t *testing.T) {
	r := newLimitedRig(t, 4, 2000)
	r.submitTo("a", 1, tasks(12, 100))
	r.submitTo("b", 2, tasks(12, 100))
	r.submitTo("", 3, tasks(12, 100))
	assert.Equal(t, r.inUse(1), int64(2000))
	assert.Equal(t, r.inUse(2), int64(12_000))
	assert.Equal(t, r.inUse(3), int64(12_000))
}

// Guards against a job that is accepted and never starts, because its workspace may not use what it needs.
func TestJobThatExceedsItsLimitIsRefused(t *testing.T) {
	r := newLimitedRig(t, 4, 4000)
	r.workspaces[0].Limit = Resources{CPUMilli: 4000, MemoryMB: 100}
	r.workspaces = append(r.workspaces, Workspace{Name: "c", Limit: Resources{CPUMilli: -1}})
	r.s.SetWorkspaces(r.workspaces)
	for _, test := range []struct {
		name      string
		workspace string
		step      Step
		want      bool
	}{
		{"many tasks", "a", tasks(100, 100), true},
		{"a gang as wide as the limit", "a", gangOf(4, 100), true},
		{"a wider one", "a", gangOf(5, 100), false},
		{"the same of another workspace", "b", gangOf(5, 100), true},
		{"the same without a workspace", "", gangOf(5, 100), true},
		{"a task above the limit", "a", Step{Tasks: 1, Resources: Resources{CPUMilli: 4001}, EstimateMS: 100}, false},
		{"memory above the limit", "a", Step{Tasks: 1, Resources: Resources{CPUMilli: 100, MemoryMB: 101}, EstimateMS: 100}, false},
		{"a task that may use nothing", "c", Step{Tasks: 1, Resources: Resources{CPUMilli: 1}, EstimateMS: 100}, false},
		{"a dimension without a limit", "b", Step{Tasks: 1, Resources: Resources{CPUMilli: 100}, EstimateMS: 100}, true},
	} {
		j := oneStep(jobID(1), test.step)
		j.Workspace, j.Queue = test.workspace, Queue{Name: "q", Service: "svc"}
		err := r.s.Admit(&j)
		if test.want {
			assert.NilError(t, err, test.name)
			continue
		}
		assert.Equal(t, fault.KindOf(err), fault.QuotaExceeded, test.name)
		assert.Assert(t, fault.As(err).RetryAfterMS > 0)
	}
}

// Guards against a gang that reserves capacity on workers for a time when its limit keeps it from starting.
func TestGangHeldByItsLimitReservesNothing(t *testing.T) {
	r := newLimitedRig(t, 1, 6000)
	r.submitTo("a", 1, tasks(3, 5000))
	r.submitTo("a", 2, gangOf(4, 5000))
	r.submitTo("b", 3, tasks(5, 60_000))
	assert.Equal(t, r.inUse(2), int64(0))
	assert.Equal(t, r.inUse(3), int64(5000), "the capacity that the gang may not use is left idle")
}

// Guards against a gang that never starts because smaller tasks of its workspace always use up the limit,
// and against tasks that wait for it although they end before it can start.
func TestGangGetsItsTurnUnderALimit(t *testing.T) {
	r := newLimitedRig(t, 4, 6000)
	r.submitTo("a", 1, tasks(2, 1000))
	r.submitTo("a", 5, tasks(2, 5000))
	r.advance(10)
	r.submitTo("a", 2, gangOf(4, 2000)) // can start when job 1 has ended
	r.submitTo("a", 3, tasks(4, 3000))  // would end after that
	r.submitTo("a", 4, tasks(4, 300))   // ends before
	assert.Equal(t, r.inUse(2), int64(0))
	assert.Equal(t, r.inUse(3), int64(0), "the gang is delayed")
	assert.Equal(t, r.inUse(4), int64(2000), "the limit is left idle")
	for range 4 {
		r.advance(200)
		r.endOne(4)
	}
	r.endOne(1)
	assert.Equal(t, r.inUse(2), int64(0))
	r.endOne(1)
	assert.Equal(t, r.inUse(2), int64(4000))
	r.endOne(5)
	assert.Equal(t, r.inUse(3), int64(1000))
}

// Guards against services that wait behind a gang, and against a gang that cannot start beside services
// and holds all others.
func TestServicesDoNotWaitForAGang(t *testing.T) {
	r := newLimitedRig(t, 4, 6000)
	service := tasks(3, 0)
	service.LongRunning = true
	r.submitTo("a", 1, service)
	r.submitTo("a", 2, gangOf(4, 2000))
	r.submitTo("a", 3, tasks(1, 3000))
	r.submitTo("a", 4, service)
	assert.Equal(t, r.inUse(1), int64(3000))
	assert.Equal(t, r.inUse(2), int64(0))
	assert.Equal(t, r.inUse(3)+r.inUse(4), int64(3000))

	r = newLimitedRig(t, 4, 6000)
	r.submitTo("a", 1, tasks(4, 5000))
	r.submitTo("a", 2, gangOf(6, 2000)) // needs the whole limit
	r.submitTo("a", 3, tasks(1, 6000))
	service.Tasks = 2
	r.submitTo("a", 4, service)
	assert.Equal(t, r.inUse(2)+r.inUse(3), int64(0))
	assert.Equal(t, r.inUse(4), int64(2000))
}

// Guards against a limit that is exceeded by runs without an attempt, and by those of jobs that have ended.
func TestLimitCountsRunsThatAreBeingStopped(t *testing.T) {
	r := newLimitedRig(t, 2, 4000)
	r.submitTo("a", 1, tasks(1, 60_000))
	run := r.starts[0]
	other := "w00"
	if run.Worker == other {
		other = "w01"
	}
	// A start that counted as refused was carried out: the other worker lists another run of the task.
	r.s.Listed(Listing{Worker: other, Incarnation: 1, RequestedAt: r.now, Running: []RunningTask{{Task: run.Task, Run: run.Run + 1}}})
	assert.Equal(t, r.s.uses["a"].used.CPUMilli, int64(2000))
	r.s.Listed(Listing{Worker: other, Incarnation: 1, RequestedAt: r.now + 1})
	assert.Equal(t, r.s.uses["a"].used.CPUMilli, int64(1000))

	// A worker that runs tasks of a cancelled job falls silent, and a new holder takes over.
	r = newLimitedRig(t, 2, 4000)
	r.submitTo("a", 1, tasks(4, 60_000))
	silent := r.starts[0].Worker
	running := len(r.workers[silent].running)
	r.workers[silent].unreachable = true
	r.s.Cancel(jobID(1), Caller{})
	r.runActions()
	r.takeOver(2)
	r.submitTo("a", 2, tasks(4, 60_000))
	assert.Assert(t, running > 0)
	assert.Equal(t, r.inUse(1, 2), int64(4000))
	assert.Equal(t, r.inUse(2), int64(4-running)*1000)
}

// Guards against a limit that is exceeded by runs whose end is not certain: a start or a stop without
// an answer, and a worker that is cut off and runs on.
func TestLimitCountsRunsThatMayGoOn(t *testing.T) {
	r := newLimitedRig(t, 2, 2000)
	cut := r.workers["w00"]
	cut.unreachable = true
	r.infos[0].Capacity.CPUMilli = 100_000 // preferred, or not: both tasks are sent to some worker
	r.s.SetWorkers(r.infos)
	r.submitTo("a", 1, tasks(2, 100))
	for _, start := range slices.Clone(r.starts) {
		if start.Worker == "w00" {
			r.s.Started(start.Worker, start.Task, start.Run, StartUnanswered)
		}
	}
	r.runActions()
	r.submitTo("a", 2, tasks(2, 100))
	assert.Equal(t, len(r.s.uses["a"].attempts), 2)
	assert.Equal(t, len(r.starts), 2, "a run whose start or stop has no answer does not count")
	cut.unreachable = false
	r.advance(10)
	for range 4 {
		r.advance(1100)
		assert.Assert(t, r.inUse(1, 2) <= 2000)
	}

	// Both runs are on a worker that is cut off.
	r = newLimitedRig(t, 1, 2000)
	r.submitTo("a", 1, tasks(2, 100))
	r.workers["w00"].unreachable = true
	r.s.WorkerUnreachable("w00", r.now)
	r.infos = append(r.infos, WorkerInfo{ID: "w01", Service: "svc", Capacity: r.infos[0].Capacity, Rack: "r0"})
	r.workers["w01"] = &fakeWorker{}
	r.s.SetWorkers(r.infos)
	r.advance(10)
	r.submitTo("a", 2, tasks(2, 100))
	r.advance(1000)
	assert.Equal(t, r.inUse(2), int64(0))
	r.workers["w00"].running = nil
	r.s.LeaseExpired("w00")
	r.advance(10)
	assert.Assert(t, r.inUse(1, 2) > 0 && r.inUse(1, 2) <= 2000)
}

// Guards against a limit that is exceeded after a takeover by tasks that silent workers run for the
// earlier holder, and against workspaces that wait for a worker that cannot run so much.
func TestLimitCountsRunsOfAnEarlierHolder(t *testing.T) {
	r := newLimitedRig(t, 3, 12_000)
	r.submitTo("a", 1, tasks(12, 60_000))
	assert.Equal(t, r.inUse(1), int64(12_000))
	silent := "w00"
	for id, w := range r.workers {
		if len(w.running) > len(r.workers[silent].running) {
			silent = id
		}
	}
	r.workers[silent].unreachable = true
	r.takeOver(2)
	r.submitTo("a", 2, tasks(12, 60_000))
	r.submitTo("b", 3, tasks(2, 60_000))
	assert.Equal(t, r.inUse(2), int64(0))
	assert.Equal(t, r.inUse(3), int64(2000), "a workspace without a limit waits")

	r.setLimit(30_000) // the silent worker runs 8000 at most, and the rest is listed
	assert.Equal(t, r.inUse(1, 2, 3), int64(24_000))
	r.workers[silent].unreachable = false
	r.advance(10)
	assert.Assert(t, r.inUse(1, 2) <= 30_000)
}

// Guards against starts beyond a limit that was lowered, runs that are stopped for it, and a step too
// large for it that holds all others.
func TestLoweredLimit(t *testing.T) {
	r := newLimitedRig(t, 4, 6000)
	r.submitTo("a", 1, tasks(10, 100))
	r.setLimit(2000)
	assert.Equal(t, r.inUse(1), int64(6000))
	assert.Equal(t, len(r.stops), 0)
	for range 4 {
		r.endOne(1)
	}
	assert.Equal(t, r.inUse(1), int64(2000))
	r.endOne(1)
	assert.Equal(t, r.inUse(1), int64(2000))
	r.setLimit(4000)
	assert.Equal(t, r.inUse(1), int64(4000))

	r = newLimitedRig(t, 4, 6000)
	r.submitTo("a", 1, Step{Tasks: 2, Resources: Resources{CPUMilli: 4000}, EstimateMS: 100})
	r.submitTo("a", 2, gangOf(4, 100))
	r.setLimit(3000) // neither the rest of job 1 nor job 2 fits
	r.submitTo("a", 3, tasks(4, 100))
	assert.Equal(t, r.inUse(3), int64(0))
	r.endOne(1)
	assert.Equal(t, r.inUse(3), int64(3000))
}

// Guards against tasks that start before the limit of their workspace is known.
func TestNothingStartsBeforeLimitsAreKnown(t *testing.T) {
	r := newLimitedRig(t, 4, 2000)
	r.s = New(Config{LimitsRequired: true, KeepEndedMS: 120000, RestoreUntil: r.now + 12000})
	r.seq = 0
	r.s.Tick(r.now, r.unixMS)
	r.s.Confirm(r.now)
	r.s.SetWorkers(r.infos)
	r.advance(10)
	r.submitTo("a", 1, tasks(4, 100))
	r.submitTo("", 2, tasks(4, 100))
	assert.Equal(t, r.inUse(1), int64(0))
	assert.Equal(t, r.inUse(2), int64(4000))
	r.s.SetWorkspaces(r.workspaces)
	r.advance(10)
	assert.Equal(t, r.inUse(1), int64(2000))
}

// Guards against a policy service that is kept busy by steps that their limit holds, against jobs of all
// workspaces that are refused for the calls that these steps do not make, and against a step that asks
// only once the limit allows it to start.
func TestHeldStepsAskForFewPermits(t *testing.T) {
	r := newLimitedRig(t, 4, 2000)
	r.allow = func(string, string) bool { return true }
	queue := Queue{Name: "q", Service: "svc", MaxAttempts: 4, SlackFactor: 2, TargetLatencyMS: 60_000, Policy: &PolicyCost{DecisionMS: 600, PerWorkerMS: 10}}
	submit := func(n int) {
		j := oneStep(jobID(n), tasks(2, 60_000))
		j.Workspace, j.Queue = "a", queue
		r.demands[n] = 1000
		r.submit(j)
	}
	r.advance(10)
	submit(1)
	submit(2)
	assert.Equal(t, r.inUse(1), int64(2000))
	asked := len(r.permitRequests)
	for n := 3; n < 16; n++ {
		submit(n)
	}
	for range 10 {
		r.advance(100)
	}
	steps := map[string]bool{}
	for _, request := range r.permitRequests[asked:] {
		steps[request.Step] = true
	}
	assert.Assert(t, len(steps) < preparedSteps, "%d of 13 held steps have asked, besides job 2", len(steps))
	assert.Assert(t, r.s.jobs[jobID(3)].occurrences[0].steps[0].permits.answered)
	r.s.backlog = callBacklog{}
	assert.Equal(t, r.s.waitingCalls().longMS+r.s.waitingCalls().shortMS, int64(0))
}

// Guards against any order of submissions, ends, cancellings, silent workers, lease ends, changes of the
// limit and takeovers in which a start exceeds the limit, and against a count that does not return to 0.
func TestLimitHoldsInAnyOrder(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			r := newLimitedRig(t, 4, 6000)
			jobs, term, silentSince := []int{}, uint32(1), map[string]Instant{}
			for range 150 {
				before := len(r.starts)
				op := random.IntN(20)
				switch {
				case op < 6 && len(jobs) < 15:
					jobs = append(jobs, len(jobs)+1)
					st := tasks(1+random.IntN(8), int64(100+random.IntN(3000)))
					if random.IntN(4) == 0 {
						st = gangOf(1+random.IntN(3), 500)
					}
					r.submitTo("a", len(jobs), st)
				case op < 12:
					id := r.infos[random.IntN(len(r.infos))].ID
					if w := r.workers[id]; len(w.running) > 0 {
						run := w.running[random.IntN(len(w.running))]
						r.endRun(id, run.Task, run.Run, []EndKind{EndDone, EndFailed}[random.IntN(2)])
					}
				case op < 13 && len(jobs) > 0:
					r.s.Cancel(jobID(jobs[random.IntN(len(jobs))]), Caller{})
				case op < 15:
					id := r.infos[random.IntN(len(r.infos))].ID
					r.workers[id].unreachable = true
					r.s.WorkerUnreachable(id, r.now)
					silentSince[id] = r.now
				case op < 17:
					for id, w := range r.workers {
						if w.unreachable && random.IntN(2) == 0 {
							if random.IntN(2) == 0 || r.now > silentSince[id]+6000 {
								w.running = nil
								r.advance(7000) // longer than the lease
								r.s.LeaseExpired(id)
							}
							w.unreachable = false
							r.s.ResendStops(id)
						}
					}
				case op < 18:
					r.workspaces[0].Limit.CPUMilli = 1000 * int64(1+random.IntN(8))
					r.s.SetWorkspaces(r.workspaces)
				case op < 19:
					term++
					r.takeOver(term)
				}
				r.advance(int64(10 + random.IntN(400)))
				for id, w := range r.workers {
					if w.unreachable && r.now > silentSince[id]+6000 {
						w.running = nil // its lease has ended
					}
				}
				u := r.s.uses["a"]
				if u != nil {
					t.Log(r.now, "op", op, "starts", len(r.starts)-before, "inuse", r.inUse(jobs...), "used", u.used.CPUMilli, u.unlisted.CPUMilli, "limit", u.limit.CPUMilli, r.workers["w00"].unreachable, r.workers["w01"].unreachable, r.workers["w02"].unreachable, r.workers["w03"].unreachable, "recon", r.s.reconciling, r.s.mayPlaceRestored())
				}
				if len(r.starts) > before {
					assert.Assert(t, r.inUse(jobs...) <= max(r.workspaces[0].Limit.CPUMilli, 1000), "%d in use of %d after %d starts", r.inUse(jobs...), r.workspaces[0].Limit.CPUMilli, len(r.starts)-before)
				}
			}
			for id, w := range r.workers {
				w.unreachable = false
				r.s.ResendStops(id)
			}
			for _, n := range jobs {
				r.s.Cancel(jobID(n), Caller{})
			}
			for range 20 {
				r.advance(2000)
			}
			assert.Equal(t, r.inUse(jobs...), int64(0))
			if u := r.s.uses["a"]; u != nil {
				assert.Equal(t, u.used, Resources{})
				assert.Equal(t, len(u.attempts), 0)
			}
		})
	}
}
