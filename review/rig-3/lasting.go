//go:build review3

package main

import (
	"fmt"
	"time"
)

// The rule LOST for tasks that last: from restartTime after its last run, for emptyTime, a task has
// nothing running although there is capacity for it twice over, and these emptyTime and the calmTime
// before them are calm.
const (
	restartTime = 6 * time.Second
	emptyTime   = 3 * time.Second
	calmTime    = 4 * time.Second
)

// disruption is the time of a disruption. contact is added to its end: the pages count machines as in
// touch again only then, so this is the longest that a disruption can count as near.
type disruption struct{ from, to time.Time }

// room is a sample of the number of further tasks that fit on the workers.
type room struct {
	at    time.Time
	tasks int64
}

// lostCheck checks the rule LOST for the tasks of lasting jobs.
type lostCheck struct {
	rig         *rig
	jobs        []*job
	disruptions []disruption
	rooms       []room
}

// sample records the room on the workers, for a task of the largest demand of the jobs.
func (c *lostCheck) sample() {
	cpu, mem := int64(1), int64(1)
	for _, j := range c.jobs {
		cpu, mem = max(cpu, j.cpu), max(mem, j.mem)
	}
	total := int64(0)
	for _, w := range c.rig.workers {
		freeCPU, freeMem := w.free()
		total += max(min(freeCPU/cpu, freeMem/mem), 0)
	}
	c.rooms = append(c.rooms, room{time.Now(), total})
}

// watch samples the room for a time.
func (c *lostCheck) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c.sample()
	}
}

// roomFor reports whether capacity for a task twice over was there between two times.
func (c *lostCheck) roomFor(from, to time.Time) bool {
	for _, r := range c.rooms {
		if r.at.After(from) && r.at.Before(to) && r.tasks < 2 {
			return false
		}
	}
	return true
}

// calmFrom returns the earliest time at or after at from which emptyTime can begin, so that the
// calmTime before is calm too.
func (c *lostCheck) calmFrom(at time.Time) time.Time {
	for _, d := range c.disruptions {
		if earliest := d.to.Add(contact + calmTime); earliest.After(at) {
			at = earliest
		}
	}
	return at
}

// check reports each gap between two runs of a task, and the gaps that break the rule.
func (c *lostCheck) check(now time.Time) {
	for _, j := range c.jobs {
		status, text := c.rig.call("GET", j, nil)
		c.rig.record("client: GET %s%s -> %d %s", j.queue.prefix, j.id, status, text)
		for i := range j.tasks {
			c.checkTask(j, fmt.Sprintf("%s.0.0.%d", j.id, i), now)
		}
	}
}

func (c *lostCheck) checkTask(j *job, task string, now time.Time) {
	runs := c.rig.runsOf(j, task)
	for i, r := range runs {
		r.worker.mu.Lock()
		ended := r.ended
		r.worker.mu.Unlock()
		if ended.IsZero() {
			continue
		}
		next, text := now, "not yet"
		if i+1 < len(runs) {
			next = runs[i+1].started
			text = fmt.Sprintf("at %.3f on %s", c.rig.since(next), runs[i+1].worker.id)
		}
		c.rig.record("task %s: run %d on %s ended (%s) at %.3f, the next one began %s, after %.3f s",
			task, r.number, r.worker.id, r.how, c.rig.since(ended), text, next.Sub(ended).Seconds())
		from := c.calmFrom(ended.Add(restartTime))
		to := from.Add(emptyTime)
		if !next.Before(to) && c.roomFor(from, to) {
			c.rig.violation("LOST", "task %s, which lasts, had nothing running from %.3f to %.3f, though its last run had ended at %.3f, at least two such tasks fitted on the workers, and from %.3f on there was no disruption",
				task, c.rig.since(from), c.rig.since(to), c.rig.since(ended), c.rig.since(from.Add(-calmTime)))
		}
	}
}
