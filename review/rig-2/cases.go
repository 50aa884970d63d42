package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["record"] = record
	cases["reserve"] = reserve
	cases["lasting"] = lasting
	cases["returned"] = returned
}

// finishTime is finish_s.
const finishTime = 14 * time.Second

// lookup is a small job of a step with two tasks.
func lookup(q *queue, runTime time.Duration) *job {
	return newJob(q, runTime, step{Count: 2, CPU: 5600, MemMB: 10000, EstimateMS: runTime.Milliseconds()})
}

// starved watches a job of one step for a time. It returns for how long on end nothing of it ran
// while it was not done, there was room for all of its tasks twice over, and under half of the
// service's cpu was in use.
func (j *job) starved(limit time.Duration) (longest time.Duration) {
	since := time.Now()
	for start := time.Now(); time.Since(start) < limit; time.Sleep(20 * time.Millisecond) {
		world.mu.Lock()
		ended := len(j.done) == j.Steps[0].Count
		world.mu.Unlock()
		if ended {
			return longest
		}
		room, inUse := j.room(0)
		if j.running() > 0 || room < int64(2*j.Steps[0].Count) || inUse >= 0.5 {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	return longest
}

// judgeStarved waits for finish_s after the last request and then judges the rule LOST for jobs
// of one step.
func judgeStarved(jobs []*job) (int, string) {
	time.Sleep(finishTime)
	longest := make([]time.Duration, len(jobs))
	var group sync.WaitGroup
	for i, j := range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			longest[i] = j.starved(8 * time.Second)
		}()
	}
	group.Wait()
	lost := 0
	for i, j := range jobs {
		room, inUse := j.room(0)
		state := j.state()
		if longest[i] > 3*time.Second {
			lost++
			rec.add("job %s, accepted at %.3f, is %s; workers have started %d of its %d tasks; for %.1f s on end it had nothing running, with room for %d of its tasks and %.0f%% of the cpu in use",
				j.id, j.accepted.Sub(rec.start).Seconds(), state, j.starts, j.Steps[0].Count, longest[i].Seconds(), room, 100*inUse)
		}
	}
	if lost > 0 {
		return broken, fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for more than 3 s, finish_s after the last request, with room for them twice over and under half of the cpu in use", lost, len(jobs))
	}
	return held, fmt.Sprintf("held: all %d accepted jobs have run", len(jobs))
}

