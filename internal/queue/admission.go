package queue

import (
	"fmt"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

const (
	// minRetryAfter and maxRetryAfter bound the advised pause before a retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// unknownRetryAfter is advised while the drain rate is not known.
	unknownRetryAfter = time.Second
)

// Offer admits an item to the queue. A refusal is a *fault.Error and takes
// O(1): Invalid for an unknown class or workspace, a kind that the class does not
// take, or bad amounts; Conflict for a key that is waiting or handed out;
// QueueFull at the class's bound, unless the workspace has less than its share of the
// bound waiting; QuotaExceeded if the workspace's quota can never hold the item, or is
// in use and the item is a request; TooLate if the item cannot start by its
// deadline. RetryAfterMS is 0 where a retry is pointless. A request without a
// deadline takes the class's.
func (q *Queue) Offer(now time.Time, it Item) error {
	q.observe(now)
	c := q.classes[it.Class]
	if c == nil || !c.live {
		return fault.New(fault.Invalid, fmt.Sprintf("class %q is not in the bundle in force", it.Class), "name a class of the bundle")
	}
	q.complete(c, &it)
	e := q.newEntry(it)
	if err := q.admit(c, e); err != nil {
		c.refuse(err.Kind)
		return err
	}
	q.insert(e)
	return nil
}

// complete fills in the fields that the caller may leave out.
func (q *Queue) complete(c *class, it *Item) {
	if it.Submitted.IsZero() {
		it.Submitted = q.now
	}
	if it.Deadline.IsZero() && it.Kind == api.KindRequest && c.policy.DeadlineMS > 0 {
		it.Deadline = it.Submitted.Add(time.Duration(c.policy.DeadlineMS) * time.Millisecond)
	}
}

func (q *Queue) admit(c *class, e *entry) *fault.Error {
	t := q.workspaces[e.item.Workspace]
	if err := q.checkItem(c, t, &e.item); err != nil {
		return err
	}
	if d, over := t.exceeds(e.need); over {
		return fault.New(fault.QuotaExceeded,
			fmt.Sprintf("the item needs %d %s and the quota of workspace %s is %d", e.need.Get(d), d, t.policy.Name, t.policy.Quota.Get(d)),
			"ask for less or have the quota raised")
	}
	if c.waiting >= c.policy.QueueBound && !c.isBelowShare(c.flow(t)) {
		return q.later(c, fault.New(fault.QueueFull,
			fmt.Sprintf("class %s has %d items waiting, its bound", c.policy.Name, c.waiting),
			"retry after the advised pause"))
	}
	if !e.item.Kind.Logged() && !t.inQuota(e.need) {
		return q.quotaInUse(c, t, e)
	}
	return q.checkDeadline(c, t, e)
}

func (q *Queue) checkItem(c *class, t *workspace, it *Item) *fault.Error {
	kinds := c.policy.Kinds
	switch {
	case len(kinds) > 0 && !slices.Contains(kinds, it.Kind):
		return fault.New(fault.Invalid, fmt.Sprintf("class %s does not take kind %q", c.policy.Name, it.Kind), "name a class that takes the kind")
	case t == nil || !t.live:
		return fault.New(fault.Invalid, fmt.Sprintf("workspace %q is not in the bundle in force", it.Workspace), "name a workspace of the bundle")
	case it.Tasks < 1:
		return fault.New(fault.Invalid, fmt.Sprintf("the item has %d tasks", it.Tasks), "use 1 or more")
	case q.waiting[it.Key] != nil || q.handedOut[it.Key] != nil:
		return fault.New(fault.Conflict, fmt.Sprintf("task %d of job %s is in the queue already", it.Key.Task, it.Key.JobID), "wait for its outcome")
	}
	if d, negative := it.Resources.Negative(); negative {
		return fault.New(fault.Invalid, fmt.Sprintf("the amount of %s is negative", d), "use 0 or more")
	}
	return nil
}

func (q *Queue) quotaInUse(c *class, t *workspace, e *entry) *fault.Error {
	use := t.use.Add(t.elsewhere)
	d, _ := t.exceeds(use.Add(e.need))
	err := fault.New(fault.QuotaExceeded,
		fmt.Sprintf("workspace %s uses %d %s of its quota of %d and the item needs %d", t.policy.Name, use.Get(d), d, t.policy.Quota.Get(d), e.need.Get(d)),
		"retry after the advised pause, or use a kind that waits")
	err.RetryAfterMS = q.jitter(c.averageRunTime())
	return err
}

// checkDeadline refuses an item early that would only expire in the queue.
func (q *Queue) checkDeadline(c *class, t *workspace, e *entry) *fault.Error {
	deadline := e.item.Deadline
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(q.now)
	if left <= 0 {
		return fault.New(fault.TooLate, "the deadline has passed", "submit with a later deadline")
	}
	wait := c.drain.expected(q.now, c.ahead(c.flow(t)))
	if wait <= left {
		return nil
	}
	return q.later(c, fault.New(fault.TooLate,
		fmt.Sprintf("class %s has an expected wait of %v and the deadline is in %v", c.policy.Name, wait.Round(time.Millisecond), left.Round(time.Millisecond)),
		"retry after the advised pause or submit with a later deadline"))
}

// later sets the advised pause to the time in which the class drains.
func (q *Queue) later(c *class, err *fault.Error) *fault.Error {
	wait := c.drain.expected(q.now, float64(c.waiting))
	if wait == 0 {
		wait = unknownRetryAfter
	}
	err.RetryAfterMS = q.jitter(wait)
	return err
}

// jitter returns half to one and a half times the wait in milliseconds, so that
// callers refused together do not return together.
func (q *Queue) jitter(wait time.Duration) int64 {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return int64((0.5 + q.random.Float64()) * float64(wait.Milliseconds()))
}
