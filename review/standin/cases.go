//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// playEnds lets the store be down while short tasks end on two workers, so that more ends
// than a list holds wait for their acknowledgement.
func playEnds(c *cluster, trouble bool) (outcome, error) {
	const (
		jobs     = 300
		tasks    = 20
		taskTime = 600 * time.Millisecond
		outage   = 4500 * time.Millisecond
	)
	c.fleet.behave = func(*worker, *run) behaviour { return works(taskTime) }
	if err := begin(c, 2, workerCPU, workerMem, 300_000, 2); err != nil {
		return outcome{}, err
	}
	ids := make(chan string, jobs)
	var ended sync.WaitGroup
	var accepted []string
	var mu sync.Mutex
	for range 16 {
		ended.Go(func() {
			for id := range ids {
				if c.submit(withAdvice, id, "lookup", step{"count": tasks, "cpu": 500, "memMb": 256, "estimatedMs": 600}) {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}
		})
	}
	for range jobs {
		ids <- jobID()
		time.Sleep(10 * time.Millisecond)
	}
	close(ids)
	ended.Wait()
	c.rec.say("%d jobs accepted", len(accepted))
	if trouble {
		c.rec.say("the store is down for %v", outage)
		c.store.setDown(true)
		time.Sleep(outage)
		c.store.setDown(false)
		c.rec.say("the store serves again")
	}
	left := accepted
	for deadline := time.Now().Add(60 * time.Second); len(left) > 0 && time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		left = slices.DeleteFunc(left, func(id string) bool { return c.state(withAdvice, id) == "completed" })
	}
	c.rec.say("%d jobs not completed; %s", len(left), c.fleet.summary())
	time.Sleep(2 * time.Second) // the last ends are acknowledged
	return outcome{"TWICE", c.fleet.twice()}, nil
}

// playServices crashes the worker of a service's only task, five times.
func playServices(c *cluster, trouble bool) (outcome, error) {
	const (
		crashes  = 5
		downFor  = 2 * time.Second
		interval = 6 * time.Second // of work between two crashes
	)
	c.fleet.behave = func(*worker, *run) behaviour { return behaviour{last: true} }
	if err := begin(c, 8, workerCPU, workerMem, 300_000, 3); err != nil {
		return outcome{}, err
	}
	id := jobID()
	if !c.submit(withAdvice, id, "service", step{"count": 1, "cpu": 4000, "memMb": 4096, "longRunning": true}) {
		return outcome{}, errNotAccepted
	}
	task := id + ".0.0.0"
	for n := range crashes {
		w := c.awaitRun(task, 15*time.Second)
		if w == nil {
			c.rec.say("the task does not run; state %s", c.state(withAdvice, id))
			break
		}
		time.Sleep(interval)
		if !trouble {
			continue
		}
		c.rec.say("crash %d: worker %s, for %v", n+1, w.id, downFor)
		c.fleet.crash(w)
		time.Sleep(downFor)
		if err := c.fleet.restart(w); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(15 * time.Second)
	var breaches []string
	state := c.state(withAdvice, id)
	c.rec.say("state of the job: %s; running: %t", state, c.fleet.runningOn(task) != nil)
	if state == "failed" || state == "canceled" {
		failed := 0
		for _, r := range c.fleet.runs {
			if r.how == "failed" {
				failed++
			}
		}
		breaches = append(breaches, fmt.Sprintf("job %s, which nobody cancelled, is shown as %s; %d of its runs ended failed", id, state, failed))
	}
	if c.fleet.runningOn(task) == nil {
		breaches = append(breaches, fmt.Sprintf("the lasting task %s has not run for over 13 s with all workers up and empty", task))
	}
	return outcome{"LOST", breaches}, nil
}

// awaitRun waits until a task runs and returns its worker, or nil after the limit.
func (c *cluster) awaitRun(task string, limit time.Duration) *worker {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if w := c.fleet.runningOn(task); w != nil {
			return w
		}
	}
	return nil
}

