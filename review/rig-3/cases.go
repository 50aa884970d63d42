//go:build review3

package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lastingJob returns a job whose tasks last. The nth run of task number i ends failed after
// failAfter(i, n), if that is not 0.
func (r *rig) lastingJob(q *queue, tasks int, failAfter func(task string, n int) time.Duration) *job {
	j := r.newJob(q, tasks, 0)
	j.lasts = true
	j.behave = func(task string, n int) behavior {
		if d := failAfter(task, n); d > 0 {
			return behavior{lasts: d, end: "failed"}
		}
		return behavior{}
	}
	return j
}

// allRun reports whether all tasks of a job are running.
func (r *rig) allRun(j *job) bool {
	for i := range j.tasks {
		if !r.runsNow(j, fmt.Sprintf("%s.0.0.%d", j.id, i)) {
			return false
		}
	}
	return true
}

var errNotPlaced = errors.New("the lasting job was not accepted, or its tasks were not started in time")

// unansweredStart loses one worker for good while the holder has not noticed it yet, so that a task
// that lasts and has just failed on another worker is started there.
func unansweredStart(binary, dir string, trouble bool) (*rig, error) {
	q := &queue{name: "r-keep", prefix: "/keep930/"}
	r, err := newRig(binary, dir, 3, 8, q)
	if err != nil {
		return r, err
	}
	const firstRuns = 4 * time.Second
	j := r.lastingJob(q, 1, func(_ string, n int) time.Duration {
		if n <= 2 {
			return firstRuns
		}
		return 0
	})
	task := j.id + ".0.0.0"
	if !r.submit(j, 0) || !await(10*time.Second, func() bool { return len(r.runsOf(j, task)) == 2 }) {
		return r, errNotPlaced
	}
	check := &lostCheck{rig: r, jobs: []*job{j}}
	first, second := r.runsOf(j, task)[0], r.runsOf(j, task)[1]
	time.Sleep(time.Until(second.started.Add(firstRuns - 300*time.Millisecond)))
	if trouble {
		first.worker.lose() // the task ran there first, and avoids the other one now
		check.disruptions = append(check.disruptions, disruption{time.Now(), time.Now()})
	}
	check.watch(22 * time.Second)
	check.check(time.Now())
	return r, nil
}

// takeover kills the holder of the cell and loses one worker for good at the same time. A task that
// lasts and runs on another worker fails 2 s later.
func takeover(binary, dir string, trouble bool) (*rig, error) {
	q := &queue{name: "r-keep", prefix: "/keep930/"}
	r, err := newRig(binary, dir, 3, 8, q)
	if err != nil {
		return r, err
	}
	var mu sync.Mutex
	var failAt time.Time // when the first run of the second job fails
	spread := r.lastingJob(q, 4, func(string, int) time.Duration { return 0 })
	const failsAfter = 6 * time.Second
	other := r.lastingJob(q, 1, func(_ string, n int) time.Duration {
		if n == 1 {
			mu.Lock()
			failAt = time.Now().Add(failsAfter)
			mu.Unlock()
			return failsAfter
		}
		return 0
	})
	if !r.submit(spread, 1) || !await(10*time.Second, func() bool { return r.allRun(spread) }) ||
		!r.submit(other, 0) || !await(10*time.Second, func() bool { return r.allRun(other) }) {
		return r, errNotPlaced
	}
	holder := r.holder()
	if holder == nil {
		return r, errors.New("no process says that it is the holder")
	}
	otherOn := r.runsOf(other, other.id+".0.0.0")[0].worker
	var lost *worker
	for _, w := range r.workers {
		if w != otherOn {
			lost = w
			break
		}
	}
	mu.Lock()
	at := failAt.Add(-2 * time.Second)
	mu.Unlock()
	time.Sleep(time.Until(at))
	check := &lostCheck{rig: r, jobs: []*job{spread, other}}
	if trouble {
		r.record("holder %s is killed", holder.name)
		_ = holder.cmd.Process.Signal(syscall.SIGKILL)
		lost.lose()
		_, _ = holder.cmd.Process.Wait()
		check.disruptions = append(check.disruptions, disruption{time.Now(), time.Now()})
		time.Sleep(300 * time.Millisecond) // the platform starts it again after a short delay
		if err := r.startEntry(holder); err != nil {
			return r, err
		}
		r.record("process %s is started again", holder.name)
	}
	check.watch(25 * time.Second)
	check.check(time.Now())
	return r, nil
}

// Figures of permits. A call of the policy service names all workers and takes 684 ms; long calls may
// use 2 of 3 processes, so 2.9 a second can be made.
const (
	usualRate  = 2.5 // jobs a second
	burstX     = 1.8
	burstTime  = 4 * time.Second
	burstDelay = 8 * time.Second
)

// permits has many users come at once, for a queue whose policy service takes long to decide. A task
// that lasts fails meanwhile.
func permits(binary, dir string, trouble bool) (*rig, error) {
	q := &queue{name: "r-quote", prefix: "/lohu930/", advice: true}
	r, err := newRig(binary, dir, 3, 6, q)
	if err != nil {
		return r, err
	}
	const failsAfter = burstDelay + 3*time.Second
	j := r.lastingJob(q, 1, func(_ string, n int) time.Duration {
		if n == 1 {
			return failsAfter
		}
		return 0
	})
	if !r.submit(j, 0) || !await(10*time.Second, func() bool { return r.allRun(j) }) {
		return r, errNotPlaced
	}
	check := &lostCheck{rig: r, jobs: []*job{j}}
	began := time.Now()
	burstFrom, burstTo := began.Add(burstDelay), began.Add(burstDelay+burstTime)
	if trouble {
		check.disruptions = append(check.disruptions, disruption{burstFrom, burstTo})
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for next := time.Now(); ; {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(next)):
			}
			rate := usualRate
			if now := time.Now(); trouble && now.After(burstFrom) && now.Before(burstTo) {
				rate *= burstX
			}
			next = next.Add(time.Duration(float64(time.Second) / rate))
			clients.Add(1)
			go func() {
				defer clients.Done()
				r.submit(r.newJob(q, 2, 1500), 0)
			}()
		}
	}()
	check.watch(burstDelay + burstTime + 26*time.Second)
	check.check(time.Now())
	close(stop)
	clients.Wait()
	return r, nil
}
