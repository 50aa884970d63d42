package queue

import (
	"fmt"
	"slices"
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

const (
	// minRetryAfter and maxRetryAfter limit the suggested retry delay before jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// defaultRetryAfter is suggested while the drain rate is unknown.
	defaultRetryAfter = time.Second
)

// Offer adds an item to the queue or refuses it with a *fault.Error. A refusal
// takes O(1). The kinds of error are:
//
//   - Invalid: the class or workspace is unknown, the class does not accept the
//     job kind, or an amount is out of range.
//   - Conflict: an item with the same key is waiting or dispatched.
//   - QueueFull: the class is at its queue bound, and the workspace has used up
//     its share of the bound.
//   - QuotaExceeded: the item needs more than the workspace's whole quota, or it
//     is a request and the rest of the quota is in use.
//   - TooLate: the deadline has passed, or the expected wait is longer than the time
//     until the deadline.
//
// RetryAfterMS is 0 if a retry cannot succeed. A request without a deadline gets
// the default deadline of its class.
func (q *Queue) Offer(now time.Time, it Item) error {
	q.advance(now)
	c := q.classes[it.Class]
	if c == nil || !c.listed {
		return fault.New(fault.Invalid, fmt.Sprintf("class %q is not in the bundle in force", it.Class), "name a class of the bundle")
	}
	q.applyDefaults(c, &it)
	e := q.newEntry(it)
	if err := q.admit(c, e); err != nil {
		c.countRefusal(err.Kind)
		return err
	}
	q.insert(e)
	return nil
}

// applyDefaults sets the fields that the caller may omit.
func (q *Queue) applyDefaults(c *class, it *Item) {
	if it.Submitted.IsZero() {
		it.Submitted = q.now
	}
	if it.Deadline.IsZero() && it.Kind == api.KindRequest && c.policy.DeadlineMS > 0 {
		it.Deadline = it.Submitted.Add(time.Duration(c.policy.DeadlineMS) * time.Millisecond)
	}
}

func (q *Queue) admit(c *class, e *entry) *fault.Error {
	w := q.workspaces[e.item.Workspace]
	if err := q.checkItem(c, w, &e.item); err != nil {
		return err
	}
	if d, over := w.exceeds(e.need); over {
		return fault.New(fault.QuotaExceeded,
			fmt.Sprintf("the item needs %d %s and the quota of workspace %s is %d", e.need.Get(d), d, w.policy.Name, w.policy.Quota.Get(d)),
			"ask for less or have the quota raised")
	}
	if c.waiting >= c.policy.QueueBound && !c.isWithinQueueShare(c.flow(w)) {
		return q.setRetryAfter(c, fault.New(fault.QueueFull,
			fmt.Sprintf("class %s has %d items waiting and is at its queue bound", c.policy.Name, c.waiting),
			"retry after the suggested delay"))
	}
	if !e.item.Kind.Logged() && !w.inQuota(e.need) {
		return q.quotaInUseError(c, w, e)
	}
	return q.checkDeadline(c, w, e)
}

// checkItem refuses items that are malformed or duplicates.
func (q *Queue) checkItem(c *class, w *workspace, it *Item) *fault.Error {
	kinds := c.policy.Kinds
	switch {
	case len(kinds) > 0 && !slices.Contains(kinds, it.Kind):
		return fault.New(fault.Invalid, fmt.Sprintf("class %s does not accept kind %q", c.policy.Name, it.Kind), "name a class that accepts the kind")
	case w == nil || !w.listed:
		return fault.New(fault.Invalid, fmt.Sprintf("workspace %q is not in the bundle in force", it.Workspace), "name a workspace of the bundle")
	case it.Tasks < 1:
		return fault.New(fault.Invalid, fmt.Sprintf("the item has %d tasks", it.Tasks), "use at least 1")
	case q.waiting[it.Key] != nil || q.dispatched[it.Key] != nil:
		return fault.New(fault.Conflict, fmt.Sprintf("task %d of job %s is already queued or running", it.Key.Task, it.Key.JobID), "wait for its outcome")
	}
	if d, negative := it.Resources.Negative(); negative {
		return fault.New(fault.Invalid, fmt.Sprintf("the amount of %s is negative", d), "use 0 or more")
	}
	return nil
}

// quotaInUseError returns the refusal of an item for which the rest of the
// workspace's quota does not suffice.
func (q *Queue) quotaInUseError(c *class, w *workspace, e *entry) *fault.Error {
	use := w.use.Add(w.peerUse)
	d, _ := w.exceeds(use.Add(e.need))
	err := fault.New(fault.QuotaExceeded,
		fmt.Sprintf("workspace %s uses %d %s of its quota of %d and the item needs another %d", w.policy.Name, use.Get(d), d, w.policy.Quota.Get(d), e.need.Get(d)),
		"retry after the suggested delay, or use a job kind that waits for quota")
	err.RetryAfterMS = q.jitter(c.averageRunTime())
	return err
}

// checkDeadline refuses an item that is expected to expire before it can start.
func (q *Queue) checkDeadline(c *class, w *workspace, e *entry) *fault.Error {
	deadline := e.item.Deadline
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(q.now)
	if left <= 0 {
		return fault.New(fault.TooLate, "the deadline has passed", "submit with a later deadline")
	}
	wait := c.drain.expected(q.now, c.itemsAhead(c.flow(w)))
	if wait <= left {
		return nil
	}
	return q.setRetryAfter(c, fault.New(fault.TooLate,
		fmt.Sprintf("the expected wait in class %s is %v and the deadline is in %v", c.policy.Name, wait.Round(time.Millisecond), left.Round(time.Millisecond)),
		"retry after the suggested delay or submit with a later deadline"))
}

// setRetryAfter sets the suggested delay to the time that the class needs to
// start all waiting items.
func (q *Queue) setRetryAfter(c *class, err *fault.Error) *fault.Error {
	wait := c.drain.expected(q.now, float64(c.waiting))
	if wait == 0 {
		wait = defaultRetryAfter
	}
	err.RetryAfterMS = q.jitter(wait)
	return err
}

// jitter limits the wait to minRetryAfter to maxRetryAfter and returns 0.5 to 1.5 times
// the result in milliseconds, at random, so that callers refused at the same time do
// not retry at the same time.
func (q *Queue) jitter(wait time.Duration) int64 {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return int64((0.5 + q.random.Float64()) * float64(wait.Milliseconds()))
}