// reserve: a gang is handed in that does not fit beside tasks that last. Other jobs must run.
func reserve(trouble bool) (int, string) {
	service := newJob(plainPlan, 0, step{Count: len(world.workers), CPU: 6000, MemMB: 1000, EstimateMS: 500, PerWorker: 1, LongRunning: true})
	if !service.submit(5) {
		return failed, "the service was not accepted"
	}
	time.Sleep(6 * time.Second)
	if n := service.running(); n != len(world.workers) {
		return failed, fmt.Sprintf("only %d tasks of the service run", n)
	}
	before := lookup(plainLookup, 800*time.Millisecond)
	if !before.submit(5) || before.starved(6*time.Second) > 3*time.Second {
		return failed, "a job did not run before the trouble"
	}
	if trouble {
		gang := newJob(plainMatch, 16*time.Second, step{Count: 48, CPU: 30000, MemMB: 37000, EstimateMS: 16000, Gang: true})
		if !gang.submit(1) {
			return held, "held: the gang was refused"
		}
		time.Sleep(time.Second)
	}
	var jobs []*job
	for i := range 24 {
		j := lookup(plainMatch, 2*time.Second)
		if i%6 == 5 {
			j = lookup(plainLookup, 800*time.Millisecond)
		}
		if j.submit(5) {
			jobs = append(jobs, j)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return judgeStarved(jobs)
}

// lastingTasks is the number of tasks of the service in lasting.
const lastingTasks = 30

// lasting: the workers of one rack after the other crash and come back under other IDs. Tasks that
// last must be started again each time.
func lasting(trouble bool) (int, string) {
	service := newJob(growerMatch, 0, step{Count: lastingTasks, CPU: 3900, MemMB: 5600, EstimateMS: 500, LongRunning: true})
	if !service.submit(5) {
		return failed, "the service was not accepted"
	}
	time.Sleep(5 * time.Second)
	if n := service.running(); n != lastingTasks {
		return failed, fmt.Sprintf("only %d tasks of the service run", n)
	}
	racks := racksOf(world.workers)
	for i := range 28 {
		if trouble {
			crashRack(racks[i%len(racks)], 2*time.Second)
		}
		time.Sleep(2800 * time.Millisecond)
		rec.add("after crash %d: %d of %d tasks that last run", i+1, service.running(), lastingTasks)
	}
	// From here on there is no trouble: 4 s and then 3 s, and 6 s since the last runs have ended.
	time.Sleep(8 * time.Second)
	missing, room, inUse := lastingTasks, int64(0), 0.0
	for since := time.Now(); time.Since(since) < 4*time.Second; time.Sleep(50 * time.Millisecond) {
		missing = min(missing, lastingTasks-service.running())
		room, inUse = service.room(0)
	}
	rec.add("for 4 s on end, at least %d of %d tasks that last have nothing running; the workers that the policy allows have room for %d, and %.0f%% of the cpu is in use; the job is %s", missing, lastingTasks, room, 100*inUse, service.state())
	if missing > 0 && room >= int64(2*missing) {
		return broken, fmt.Sprintf("LOST: %d of %d tasks that last have nothing running for 4 s, 10 s and more after the last crash, with room for them twice over", missing, lastingTasks)
	}
	return held, "held: all tasks that last run"
}

// racksOf returns the racks of the workers, in their order.
func racksOf(workers []*worker) (racks []string) {
	for _, w := range workers {
		if !slices.Contains(racks, w.rack) {
			racks = append(racks, w.rack)
		}
	}
	return racks
}

// crashRack lets all workers of a rack crash. They come back under other IDs.
func crashRack(rack string, down time.Duration) {
	rec.add("all workers of the rack %s crash", rack)
	for _, w := range world.workers {
		if w.rack == rack && w.up {
			w.crash()
			time.AfterFunc(down, func() {
				if err := w.begin(); err != nil {
					panic(err)
				}
			})
		}
	}
}

// returned: the store is down for 4.5 s, in which the entries of the workers lapse. Gangs that are
// handed in while the entries come back must run.
func returned(trouble bool) (int, string) {
	var mu sync.Mutex
	var jobs []*job
	var group sync.WaitGroup
	for range 4 {
		if trouble {
			rec.add("the store is down for 4.5 s: it answers 503")
			world.store.setOutage("busy")
			time.Sleep(4500 * time.Millisecond)
			world.store.setOutage("")
			rec.add("the store is up again; %d entries of workers are left", world.store.registered())
		}
		for i := range 60 {
			group.Add(1)
			go func() {
				defer group.Done()
				j := newJob(depotLookup, 800*time.Millisecond, step{Count: 12, CPU: 17000, MemMB: 10000, EstimateMS: 800, Gang: true})
				if j.submit(5) {
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
				}
			}()
			if i%10 == 9 {
				rec.add("%d workers are registered", world.store.registered())
			}
			time.Sleep(16 * time.Millisecond)
		}
		time.Sleep(7 * time.Second) // all entries are back within 2 s, and the core becomes stable
	}
	group.Wait()
	rec.add("%d workers are registered", world.store.registered())
	return judgeStarved(jobs)
}

// timedJob is a job that is due once a minute, with the given number of times, all of them in the
// past.
func timedJob(times int, runTime time.Duration) *job {
	j := newJob(plainPlan, runTime, step{Count: 1, CPU: 10, MemMB: 1, EstimateMS: runTime.Milliseconds()})
	j.Repeat, j.IntervalMS, j.StartAtMS, j.quiet = times, 60000, time.Now().Add(-time.Duration(times)*time.Minute).UnixMilli(), true
	return j
}

// record: a job with many times, whose tasks run for long. Others must be accepted and cancelled.
func record(trouble bool) (int, string) {
	times := 400
	if trouble {
		times = 40000
	}
	// The tasks of these jobs run for longer than the play, so that there is something to cancel.
	var jobs []*job
	for range 5 {
		if j := lookup(plainLookup, 3*time.Minute); j.submit(5) {
			jobs = append(jobs, j)
		}
	}
	timed := timedJob(times, 10*time.Minute)
	if !timed.submit(5) {
		return held, "held: the job with many times was refused"
	}
	rejects := 0
	for start := time.Now(); time.Since(start) < 60*time.Second && rejects == 0 && (trouble || len(jobs) < 10); time.Sleep(500 * time.Millisecond) {
		if j := lookup(plainLookup, 3*time.Minute); j.submit(1) {
			jobs = append(jobs, j)
		}
		world.store.mu.Lock()
		rejects = world.store.rejects
		world.store.mu.Unlock()
		world.mu.Lock()
		rec.add("workers have started %d of %d times; the store has rejected %d appends", timed.starts, times, rejects)
		world.mu.Unlock()
	}
	time.Sleep(5 * time.Second)
	refused := 0
	for range 5 {
		if !lookup(plainLookup, time.Second).submit(1) {
			refused++
		}
	}
	// Neither the store nor a link has been disturbed. Cancels must be answered within ackTimeoutMs.
	jobs = jobs[:min(len(jobs), 10)]
	statuses := make([]int, len(jobs))
	var group sync.WaitGroup
	for i, j := range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			statuses[i] = j.cancel(4 * time.Second)
		}()
	}
	group.Wait()
	unanswered := 0
	for _, status := range statuses {
		if status != 410 && (status < 200 || status > 299) {
			unanswered++
		}
	}
	time.Sleep(5 * time.Second)
	still := 0
	for _, j := range jobs {
		if j.running() > 0 {
			still++
		}
	}
	rec.add("%d of %d cancels of accepted jobs have no 2xx or 410 within 4 s; %d of these jobs run on; %d of 5 new jobs were refused", unanswered, len(jobs), still, refused)
	if len(jobs) >= 3 && 10*unanswered > len(jobs) {
		return broken, fmt.Sprintf("Acks: %d of %d cancels of accepted jobs have no 2xx or 410 after ackTimeoutMs, with a calm store; %d of 5 new jobs were refused", unanswered, len(jobs), refused)
	}
	return held, fmt.Sprintf("held: %d of %d cancels were answered", len(jobs)-unanswered, len(jobs))
}