// playPoison runs a service with a task on each worker and sends single tasks, among them
// two jobs that can never be done.
func playPoison(c *cluster, trouble bool) (outcome, error) {
	const (
		workers  = 3
		jobs     = 40
		interval = 700 * time.Millisecond
		finish   = 14 * time.Second // from the end of the traffic until jobs are asked for
	)
	c.fleet.behave = func(_ *worker, r *run) behaviour {
		switch r.spec {
		case "service":
			return behaviour{last: true}
		case "poison":
			return behaviour{time: 300 * time.Millisecond, how: "failed"}
		}
		return works(500 * time.Millisecond)
	}
	if err := begin(c, workers, workerCPU, workerMem, 300_000, 2); err != nil {
		return outcome{}, err
	}
	if !c.submit(withAdvice, jobID(), "service", step{"count": workers, "cpu": 4000, "memMb": 4096, "longRunning": true, "antiAffinity": 1}) {
		return outcome{}, errNotAccepted
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for n := range jobs {
		time.Sleep(interval)
		id, spec, count := jobID(), "lookup", 1
		if n == 5 || n == 15 {
			count = 8
			if trouble {
				spec = "poison"
			}
		}
		if !c.submit(withAdvice, id, spec, step{"count": count, "cpu": 4000, "memMb": 8192, "estimatedMs": 500}) {
			return outcome{}, errNotAccepted
		}
		if spec != "poison" {
			ids = append(ids, id)
		}
	}
	c.rec.say("end of the traffic; %s", c.fleet.summary())
	time.Sleep(finish)
	c.rec.say("%v later; %s", finish, c.fleet.summary())
	var breaches []string
	for _, id := range ids {
		if state := c.state(withAdvice, id); state != "completed" {
			breaches = append(breaches, fmt.Sprintf("job %s of one task is %s over %v after it was accepted; it has had %d runs", id, state, finish, c.fleet.runsOf(id)))
		}
	}
	return outcome{"LOST", breaches}, nil
}

// playFailures lets one task in twenty of a step fail once, one on each worker.
func playFailures(c *cluster, trouble bool) (outcome, error) {
	const (
		workers  = 3
		tasks    = 60
		attempts = 3
	)
	failedOn := map[string]bool{}
	failedTask := map[string]bool{}
	c.fleet.behave = func(w *worker, r *run) behaviour {
		if trouble && !failedOn[w.id] && !failedTask[r.task] {
			failedOn[w.id], failedTask[r.task] = true, true
			return behaviour{time: 1500 * time.Millisecond, how: "failed"}
		}
		return works(2200 * time.Millisecond)
	}
	if err := begin(c, workers, workerCPU, workerMem, 300_000, attempts); err != nil {
		return outcome{}, err
	}
	id := jobID()
	if !c.submit(noAdvice, id, "match", step{"count": tasks, "cpu": 3900, "memMb": 5600, "estimatedMs": 2200}) {
		return outcome{}, errNotAccepted
	}
	state := ""
	for deadline := time.Now().Add(45 * time.Second); time.Now().Before(deadline) && state != "completed"; time.Sleep(200 * time.Millisecond) {
		state = c.state(noAdvice, id)
	}
	c.rec.say("the job is %s", state)
	if state == "completed" {
		return outcome{rule: "LOST"}, nil
	}
	done, failed, last := map[string]bool{}, 0, time.Time{}
	for _, r := range c.fleet.runs {
		if r.how == "done" {
			done[r.task] = true
		}
		if r.how == "failed" {
			failed++
		}
		if r.ended.After(last) {
			last = r.ended
		}
	}
	return outcome{"LOST", []string{fmt.Sprintf("job %s is %s: %d of %d tasks done, %d runs failed (each of another task, of %d attempts), nothing of it has run for %d ms; %s",
		id, state, len(done), tasks, failed, attempts, time.Since(last).Milliseconds(), c.fleet.summary())}}, nil
}

// playClock crashes a worker that returns under its ID, and later loses it for good.
func playClock(c *cluster, trouble bool) (outcome, error) {
	const (
		tasks   = 8
		downFor = 3 * time.Second
	)
	c.fleet.behave = func(*worker, *run) behaviour { return behaviour{last: true} }
	if err := begin(c, 8, workerCPU, workerMem, 300_000, 2); err != nil {
		return outcome{}, err
	}
	time.Sleep(2 * time.Second)
	w := c.fleet.workers[0]
	if trouble {
		c.rec.say("worker %s crashes for %v", w.id, downFor)
		c.fleet.crash(w)
		time.Sleep(downFor)
		if err := c.fleet.restart(w); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(5 * time.Second)
	id := jobID()
	if !c.submit(withAdvice, id, "service", step{"count": tasks, "cpu": 8000, "memMb": 8192, "longRunning": true}) {
		return outcome{}, errNotAccepted
	}
	time.Sleep(10 * time.Second)
	c.rec.say("%d of %d tasks run; %s", len(c.fleet.runningTasks(id)), tasks, c.fleet.summary())
	if trouble {
		if c.fleet.atWork(w) == 0 {
			return outcome{}, fmt.Errorf("no task runs on worker %s", w.id)
		}
		c.rec.say("worker %s is lost for good", w.id)
		c.fleet.crash(w)
	}
	time.Sleep(30 * time.Second)
	running := c.fleet.runningTasks(id)
	c.rec.say("30 s later %d of %d tasks run; %s; state %s", len(running), tasks, c.fleet.summary(), c.state(withAdvice, id))
	var breaches []string
	for i := range tasks {
		if task := fmt.Sprintf("%s.0.0.%d", id, i); !running[task] {
			breaches = append(breaches, fmt.Sprintf("the lasting task %s has not run for 30 s; %s", task, strings.TrimSpace(c.fleet.summary())))
		}
	}
	return outcome{"LOST", breaches}, nil
}

// playStale crashes a worker that returns under its ID, and lets the first holds that
// reach it then be carried out late, without an answer.
func playStale(c *cluster, trouble bool) (outcome, error) {
	const (
		workers  = 7
		traffic  = 26 * time.Second
		interval = 100 * time.Millisecond
		tasks    = 20
		taskTime = 900 * time.Millisecond
		crashAt  = 12 * time.Second
		downFor  = 2 * time.Second

		lateHolds = 8
		firstLate = 5 * time.Second // until the first of them is carried out
		lateStep  = 500 * time.Millisecond
	)
	c.fleet.behave = func(*worker, *run) behaviour {
		return works(taskTime/2 + rand.N(taskTime))
	}
	if err := begin(c, workers, smallCPU, smallMem, 300_000, 2); err != nil {
		return outcome{}, err
	}
	w := c.fleet.workers[0]
	failed := make(chan error, 1)
	go func() {
		if !trouble {
			return
		}
		time.Sleep(crashAt)
		c.rec.say("worker %s crashes for %v", w.id, downFor)
		c.fleet.crash(w)
		time.Sleep(downFor)
		c.fleet.mu.Lock()
		for n := range lateHolds {
			w.lateHolds = append(w.lateHolds, firstLate+time.Duration(n)*lateStep)
		}
		c.fleet.mu.Unlock()
		if err := c.fleet.restart(w); err != nil {
			failed <- err
		}
	}()
	var ended sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for start := time.Now(); time.Since(start) < traffic; time.Sleep(interval) {
		ended.Go(func() {
			id := jobID()
			if c.submit(withAdvice, id, "lookup", step{"count": tasks, "cpu": 500, "memMb": 256, "estimatedMs": 900}) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	ended.Wait()
	left := accepted
	for deadline := time.Now().Add(40 * time.Second); len(left) > 0 && time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		left = slices.DeleteFunc(left, func(id string) bool {
			return c.state(withAdvice, id) != "running" && c.state(withAdvice, id) != "pending"
		})
	}
	c.rec.say("%d jobs accepted, %d not ended; %s", len(accepted), len(left), c.fleet.summary())
	time.Sleep(2 * time.Second) // the last ends are acknowledged
	select {
	case err := <-failed:
		return outcome{}, err
	default:
	}
	return outcome{"TWICE", c.fleet.twice()}, nil
}

// playLanes lets some partitions of the store be down for a while, and later stops the holder
// twice, as planned.
func playLanes(c *cluster, trouble bool) (outcome, error) {
	const (
		traffic  = 6 * time.Second
		interval = 100 * time.Millisecond
		tasks    = 2
		outage   = 4500 * time.Millisecond
		grace    = 6 * time.Second
	)
	c.statusS = 30
	c.fleet.behave = func(*worker, *run) behaviour {
		return works(time.Second + rand.N(10*time.Second))
	}
	if err := begin(c, 4, workerCPU, workerMem, 300_000, 2); err != nil {
		return outcome{}, err
	}
	begun := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(begun.Add(at))) }
	var ended sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for time.Since(begun) < traffic {
		ended.Go(func() {
			id := jobID()
			if c.submit(withAdvice, id, "lookup", step{"count": tasks, "cpu": 1000, "memMb": 256, "estimatedMs": 5000}) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	ended.Wait()
	until(7 * time.Second)
	if trouble {
		c.rec.say("4 of 16 partitions of the store are down for %v", outage)
		c.store.setPartsDown("0", "1", "2", "3")
	}
	until(7*time.Second + outage)
	c.store.setPartsDown()
	until(13 * time.Second)
	stop := func() error {
		if !trouble {
			return nil
		}
		e := c.holder()
		if e == nil {
			return fmt.Errorf("no process holds the cell")
		}
		return c.restart(e, grace)
	}
	if err := stop(); err != nil {
		return outcome{}, err
	}
	until(24 * time.Second)
	completed := 0
	for _, id := range accepted {
		if c.state(withAdvice, id) == "completed" {
			completed++
		}
	}
	c.rec.say("%d jobs accepted, %d shown as completed", len(accepted), completed)
	until(40 * time.Second)
	if err := stop(); err != nil {
		return outcome{}, err
	}
	until(75 * time.Second)
	return outcome{"TWICE", c.fleet.twice()}, nil
}
