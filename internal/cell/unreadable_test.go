package cell

import (
	"testing"

	"gotest.tools/v3/assert"
)

// restoreUnreadable replaces the Scheduler with that of a new holder that can't read the roster.
func (r *rig) restoreUnreadable(term uint32) {
	r.log[rosterKey] = []byte{0xff}
	var records []Record
	for key, value := range r.log {
		records = append(records, Record{key, value})
	}
	r.s = New(Config{Term: term - 1, RestoreUntil: r.now + 12000, RemoteDataFactor: 3, KeepEndedMS: 120000, StopTimeoutMS: 400})
	r.s.Tick(r.now, r.unixMS)
	assert.Equal(r.t, len(r.s.Restore(records)), 1)
	r.seq = 0
	r.s.SetWorkers(r.infos)
}

// Guards against a task that runs twice because the roster that replaces an unreadable one names a silent worker as closed without tasks.
func TestRosterAfterUnreadableOne(t *testing.T) {
	for _, registered := range []bool{true, false} {
		r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
		first := r.starts[0]
		r.workers[first.Worker].unreachable = true
		if !registered {
			for i := range r.infos {
				if r.infos[i].ID == first.Worker {
					r.infos = append(r.infos[:i:i], r.infos[i+1:]...)
					break
				}
			}
		}
		r.restoreUnreadable(2)
		r.s.WorkerUnreachable(first.Worker, r.now)
		r.advance(200)
		r.advance(200)
		assert.Equal(t, len(r.starts), 1)
		r.takeOver(3) // its wait begins anew, 12 s
		r.advance(200)
		r.advance(200)
		if len(r.starts) != 1 {
			t.Errorf("registered %v: the task was started again %d ms after its first start, run goes on at %s", registered, r.now, first.Worker)
		}
	}
}

// Guards against maintenance of a VM whose worker may run tasks that an unreadable roster named.
func TestDrainAfterUnreadableRoster(t *testing.T) {
	r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
	first := r.starts[0]
	r.workers[first.Worker].unreachable = true
	r.restoreUnreadable(2)
	r.advance(200)
	assert.Assert(t, !r.s.Drain(first.Worker, false), "a worker that has not been listed counts as empty")
}

// Guards against a worker that is idle for good because it ends its draining while it is not reconciled.
func TestWorkerThatEndsDrainingBeforeItsCompleteListing(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.workers["w00"].unreachable = true
	r.infos[0].Draining = true
	r.takeOver(2)
	w := r.workers["w00"]
	w.unreachable = false
	w.ended = []EndedTask{{Number: 1, Task: TaskID{Job: jobID(9)}, Run: 1, Kind: EndDone}}
	w.number, w.omitted = 1, 1
	r.advance(checkIntervalMS)
	r.advance(checkIntervalMS)
	r.infos[0].Draining = false
	r.s.SetWorkers(r.infos)
	r.advance(checkIntervalMS)
	w.omitted = 0
	r.advance(checkIntervalMS)
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	for range 50 {
		r.advance(searchIntervalMS)
	}
	assert.Equal(t, len(r.starts), 1, "rosterSeq unwritten: %v", r.s.workers["w00"].rosterSeq == unwritten)
}

// Guards against tasks by the capacity of a former life where the clock of the machine has been set back.
func TestRestartWithEarlierBirth(t *testing.T) {
	r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.infos[0].Incarnation = 1000
	r.workers["w00"].incarnation = 999
	r.s.SetWorkers(r.infos)
	r.advance(100)
	r.workers["w00"].incarnation = 499 // born at 500, by a clock that was set back
	r.advance(100)
	r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
	r.advance(searchIntervalMS)
	assert.Equal(t, len(r.starts), 0, "the entry is still that of the former life")
}

// Guards against a done task that is started again because, after an unreadable roster, nobody waits for the ends that the last listing of a worker left out.
func TestOmittedEndsAfterUnreadableRoster(t *testing.T) {
	for _, readable := range []bool{true, false} {
		r := newRig(t, 2, Resources{CPUMilli: 1000, MemoryMB: 1000})
		r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 60_000}))
		first := r.starts[0]
		w := r.workers[first.Worker]
		r.endRun(first.Worker, first.Task, first.Run, EndDone)
		w.omitted = 1
		if readable {
			r.takeOver(2)
		} else {
			r.restoreUnreadable(2)
		}
		for r.now < 13000 {
			r.advance(checkIntervalMS)
		}
		w.omitted = 0
		r.advance(checkIntervalMS)
		assert.Equal(t, len(r.starts), 1, "readable roster: %v", readable)
	}
}

// Guards against a worker that gets no tasks of new jobs after an unreadable roster while its listings leave out ends, although it gets some after a readable one.
func TestNewJobBesideOmittedEndsAfterUnreadableRoster(t *testing.T) {
	for _, readable := range []bool{true, false} {
		r := newRig(t, 1, Resources{CPUMilli: 1000, MemoryMB: 1000})
		w := r.workers["w00"]
		w.ended = []EndedTask{{Number: 1, Task: TaskID{Job: jobID(9)}, Run: 1, Kind: EndDone}}
		w.number, w.omitted = 1, 1
		if readable {
			r.takeOver(2)
		} else {
			r.restoreUnreadable(2)
		}
		r.submit(oneStep(jobID(1), Step{Tasks: 1, Resources: Resources{CPUMilli: 1000}, EstimateMS: 1000}))
		for r.now < 13_000 {
			r.advance(checkIntervalMS)
		}
		assert.Equal(t, len(r.starts), 1, "readable roster: %v", readable)
	}
}

// Guards against counts of unreconciled workers that do not return to 0 after workers have left and returned.
func TestWorkersThatLeaveAndReturnAfterUnreadableRoster(t *testing.T) {
	r := newRig(t, 3, Resources{CPUMilli: 1000, MemoryMB: 1000})
	r.workers["w00"].unreachable = true
	r.workers["w01"].omitted = 1
	r.workers["w01"].ended = []EndedTask{{Number: 1, Task: TaskID{Job: jobID(9)}, Run: 1, Kind: EndDone}}
	r.restoreUnreadable(2)
	r.advance(checkIntervalMS)
	all := r.infos
	for range 3 {
		r.infos = all[2:]
		r.s.SetWorkers(r.infos)
		r.s.LeaseExpired("w01")
		r.advance(checkIntervalMS)
		r.infos = all
		r.s.SetWorkers(r.infos)
		r.advance(checkIntervalMS)
	}
	r.workers["w00"].unreachable, r.workers["w01"].omitted = false, 0
	for r.now < 13_000 {
		r.advance(checkIntervalMS)
	}
	assert.Equal(t, r.s.openUnreconciled, 0)
	assert.Equal(t, len(r.s.unreconciled), 0)
	assert.Assert(t, r.s.Settled())
	for id, w := range r.s.workers {
		assert.Assert(t, w.takesWork(r.now) && r.s.isInRoster(w), id)
	}
}
