package queue

import (
	"time"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

const (
	// defaultRunTime is the assumed run time until one has been measured in the class.
	defaultRunTime = time.Second
	// runTimeWeight is the weight of a new measurement in the moving average.
	runTimeWeight = 0.1
	// maxRunTimeFactor limits the run time charged to a workspace for one attempt, as
	// a multiple of the class's average. Otherwise a service that ran for weeks would
	// keep its workspace from being served for as long.
	maxRunTimeFactor = 10
	// minChargedShare is the least share charged for an item, so that fair share also
	// applies to items that need no resources.
	minChargedShare = 1e-6
	// retryBurst is the number of retries allowed before any first attempt has
	// started, so that single failures in a class with little work are retried.
	retryBurst = 10
	// retryCreditAttempts is the number of first attempts whose unused retry tokens
	// may accumulate.
	retryCreditAttempts = 1000
)

// charge is the use of one item that was dispatched or is running.
type charge struct {
	item           Item
	need           api.Resources
	class          *class
	workspace      *workspace
	flow           *flow
	sequence       uint64
	backfill       backfill
	started        bool
	rate           float64       // virtual time charged per second: dominant share / weight
	assumedRunTime time.Duration // charged to the flow in advance
}

// dispatch charges the use of an item to its class and workspace, and the average
// run time of the class to its flow. The declared run time may be far off, so it is
// not used; Finished corrects the charge by the measured run time.
func (q *Queue) dispatch(e *entry) *charge {
	f := e.flow
	ch := &charge{
		item: e.item, need: e.need, class: f.class, workspace: f.workspace, flow: f,
		sequence: e.sequence, backfill: e.backfill,
		rate:           q.chargeRate(e.need, f.workspace),
		assumedRunTime: f.class.averageRunTime(),
	}
	f.virtualTime += ch.rate * ch.assumedRunTime.Seconds()
	ch.class.use = ch.class.use.Add(ch.need)
	ch.workspace.use = ch.workspace.use.Add(ch.need)
	q.use = q.use.Add(ch.need)
	ch.class.placing++
	q.dispatched[e.item.Key] = ch
	return ch
}

// chargeRate returns the virtual time that a workspace is charged per second of run
// time: the dominant share of the capacity divided by the workspace's weight. While
// no capacity is known the share is 1, so that fair share counts items.
func (q *Queue) chargeRate(need api.Resources, w *workspace) float64 {
	if q.chargeCapacity == (api.Resources{}) {
		return 1 / w.weight()
	}
	return max(need.DominantShare(q.chargeCapacity), minChargedShare) / w.weight()
}

func (c *class) averageRunTime() time.Duration {
	if c.runTime > 0 {
		return c.runTime
	}
	return defaultRunTime
}

// release ends the use of an item and returns its charge, or nil if the item is not
// dispatched.
func (q *Queue) release(key Key) *charge {
	ch := q.dispatched[key]
	if ch == nil {
		return nil
	}
	delete(q.dispatched, key)
	ch.class.use = ch.class.use.Sub(ch.need)
	ch.workspace.use = ch.workspace.use.Sub(ch.need)
	q.use = q.use.Sub(ch.need)
	if ch.started {
		ch.class.running--
		return ch
	}
	ch.class.placing--
	ch.flow.virtualTime -= ch.rate * ch.assumedRunTime.Seconds()
	return ch
}

// Started records that an attempt of the item runs. The item need not have been
// dispatched by this queue, for example if its job was adopted; it is then ignored if
// its class or workspace is unknown.
func (q *Queue) Started(now time.Time, it Item) {
	q.advance(now)
	if e := q.waiting[it.Key]; e != nil {
		q.remove(e)
	}
	ch := q.dispatched[it.Key]
	if ch == nil {
		ch = q.adopt(it)
	}
	if ch == nil || ch.started {
		return
	}
	ch.started = true
	c := ch.class
	c.placing--
	c.running++
	c.started++
	c.drain.start(q.now)
	if !it.Retry {
		c.addRetryTokens()
	}
}

// adopt charges the use of an item that was not dispatched by this queue. It returns
// nil if the class or workspace is unknown.
func (q *Queue) adopt(it Item) *charge {
	c, w := q.classes[it.Class], q.workspaces[it.Workspace]
	if c == nil || w == nil {
		return nil
	}
	e := q.newEntry(it)
	e.flow = c.flow(w)
	return q.dispatch(e)
}

// Finished records that an attempt ended after the given run time, or that a
// dispatched item will not start. It updates the average run time of the class and
// corrects the charge to the workspace by the measured run time.
func (q *Queue) Finished(now time.Time, it Item, ran time.Duration) {
	q.advance(now)
	ch := q.release(it.Key)
	if ch == nil || !ch.started {
		return
	}
	charged := min(max(ran, 0), maxRunTimeFactor*ch.assumedRunTime)
	ch.flow.virtualTime += ch.rate * (charged - ch.assumedRunTime).Seconds()
	if ran > 0 {
		ch.class.recordRunTime(ran)
	}
}

func (c *class) recordRunTime(ran time.Duration) {
	if c.runTime == 0 {
		c.runTime = ran
		return
	}
	c.runTime += time.Duration(runTimeWeight * float64(ran-c.runTime))
}

// addRetryTokens adds the tokens that a first attempt earns.
func (c *class) addRetryTokens() {
	limit := retryBurst + retryCreditAttempts*c.policy.RetryBudget
	c.retryTokens = min(c.retryTokens+c.policy.RetryBudget, limit)
}

// AllowRetry reports whether the class may retry an attempt now, and takes one token
// from its retry budget if so. In total, the retries are at most 10 plus the class's
// RetryBudget for each first attempt started. A class without a retry budget may never
// retry.
func (q *Queue) AllowRetry(className string) bool {
	c := q.classes[className]
	if c == nil || !c.listed || c.policy.RetryBudget <= 0 || c.retryTokens < 1 {
		return false
	}
	c.retryTokens--
	return true
}
